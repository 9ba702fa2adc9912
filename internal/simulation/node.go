// This file is a simulated process: a real machine with its stage, its own clock, its
// disk, and for a proxy the real desk, frontend and backend. A frozen node takes
// nothing and its clock runs on; what came meanwhile is there when it wakes.

package simulation

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/checker"
	"beaconvane/internal/configstore"
	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/message"
	"beaconvane/internal/proxy"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
	"beaconvane/internal/workload"
)

const inboxCap = 20000

// Node is one simulated process.
type Node struct {
	world    *World
	name     string
	role     string
	machine  string // processes of one machine fail and are cut together
	settings settings.Settings
	up       bool
	frozen   bool
	life     int
	drift    float64 // clock rate less 1
	wallOff  time.Duration
	bootAt   time.Duration
	inbox    []func()

	control statemachine.Machine
	env     *statemachine.Env
	disk    *Disk

	recovering  bool // the disk has refused a write; the machine is built anew once it works
	machineLife int  // grows when the machine is built, also without a new process
	store       *storage.Store
	slow        time.Duration
	diskAt      time.Duration

	underway []statemachine.Write

	tracker       *frontend.Dispatcher
	frontend      *frontend.Frontend
	serving       *backend.Backend
	snapshot      *proxy.Snapshot
	connections   []*simConnection
	pools         map[backend.Target][]upConnection
	guards        map[backend.Target]upConnection
	replies       map[int64]func(answer any)
	lastRequestID int64
	born          time.Duration
	spanAt        time.Duration

	frozenAt  time.Duration
	slowUntil time.Duration
	inside    int // callers' requests not answered yet
	stopping  bool
	retired   bool // its machine was taken away for good
	wiped     bool // its disk was lost at least once
	leaving   bool // it is once the process has ended
	deaf      bool // takes no new requests: its listener is closed
	spanOn    bool
}

func (w *World) build() {
	d := w.options.Deployment
	seeds := []string{}
	for index := range workload.Voters {
		seeds = append(seeds, fmt.Sprintf("10.1.0.%d:7400", index+1))
	}
	for index, voter := range d.CoreNames() {
		zone := d.CoreZone(index)
		host := fmt.Sprintf("10.1.0.%d", index+1)
		w.addNode(message.RoleRegistry, voter, voter, zone, host+":7400", seeds)
		w.addNode(message.RoleConfigStore, voter, voter, zone, host+":7500", seeds)
	}
	for number := range d.Proxies {
		w.addNode(message.RoleProxy, fmt.Sprintf("edge-%d", number+1), "", d.Zones[number%len(d.Zones)],
			fmt.Sprintf("10.2.0.%d:7400", number+1), seeds)
	}
	number := 0
	for _, service := range d.Services {
		for index := range service.Count {
			w.addUpstream(service, index, number)
			number++
		}
	}
}

func (w *World) addNode(role, machine, voter, zone, address string, seeds []string) *Node {
	cfg := w.options.Deployment.Settings(role, machine, voter, zone, address, address, seeds, "data")
	cfg.Collector = "http://collector/"
	nodeName := &Node{
		world:    w,
		name:     role + "/" + machine,
		role:     role,
		machine:  machine,
		settings: cfg,
		disk:     NewDisk(),
		drift:    (w.random.Float64() - 0.5) * 0.002,
		wallOff:  time.Duration(w.random.Int64N(int64(60*time.Millisecond))) - 30*time.Millisecond,
		slow:     w.options.Deployment.DiskDelay,
		replies:  map[int64]func(any){},
	}
	w.nodes[nodeName.name] = nodeName
	w.order = append(w.order, nodeName.name)
	w.byAddress[address] = nodeName
	return nodeName
}

// place names the voter in the record: the settings' one, or the machine.
func (n *Node) place() string {
	if n.settings.Voter != "" {
		return n.settings.Voter
	}
	return n.machine
}

func (n *Node) address() string { return n.settings.Address }

// Now is the node's own clock: since its boot, at its own rate.
func (n *Node) Now() time.Duration {
	since := n.world.now - n.bootAt
	return since + time.Duration(float64(since)*n.drift)
}

