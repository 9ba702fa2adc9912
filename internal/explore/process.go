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

// request is an operator's write or read that a process has not answered yet.
type request struct {
	operation   *operation
	arrivalStep int64 // value of World.step
}

// process is a simulated process: a state machine, its disk and its clocks.
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
	removed     bool // permanently stopped
	leaving     bool // a graceful shutdown was requested
	hasVoter    bool // holds a voter, with its data on disk
	incarnation int
	startedAt   time.Duration     // World.now of the last start
	wallOffset  time.Duration     // sum of the clock steps
	slowUntil   int               // round until which writes are delayed
	thawRound   int               // round of the last end of a freeze
	inbox       []item            // received while frozen
	requests    map[int64]request // by request id
	lastContact map[string]int64  // by sender: the highest sentStep of the messages received from it as a voter
}

func (p *process) name() string { return p.settings.Node }

// start starts a new incarnation from the disk, unless the process is up or removed. A failure to restore the
// machine violates the rule "restart".
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
	// A crash may have come after the write that makes the process a voter and before the event that reports it.
	p.hasVoter = p.machine.VoterState().Voting
}

// crash stops the process at once; seed selects the unsynced writes that the disk keeps.
func (p *process) crash(seed uint64) {
	if !p.up {
		return
	}
	p.up, p.frozen, p.inbox = false, false, nil
	p.disk.Crash(rand.New(rand.NewPCG(seed, 7)))
}

// now returns the process's monotonic clock, which starts at 0 with each incarnation.
func (p *process) now(w *World) time.Duration { return w.now - p.startedAt }

// apply runs a command on the machine and carries out its effects.
func (p *process) apply(w *World, command statemachine.Command) {
	p.env.Now, p.env.Wall = p.now(w), startTime+w.now+p.wallOffset
	command.Apply(p.machine, p.env)
	for _, effect := range p.env.Drain() {
		w.perform(p, effect)
	}
}

// sync carries out a write and reports its completion to the machine, unless the disk stops within the write.
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
