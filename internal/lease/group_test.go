package lease

import (
	"maps"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/quorum"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
)

// configTag is the tag of tests that don't need another.
const configTag = "d"

// voter is a voter with its leases and a disk, without the rest of a core program.
type voter struct {
	group    *group
	name     string
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

// group is three voters for one tag, whose clocks, links and disks the test drives.
type group struct {
	tag    string
	voters []*voter
}

// frame is a message on its way between two voters.
type frame struct {
	from, to string
	message  any
}

// newGroup makes a group whose voters are named in the settings, or discovered.
func newGroup(discovered bool) *group { return newGroupFor(configTag, discovered) }

func newGroupFor(tag string, discovered bool) *group {
	g := &group{tag: tag}
	names := []string{"1", "2", "3"}
	memberList := map[string]string{}
	for index, name := range names {
		memberList[name] = "identity of " + name
		if discovered {
			memberList[name] = quorum.NewIdentity(0, uint64(index), 1, "n"+name)
		}
	}
	for index, name := range names {
		cfg := settings.Default()
		cfg.Voters, cfg.Zones = settings.VoterNames(3), []string{tag}
		if discovered {
			cfg.VoterCount = 3
		} else {
			cfg.Voter = name
		}
		v := &voter{
			group:    g,
			name:     name,
			address:  "a" + name,
			settings: cfg,
			env:      statemachine.NewEnv(uint64(index + 1)),
			state: message.VoterState{
				Identity: memberList[name], Formed: true, Voting: true, Voter: name, MemberList: memberList,
			},
		}
		g.voters = append(g.voters, v)
		v.boot()
	}
	return g
}

// boot starts the voter, or starts it again, from what its disk holds.
func (v *voter) boot() {
	v.up, v.writes = true, nil
	v.quorum = quorum.New("config-log", v.settings, v, copyState(v.state), func(env *statemachine.Env, newGroup bool) {
		v.leases.BeginVoting(env, newGroup)
	})
	v.leases = New(v.settings, v, v.quorum, []string{v.group.tag}, v.votes, Callbacks{
		Eligible:   func(string) bool { return true },
		OnAcquired: func(*statemachine.Env, string, int64) {},
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
func (v *voter) NodeDeadOrLeft(*statemachine.Env, string) bool  { return false }
func (v *voter) Superseded() bool                               { return false }

func (v *voter) Peers() []message.Member {
	peers := []message.Member{}
	for _, other := range v.group.voters {
		if other != v {
			peers = append(peers, message.Member{Name: "config-log/n" + other.name, Voter: other.name, Address: other.address})
		}
	}
	return peers
}

// run lets some time pass and returns how much; with untilHeld it stops as soon as a voter holds the
// tag.
func (g *group) run(length time.Duration, untilHeld bool) time.Duration {
	const step = 5 * time.Millisecond
	for played := time.Duration(0); played < length; played += step {
		if untilHeld && g.holder() != "" {
			return played
		}
		frames := []frame{}
		for _, v := range g.voters {
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
			if to := g.at(sent.to); to.up {
				to.leases.Handle(to.env, sent.from, sent.message)
			}
		}
	}
	return length
}

// at returns the voter with an address.
func (g *group) at(address string) *voter {
	for _, v := range g.voters {
		if v.address == address {
			return v
		}
	}
	return nil
}

// holder returns the name of the voter that holds the tag, or "".
func (g *group) holder() string {
	for _, v := range g.voters {
		if v.up && v.leases.IsHolder(g.tag, v.env.Now) {
			return v.name
		}
	}
	return ""
}

func copyState(state message.VoterState) message.VoterState {
	state.Proposal, state.MemberList = maps.Clone(state.Proposal), maps.Clone(state.MemberList)
	return state
}