// Wall is the node's time of day.
func (n *Node) Wall() time.Time {
	return time.Unix(0, int64(epoch+n.world.now+n.wallOff)).UTC()
}

// trueWait turns a wait on the node's clock into true time.
func (n *Node) trueWait(wait time.Duration) time.Duration {
	return wait - time.Duration(float64(wait)*n.drift)
}

// boot starts the process from its disk.
func (n *Node) boot() {
	if n.up || n.retired {
		return
	}
	if n.life++; n.life > 1 {
		n.settings.Found = false
	}
	n.up, n.frozen, n.bootAt, n.inbox, n.diskAt, n.underway = true, false, n.world.now, nil, 0, nil
	n.inside, n.deaf, n.stopping, n.recovering = 0, false, false, false
	n.machineLife++
	n.env = statemachine.NewEnv(n.world.random.Uint64())
	n.replies = map[int64]func(any){}
	n.born = n.world.now
	var err error
	switch n.role {
	case message.RoleProxy:
		n.bootProxy(n.self())
	default:
		var snapshot []byte
		var records [][]byte
		n.store, snapshot, records, err = storage.Open(n.disk)
		if err == nil {
			n.control, err = n.buildMachine(snapshot, records)
		}
	}
	if err != nil {
		n.world.fail("%s does not boot: %v", n.name, err)
		n.up = false
		return
	}
	n.world.mark("boot %s", n.name)
	n.world.expectCaughtUp(n)
	n.openSpan()
	n.every(n.life, n.settings.TickEvery(), n.tick)
}

func (n *Node) bootProxy(self message.Member) {
	n.pools, n.guards, n.connections, n.snapshot = map[backend.Target][]upConnection{}, map[backend.Target]upConnection{}, nil, nil
	n.serving = backend.New(n.settings, func(forward message.Forward) errcode.Code { return n.frontend.AuthorizeForward(forward) })
	n.serving.UseTokenSource(func() string { return strconv.FormatUint(n.world.random.Uint64(), 36) })
	n.frontend = frontend.New(n.settings, n.serving.LookupDelegation)
	n.frontend.UseProtocol(namedCallers{})
	n.control = proxy.New(n.settings, self)
	n.tracker = frontend.NewDispatcher(n.settings, n.frontend, n.serving, &environment{n, n.life}, self)
	life := n.life
	n.every(life, n.settings.UpdatesEvery()/4, func() { n.run(life, n.sweep) })
	n.every(life, n.settings.CountEvery(), func() { n.run(life, n.count) })
}

// every does something in a steady rhythm of the node's clock, as long as a life lasts.
func (n *Node) every(life int, wait time.Duration, do func()) {
	n.world.after(n.trueWait(wait), func() {
		if n.up && n.life == life {
			do()
			n.every(life, wait, do)
		}
	})
}

func (n *Node) sweep() {
	n.tracker.Expire()
	for target := range n.pools {
		if !n.serving.ConnectionsUsable(n.Now(), target) {
			delete(n.pools, target)
		}
	}
	for target, guard := range n.guards {
		if !guard.quiet() {
			n.serving.MarkBroken(n.Now(), target)
			delete(n.guards, target)
		}
	}
}

func (n *Node) count() {
	usage, closed := n.frontend.Usage(time.Duration(n.Wall().UnixNano()), mustBe[*proxy.Machine](n.control).SealedBelow())
	n.apply(statemachine.Asked{Question: proxy.UsageCounted{Usage: usage, Closed: closed}})
}

// tick is dropped, not kept back, while the process stands still.
func (n *Node) tick() {
	if !n.frozen {
		n.apply(statemachine.Ticked{})
	}
}

// run does something in the process, now or when it wakes.
func (n *Node) run(life int, do func()) {
	switch {
	case !n.up || n.life != life:
	case n.frozen:
		if len(n.inbox) < inboxCap {
			n.inbox = append(n.inbox, do)
		}
	default:
		do()
	}
}

