// Leases over a restart: three voters with disks, whose clocks and links the tests hold.
package lease

import (
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/quorum"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
)

// voter is a voter with its leases; the rest of a core program is not here.
type voter struct {
	group    *electorate
	voter    string
	address  string
	settings settings.Settings
	up       bool
	env      *statemachine.Env
	quorum   *quorum.Quorum
	leases   *Manager
	state    message.VoterState
	votes    []message.Vote // as the disk holds them
	writes   []func()
	failure  error
}

type electorate struct {
	tag    string // that the voters share out
	voters []*voter
	taken  []string // who took the tag, in order
}

const tag = "d"

func newElectorate(discovered bool) *electorate { return newElectorateFor(tag, discovered) }

func newElectorateFor(tag string, discovered bool) *electorate {
	e := &electorate{tag: tag}
	memberList := map[string]string{}
	for index, name := range []string{"1", "2", "3"} {
		identity := "identity of " + name
		if discovered {
			identity = quorum.NewIdentity(0, uint64(index), 1, "n"+name)
		}
		memberList[name] = identity
	}
	for index, name := range []string{"1", "2", "3"} {
		cfg := settings.Default()
		cfg.Voters, cfg.Zones = settings.VoterNames(3), []string{tag}
		if discovered {
			cfg.VoterCount = 3
		} else {
			cfg.Voter = name
		}
		v := &voter{group: e, voter: name, address: "a" + name, settings: cfg, env: statemachine.NewEnv(uint64(index + 1))}
		v.state = message.VoterState{Identity: memberList[name], Formed: true, Voting: true, Voter: name, MemberList: memberList}
		e.voters = append(e.voters, v)
		v.boot()
	}
	return e
}

func (v *voter) boot() {
	v.up, v.writes = true, nil
	v.quorum = quorum.New("config-log", v.settings, v, copyState(v.state), func(s *statemachine.Env, fresh bool) { v.leases.BeginVoting(s, fresh) })
	v.leases = New(v.settings, v, v.quorum, []string{v.group.tag}, v.votes, Callbacks{
		Eligible:   func(string) bool { return true },
		OnAcquired: func(*statemachine.Env, string, int64) { v.group.taken = append(v.group.taken, v.voter) },
		OnLost:     func(*statemachine.Env, string, int64) {},
	})
}

func (v *voter) Persist(_ *statemachine.Env, record any, then storage.SyncCallback) {
	v.writes = append(v.writes, func() {
		if vote, isVote := record.(message.Vote); isVote {
			v.votes = []message.Vote{vote}
		}
		then(v.env, nil)
	})
}

func (v *voter) WriteSnapshot(s *statemachine.Env, then storage.SyncCallback) {
	v.Persist(s, nil, then)
}
func (v *voter) Failure() error                                 { return v.failure }
func (v *voter) WriteLatency() time.Duration                    { return 0 }
func (v *voter) StateForGrant() []byte                          { return nil }
func (v *voter) MergeGrantedStates(*statemachine.Env, [][]byte) {}
func (v *voter) AnnounceVoter(string)                           {}
func (v *voter) DiscardState(s *statemachine.Env)               { v.leases.Forget(s) }
func (v *voter) NodeGone(*statemachine.Env, string) bool        { return false }
func (v *voter) Superseded() bool                               { return false }

func (v *voter) Peers() []message.Member {
	peers := []message.Member{}
	for _, other := range v.group.voters {
		if other != v {
			peers = append(peers, message.Member{Name: "config-log/n" + other.voter, Voter: other.voter, Address: other.address})
		}
	}
	return peers
}

// run plays some time, or until somebody holds the tag where that is wanted.
func (e *electorate) run(length time.Duration, held bool) time.Duration {
	const step = 5 * time.Millisecond
	for played := time.Duration(0); played < length; played += step {
		if held && e.holder() != "" {
			return played
		}
		frames := []frame{}
		for _, v := range e.voters {
			v.env.Now += step
			if !v.up {
				continue
			}
			v.leases.Tick(v.env)
			writes := v.writes
			v.writes = nil
			for _, write := range writes {
				write()
			}
			for _, effect := range v.env.Drain() {
				if sent, isSend := effect.(statemachine.Send); isSend {
					frames = append(frames, frame{v.address, sent.To, sent.Message})
				}
			}
		}
		for _, sent := range frames {
			if to := e.at(sent.to); to.up {
				to.leases.Handle(to.env, sent.from, sent.message)
			}
		}
	}
	return length
}

