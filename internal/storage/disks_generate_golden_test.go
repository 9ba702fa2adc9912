package storage_test

// This file generates the golden disks, which happens only with -update: it runs three machines of a role
// with directories of the file system and a simulated network and clock.

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
	// deliveryRoundsPerTick is the number of times that writes are synced and frames delivered per tick.
	deliveryRoundsPerTick = 4
	// initialWallClock is the wall clock time at which a fleet starts.
	initialWallClock = 1_000_000 * time.Second
	// trafficIntervalTicks is the interval between two messages of the proxy, in ticks.
	trafficIntervalTicks = 12
	// trafficIntervalsPerWrite is the number of these intervals between two writes of a client.
	trafficIntervalsPerWrite = 4
	// durationBeforeDiskLoss and durationAfterDiskLoss are the running times of a fleet before a voter loses
	// its disk and, for a settled disk, after that.
	durationBeforeDiskLoss = 10 * time.Second
	durationAfterDiskLoss  = 12 * time.Second
	// durationAfterStop is the running time of a fleet after a voter was stopped, for a settled disk.
	durationAfterStop = 4 * time.Second
	// maxDuration bounds the running time until a log contains every type of record.
	maxDuration = 20 * time.Second
)

// frame is a message in transit.
type frame struct {
	from, to string
	message  any
}

// process is a machine with its settings, its disk and its writes that are not yet synced.
type process struct {
	fleet   *fleet
	number  int
	cfg     settings.Settings
	self    message.Member
	env     *statemachine.Env
	machine diskMachine
	store   *storage.Store
	writes  []statemachine.Write
	starts  uint64
}

// fleet consists of the three processes of one role and their simulated network and clock.
type fleet struct {
	c         *qt.C
	role      string
	root      string // parent of the processes' directories
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
		p.start()
	}
	return f
}

// directoryPath returns the path of the process's directory.
func (p *process) directoryPath() string { return filepath.Join(p.fleet.root, p.cfg.Node) }

// start starts the process with the state on its disk.
func (p *process) start() {
	c := p.fleet.c
	directory, err := storage.NewOSDirectory(p.directoryPath())
	c.Assert(err, qt.IsNil)
	store, snapshot, records, err := storage.Open(directory)
	c.Assert(err, qt.IsNil)
	machine, err := newMachine(p.fleet.role, p.cfg, p.self, snapshot, records)
	c.Assert(err, qt.IsNil)
	p.starts++
	p.env = statemachine.NewEnv(p.starts*uint64(len(goldenVoters)) + uint64(p.number))
	p.machine, p.store, p.writes = machine, store, nil
}

// restartWithEmptyDisk restarts the process after removing its disk's content.
func (p *process) restartWithEmptyDisk() {
	p.fleet.c.Assert(os.RemoveAll(p.directoryPath()), qt.IsNil)
	p.start()
}

// stop asks the machine to transfer its leases and to leave the membership.
func (p *process) stop() {
	question := any(configstore.Stop{})
	if p.fleet.role == message.RoleRegistry {
		question = registry.Stop{}
	}
	p.machine.HandleRequest(p.env, 1, question)
	p.drain()
}

// drain collects the messages and writes that the machine has issued.
func (p *process) drain() {
	for _, effect := range p.env.Drain() {
		switch effect := effect.(type) {
		case statemachine.Send:
			p.fleet.frames = append(p.fleet.frames, frame{p.self.Address, effect.To, effect.Message})
		case statemachine.Datagram:
			p.fleet.frames = append(p.fleet.frames, frame{p.self.Address, effect.To, effect.Message})
		case statemachine.Write:
			p.writes = append(p.writes, effect)
		}
	}
}

// sync performs the pending writes; consecutive records are written as one frame.
func (p *process) sync() {
	pending := p.writes
	p.writes = nil
	for len(pending) > 0 {
		records := [][]byte{}
		for _, write := range pending {
			if write.Snapshot != nil {
				break
			}
			records = append(records, write.Record)
		}
		count := max(1, len(records))
		if len(records) > 0 {
			p.fleet.c.Assert(p.store.Append(records), qt.IsNil)
		} else {
			p.fleet.c.Assert(p.store.Compact(pending[0].Snapshot), qt.IsNil)
		}
		for _, write := range pending[:count] {
			p.machine.Synced(p.env, write.RequestID, nil)
		}
		pending = pending[count:]
	}
	p.drain()
}

// tick runs the fleet for one tick interval.
func (f *fleet) tick() {
	f.ticks++
	now := time.Duration(f.ticks) * f.processes[0].cfg.TickEvery()
	for _, p := range f.processes {
		p.env.Now, p.env.Wall = now, initialWallClock+now
		p.machine.Tick(p.env)
		p.drain()
	}
	if f.ticks%trafficIntervalTicks == 0 {
		f.sendTraffic()
	}
	for range deliveryRoundsPerTick {
		for _, p := range f.processes {
			p.sync()
		}
		f.deliver()
	}
}

// deliver passes the frames in transit to their receivers.
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

// run runs the fleet for a duration of simulated time.
func (f *fleet) run(duration time.Duration) {
	for range int(duration / f.processes[0].cfg.TickEvery()) {
		f.tick()
	}
}

