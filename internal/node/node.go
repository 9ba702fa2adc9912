// Package node runs a machine as a process: one control goroutine applies commands, their effects go
// out through the ports (transport, disk, HTTP), and what the machine did is kept as a journal and
// logged as JSON lines.
package node

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"net/http"
	"os"
	"sync"
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
	journalKept       = 2000  // entries
	maxQueuedCommands = 4096  // for the control goroutine
	maxQueuedWrites   = 16384 // for the disk
	maxBatch          = 256   // writes that are synced together
)

// Node is one process: a machine, its control goroutine, and the ports around it.
type Node struct {
	Settings  settings.Settings
	Group     *goroutine.Group
	Log       logr.Logger
	Transport *transport.Transport
	machine   statemachine.Machine
	store     *storage.Store
	folder    storage.Directory
	build     Build // nil: the state is not on disk

	reporter *reporter
	load     controlLoad

	replacements chan replacement

	commands  chan statemachine.Command
	writes    chan *statemachine.Write
	published func(snapshot any)
	traffic   func(from string, msg any, back func(msg any) error) bool

	lock          sync.Mutex
	lastRequestID int64
	replies       map[int64]chan any
	journal       []Entry
	counts        map[string]int64
}

// NewLog returns a logger of JSON lines on stderr, with the node's name, role and zone.
func NewLog(cfg settings.Settings, role string) logr.Logger {
	logger := funcr.NewJSON(func(line string) { fmt.Fprintln(os.Stderr, line) },
		funcr.Options{LogTimestamp: true, TimestampFormat: time.RFC3339Nano, Verbosity: int(cfg.LogLevel)})
	return logger.WithValues("node", cfg.Node, "role", role, "zone", cfg.Zone)
}

// Self returns the member that this process is. Its birth is the current time, so that each call
// makes another life.
func Self(cfg settings.Settings, role string) message.Member {
	voter := cfg.Voter
	if role == message.RoleProxy {
		voter = ""
	}
	return message.Member{Name: role + "/" + cfg.Node, Role: role, Voter: voter, Zone: cfg.Zone,
		Address: cfg.Address, HTTPAddress: cfg.Outside, StartTime: time.Now().UnixNano()}
}

// New returns a node; Run gives it its machine.
func New(cfg settings.Settings, role string, group *goroutine.Group) *Node {
	return &Node{Settings: cfg, Group: group, Log: NewLog(cfg, role), reporter: newReporter(cfg.Collector, cfg.Node, cfg.ReportEvery(), nil), commands: make(chan statemachine.Command, maxQueuedCommands), replacements: make(chan replacement),
		writes: make(chan *statemachine.Write, maxQueuedWrites), replies: map[int64]chan any{}, counts: map[string]int64{}}
}

// OnPublish sets who takes the machine's snapshots. It is called before Run.
func (n *Node) OnPublish(published func(snapshot any)) { n.published = published }

// OnTraffic sets who takes messages of the traffic side; it returns false for others. It is called
// before Run.
func (n *Node) OnTraffic(traffic func(from string, msg any, back func(msg any) error) bool) {
	n.traffic = traffic
}

// SetReportHeaders sets what else is put into the header of usage reports; nil: nothing.
func (n *Node) SetReportHeaders(set func(header http.Header, nodeName string, epoch int64)) {
	n.reporter.setHeaders = set
}

// Run binds the address, lets the traffic side begin, and starts the control goroutine.
func (n *Node) Run(machine statemachine.Machine, begin func(network *transport.Transport)) error {
	n.machine = machine
	network, err := transport.New(n.Group, n.Settings.Address, n.Settings.Limits.Frame, int(n.Settings.Limits.Queue), n.Settings.ConnectionDial(), n.inbound)
	if err != nil {
		return err
	}
	network.LimitRate(n.Settings.LinkShare())
	n.Transport = network
	network.OnConnectionLost(func(address string) { n.Tell(statemachine.ConnectionBroke{Address: address}) })
	if begin != nil {
		begin(network)
	}
	network.Start()
	n.Group.Go("node.disk", n.runDisk)
	n.Group.Go("node.control", n.runControl)
	return nil
}

// inbound takes a message from another process; it is dropped when the control queue is full.
func (n *Node) inbound(from string, msg any, back func(msg any) error) {
	if n.traffic != nil && back != nil && n.traffic(from, msg, back) {
		return
	}
	select {
	case n.commands <- statemachine.Arrived{From: from, Message: msg}:
	default:
		n.count("control_queue_full")
	}
}

// noteLateness records that the control goroutine was held up for longer than updates may take.
func (n *Node) noteLateness() {
	now := n.Group.Now()
	gap := n.load.ticked(now)
	if gap <= n.Settings.UpdatesEvery() {
		return
	}
	cause := fmt.Sprintf("%d ms since the last tick, %d commands waiting", gap.Milliseconds(), len(n.commands))
	n.record(statemachine.Event{At: now, EventName: "control-late", Cause: cause})
}

// runControl applies commands one after the other, and carries their effects out.
func (n *Node) runControl(ctx context.Context) {
	var seed [8]byte
	crand.Read(seed[:])
	env := statemachine.NewEnv(binary.BigEndian.Uint64(seed[:]))
	ticker := time.NewTicker(n.Settings.TickEvery())
	defer ticker.Stop()
	apply := func(command statemachine.Command) {
		env.Now, env.Wall = n.Group.Now(), n.Group.Wall()
		command.Apply(n.machine, env)
		for _, effect := range env.Drain() {
			n.perform(effect)
		}
		n.load.add(n.Group.Now() - env.Now)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// What has come is taken before a tick judges anybody by silence.
			for range len(n.commands) {
				apply(<-n.commands)
			}
			apply(statemachine.Ticked{})
			n.noteLateness()
		case command := <-n.commands:
			apply(command)
		case next := <-n.replacements:
			n.takeReplacement(next)
		}
	}
}
