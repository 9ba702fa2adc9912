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

// configTag is the default tag of the tests. Unlike settings.UsageLease, it tracks only the previous holder.
const configTag = "d"

// testVoter is a Manager with its quorum and a simulated disk, without the rest of the control machine. It
// implements Host and the interfaces that the quorum needs.
type testVoter struct {
	group         *testGroup
	name          string
	address       string
	settings      settings.Settings
	running       bool
	env           *statemachine.Env
	quorum        *quorum.Quorum
	leases        *Manager
	state         message.VoterState
	votes         []message.Vote // on the simulated disk
	pendingWrites []func()
	diskFailure   error
	rounds        map[int64]bool // the rounds of its requests since it was last cleared
}

// testGroup is a group of three voters for one tag, whose clocks, network and disks are simulated.
type testGroup struct {
	tag    string
	voters []*testVoter
}

// delivery is a message in transit between two voters.
type delivery struct {
	from, to string
	message  any
}

// newGroup returns a running group for configTag. The voters are discovered or named in the settings.
func newGroup(discovered bool) *testGroup { return newGroupFor(configTag, discovered) }

// newGroupFor is like newGroup, for a given tag.
func newGroupFor(tag string, discovered bool) *testGroup {
	group := &testGroup{tag: tag}
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
		voter := &testVoter{
			group:    group,
			name:     name,
			address:  "a" + name,
			settings: cfg,
			env:      statemachine.NewEnv(uint64(index + 1)),
			rounds:   map[int64]bool{},
			state: message.VoterState{
				Identity: memberList[name], Formed: true, Voting: true, Voter: name, MemberList: memberList,
			},
		}
		group.voters = append(group.voters, voter)
		voter.boot()
	}
	return group
}

// boot starts or restarts the voter from the contents of its disk. Pending writes are lost.
func (v *testVoter) boot() {
	v.running, v.pendingWrites = true, nil
	v.quorum = quorum.New("config-log", v.settings, v, copyState(v.state), func(env *statemachine.Env, newGroup bool) {
		v.leases.BeginVoting(env, newGroup)
	})
	v.leases = New(v.settings, v, v.quorum, []string{v.group.tag}, v.votes, Callbacks{
		Eligible:   func(string) bool { return true },
		OnAcquired: func(*statemachine.Env, string, int64) {},
		OnLost:     func(*statemachine.Env, string, int64) {},
	})
}

func (v *testVoter) Persist(_ *statemachine.Env, record any, then storage.SyncCallback) {
	v.pendingWrites = append(v.pendingWrites, func() {
		if vote, isVote := record.(message.Vote); isVote {
			v.votes = []message.Vote{vote}
		}
		then(v.env, nil)
	})
}

func (v *testVoter) WriteSnapshot(env *statemachine.Env, then storage.SyncCallback) {
	v.Persist(env, nil, then)
}
func (v *testVoter) Failure() error                                 { return v.diskFailure }
func (v *testVoter) WriteLatency() time.Duration                    { return 0 }
func (v *testVoter) StateForGrant() []byte                          { return nil }
func (v *testVoter) MergeGrantedStates(*statemachine.Env, [][]byte) {}
func (v *testVoter) AnnounceVoter(string)                           {}
func (v *testVoter) DiscardState(env *statemachine.Env)             { v.leases.Forget(env) }
func (v *testVoter) NodeDeadOrLeft(*statemachine.Env, string) bool  { return false }
func (v *testVoter) Superseded() bool                               { return false }

func (v *testVoter) Peers() []message.Member {
	peers := []message.Member{}
	for _, other := range v.group.voters {
		if other != v {
			peers = append(peers, message.Member{Name: "config-log/n" + other.name, Voter: other.name, Address: other.address})
		}
	}
	return peers
}

// run advances the simulated time by duration and returns the time that has passed. With stopWhenHeld it
// returns as soon as a voter holds the tag. In each step every running voter ticks and its pending writes
// complete, and then all messages sent in the step are delivered.
func (g *testGroup) run(duration time.Duration, stopWhenHeld bool) time.Duration {
	const step = 5 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < duration; elapsed += step {
		if stopWhenHeld && g.holder() != "" {
			return elapsed
		}
		deliveries := []delivery{}
		for _, voter := range g.voters {
			voter.env.Now += step
			if !voter.running {
				continue
			}
			voter.leases.Tick(voter.env)
			writes := voter.pendingWrites
			voter.pendingWrites = nil
			for _, write := range writes {
				write()
			}
			for _, effect := range voter.env.Drain() {
				if send, isSend := effect.(statemachine.Send); isSend {
					voter.recordRound(send.Message)
					deliveries = append(deliveries, delivery{voter.address, send.To, send.Message})
				}
			}
		}
		for _, msg := range deliveries {
			if to := g.voterAt(msg.to); to.running {
				to.leases.Handle(to.env, msg.from, msg.message)
			}
		}
	}
	return duration
}

// recordRound records the round of a request that the voter sends.
func (v *testVoter) recordRound(msg any) {
	if request, isRequest := msg.(message.LeaseRequest); isRequest {
		v.rounds[request.Round] = true
	}
}

// voterAt returns the voter with the given address, or nil.
func (g *testGroup) voterAt(address string) *testVoter {
	for _, voter := range g.voters {
		if voter.address == address {
			return voter
		}
	}
	return nil
}

// holder returns the name of the running voter that holds the tag, or "".
func (g *testGroup) holder() string {
	for _, voter := range g.voters {
		if voter.running && voter.leases.IsHolder(g.tag, voter.env.Now) {
			return voter.name
		}
	}
	return ""
}

// copyState returns a deep copy of state, so that a restarted voter doesn't share its maps.
func copyState(state message.VoterState) message.VoterState {
	state.Proposal, state.MemberList = maps.Clone(state.Proposal), maps.Clone(state.MemberList)
	return state
}