func (n *Node) arrive(from string, frame []byte) {
	life := n.life
	n.run(life, func() {
		msg, err := message.Decode(frame)
		if err != nil {
			n.world.fail("%s cannot read a frame: %v", n.name, err)
			return
		}
		n.world.mark("%s>%s %T %d", from, n.name, msg, len(frame))
		n.apply(statemachine.Arrived{From: from, Message: msg})
	})
}

func (n *Node) apply(command statemachine.Command) {
	n.env.Now, n.env.Wall = n.Now(), time.Duration(n.Wall().UnixNano())
	command.Apply(n.control, n.env)
	for _, effect := range n.env.Drain() {
		n.perform(effect)
	}
}

func (n *Node) perform(effect any) {
	life := n.life
	switch done := effect.(type) {
	case statemachine.Send:
		n.world.send(n, done.To, done.Message)
	case statemachine.Datagram:
		n.world.datagram(n, done.To, done.Message)
	case statemachine.Write:
		n.write(life, done)
	case statemachine.Reply:
		if reply := n.replies[done.RequestID]; reply != nil {
			delete(n.replies, done.RequestID)
			reply(done.Answer)
		}
	case statemachine.Publish:
		n.snapshot = mustBe[*proxy.Snapshot](done.Snapshot)
		n.tracker.UpdateSnapshot(n.snapshot)
	case statemachine.Event:
		n.logEvent(done)
	case statemachine.Probe:
		n.world.after(n.world.transit()*2, func() {
			owner := n.world.addresses[done.Address]
			n.run(life, func() {
				n.apply(statemachine.Asked{Question: proxy.Probed{
					Key:         done.Key,
					Incarnation: done.Incarnation,
					Answered:    owner != nil && owner.up,
				}})
			})
		})
	case statemachine.Report:
		report := mustBe[registry.UsageReport](done.Body)
		if n.Now() > report.Until {
			return
		}
		n.world.after(n.world.transit(), func() { n.world.collect(n, life, report) })
	}
}

// write models the disk's time; what is under way at a crash may be torn.
func (n *Node) write(life int, written statemachine.Write) {
	wait := n.slow + time.Duration(n.world.random.Int64N(int64(n.slow)+1))
	n.diskAt = max(n.diskAt, n.world.now) + wait
	n.underway = append(n.underway, written)
	machineLife := n.machineLife
	n.world.at(n.diskAt, func() {
		if !n.up || n.life != life || n.machineLife != machineLife {
			return
		}
		n.underway = n.underway[1:]
		failure := n.storeWrite(written)
		if failure != nil {
			n.recoverDisk(life)
		}
		n.run(life, func() { n.apply(statemachine.Synced{RequestID: written.RequestID, Failure: failure}) })
	})
}

// storeWrite hands a write to the store: a snapshot to keep, or a record for the log.
func (n *Node) storeWrite(written statemachine.Write) error {
	if written.Snapshot != nil {
		return n.store.Compact(written.Snapshot)
	}
	return n.store.Append([][]byte{written.Record})
}
func (n *Node) logEvent(done statemachine.Event) {
	n.world.mark("%s NOTE %s %d %s", n.name, done.EventName, done.Epoch, done.Cause)
	switch done.EventName {
	case "lease-taken":
		tag, _, _ := strings.Cut(done.Cause, " ")
		n.world.record.Keeping = append(n.world.record.Keeping, checker.Keeping{
			Tag:   tag,
			Voter: n.place(),
			Epoch: done.Epoch,
			At:    n.world.now,
		})
	case "voter-recovered":
		n.world.dangers["voters taken by an empty disk"]++
		n.world.recovered(n)
	case "voter-lost":
		n.world.dangers["voters lost to another machine"]++
	case "configuration-in-force":
		n.world.record.Forced = append(n.world.record.Forced, checker.Force{
			Node:       n.machine,
			ConfigName: done.Cause,
			Version:    done.Epoch,
			At:         n.world.now,
		})
	case "roster-change":
		tag, _, _ := strings.Cut(done.Cause, " ")
		n.world.record.Acts = append(n.world.record.Acts, checker.Keeping{Tag: tag, Voter: n.place(), Epoch: done.Epoch, At: n.world.now})
	}
}