// sendTraffic sends the periodic messages of a proxy or of a client of the configstores.
func (f *fleet) sendTraffic() {
	interval := int64(f.ticks / trafficIntervalTicks)
	for _, p := range f.processes {
		if f.role == message.RoleRegistry {
			for _, msg := range goldenHeartbeats(interval, p.env.Wall, p.cfg.UsageWindow()) {
				f.frames = append(f.frames, frame{proxyAddress, p.self.Address, msg})
			}
			continue
		}
		if interval%trafficIntervalsPerWrite == 0 {
			f.frames = append(f.frames, frame{clientAddress, p.self.Address, goldenWrite(interval / trafficIntervalsPerWrite)})
		}
	}
}

// goldenHeartbeats returns the messages of a proxy with four upstreams in an interval. Over time, one
// upstream is replaced by its next incarnation, one enters the state leaving, one changes its slots
// repeatedly, and one is deregistered.
func goldenHeartbeats(interval int64, wall, usageWindow time.Duration) []any {
	const replaced, leaving, signedOff, slotsChangeEvery = 15, 20, 35, 4
	window := int64(wall / usageWindow)
	upstreams := []message.Registration{
		goldenUpstream("east", 1), goldenUpstream("east", 2), goldenUpstream("west", 3), goldenUpstream("west", 4),
	}
	deregistrations := []message.Deregistration{}
	if interval >= replaced {
		upstreams[0].Incarnation++
	}
	if interval >= leaving {
		upstreams[1].State = message.StateDraining
	}
	upstreams[2].Slots += interval / slotsChangeEvery
	if interval >= signedOff {
		deregistered := upstreams[3]
		deregistrations = append(deregistrations, message.Deregistration{
			Service: deregistered.Service, Instance: deregistered.Instance, Incarnation: deregistered.Incarnation,
		})
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
		answered := map[string]int64{"tenant-1": counted, "tenant-2": interval}
		counts = append(counts, message.UsageCount{Window: counted, Counts: answered, InFlight: open})
	}
	return []any{
		message.HeartbeatBatch{Proxy: "proxy/p", StartTime: goldenProxyStartTime, Ready: true,
			Heartbeats: heartbeats, Deregistrations: deregistrations,
			Positions: []message.Position{}, RelayPath: []string{}, CurrentWindow: window},
		message.UsageUpdate{Proxy: "proxy/p", StartTime: goldenProxyStartTime, Sequence: interval, Counts: counts, ClosedBelow: window},
	}
}

// goldenUpstream returns the initial registration of an upstream.
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
		ServingProxyStartTime: goldenProxyStartTime,
	}
}

// goldenWrite returns the write of a version; the versions belong alternately to two configurations.
func goldenWrite(number int64) message.WriteRequest {
	configName := goldenConfigNames[number%2]
	body := fmt.Sprintf(`{"version":%d,"services":["x"],"tenants":[],"routes":[]}`, number)
	return message.WriteRequest{RequestID: number, ConfigName: configName, Version: number, Body: []byte(body)}
}

// logRecordTypes returns the sorted types of the records in a directory's log.
func logRecordTypes(c *qt.C, path string) []string {
	copied := filepath.Join(c.TempDir(), "disk")
	c.Assert(os.CopyFS(copied, os.DirFS(path)), qt.IsNil)
	_, _, records, err := storage.Open(storage.OSDirectory{Path: copied})
	c.Assert(err, qt.IsNil)
	return typesOf(c, records)
}

// runUntilLogHasRecordTypes runs the fleet until the log of a process contains count types of records.
func (f *fleet) runUntilLogHasRecordTypes(p *process, count int) {
	for range int(maxDuration / p.cfg.TickEvery()) {
		f.tick()
		if types := logRecordTypes(f.c, p.directoryPath()); len(types) == count {
			return
		}
	}
	f.c.Fatalf("the log doesn't contain %d types of records after %s", count, maxDuration)
}

// generateDisk runs a fleet and copies the disk of one of its processes to testdata. The first voter loses
// its disk during the run and is replaced, so that the others write their voter states again. For a settled
// disk, the last voter stops later.
func generateDisk(c *qt.C, golden goldenDisk) {
	f := newFleet(c, golden.role, golden.discovered)
	f.run(durationBeforeDiskLoss)
	f.processes[0].restartWithEmptyDisk()
	generated := f.processes[golden.number]
	if golden.settled {
		f.run(durationAfterDiskLoss)
		f.processes[2].stop()
		f.run(durationAfterStop)
	} else {
		f.runUntilLogHasRecordTypes(generated, len(golden.recordTypes()))
	}
	c.Assert(os.MkdirAll(filepath.Dir(golden.path()), 0o755), qt.IsNil)
	c.Assert(os.CopyFS(golden.path(), os.DirFS(generated.directoryPath())), qt.IsNil)
}

// generateIfMissing generates the disk if it doesn't exist. It never replaces one, since the disks must
// remain as an earlier build wrote them.
func (g goldenDisk) generateIfMissing(c *qt.C) {
	if _, err := os.Stat(g.path()); err == nil {
		return
	}
	generateDisk(c, g)
}