func (e *electorate) at(address string) *voter {
	for _, v := range e.voters {
		if v.address == address {
			return v
		}
	}
	return nil
}

func (e *electorate) holder() string {
	for _, v := range e.voters {
		if v.up && v.leases.Holding(e.tag, v.env.Now) {
			return v.voter
		}
	}
	return ""
}

// All are killed at one moment and come back: the holder holds again long before a
// lease is over, since every voter's disk says that it promised to that very one. In
// both forms of voters.
func TestHolderThatComesBackIsGrantedAtOnce(t *testing.T) {
	for name, discovered := range map[string]bool{"voters named": false, "voters found": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := newElectorate(discovered)
			e.run(10*time.Second, true)
			holder := e.holder()
			c.Assert(holder, qt.Not(qt.Equals), "")
			e.run(time.Second, false)
			for _, v := range e.voters {
				c.Assert(v.votes[0].Holder, qt.Equals, holder)
				v.boot()
			}
			c.Assert(e.holder(), qt.Equals, "")
			took := e.run(10*time.Second, true)
			c.Assert(e.holder(), qt.Equals, holder)
			c.Assert(took < settings.Default().Lease()/4, qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}

// The holder does not come back: no voter grants another before a full lease of its
// own life is over, whoever asks.
func TestRestartedVotersGrantNoOtherBeforeALease(t *testing.T) {
	for name, discovered := range map[string]bool{"voters named": false, "voters found": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := newElectorate(discovered)
			e.run(10*time.Second, true)
			holder := e.holder()
			for _, v := range e.voters {
				v.boot()
				v.up = v.voter != holder
			}
			took := e.run(10*time.Second, true)
			c.Assert(e.holder(), qt.Not(qt.Equals), "")
			c.Assert(took >= settings.Default().Lease(), qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}

// Votes that a lost disk's successor has from others are no promises of its own, nor
// are those of a disk whose voter was taken meanwhile: both wait a full lease.
func TestVotesOfOthersDoNotShortenTheWait(t *testing.T) {
	for name, lose := range map[string]func(v *voter, votes []message.Vote){
		"disk lost": func(v *voter, votes []message.Vote) {
			v.votes = nil
			v.boot()
			v.leases.Restore(votes)
			v.leases.BeginVoting(v.env, false)
		},
		"voter taken and another found": func(v *voter, votes []message.Vote) {
			v.boot()
			v.leases.Tick(v.env)
			v.leases.Forget(v.env)
			v.leases.Restore(votes)
			v.leases.BeginVoting(v.env, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := newElectorate(true)
			e.run(10*time.Second, true)
			holder := e.at("a" + e.holder())
			votes := holder.votes
			for _, v := range e.voters {
				if v == holder {
					v.boot()
				} else {
					lose(v, votes)
				}
			}
			took := e.run(10*time.Second, true)
			c.Assert(e.holder(), qt.Not(qt.Equals), "")
			c.Assert(took >= settings.Default().Lease(), qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}

// A holder of another identity in the same voter is another.
func TestPromiseIsToTheDiskNotToTheVoter(t *testing.T) {
	c := qt.New(t)
	e := newElectorate(false)
	e.run(10*time.Second, true)
	holder := e.at("a" + e.holder())
	memberList := map[string]string{}
	for _, v := range e.voters {
		memberList[v.voter] = v.state.Identity
	}
	memberList[holder.voter] = "a newcomer's"
	holder.state.Identity = memberList[holder.voter]
	for _, v := range e.voters {
		v.state.MemberList = memberList
		v.boot()
	}
	took := e.run(10*time.Second, true)
	c.Assert(took >= settings.Default().Lease(), qt.IsTrue, qt.Commentf("%v", took))
}

func copyState(state message.VoterState) message.VoterState {
	state.Proposal, state.MemberList = maps.Clone(state.Proposal), maps.Clone(state.MemberList)
	return state
}

type frame struct {
	from, to string
	message  any
}
