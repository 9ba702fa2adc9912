// This file is a simulated process: a real machine with its stage, its own clock, its
// disk, and for a usher the real desk, foyer and greenroom. A frozen node takes
// nothing and its clock runs on; what came meanwhile is there when it wakes.
package rehearsal

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"beaconvane/internal/callboard"
	"beaconvane/internal/critic"
	"beaconvane/internal/cue"
	"beaconvane/internal/foyer"
	"beaconvane/internal/greenroom"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/promptbook"
	"beaconvane/internal/repertoire"
	"beaconvane/internal/script"
	"beaconvane/internal/usher"
	"beaconvane/internal/wardrobe"
)

const inboxCap = 20000

// Node is one simulated process.
type Node struct {
	world   *World
	name    string
	role    string
	machine string // processes of one machine fail and are cut together
	config  playbill.Config
	up      bool
	frozen  bool
	life    int
	drift   float64 // clock rate less 1
	wallOff time.Duration
	bootAt  time.Duration
	inbox   []func()

	control cue.Machine
	stage   *cue.Stage
	disk    *Disk
	store   *wardrobe.Store
	slow    time.Duration
	diskAt  time.Duration

	underway []cue.Write

	desk    *foyer.Desk
	foyer   *foyer.Foyer
	room    *greenroom.Greenroom
	view    *usher.View
	wires   []*simWire
	pools   map[greenroom.Target][]upWire
	guards  map[greenroom.Target]upWire
	replies map[int64]func(answer any)
	tickets int64
	born    time.Duration
	spanAt  time.Duration

	frozenAt  time.Duration
	slowUntil time.Duration
	inside    int // callers' queries not answered yet
	stopping  bool
	retired   bool // its machine was taken away for good
	deaf      bool // takes no new queries: its listener is closed
	spanOn    bool
}

func (w *World) build() {
	d := w.options.Deployment
	seeds := []string{}
	for index := range repertoire.Seats {
		seeds = append(seeds, fmt.Sprintf("10.1.0.%d:7400", index+1))
	}
	for index, seat := range d.CoreNames() {
		district := d.Districts[index%len(d.Districts)]
		host := fmt.Sprintf("10.1.0.%d", index+1)
		w.addNode(script.RoleCallboard, seat, seat, district, host+":7400", seeds)
		w.addNode(script.RolePromptbook, seat, seat, district, host+":7500", seeds)
	}
	for number := range d.Ushers {
		w.addNode(script.RoleUsher, fmt.Sprintf("edge-%d", number+1), "", d.Districts[number%len(d.Districts)], fmt.Sprintf("10.2.0.%d:7400", number+1), seeds)
	}
	number := 0
	for _, service := range d.Services {
		for index := range service.Count {
			w.addUpstream(service, index, number)
			number++
		}
	}
}

func (w *World) addNode(role, machine, seat, district, address string, seeds []string) *Node {
	config := w.options.Deployment.Config(role, machine, seat, district, address, address, seeds, "data")
	config.Collector = "http://collector/"
	node := &Node{world: w, name: role + "/" + machine, role: role, machine: machine, config: config, disk: NewDisk(),
		drift: (w.dice.Float64() - 0.5) * 0.002, wallOff: time.Duration(w.dice.Int64N(int64(60*time.Millisecond))) - 30*time.Millisecond,
		slow: w.options.Deployment.DiskDelay, replies: map[int64]func(any){}}
	w.nodes[node.name] = node
	w.order = append(w.order, node.name)
	w.byAddress[address] = node
	return node
}

// place names the seat in the record: the settings' one, or the machine.
func (n *Node) place() string {
	if n.config.Seat != "" {
		return n.config.Seat
	}
	return n.machine
}

func (n *Node) address() string { return n.config.Address }

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
		n.config.Found = false
	}
	n.up, n.frozen, n.bootAt, n.inbox, n.diskAt, n.underway = true, false, n.world.now, nil, 0, nil
	n.inside, n.deaf, n.stopping = 0, false, false
	n.stage = cue.NewStage(n.world.dice.Uint64())
	n.replies = map[int64]func(any){}
	self := script.Member{Name: n.name, Role: n.role, Seat: n.config.Seat, District: n.config.District, Address: n.config.Address,
		Outside: n.config.Outside, Birth: int64(epoch + n.world.now + n.wallOff)}
	n.born = n.world.now
	var err error
	switch n.role {
	case script.RoleUsher:
		n.bootUsher(self)
	default:
		var view []byte
		var records [][]byte
		n.store, view, records, err = wardrobe.Open(n.disk)
		if err == nil && n.role == script.RoleCallboard {
			n.control, err = callboard.New(n.config, self, view, records)
		} else if err == nil {
			n.control, err = promptbook.New(n.config, self, view, records)
		}
	}
	if err != nil {
		n.world.fail("%s does not boot: %v", n.name, err)
		n.up = false
		return
	}
	n.world.mark("boot %s", n.name)
	n.openSpan()
	n.every(n.life, n.config.TickEvery(), n.tick)
}

