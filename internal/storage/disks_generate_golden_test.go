// The writing of the golden disks: three machines of a role with real folders, whose network and
// clock are here. It is done only with -update.
package storage_test

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/configstore"
	"beaconvane/internal/message"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
)

const (
	clientAddress = "10.0.0.9:9000"
	proxyAddress  = "10.0.0.8:9000"
	// roundsInTick is how often frames are delivered and writes synced between two ticks.
	roundsInTick = 4
	// startOfDay is the time of day at which a fleet starts.
	startOfDay = 1_000_000 * time.Second
	// heartbeatTicks is the interval of what the proxy sends, in ticks.
	heartbeatTicks = 12
	// heartbeatsInWrite is how many of these intervals pass between two writes of a client.
	heartbeatsInWrite = 4
	// playBeforeLoss and playAfterLoss are how long a fleet is played before a voter loses its disk
	// and, for a settled disk, after it.
	playBeforeLoss = 10 * time.Second
	playAfterLoss  = 12 * time.Second
	// playAfterStop is how long a fleet is played after a voter was stopped, for a settled disk.
	playAfterStop = 4 * time.Second
	// longestPlay bounds how long a fleet is played until a disk holds what is wanted.
	longestPlay = 20 * time.Second
)

// frame is a message on its way.
type frame struct {
	from, to string
	message  any
}

// process is a machine with its disk.
type process struct {
	fleet   *fleet
	number  int
	cfg     settings.Settings
	self    message.Member
	env     *statemachine.Env
	machine diskMachine
	store   *storage.Store
	writes  []statemachine.Write
	lives   uint64
}

// fleet is the three processes of one role.
type fleet struct {
	c         *qt.C
	role      string
	root      string // of the processes' folders
	processes []*process
	frames    []frame
	ticks     int
}

// newFleet starts three processes with empty disks.
func newFleet(c *qt.C, role string, discovered bool) *fleet {
	f := &fleet{c: c, role: role, root: c.TempDir()}
	for number := range len(goldenVoters) {
		cfg, self := goldenSettings(number, discovered), goldenMember(role, number, discovered)
		p := &process{fleet: f, number: number, cfg: cfg, self: self}
		f.processes = append(f.processes, p)
		p.boot()
	}
	return f
}

func (p *process) folder() string { return filepath.Join(p.fleet.root, p.cfg.Node) }

// boot starts a life of the process from what its disk holds.
func (p *process) boot() {
	c := p.fleet.c
	folder, err := storage.NewOSDirectory(p.folder())
	c.Assert(err, qt.IsNil)
	store, snapshot, records, err := storage.Open(folder)
	c.Assert(err, qt.IsNil)
	machine, err := newMachine(p.fleet.role, p.cfg, p.self, snapshot, records)
	c.Assert(err, qt.IsNil)
	p.lives++
	p.env = statemachine.NewEnv(p.lives*uint64(len(goldenVoters)) + uint64(p.number))
	p.machine, p.store, p.writes = machine, store, nil
}

// wipe starts a life with an empty disk.
func (p *process) wipe() {
	p.fleet.c.Assert(os.RemoveAll(p.folder()), qt.IsNil)
	p.boot()
}

// stop asks the machine to hand its leases over and to leave.
func (p *process) stop() {
	question := any(configstore.Stop{})
	if p.fleet.role == message.RoleRegistry {
		question = registry.Stop{}
	}
	p.machine.HandleRequest(p.env, 1, question)
	p.drain()
}

// drain takes the effects that the machine left.
func (p *process) drain() {
	for _, effect := range p.env.Drain() {
		switch done := effect.(type) {
		case statemachine.Send:
			p.fleet.frames = append(p.fleet.frames, frame{p.self.Address, done.To, done.Message})
		case statemachine.Datagram:
			p.fleet.frames = append(p.fleet.frames, frame{p.self.Address, done.To, done.Message})
		case statemachine.Write:
			p.writes = append(p.writes, done)
		}
	}
}

// sync writes what waits, records that stand together in one frame.
func (p *process) sync() {
	waiting := p.writes
	p.writes = nil
	for len(waiting) > 0 {
		records := [][]byte{}
		for _, write := range waiting {
			if write.Snapshot != nil {
				break
			}
			records = append(records, write.Record)
		}
		count := max(1, len(records))
		if len(records) > 0 {
			p.fleet.c.Assert(p.store.Append(records), qt.IsNil)
		} else {
			p.fleet.c.Assert(p.store.Compact(waiting[0].Snapshot), qt.IsNil)
		}
		for _, write := range waiting[:count] {
			p.machine.Synced(p.env, write.RequestID, nil)
		}
		waiting = waiting[count:]
	}
	p.drain()
}

// tick plays one tick interval.
func (f *fleet) tick() {
	f.ticks++
	now := time.Duration(f.ticks) * f.processes[0].cfg.TickEvery()
	for _, p := range f.processes {
		p.env.Now, p.env.Wall = now, startOfDay+now
		p.machine.Tick(p.env)
		p.drain()
	}
	if f.ticks%heartbeatTicks == 0 {
		f.sendTraffic()
	}
	for range roundsInTick {
		for _, p := range f.processes {
			p.sync()
		}
		f.deliver()
	}
}

func (f *fleet) deliver() {
	frames := f.frames
	f.frames = nil
	for _, sent := range frames {
		for _, p := range f.processes {
			if p.self.Address == sent.to {
				p.machine.Handle(p.env, sent.from, sent.message)
				p.drain()
			}
		}
	}
}

func (f *fleet) play(length time.Duration) {
	for range int(length / f.processes[0].cfg.TickEvery()) {
		f.tick()
	}
}

