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

const maxInboxLength = 20000

// Node is one simulated process: the product's state machine with its own clock and disk, and for a
// proxy its frontend and backend. A frozen node handles nothing while its clock runs on; what
// arrived meanwhile waits in its inbox.
type Node struct {
	process
	diskState
	proxyState
	world         *World
	name          string
	role          string
	machine       string // processes of one machine fail and are cut together
	settings      settings.Settings
	clock         processClock
	control       statemachine.Machine
	env           *statemachine.Env
	replies       map[int64]func(answer any)
	lastRequestID int64
}

// process is whether and since when the process runs, and what waits while it is frozen.
type process struct {
	up               bool
	frozen           bool
	frozenAt         time.Duration
	inbox            []func() // arrivals while it is frozen
	incarnation      int      // grows with each boot
	startedAt        time.Duration
	stopping         bool
	decommissioned   bool          // it is once the process has ended
	retired          bool          // its machine was taken away for good
	serviceSpanStart time.Duration // begin of the span of service that is open, if spanOn
	serviceSpanOpen  bool
}

// disks is the disk of a process of the core, its store, and the writes that wait for the disk.
type diskState struct {
	disk               *Disk
	diskLost           bool // at least once
	store              *storage.Store
	machineIncarnation int  // grows when the state machine is built, also without a new process
	recovering         bool // the disk has refused a write; the state machine is built anew once it works

	pendingWrites   []statemachine.Write
	diskIdleAt      time.Duration
	writeDelay      time.Duration
	writeDelayUntil time.Duration
}

// proxyParts is what only a proxy has: the product's frontend and backend, and its connections.
type proxyState struct {
	dispatcher         *frontend.Dispatcher
	frontend           *frontend.Frontend
	backend            *backend.Backend
	snapshot           *proxy.Snapshot
	connections        []*simConnection
	connectionPools    map[backend.Target][]upstreamConnection
	guardConnections   map[backend.Target]upstreamConnection
	unansweredRequests int  // callers' requests not answered yet
	listenerClosed     bool // takes no new requests
}

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

// voterName names the voter in the record: the settings' one, or the machine.
func (n *Node) voterName() string {
	if n.settings.Voter != "" {
		return n.settings.Voter
	}
	return n.machine
}

func (n *Node) address() string { return n.settings.Address }

// every does something in a steady rhythm of the node's clock, until the process restarts.
func (n *Node) every(incarnation int, wait time.Duration, do func()) {
	n.world.after(n.trueWait(wait), func() {
		if n.up && n.incarnation == incarnation {
			do()
			n.every(incarnation, wait, do)
		}
	})
}

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

func (n *Node) reportUsage() {
	usage, closed := n.frontend.Usage(time.Duration(n.Wall().UnixNano()), mustCast[*proxy.Machine](n.control).SealedBelow())
	n.apply(statemachine.LocalRequest{Request: proxy.UsageCounted{Usage: usage, Closed: closed}})
}

// tick is dropped, not kept back, while the process stands still.
func (n *Node) tick() {
	if !n.frozen {
		n.apply(statemachine.Ticked{})
	}
}

// run does something in the process, now or when it wakes.
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

func (n *Node) receive(from string, frame []byte) {
	incarnation := n.incarnation
	n.run(incarnation, func() {
		msg, err := message.Decode(frame)
		if err != nil {
			n.world.fail("%s cannot read a frame: %v", n.name, err)
			return
		}
		n.world.traceEvent("%s>%s %T %d", from, n.name, msg, len(frame))
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
