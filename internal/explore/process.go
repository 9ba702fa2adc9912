package explore

import (
	"math/rand/v2"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/simulation"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
)

// request is an operator's order or question that a process has not answered yet.
type request struct {
	operation   *operation
	arrivalStep int64 // the world's step
}

type process struct {
	index       int
	settings    settings.Settings
	address     string
	role        string
	machine     controlMachine
	env         *statemachine.Env
	disk        *simulation.Disk
	store       *storage.Store
	up          bool
	frozen      bool
	removed     bool // for good
	leaving     bool
	hasVoter    bool // holds a voter, with its data on disk
	incarnation int
	startedAt   time.Duration
	wallOffset  time.Duration
	slowUntil   int // round until which writes wait
	thawRound   int // round
	inbox       []item
	requests    map[int64]request
	lastContact map[string]int64 // by sender: the newest step at which a message that came was sent
}

func (p *process) name() string { return p.settings.Node }

// start starts the process from its disk.
func (p *process) start(w *World) {
	if p.up || p.removed {
		return
	}
	if p.incarnation++; p.incarnation > 1 {
		p.settings.Bootstrap = false
	}
	p.up, p.frozen, p.startedAt, p.inbox = true, false, w.now, nil
	p.requests, p.lastContact = map[int64]request{}, map[string]int64{}
	p.env = statemachine.NewEnv(w.plan.Seed*1000 + uint64(p.index*100+p.incarnation))
	self := message.Member{Name: p.role + "/" + p.name(), Role: p.role, Voter: p.settings.Voter,
		Zone: p.settings.Zone, Address: p.address, StartTime: int64(startTime + w.now + p.wallOffset)}
	store, snapshot, records, err := storage.Open(p.disk)
	if err == nil {
		p.store = store
		p.machine, err = newMachine(p.role, p.settings, self, snapshot, records)
	}
	if err != nil {
		w.reportViolation("restart", "%s does not start from its disk: %v", p.name(), err)
		p.up = false
		return
	}
	// A crash may come between the write that makes a voter and the event that says so.
	p.hasVoter = p.machine.VoterState().Voting
}

// crash ends the process at once; the disk keeps what the dice say of unsynced writes.
func (p *process) crash(seed uint64) {
	if !p.up {
		return
	}
	p.up, p.frozen, p.inbox = false, false, nil
	p.disk.Crash(rand.New(rand.NewPCG(seed, 7)))
}

// now is the process's own clock.
func (p *process) now(w *World) time.Duration { return w.now - p.startedAt }

func (p *process) apply(w *World, command statemachine.Command) {
	p.env.Now, p.env.Wall = p.now(w), startTime+w.now+p.wallOffset
	command.Apply(p.machine, p.env)
	for _, effect := range p.env.Drain() {
		w.perform(p, effect)
	}
}

// sync carries out a write and tells the machine.
func (p *process) sync(w *World, write statemachine.Write) {
	var failure error
	if write.Snapshot != nil {
		failure = p.store.Compact(write.Snapshot)
		w.checkSnapshot(p, write.Snapshot)
	} else {
		failure = p.store.Append([][]byte{write.Record})
	}
	if p.disk.Stopped() {
		p.crash(w.crashSeeds[p.index])
		w.schedule(w.crashRounds[p.index], func() { p.start(w) })
		return
	}
	p.apply(w, statemachine.Synced{RequestID: write.RequestID, Failure: failure})
}
