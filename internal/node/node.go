// Package node runs a state machine as a process. One control goroutine applies commands to the
// machine and carries out the effects that it returns, through ports: connections to other
// processes, the disk, and HTTP. The node also keeps what is known of the process itself: a journal
// of the machine's events, counters, and the log as JSON lines.
//
// Who touches what: the machine, and the random source that it draws from, belong to the control
// goroutine; the files belong to the disk goroutine; all other state is guarded by the lock of its
// own type.
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
	maxQueuedCommands = 4096  // for the control goroutine
	maxQueuedWrites   = 16384 // for the disk goroutine
)

// Node is one process: a machine, its control goroutine, and the ports around it.
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
	build        Build // nil: the state is not on disk
	replacements chan replacement

	requests *pendingRequests
	journal  *journal
	counters *counters
	load     controlLoad
	reporter *usageReporter
}

// PeerFrameHandler takes a message that another process sent on a connection, and returns false for
// one that is meant for the machine. The handler may reply on the same connection.
type PeerFrameHandler func(from string, msg any, reply func(msg any) error) bool

// NewLog returns a logger of JSON lines on stderr, with the node's name, role and zone.
func NewLog(cfg settings.Settings, role string) logr.Logger {
	writeLine := func(line string) { fmt.Fprintln(os.Stderr, line) }
	options := funcr.Options{LogTimestamp: true, TimestampFormat: time.RFC3339Nano, Verbosity: int(cfg.LogLevel)}
	return funcr.NewJSON(writeLine, options).WithValues("node", cfg.Node, "role", role, "zone", cfg.Zone)
}

// Self returns the member that this process is. Its start time is the current time, so that each
// call returns another incarnation.
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

// New returns a node without a machine; Run or RunFromDisk gives it one.
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

// OnPublish sets who takes the machine's snapshots. It is called before Run.
func (n *Node) OnPublish(publish func(snapshot any)) { n.publish = publish }

// OnTraffic sets who takes the frames between proxies. It is called before Run.
func (n *Node) OnTraffic(handler PeerFrameHandler) { n.peerFrame = handler }

// SetReportHeaders sets what else is put into the header of usage reports; nil: nothing. It is
// called before Run.
func (n *Node) SetReportHeaders(set func(header http.Header, nodeName string, epoch int64)) {
	n.reporter.setHeaders = set
}

// Run binds the address, hands the transport to begin (which may be nil), and starts the
// goroutines of the machine.
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

// receive takes a message from another process; it is dropped when the control queue is full.
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

// record puts an event into the journal, the counters and the log.
func (n *Node) record(event statemachine.Event) {
	n.journal.add(event, time.Now())
	n.counters.increment(eventCounterPrefix + event.EventName)
	n.Log.Info(event.EventName, "code", event.Code, "epoch", event.Epoch, "cause", event.Cause)
}

// Journal returns the newest entries of the journal, the oldest of them first.
func (n *Node) Journal() []Entry { return n.journal.snapshot() }

// Counters returns the process's own counters by name.
func (n *Node) Counters() map[string]int64 {
	counts := n.counters.snapshot()
	counts["goroutines"] = n.Group.Running()
	counts["control_queue"] = int64(len(n.commands))
	counts["writes_queue"] = int64(len(n.writes))
	n.load.addTo(counts)
	return counts
}