// ask puts a question to the machine.
func (n *Node) request(question any, reply func(answer any)) {
	n.lastRequestID++
	requestID := n.lastRequestID
	n.replies[requestID] = reply
	n.run(n.life, func() { n.apply(statemachine.Asked{RequestID: requestID, Question: question}) })
}

// stopForGood ends the process politely, and its machine does not come back.
func (n *Node) stopForGood() {
	n.leaving = true
	n.stop(0)
}

// stop ends the process politely, as cli does on a signal: the others are told,
// what has not started is refused, the rest is finished, then it ends.
func (n *Node) stop(down time.Duration) {
	if !n.up || n.frozen {
		return
	}
	life, began := n.life, n.world.now
	n.world.mark("stop %s", n.name)
	n.stopping = true
	n.closeSpan()
	restart := func() {
		if n.up && n.life == life {
			if n.role == message.RoleProxy {
				n.world.record.Stopped = append(n.world.record.Stopped, checker.Span{Name: n.machine, From: began, To: n.world.now})
			}
			n.kill(false, n.leaving)
			n.retired = n.retired || n.leaving
			n.world.after(down, n.boot)
		}
	}
	switch n.role {
	case message.RoleProxy:
		n.apply(statemachine.Asked{Question: proxy.Stop{}})
		n.tracker.Drain()
		var wait func()
		wait = func() {
			running, queue := n.serving.Running()
			if n.up && n.life == life && (n.inside > 0 || running+queue > 0) && n.world.now-began < n.settings.Grace() {
				n.world.after(n.settings.TickEvery(), wait)
				return
			}
			n.world.after(n.settings.TickEvery(), restart)
		}
		n.world.after(n.settings.UpdatesEvery(), func() {
			n.deaf = true
			wait()
		})
	case message.RoleRegistry:
		n.request(registry.Stop{}, func(any) { n.world.after(n.settings.UpdatesEvery(), restart) })
	default:
		n.request(configstore.Stop{}, func(any) { n.world.after(n.settings.UpdatesEvery(), restart) })
	}
}

// kill ends the process hard; its disk forgets what was not synced.
func (n *Node) kill(hard, loseDisk bool) {
	if !n.up {
		return
	}
	n.closeSpan()
	n.up = false
	if n.frozen {
		n.world.record.Held = append(n.world.record.Held, checker.Span{Name: n.machine, From: n.frozenAt, To: n.world.now})
	}
	if hard {
		n.world.record.Hurt = append(n.world.record.Hurt, checker.Span{Name: n.machine, From: n.world.now, To: n.world.now})
	}
	if since, cut := n.world.cutSince[n.machine]; cut && n.role == message.RoleProxy {
		// What it counted while cut off died with it, untold.
		n.world.record.Untold = append(n.world.record.Untold, checker.Span{
			Name: n.machine,
			From: since - 200*time.Millisecond,
			To:   n.world.now,
		})
	}
	n.world.mark("kill %s", n.name)
	if len(n.underway) > 0 && !n.disk.fail {
		// What the disk was at is done up to some step: written, synced, named.
		n.disk.steps = n.world.random.IntN(7)
		// The disk stops at that step, so the failure is what is wanted.
		_ = n.storeWrite(n.underway[0])
		n.world.dangers["kills in the middle of a write"]++
	}
	n.underway = nil
	n.disk.Crash(n.world.random)
	if loseDisk {
		n.wiped = true
		n.disk = NewDisk()
	}
	for _, connection := range n.connections {
		connection.closed = true
	}
	n.connections = nil
	n.world.connectionsLost(n)
}

// wasFrozen says that the process stood still at some time since.
func (n *Node) wasFrozen(since time.Duration) bool { return n.frozenAt >= since }

func (n *Node) freeze() {
	if n.up && !n.frozen {
		n.closeSpan()
		n.frozen, n.frozenAt = true, n.world.now
		n.world.mark("freeze %s", n.name)
	}
}

