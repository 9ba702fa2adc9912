package simulation

import (
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/frontend"
	"beaconvane/internal/message"
	"beaconvane/internal/proxy"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
)

// maxInboxLength is the number of arrivals that a frozen process queues; further ones are dropped.
const maxInboxLength = 20000

// Node is one simulated process: the product's state machine with its own clock and disk, and for a
// proxy also its frontend and backend. A frozen node handles no events while its clock continues;
// arrivals wait in its inbox until it resumes.
type Node struct {
	process
	diskState
	proxyState
	world         *World
	name          string
	role          string
	machine       string // processes of one machine crash and are partitioned together
	settings      settings.Settings
	clock         processClock
	control       statemachine.Machine
	env           *statemachine.Env
	replies       map[int64]func(answer any)
	lastRequestID int64
}

// process is the running state of a process.
type process struct {
	up               bool
	frozen           bool
	frozenAt         time.Duration
	inbox            []func() // callbacks that arrived while it was frozen
	incarnation      int      // incremented at each boot
	startedAt        time.Duration
	stopping         bool
	decommissioned   bool          // the machine is retired once the process has ended
	retired          bool          // the machine has been removed permanently
	serviceSpanStart time.Duration // start of the current span of service, if serviceSpanOpen
	serviceSpanOpen  bool
}

// diskState is the disk of a core process, its store, and the writes that wait for the disk.
type diskState struct {
	disk               *Disk
	diskLost           bool // the disk has been lost at least once
	store              *storage.Store
	machineIncarnation int  // incremented when the state machine is built, also within one process
	recovering         bool // the disk has refused a write; the state machine is rebuilt once the disk accepts writes

	pendingWrites   []statemachine.Write
	diskIdleAt      time.Duration
	writeDelay      time.Duration
	writeDelayUntil time.Duration
}

// proxyState is the state that only a proxy has: the product's frontend and backend, and its connections.
type proxyState struct {
	dispatcher       *frontend.Dispatcher
	frontend         *frontend.Frontend
	backend          *backend.Backend
	snapshot         *proxy.Snapshot
	connections      []*simConnection
	connectionPools  map[backend.Target][]upstreamConnection
	guardConnections map[backend.Target]upstreamConnection
	inFlight         int  // callers' requests in flight
	listenerClosed   bool // accepts no new requests
}

// addNode adds a node that isn't running yet, with a random clock drift and wall-clock offset.
func (w *World) addNode(role, machine, voter, zone, address string, seeds []string) *Node {
	cfg := w.options.Deployment.Settings(role, machine, voter, zone, address, address, seeds, "data")
	cfg.Collector = "http://collector/"
	node := &Node{
		world:     w,
		name:      role + "/" + machine,
		role:      role,
		machine:   machine,
		settings:  cfg,
		diskState: diskState{disk: NewDisk(), writeDelay: w.options.Deployment.DiskDelay},
		clock: processClock{
			drift:      (w.random.Float64() - 0.5) * 0.002,
			wallOffset: time.Duration(w.random.Int64N(int64(60*time.Millisecond))) - 30*time.Millisecond,
		},
		replies: map[int64]func(any){},
	}
	w.nodes[node.name] = node
	w.nodeOrder = append(w.nodeOrder, node.name)
	w.nodeByAddress[address] = node
	return node
}

// voterName returns the node's voter name in the record: the one in its settings, or else its machine's name.
func (n *Node) voterName() string {
	if n.settings.Voter != "" {
		return n.settings.Voter
	}
	return n.machine
}

// address returns the node's control address.
func (n *Node) address() string { return n.settings.Address }

// every calls a function periodically by the node's clock, until the process ends.
func (n *Node) every(incarnation int, wait time.Duration, do func()) {
	n.world.after(n.trueWait(wait), func() {
		if n.up && n.incarnation == incarnation {
			do()
			n.every(incarnation, wait, do)
		}
	})
}

// sweepConnections expires requests and drops connections to upstreams that are closed or no longer usable.
func (n *Node) sweepConnections() {
	n.dispatcher.Expire()
	for target := range n.connectionPools {
		if !n.backend.ConnectionsUsable(n.Now(), target) {
			delete(n.connectionPools, target)
		}
	}
	for target, guard := range n.guardConnections {
		if !guard.idle() {
			n.backend.RecordConnectionLoss(n.Now(), target)
			delete(n.guardConnections, target)
		}
	}
}

// reportUsage passes the frontend's usage counts to the proxy's state machine.
func (n *Node) reportUsage() {
	usage, closed := n.frontend.Usage(time.Duration(n.Wall().UnixNano()), mustCast[*proxy.Machine](n.control).SealedBelow())
	n.apply(statemachine.LocalRequest{Request: proxy.UsageCounted{Usage: usage, Closed: closed}})
}

// tick advances the state machine. Ticks of a frozen process are dropped, not queued.
func (n *Node) tick() {
	if !n.frozen {
		n.apply(statemachine.Ticked{})
	}
}

// run calls a function in the process: now, or when a frozen process resumes. It does nothing if the
// incarnation has ended or the inbox is full.
func (n *Node) run(incarnation int, do func()) {
	switch {
	case !n.up || n.incarnation != incarnation:
	case n.frozen:
		if len(n.inbox) < maxInboxLength {
			n.inbox = append(n.inbox, do)
		}
	default:
		do()
	}
}

// receive decodes a frame and passes the message to the state machine.
func (n *Node) receive(from string, frame []byte) {
	incarnation := n.incarnation
	n.run(incarnation, func() {
		msg, err := message.Decode(frame)
		if err != nil {
			n.world.fail("%s failed to decode a frame: %v", n.name, err)
			return
		}
		n.world.traceEvent("%s>%s %T %d", from, n.name, msg, len(frame))
		n.apply(statemachine.Arrived{From: from, Message: msg})
	})
}

// apply applies a command to the state machine at the node's time and performs the effects.
func (n *Node) apply(command statemachine.Command) {
	n.env.Now, n.env.Wall = n.Now(), time.Duration(n.Wall().UnixNano())
	command.Apply(n.control, n.env)
	for _, effect := range n.env.Drain() {
		n.perform(effect)
	}
}