func (n *Node) bootUsher(self script.Member) {
	n.pools, n.guards, n.wires, n.view = map[greenroom.Target][]upWire{}, map[greenroom.Target]upWire{}, nil, nil
	n.room = greenroom.New(n.config, func(carry script.Carry) notice.Code { return n.foyer.Allowed(carry) })
	n.room.UsePasses(func() string { return strconv.FormatUint(n.world.dice.Uint64(), 36) })
	n.foyer = foyer.New(n.config, n.room.PassOf)
	n.control = usher.New(n.config, self)
	n.desk = foyer.NewDesk(n.config, n.foyer, n.room, &backstage{n, n.life}, self)
	life := n.life
	n.every(life, n.config.NewsEvery()/4, func() { n.run(life, n.sweep) })
	n.every(life, n.config.CountEvery(), func() { n.run(life, n.count) })
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
	n.desk.Expire()
	for target := range n.pools {
		if !n.room.Usable(n.Now(), target) {
			delete(n.pools, target)
		}
	}
	for target, guard := range n.guards {
		if !guard.quiet() {
			n.room.Broke(n.Now(), target)
			delete(n.guards, target)
		}
	}
}

func (n *Node) count() {
	usage, closed := n.foyer.Usage(time.Duration(n.Wall().UnixNano()), n.control.(*usher.Machine).SealedBelow())
	n.apply(cue.Asked{Question: usher.Counted{Usage: usage, Closed: closed}})
}

// tick is dropped, not kept back, while the process stands still.
func (n *Node) tick() {
	if !n.frozen {
		n.apply(cue.Ticked{})
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
		message, err := script.Decode(frame)
		if err != nil {
			n.world.fail("%s cannot read a frame: %v", n.name, err)
			return
		}
		n.world.mark("%s>%s %T %d", from, n.name, message, len(frame))
		n.apply(cue.Arrived{From: from, Message: message})
	})
}

func (n *Node) apply(command cue.Command) {
	n.stage.Now, n.stage.Wall = n.Now(), time.Duration(n.Wall().UnixNano())
	command.Apply(n.control, n.stage)
	for _, effect := range n.stage.Drain() {
		n.perform(effect)
	}
}

func (n *Node) perform(effect any) {
	life := n.life
	switch done := effect.(type) {
	case cue.Send:
		n.world.send(n, done.To, done.Message)
	case cue.Datagram:
		n.world.datagram(n, done.To, done.Message)
	case cue.Write:
		n.write(life, done)
	case cue.Reply:
		if reply := n.replies[done.Ticket]; reply != nil {
			delete(n.replies, done.Ticket)
			reply(done.Answer)
		}
	case cue.Publish:
		n.view = done.View.(*usher.View)
		n.desk.Show(n.view)
	case cue.Note:
		n.note(done)
	case cue.Probe:
		n.world.after(n.world.transit()*2, func() {
			owner := n.world.addresses[done.Address]
			n.run(life, func() {
				n.apply(cue.Asked{Question: usher.Probed{Key: done.Key, Incarnation: done.Incarnation, Answered: owner != nil && owner.up}})
			})
		})
	case cue.Report:
		report := done.Body.(callboard.Report)
		if n.Now() > report.Until {
			return
		}
		n.world.after(n.world.transit(), func() { n.world.collect(n, life, report) })
	}
}

// write models the disk's time; what is under way at a crash may be torn.
func (n *Node) write(life int, written cue.Write) {
	wait := n.slow + time.Duration(n.world.dice.Int64N(int64(n.slow)+1))
	n.diskAt = max(n.diskAt, n.world.now) + wait
	n.underway = append(n.underway, written)
	n.world.at(n.diskAt, func() {
		if !n.up || n.life != life {
			return
		}
		n.underway = n.underway[1:]
		var failure error
		if written.View != nil {
			failure = n.store.Compact(written.View)
		} else {
			failure = n.store.Append([][]byte{written.Record})
		}
		n.run(life, func() { n.apply(cue.Synced{Ticket: written.Ticket, Failure: failure}) })
	})
}