func (n *Node) wake() {
	if !n.up || !n.frozen {
		return
	}
	n.frozen = false
	n.world.record.Held = append(n.world.record.Held, checker.Span{Name: n.machine, From: n.frozenAt, To: n.world.now})
	n.world.mark("wake %s", n.name)
	n.openSpan()
	held := n.inbox
	n.inbox = nil
	for _, do := range held {
		do()
	}
}

func (n *Node) openSpan() { n.spanAt, n.spanOn = n.world.now, !n.world.cutOff(n.machine) }

func (n *Node) closeSpan() {
	if n.spanOn && n.role == message.RoleProxy {
		n.world.record.Up = append(n.world.record.Up, checker.Span{Name: n.machine, From: n.spanAt, To: n.world.now, Born: n.born})
	}
	n.spanOn = false
}

// environment is the desk's port in the simulator, for one life of a proxy.
type environment struct {
	node *Node
	life int
}

// Now returns the simulated process clock.
func (b *environment) Now() time.Duration { return b.node.Now() }

// Wall returns the simulated time of day.
func (b *environment) Wall() time.Time { return b.node.Wall() }

// Random returns the random source of the run.
func (b *environment) Random() *rand.Rand { return b.node.world.random }

// Notify hands a notice to the control machine.
func (b *environment) Notify(notice any) { b.node.apply(statemachine.Asked{Question: notice}) }

// Enqueue passes an item to its stage a moment later, as the workers would.
func (b *environment) Enqueue(env frontend.Stage, item any) bool {
	n := b.node
	n.world.after(20*time.Microsecond, func() {
		n.run(b.life, func() {
			switch env {
			case frontend.StageAdmit:
				n.tracker.Admit(mustBe[*frontend.PendingRequest](item))
			case frontend.StageSelect:
				trip := mustBe[*frontend.PendingRequest](item)
				before := trip.Request.Attempts
				n.tracker.SelectUpstream(trip)
				if trip.Request.Attempts > before {
					n.world.record.Attempts = append(n.world.record.Attempts, checker.Attempt{
						Service: trip.Request.Route.Service,
						At:      n.world.now,
						Again:   before > 0,
					})
				}
			case frontend.StageOutcome:
				n.tracker.HandleOutcome(mustBe[frontend.AttemptOutcome](item))
			case frontend.StageStart:
				n.call(b.life, mustBe[backend.Decision](item))
			}
		})
	})
	return true
}

// Cancel does nothing: the simulator's callers don't hang up, and what they give up at its
// deadline the upstream gives up by itself.
func (b *environment) Cancel(string) {}

// Backlog is none: the links of the simulator have no width.
func (b *environment) Backlog() time.Duration { return 0 }

// After calls a function at a later time.
func (b *environment) After(wait time.Duration, then func()) {
	b.node.world.after(b.node.trueWait(wait), func() { b.node.run(b.life, then) })
}

// simConnection is a traffic connection between two proxies.
type simConnection struct {
	from, to *Node
	lifeFrom int
	lifeTo   int
	attached bool
	closed   bool
	queue    []any
	received func(msg any)
	broke    func(connection frontend.Connection)
	lastTo   time.Duration
	lastBack time.Duration
}

// Open opens a simulated connection to a serving proxy.
func (b *environment) Open(servingProxy string, received func(msg any), closed func(connection frontend.Connection)) frontend.Connection {
	n := b.node
	connection := &simConnection{from: n, lifeFrom: b.life, received: received, broke: closed}
	n.connections = append(n.connections, connection)
	target, found := n.world.byAddress[servingProxy]
	n.world.after(n.world.transit()*2, func() { connection.dialled(target, found) })
	return connection
}

func (s *simConnection) dialled(target *Node, found bool) {
	w := s.from.world
	switch {
	case s.closed:
	case !found || !target.up:
		s.drop()
	case !w.linked(s.from, target) || !w.linked(target, s.from) || target.frozen:
		// Nothing answers: the dial times out. A frozen machine's kernel still takes
		// connections, which the next case covers for short freezes.
		if target.frozen {
			s.attach(target)
			return
		}
		w.after(s.from.settings.ConnectionDial(), s.drop)
	default:
		s.attach(target)
	}
}

