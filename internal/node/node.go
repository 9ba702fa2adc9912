// Package node runs a state machine as a process. One control goroutine applies commands to the machine and
// performs the effects that it returns: messages to other processes, writes to disk, and replies to local
// requests. The node also maintains the journal of the machine's events, the counters of the process, and
// the log of JSON lines.
//
// Ownership: only the control goroutine accesses the machine and its random source, and only the disk
// goroutine accesses the files. All other state is atomic or guarded by the lock of its own type.
package node

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
	"beaconvane/internal/transport"
)

const (
	maxQueuedCommands = 4096  // queue length of the control goroutine
	maxQueuedWrites   = 16384 // queue length of the disk goroutine
)

// Node is a process that runs a machine, with its transport and its storage.
type Node struct {
	Settings  settings.Settings
	Group     *goroutine.Group
	Log       logr.Logger
	Transport *transport.Transport // nil before Run

	machine   statemachine.Machine
	commands  chan statemachine.Command
	publish   func(snapshot any)
	peerFrame PeerFrameHandler

	writes       chan *statemachine.Write
	store        *storage.Store
	directory    storage.Directory
	build        Build // nil if the machine's state is not stored on disk
	replacements chan replacement

	requests *pendingRequests
	journal  *journal
	counters *counters
	load     controlLoad
	reporter *usageReporter
}

// PeerFrameHandler handles a message that another process sent on a connection. It returns false for a
// message that is addressed to the machine. reply sends on the same connection.
type PeerFrameHandler func(from string, msg any, reply func(msg any) error) bool

// NewLog returns a logger that writes JSON lines with the node's name, role and zone to stderr.
func NewLog(cfg settings.Settings, role string) logr.Logger {
	writeLine := func(line string) { fmt.Fprintln(os.Stderr, line) }
	options := funcr.Options{LogTimestamp: true, TimestampFormat: time.RFC3339Nano, Verbosity: int(cfg.LogLevel)}
	return funcr.NewJSON(writeLine, options).WithValues("node", cfg.Node, "role", role, "zone", cfg.Zone)
}

// Self returns the description of this process as a member. Its start time is the current time, so each
// call describes another run of the process.
func Self(cfg settings.Settings, role string) message.Member {
	voter := cfg.Voter
	if role == message.RoleProxy {
		voter = ""
	}
	return message.Member{
		Name:        role + "/" + cfg.Node,
		Role:        role,
		Voter:       voter,
		Zone:        cfg.Zone,
		Address:     cfg.Address,
		HTTPAddress: cfg.HTTPAddress,
		StartTime:   time.Now().UnixNano(),
	}
}

// New returns a node without a machine. Run or RunFromDisk sets the machine.
func New(cfg settings.Settings, role string, group *goroutine.Group) *Node {
	return &Node{
		Settings:     cfg,
		Group:        group,
		Log:          NewLog(cfg, role),
		commands:     make(chan statemachine.Command, maxQueuedCommands),
		writes:       make(chan *statemachine.Write, maxQueuedWrites),
		replacements: make(chan replacement),
		requests:     newPendingRequests(),
		journal:      &journal{},
		counters:     newCounters(),
		reporter:     newUsageReporter(cfg.Collector, cfg.Node, cfg.ReportEvery(), nil),
	}
}

// OnPublish sets the function that receives the snapshots that the machine publishes. It must be called
// before Run.
func (n *Node) OnPublish(publish func(snapshot any)) { n.publish = publish }

// OnTraffic sets the handler of messages between proxies. It must be called before Run.
func (n *Node) OnTraffic(handler PeerFrameHandler) { n.peerFrame = handler }

// SetReportHeaders sets a function that adds headers to usage reports; nil adds none. It must be called
// before Run.
func (n *Node) SetReportHeaders(set func(header http.Header, nodeName string, epoch int64)) {
	n.reporter.setHeaders = set
}

// Run binds the address, calls configure (which may be nil) with the transport before it accepts
// connections, and starts the goroutines of the machine.
func (n *Node) Run(machine statemachine.Machine, configure func(network *transport.Transport)) error {
	n.machine = machine
	network, err := transport.New(n.Group, transport.Config{
		Address:     n.Settings.Address,
		FrameLimit:  n.Settings.Limits.Frame,
		QueueLength: int(n.Settings.Limits.Queue),
		DialTimeout: n.Settings.DialTimeout(),
	}, n.receive)
	if err != nil {
		return err
	}
	network.LimitRate(n.Settings.TrafficRate())
	n.Transport = network
	network.OnConnectionLost(func(address string) { n.Notify(statemachine.ConnectionClosed{Address: address}) })
	if configure != nil {
		configure(network)
	}
	network.Start()
	n.Group.Go("node.disk", n.runDisk)
	n.Group.Go("node.control", n.runControl)
	return nil
}

// receive passes a message from another process to the traffic handler or the machine. It drops the message
// if the command queue is full.
func (n *Node) receive(from string, msg any, reply func(msg any) error) {
	if n.peerFrame != nil && reply != nil && n.peerFrame(from, msg, reply) {
		return
	}
	select {
	case n.commands <- statemachine.Arrived{From: from, Message: msg}:
	default:
		n.counters.increment(counterQueueFull)
	}
}

// record adds an event to the journal, the counters and the log.
func (n *Node) record(event statemachine.Event) {
	n.journal.add(event, time.Now())
	n.counters.increment(eventCounterPrefix + event.EventName)
	n.Log.Info(event.EventName, "code", event.Code, "epoch", event.Epoch, "cause", event.Cause)
}

// Journal returns the entries of the journal, oldest first.
func (n *Node) Journal() []Entry { return n.journal.snapshot() }

// Counters returns the counters of the process by name. It resets the longest duration of a command.
func (n *Node) Counters() map[string]int64 {
	counts := n.counters.snapshot()
	counts["goroutines"] = n.Group.Running()
	counts["control_queue"] = int64(len(n.commands))
	counts["writes_queue"] = int64(len(n.writes))
	n.load.addTo(counts)
	return counts
}