// sendTraffic sends what a proxy, or a client of the configstores, sends in steady intervals.
func (f *fleet) sendTraffic() {
	beat := int64(f.ticks / heartbeatTicks)
	for _, p := range f.processes {
		if f.role == message.RoleRegistry {
			for _, msg := range goldenHeartbeats(beat, p.env.Wall, p.cfg.UsageWindow()) {
				f.frames = append(f.frames, frame{proxyAddress, p.self.Address, msg})
			}
			continue
		}
		if beat%heartbeatsInWrite == 0 {
			f.frames = append(f.frames, frame{clientAddress, p.self.Address, goldenWrite(beat / heartbeatsInWrite)})
		}
	}
}

// goldenHeartbeats are the messages of a proxy with four upstreams. In the course of time one of
// them is replaced by its next incarnation, one leaves and one signs off; one changes its slots
// again and again.
func goldenHeartbeats(beat int64, wall, usageWindow time.Duration) []any {
	const replaced, left, signedOff, slotsChangeEvery = 15, 20, 35, 4
	window := int64(wall / usageWindow)
	upstreams := []message.Registration{
		goldenUpstream("east", 1), goldenUpstream("east", 2), goldenUpstream("west", 3), goldenUpstream("west", 4),
	}
	ends := []message.Deregistration{}
	if beat >= replaced {
		upstreams[0].Incarnation++
	}
	if beat >= left {
		upstreams[1].State = message.StateDraining
	}
	upstreams[2].Slots += beat / slotsChangeEvery
	if beat >= signedOff {
		gone := upstreams[3]
		ends = append(ends, message.Deregistration{Service: gone.Service, Instance: gone.Instance, Incarnation: gone.Incarnation})
		upstreams = upstreams[:3]
	}
	heartbeats := []message.Heartbeat{}
	for _, upstream := range upstreams {
		heartbeats = append(heartbeats, message.Heartbeat{Registration: upstream, ProbeResult: message.ProbeAnswered})
	}
	counts := []message.UsageCount{}
	for counted := window - 2; counted <= window; counted++ {
		open := map[string]int64{}
		if counted == window {
			open["tenant-1"] = 2
		}
		answered := map[string]int64{"tenant-1": counted, "tenant-2": beat}
		counts = append(counts, message.UsageCount{Window: counted, Counts: answered, InFlight: open})
	}
	return []any{
		message.HeartbeatBatch{Proxy: "proxy/p", StartTime: goldenBirth, Ready: true, Heartbeats: heartbeats, Deregistrations: ends,
			Positions: []message.Position{}, RelayPath: []string{}, CurrentWindow: window},
		message.UsageUpdate{Proxy: "proxy/p", StartTime: goldenBirth, Sequence: beat, Counts: counts, ClosedBelow: window},
	}
}

func goldenUpstream(zone string, number int64) message.Registration {
	return message.Registration{
		Service:               fmt.Sprintf("service-%d", number),
		Instance:              fmt.Sprintf("instance-%d", number),
		Incarnation:           100 + number,
		Address:               fmt.Sprintf("10.0.1.%d:80", number),
		Zone:                  zone,
		Slots:                 8 + number,
		State:                 message.StateReady,
		ServingProxy:          "proxy/p",
		ServingProxyAddress:   proxyAddress,
		ServingProxyStartTime: goldenBirth,
	}
}

// goldenWrite asks for a version, of two configurations in turn.
func goldenWrite(number int64) message.WriteRequest {
	configName := goldenConfigNames[number%2]
	body := fmt.Sprintf(`{"version":%d,"services":["x"],"tenants":[],"routes":[]}`, number)
	return message.WriteRequest{RequestID: number, ConfigName: configName, Version: number, Body: []byte(body)}
}

// recordTypes returns which types of records a folder's log holds, in order.
func recordTypes(c *qt.C, path string) []string {
	copied := filepath.Join(c.TempDir(), "disk")
	c.Assert(os.CopyFS(copied, os.DirFS(path)), qt.IsNil)
	_, _, records, err := storage.Open(storage.OSDirectory{Path: copied})
	c.Assert(err, qt.IsNil)
	return typesOf(c, records)
}

// playUntilEveryRecord plays on until the log of a process holds so many types of records.
func (f *fleet) playUntilEveryRecord(p *process, want int) {
	for range int(longestPlay / p.cfg.TickEvery()) {
		f.tick()
		if types := recordTypes(f.c, p.folder()); len(types) == want {
			return
		}
	}
	f.c.Fatal("the log never holds every type of record")
}

// writeDisk plays a fleet and keeps the disk of one of its processes. On the way the first voter
// loses its disk and is replaced, so that the others write their voters down anew; for a settled
// disk the last one stops later on.
func writeDisk(c *qt.C, golden goldenDisk) {
	f := newFleet(c, golden.role, golden.discovered)
	f.play(playBeforeLoss)
	f.processes[0].wipe()
	kept := f.processes[golden.number]
	if golden.settled {
		f.play(playAfterLoss)
		f.processes[2].stop()
		f.play(playAfterStop)
	} else {
		f.playUntilEveryRecord(kept, len(golden.recordTypes()))
	}
	c.Assert(os.MkdirAll(filepath.Dir(golden.path()), 0o755), qt.IsNil)
	c.Assert(os.CopyFS(golden.path(), os.DirFS(kept.folder())), qt.IsNil)
}

// writeMissing writes the disk if there is none. It never writes one anew: disks of earlier builds
// look like those that are kept.
func (g goldenDisk) writeMissing(c *qt.C) {
	if _, err := os.Stat(g.path()); err == nil {
		return
	}
	writeDisk(c, g)
}