func (s *simConnection) attach(target *Node) {
	s.to, s.lifeTo, s.attached = target, target.life, true
	for _, msg := range s.queue {
		s.forward(msg)
	}
	s.queue = nil
}

// drop closes the connection; the opener sees that at once, but is told of it a little
// later, as threads would have it: ends of several connections may be told in any order.
func (s *simConnection) drop() {
	if s.closed {
		return
	}
	s.closed = true
	w := s.from.world
	w.after(time.Duration(w.random.Int64N(int64(20*time.Millisecond))), func() { s.from.run(s.lifeFrom, func() { s.broke(s) }) })
}

// Broken says whether the connection has ended.
func (s *simConnection) Broken() bool { return s.closed }

// Attached says whether the connection was made.
func (s *simConnection) Attached() bool { return s.attached }

// Close ends the connection.
func (s *simConnection) Close() { s.closed = true }

// Post sends a message.
func (s *simConnection) Post(msg any) error {
	if s.closed {
		return errcode.Wrap("simulation.post", errcode.ConnectionLost, nil)
	}
	if !s.attached {
		s.queue = append(s.queue, msg)
		return nil
	}
	s.forward(msg)
	return nil
}

func (s *simConnection) forward(msg any) {
	w := s.from.world
	arrival := max(w.now+w.transit(), s.lastTo)
	s.lastTo = arrival
	s.deliverLater(arrival, s.from, s.to, s.lifeTo, func() {
		s.to.tracker.HandleFrame(reread(msg), func(reply any) error {
			if s.closed {
				return errcode.Wrap("simulation.back", errcode.ConnectionLost, nil)
			}
			back := max(w.now+w.transit(), s.lastBack)
			s.lastBack = back
			s.deliverLater(back, s.to, s.from, s.lifeFrom, func() { s.received(reread(reply)) })
			return nil
		})
	})
}

// deliverLater delivers along the connection; a cut holds it up, a long one breaks the connection.
func (s *simConnection) deliverLater(arrival time.Duration, from, to *Node, life int, do func()) {
	w := s.from.world
	tries := 0
	var deliver func()
	deliver = func() {
		if s.closed || !to.up || to.life != life {
			return
		}
		if !w.linked(from, to) {
			tries++
			if tries > 25 {
				s.drop()
				return
			}
			w.after(200*time.Millisecond, deliver)
			return
		}
		to.run(life, do)
	}
	w.at(arrival, deliver)
}

// reread passes a message through the encoding, as the real connection does.
func reread(msg any) any {
	frame, err := message.Encode(msg)
	if err != nil {
		panic(fmt.Sprintf("simulation: %T: %v", msg, err))
	}
	decoded, err := message.Decode(frame)
	if err != nil {
		panic(fmt.Sprintf("simulation: %T: %v", msg, err))
	}
	return decoded
}

// connectionsLost breaks the connections that led to a node that ended.
func (w *World) connectionsLost(ended *Node) {
	for _, name := range w.order {
		nodeName := w.nodes[name]
		if _, spoke := w.lastAt[nodeName.address()+">"+ended.address()]; spoke && nodeName != ended && w.linked(ended, nodeName) {
			life := nodeName.life
			w.after(w.transit(), func() {
				nodeName.run(life, func() {
					nodeName.apply(statemachine.Asked{Question: statemachine.ConnectionBroke{Address: ended.address()}})
				})
			})
		}
		for _, connection := range nodeName.connections {
			if connection.to == ended && connection.attached && !connection.closed {
				lost := connection
				var tell func()
				tell = func() {
					// The end of a connection can't be heard through a cut.
					if !w.linked(ended, lost.from) {
						w.after(200*time.Millisecond, tell)
						return
					}
					lost.drop()
				}
				w.after(w.transit(), tell)
			}
		}
	}
}