func (n *Node) note(done cue.Note) {
	n.world.mark("%s NOTE %s %d %s", n.name, done.Deed, done.Epoch, done.Cause)
	switch done.Deed {
	case "tenure-taken":
		tag, _, _ := strings.Cut(done.Cause, " ")
		n.world.record.Keeping = append(n.world.record.Keeping, critic.Keeping{Tag: tag, Seat: n.place(), Epoch: done.Epoch, At: n.world.now})
	case "seat-recovered":
		n.world.dangers["seats taken by an empty disk"]++
	case "seat-lost":
		n.world.dangers["seats lost to another machine"]++
	case "layout-in-force":
		n.world.record.Forced = append(n.world.record.Forced, critic.Force{Node: n.machine, Sheet: done.Cause, Version: done.Epoch, At: n.world.now})
	case "roster-change":
		tag, _, _ := strings.Cut(done.Cause, " ")
		n.world.record.Acts = append(n.world.record.Acts, critic.Keeping{Tag: tag, Seat: n.place(), Epoch: done.Epoch, At: n.world.now})
	}
}

// ask puts a question to the machine.
func (n *Node) ask(question any, reply func(answer any)) {
	n.tickets++
	ticket := n.tickets
	n.replies[ticket] = reply
	n.run(n.life, func() { n.apply(cue.Asked{Ticket: ticket, Question: question}) })
}

// stop ends the process politely, as marquee does on a signal: the others are told,
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
			if n.role == script.RoleUsher {
				n.world.record.Stopped = append(n.world.record.Stopped, critic.Span{Name: n.machine, From: began, To: n.world.now})
			}
			n.kill(false, false)
			n.world.after(down, n.boot)
		}
	}
	switch n.role {
	case script.RoleUsher:
		n.apply(cue.Asked{Question: usher.Stop{}})
		n.desk.Leave()
		var wait func()
		wait = func() {
			running, pending := n.room.Running()
			if n.up && n.life == life && (n.inside > 0 || running+pending > 0) && n.world.now-began < n.config.Grace() {
				n.world.after(n.config.TickEvery(), wait)
				return
			}
			n.world.after(n.config.TickEvery(), restart)
		}
		n.world.after(n.config.NewsEvery(), func() {
			n.deaf = true
			wait()
		})
	case script.RoleCallboard:
		n.ask(callboard.Stop{}, func(any) {})
		n.world.after(n.config.NewsEvery(), restart)
	default:
		n.ask(promptbook.Stop{}, func(any) {})
		n.world.after(n.config.NewsEvery(), restart)
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
		n.world.record.Held = append(n.world.record.Held, critic.Span{Name: n.machine, From: n.frozenAt, To: n.world.now})
	}
	if hard {
		n.world.record.Hurt = append(n.world.record.Hurt, critic.Span{Name: n.machine, From: n.world.now, To: n.world.now})
	}
	if since, cut := n.world.cutSince[n.machine]; cut && n.role == script.RoleUsher {
		// What it counted while cut off died with it, untold.
		n.world.record.Untold = append(n.world.record.Untold, critic.Span{Name: n.machine, From: since - 200*time.Millisecond, To: n.world.now})
	}
	n.world.mark("kill %s", n.name)
	if len(n.underway) > 0 && !n.disk.fail {
		// What the disk was at is done up to some step: written, synced, named.
		n.disk.steps = n.world.dice.IntN(7)
		if written := n.underway[0]; written.View != nil {
			n.store.Compact(written.View)
		} else {
			n.store.Append([][]byte{written.Record})
		}
		n.world.dangers["kills in the middle of a write"]++
	}
	n.underway = nil
	n.disk.Crash(n.world.dice)
	if loseDisk {
		n.disk = NewDisk()
	}
	for _, wire := range n.wires {
		wire.closed = true
	}
	n.wires = nil
	n.world.wiresLost(n)
}

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
	n.world.record.Held = append(n.world.record.Held, critic.Span{Name: n.machine, From: n.frozenAt, To: n.world.now})
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
	if n.spanOn && n.role == script.RoleUsher {
		n.world.record.Up = append(n.world.record.Up, critic.Span{Name: n.machine, From: n.spanAt, To: n.world.now, Born: n.born})
	}
	n.spanOn = false
}

// backstage is the desk's port in the simulator, for one life of a usher.
type backstage struct {
	node *Node
	life int
}

func (b *backstage) Now() time.Duration { return b.node.Now() }
func (b *backstage) Wall() time.Time    { return b.node.Wall() }
func (b *backstage) Dice() *rand.Rand   { return b.node.world.dice }

func (b *backstage) Tell(tidings any) { b.node.apply(cue.Asked{Question: tidings}) }

// Queue passes an item to its stage a moment later, as the workers would.
func (b *backstage) Queue(stage foyer.Stage, item any) bool {
	n := b.node
	n.world.after(20*time.Microsecond, func() {
		n.run(b.life, func() {
			switch stage {
			case foyer.StageGate:
				n.desk.Gate(item.(*foyer.Trip))
			case foyer.StageChoose:
				going := item.(*foyer.Trip)
				before := going.Query.Attempts
				n.desk.Choose(going)
				if going.Query.Attempts > before {
					n.world.record.Attempts = append(n.world.record.Attempts, critic.Attempt{Service: going.Query.Route.Service, At: n.world.now, Again: before > 0})
				}
			case foyer.StageJudge:
				n.desk.Judge(item.(foyer.Judged))
			case foyer.StageStart:
				n.call(b.life, item.(greenroom.Order))
			}
		})
	})
	return true
}

