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
	operation *operation
	arrived   int64 // the world's step
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
	gone        bool // for good
	leaving     bool
	seated      bool // holds a voter, with its data on disk
	incarnation int
	bootAt      time.Duration
	wall        time.Duration
	slowTo      int // round until which writes wait
	thawedAt    int // round
	inbox       []item
	requests    map[int64]request
	contacts    map[string]int64 // by sender: the newest step at which a message that came was sent
}

func (p *process) name() string { return p.settings.Node }

// boot starts the process from its disk.
func (p *process) boot(w *World) {
	if p.up || p.gone {
		return
	}
	if p.incarnation++; p.incarnation > 1 {
		p.settings.Bootstrap = false
	}
	p.up, p.frozen, p.bootAt, p.inbox = true, false, w.now, nil
	p.requests, p.contacts = map[int64]request{}, map[string]int64{}
	p.env = statemachine.NewEnv(w.plan.Seed*1000 + uint64(p.index*100+p.incarnation))
	self := message.Member{Name: p.role + "/" + p.name(), Role: p.role, Voter: p.settings.Voter,
		Zone: p.settings.Zone, Address: p.address, StartTime: int64(epoch + w.now + p.wall)}
	store, snapshot, records, err := storage.Open(p.disk)
	if err == nil {
		p.store = store
		p.machine, err = newMachine(p.role, p.settings, self, snapshot, records)
	}
	if err != nil {
		w.violate("restart", "%s does not start from its disk: %v", p.name(), err)
		p.up = false
		return
	}
	// A crash may come between the write that makes a voter and the event that says so.
	p.seated = p.machine.VoterState().Voting
}

// stop ends the process at once; the disk keeps what the dice say of unsynced writes.
func (p *process) stop(dice uint64) {
	if !p.up {
		return
	}
	p.up, p.frozen, p.inbox = false, false, nil
	p.disk.Crash(rand.New(rand.NewPCG(dice, 7)))
}

// now is the process's own clock.
func (p *process) now(w *World) time.Duration { return w.now - p.bootAt }

func (p *process) apply(w *World, command statemachine.Command) {
	p.env.Now, p.env.Wall = p.now(w), epoch+w.now+p.wall
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
		p.stop(w.crashDice[p.index])
		w.after(w.crashRounds[p.index], func() { p.boot(w) })
		return
	}
	p.apply(w, statemachine.Synced{RequestID: write.RequestID, Failure: failure})
}
