package quorum

import (
	"fmt"
	"maps"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
)

const step = 25 * time.Millisecond

type delivery struct {
	from, to string
	message  any
}

type fleet struct {
	test        *qt.C
	count       int64
	processes   map[string]*process // by address
	order       []string
	deliveries  []delivery
	isolated    map[string]bool // addresses that nothing is sent from or to
	partition   map[string]int  // addresses in different parts hear nothing of each other
	memberState map[string]int64
	events      []string
}

type process struct {
	fleet           *fleet
	node            string
	address         string
	up              bool
	machineEnv      *statemachine.Env
	quorum          *Quorum
	disk            *message.VoterState
	pendingWrites   []func()
	replicatedState string // what a granter tells
	merged          []string
	discarded       int
	superseded      bool
	announced       string
	configure       func(cfg *settings.Settings) // over the common settings
}

func newFleet(c *qt.C, count int64) *fleet {
	return &fleet{test: c, count: count, processes: map[string]*process{}, isolated: map[string]bool{}, memberState: map[string]int64{}}
}

func (f *fleet) join(nodeName, address string, found bool) *process {
	return f.joinConfigured(nodeName, address, found, nil)
}

func (f *fleet) joinConfigured(nodeName, address string, found bool, configure func(cfg *settings.Settings)) *process {
	p := &process{fleet: f, node: nodeName, address: address, configure: configure}
	f.processes[address] = p
	f.order = append(f.order, address)
	f.memberState[nodeName] = message.Alive
	p.boot(found)
	return p
}

func (p *process) boot(found bool) {
	cfg := settings.Default()
	cfg.Node, cfg.VoterCount, cfg.Voters, cfg.Bootstrap = p.node, p.fleet.count, settings.VoterNames(p.fleet.count), found
	cfg.Address = p.address
	if p.configure != nil {
		p.configure(&cfg)
	}
	state := message.VoterState{}
	if p.disk != nil {
		state = copyState(*p.disk)
	}
	lastDigit := int(p.address[len(p.address)-1])
	seed := uint64(len(p.fleet.events)*100 + len(p.address) + lastDigit)
	p.up, p.pendingWrites, p.machineEnv = true, nil, statemachine.NewEnv(seed)
	p.quorum = New("config-log", cfg, p, state, func(*statemachine.Env, bool) {})
}

func copyState(state message.VoterState) message.VoterState {
	state.Proposal, state.MemberList = maps.Clone(state.Proposal), maps.Clone(state.MemberList)
	return state
}

func (p *process) Persist(env *statemachine.Env, record any, then storage.SyncCallback) {
	state := copyState(p.quorum.State)
	p.pendingWrites = append(p.pendingWrites, func() {
		p.disk = &state
		then(p.machineEnv, nil)
	})
}

func (p *process) WriteSnapshot(env *statemachine.Env, then storage.SyncCallback) {
	p.Persist(env, nil, then)
}
func (p *process) Failure() error             { return nil }
func (p *process) StateForGrant() []byte      { return []byte(p.replicatedState) }
func (p *process) AnnounceVoter(voter string) { p.announced = voter }
func (p *process) Superseded() bool           { return p.superseded }

func (p *process) DiscardState(*statemachine.Env) {
	p.discarded++
	p.replicatedState = ""
}

func (p *process) MergeGrantedStates(_ *statemachine.Env, states [][]byte) {
	for _, state := range states {
		p.merged = append(p.merged, string(state))
	}
}

func (p *process) NodeDeadOrLeft(_ *statemachine.Env, nodeName string) bool {
	return p.fleet.memberState[nodeName] >= message.Dead
}

func (p *process) Peers() []message.Member {
	peers := []message.Member{}
	for _, address := range p.fleet.order {
		if address != p.address {
			peers = append(peers, message.Member{Name: "config-log/" + p.fleet.processes[address].node, Address: address})
		}
	}
	return peers
}

// run plays some time: ticks, deliveries, then writes.
func (f *fleet) run(length time.Duration) {
	for range int(length / step) {
		for _, address := range f.order {
			if p := f.processes[address]; p.up {
				p.machineEnv.Now += step
				p.quorum.Tick(p.machineEnv)
			}
		}
		for range 4 {
			f.deliver()
		}
	}
}

func (f *fleet) deliver() {
	for _, address := range f.order {
		p := f.processes[address]
		writes := p.pendingWrites
		p.pendingWrites = nil
		for _, write := range writes {
			if p.up {
				write()
			}
		}
		for _, effect := range p.machineEnv.Drain() {
			switch done := effect.(type) {
			case statemachine.Send:
				f.deliveries = append(f.deliveries, delivery{p.address, done.To, done.Message})
			case statemachine.Event:
				f.events = append(f.events, p.node+" "+done.EventName)
			}
		}
	}
	sending := f.deliveries
	f.deliveries = nil
	for _, sent := range sending {
		to, known := f.processes[sent.to]
		if known && to.up && f.processes[sent.from].up && f.connected(sent.from, sent.to) {
			to.quorum.Handle(to.machineEnv, sent.from, sent.message)
		}
	}
}

func (f *fleet) connected(from, to string) bool {
	return !f.isolated[from] && !f.isolated[to] && f.partition[from] == f.partition[to]
}

func (f *fleet) kill(p *process, loseDisk bool) {
	p.up = false
	if loseDisk {
		p.disk = nil
	}
}

func (f *fleet) voters() map[string]string {
	held := map[string]string{}
	for _, address := range f.order {
		if p := f.processes[address]; p.up && p.quorum.Voting() {
			held[p.quorum.Voter] = held[p.quorum.Voter] + p.node
		}
	}
	return held
}

func founded(c *qt.C, machines int, count int64) (*fleet, []*process) {
	f := newFleet(c, count)
	processes := []*process{}
	for number := range machines {
		processes = append(processes, f.join(fmt.Sprintf("n%d", number+1), fmt.Sprintf("a%d", number+1), true))
	}
	f.run(time.Second)
	return f, processes
}