func (b *backstage) After(wait time.Duration, then func()) {
	b.node.world.after(b.node.trueWait(wait), func() { b.node.run(b.life, then) })
}

// simWire is a traffic wire between two ushers.
type simWire struct {
	from, to *Node
	lifeFrom int
	lifeTo   int
	attached bool
	closed   bool
	pending  []any
	heard    func(message any)
	broke    func(wire foyer.Wire)
	lastTo   time.Duration
	lastBack time.Duration
}

func (b *backstage) Open(home string, heard func(message any), closed func(wire foyer.Wire)) foyer.Wire {
	n := b.node
	wire := &simWire{from: n, lifeFrom: b.life, heard: heard, broke: closed}
	n.wires = append(n.wires, wire)
	target, found := n.world.byAddress[home]
	n.world.after(n.world.transit()*2, func() { wire.dialled(target, found) })
	return wire
}

func (s *simWire) dialled(target *Node, found bool) {
	w := s.from.world
	switch {
	case s.closed:
	case !found || !target.up:
		s.drop()
	case !w.linked(s.from, target) || !w.linked(target, s.from) || target.frozen:
		// Nothing answers: the dial times out. A frozen machine's kernel still takes
		// wires, which the next case covers for short freezes.
		if target.frozen {
			s.attach(target)
			return
		}
		w.after(s.from.config.WireDial(), s.drop)
	default:
		s.attach(target)
	}
}

func (s *simWire) attach(target *Node) {
	s.to, s.lifeTo, s.attached = target, target.life, true
	for _, message := range s.pending {
		s.forward(message)
	}
	s.pending = nil
}

// drop closes the wire; the opener sees that at once, but is told of it a little
// later, as threads would have it: ends of several wires may be told in any order.
func (s *simWire) drop() {
	if s.closed {
		return
	}
	s.closed = true
	w := s.from.world
	w.after(time.Duration(w.dice.Int64N(int64(20*time.Millisecond))), func() { s.from.run(s.lifeFrom, func() { s.broke(s) }) })
}

func (s *simWire) Broken() bool   { return s.closed }
func (s *simWire) Attached() bool { return s.attached }
func (s *simWire) Close()         { s.closed = true }

func (s *simWire) Post(message any) error {
	if s.closed {
		return notice.Wrap("rehearsal.post", notice.WireLost, nil)
	}
	if !s.attached {
		s.pending = append(s.pending, message)
		return nil
	}
	s.forward(message)
	return nil
}

func (s *simWire) forward(message any) {
	w := s.from.world
	arrival := max(w.now+w.transit(), s.lastTo)
	s.lastTo = arrival
	s.carry(arrival, s.from, s.to, s.lifeTo, func() {
		s.to.desk.Inbound(reread(message), func(reply any) error {
			if s.closed {
				return notice.Wrap("rehearsal.back", notice.WireLost, nil)
			}
			back := max(w.now+w.transit(), s.lastBack)
			s.lastBack = back
			s.carry(back, s.to, s.from, s.lifeFrom, func() { s.heard(reread(reply)) })
			return nil
		})
	})
}

// carry delivers along the wire; a cut holds it up, a long one breaks the wire.
func (s *simWire) carry(arrival time.Duration, from, to *Node, life int, do func()) {
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

// reread passes a message through the encoding, as the real wire does.
func reread(message any) any {
	frame, err := script.Encode(message)
	if err != nil {
		panic(fmt.Sprintf("rehearsal: %T: %v", message, err))
	}
	decoded, err := script.Decode(frame)
	if err != nil {
		panic(fmt.Sprintf("rehearsal: %T: %v", message, err))
	}
	return decoded
}

// wiresLost breaks the wires that led to a node that ended.
func (w *World) wiresLost(ended *Node) {
	for _, name := range w.order {
		node := w.nodes[name]
		if _, spoke := w.lastAt[node.address()+">"+ended.address()]; spoke && node != ended && w.linked(ended, node) {
			life := node.life
			w.after(w.transit(), func() {
				node.run(life, func() { node.apply(cue.Asked{Question: cue.WireBroke{Address: ended.address()}}) })
			})
		}
		for _, wire := range node.wires {
			if wire.to == ended && wire.attached && !wire.closed {
				lost := wire
				var tell func()
				tell = func() {
					// The end of a wire can't be heard through a cut.
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
