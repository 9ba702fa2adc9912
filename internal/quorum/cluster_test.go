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

// tickInterval is the simulated time between two ticks of a process.
const tickInterval = 25 * time.Millisecond

// delivery is a message in transit between two processes.
type delivery struct {
	from, to string
	message  any
}

// cluster simulates the processes of one group, with their disks and the network between them.
type cluster struct {
	test        *qt.C
	voterCount  int64
	processes   map[string]*process // by address
	addresses   []string            // addresses in the order of the processes' start
	deliveries  []delivery
	isolated    map[string]bool // addresses whose messages, sent or received, are dropped
	partition   map[string]int  // partition number by address; messages between different partitions are dropped
	memberState map[string]int64
	events      []string
}

// process is a quorum with a simulated disk and membership. It implements Host.
type process struct {
	cluster         *cluster
	node            string
	address         string
	running         bool
	env             *statemachine.Env
	quorum          *Quorum
	disk            *message.VoterState
	pendingWrites   []func()
	replicatedState string // the state that this process sends with its grants
	mergedStates    []string
	discardCount    int
	superseded      bool
	announcedVoter  string
	configure       func(cfg *settings.Settings) // changes the default settings
}

// newCluster returns a cluster without processes.
func newCluster(c *qt.C, voterCount int64) *cluster {
	return &cluster{
		test:        c,
		voterCount:  voterCount,
		processes:   map[string]*process{},
		isolated:    map[string]bool{},
		memberState: map[string]int64{},
	}
}

// addProcess starts a process with the default settings.
func (c *cluster) addProcess(nodeName, address string, founder bool) *process {
	return c.addConfiguredProcess(nodeName, address, founder, nil)
}

// addConfiguredProcess starts a process whose settings configure has changed.
func (c *cluster) addConfiguredProcess(nodeName, address string, founder bool, configure func(cfg *settings.Settings)) *process {
	p := &process{cluster: c, node: nodeName, address: address, configure: configure}
	c.processes[address] = p
	c.addresses = append(c.addresses, address)
	c.memberState[nodeName] = message.Alive
	p.boot(founder)
	return p
}

// boot starts or restarts the process with what its disk holds.
func (p *process) boot(founder bool) {
	cfg := settings.Default()
	cfg.Node, cfg.VoterCount, cfg.Voters, cfg.Bootstrap = p.node, p.cluster.voterCount, settings.VoterNames(p.cluster.voterCount), founder
	cfg.Address = p.address
	if p.configure != nil {
		p.configure(&cfg)
	}
	state := message.VoterState{}
	if p.disk != nil {
		state = copyState(*p.disk)
	}
	lastDigit := int(p.address[len(p.address)-1])
	seed := uint64(len(p.cluster.events)*100 + len(p.address) + lastDigit)
	p.running, p.pendingWrites, p.env = true, nil, statemachine.NewEnv(seed)
	p.quorum = New("config-log", cfg, p, state, func(*statemachine.Env, bool) {})
}

// copyState returns a copy that shares no map with state, as a disk would hold it.
func copyState(state message.VoterState) message.VoterState {
	state.Proposal, state.MemberList = maps.Clone(state.Proposal), maps.Clone(state.MemberList)
	return state
}

func (p *process) Persist(env *statemachine.Env, record any, onSynced storage.SyncCallback) {
	state := copyState(p.quorum.State)
	p.pendingWrites = append(p.pendingWrites, func() {
		p.disk = &state
		onSynced(p.env, nil)
	})
}

func (p *process) WriteSnapshot(env *statemachine.Env, onSynced storage.SyncCallback) {
	p.Persist(env, nil, onSynced)
}
func (p *process) Failure() error             { return nil }
func (p *process) StateForGrant() []byte      { return []byte(p.replicatedState) }
func (p *process) AnnounceVoter(voter string) { p.announcedVoter = voter }
func (p *process) Superseded() bool           { return p.superseded }

func (p *process) DiscardState(*statemachine.Env) {
	p.discardCount++
	p.replicatedState = ""
}

func (p *process) MergeGrantedStates(_ *statemachine.Env, states [][]byte) {
	for _, state := range states {
		p.mergedStates = append(p.mergedStates, string(state))
	}
}

func (p *process) NodeDeadOrLeft(_ *statemachine.Env, nodeName string) bool {
	return p.cluster.memberState[nodeName] >= message.Dead
}

func (p *process) Peers() []message.Member {
	peers := []message.Member{}
	for _, address := range p.cluster.addresses {
		if address != p.address {
			peers = append(peers, message.Member{Name: "config-log/" + p.cluster.processes[address].node, Address: address})
		}
	}
	return peers
}

// run advances the time by ticks. Each tick is followed by four rounds of writes and deliveries.
func (c *cluster) run(duration time.Duration) {
	for range int(duration / tickInterval) {
		for _, address := range c.addresses {
			if p := c.processes[address]; p.running {
				p.env.Now += tickInterval
				p.quorum.Tick(p.env)
			}
		}
		for range 4 {
			c.deliver()
		}
	}
}

// deliver completes the pending writes of all processes, and then delivers the messages that they have sent.
func (c *cluster) deliver() {
	for _, address := range c.addresses {
		p := c.processes[address]
		writes := p.pendingWrites
		p.pendingWrites = nil
		for _, write := range writes {
			if p.running {
				write()
			}
		}
		for _, effect := range p.env.Drain() {
			switch output := effect.(type) {
			case statemachine.Send:
				c.deliveries = append(c.deliveries, delivery{p.address, output.To, output.Message})
			case statemachine.Event:
				c.events = append(c.events, p.node+" "+output.EventName)
			}
		}
	}
	inFlight := c.deliveries
	c.deliveries = nil
	for _, sent := range inFlight {
		to, known := c.processes[sent.to]
		if known && to.running && c.processes[sent.from].running && c.connected(sent.from, sent.to) {
			to.quorum.Handle(to.env, sent.from, sent.message)
		}
	}
}

// connected reports whether messages between two addresses are delivered.
func (c *cluster) connected(from, to string) bool {
	return !c.isolated[from] && !c.isolated[to] && c.partition[from] == c.partition[to]
}

// kill stops a process without a handover. With wipeDisk it also loses the content of its disk.
func (c *cluster) kill(p *process, wipeDisk bool) {
	p.running = false
	if wipeDisk {
		p.disk = nil
	}
}

// voters returns the node that holds each voter. If a voter has several voting holders, their names are concatenated.
func (c *cluster) voters() map[string]string {
	holders := map[string]string{}
	for _, address := range c.addresses {
		if p := c.processes[address]; p.running && p.quorum.Voting() {
			holders[p.quorum.Voter] = holders[p.quorum.Voter] + p.node
		}
	}
	return holders
}

// newFormedCluster returns a cluster of founders that has run for a second, long enough to form the group.
func newFormedCluster(c *qt.C, processCount int, voterCount int64) (*cluster, []*process) {
	formed := newCluster(c, voterCount)
	processes := []*process{}
	for number := range processCount {
		processes = append(processes, formed.addProcess(fmt.Sprintf("n%d", number+1), fmt.Sprintf("a%d", number+1), true))
	}
	formed.run(time.Second)
	return formed, processes
}
