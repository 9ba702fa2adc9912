// Package house runs a machine as a process: one control goroutine applies commands,
// effects go out through the ports (transport, disk, HTTP), and what the machine did is
// kept as a journal and logged as JSON lines.
package node

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/proxy"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
	"beaconvane/internal/storage"
	"beaconvane/internal/transport"
)

const (
	journalKept     = 2000
	maxQueuedWrites = 16384
)

// Entry is one line of the journal.
type Entry struct {
	At        int64  `json:"at_ms"`
	Wall      string `json:"wall"`
	EventName string `json:"event"`
	Code      int    `json:"code"`
	Epoch     int64  `json:"epoch"`
	Cause     string `json:"cause"`
}

// Node is one process.
type Node struct {
	Settings  settings.Settings
	Group     *goroutine.Group
	Log       logr.Logger
	Transport *transport.Transport
	machine   statemachine.Machine
	store     *storage.Store
	folder    storage.Folder
	build     Build // nil: the state is not on disk
	dress     func(header http.Header, nodeName string, epoch int64)

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

// NewLog gives JSON lines on stderr with the node's name and zone.
func NewLog(cfg settings.Settings, role string) logr.Logger {
	logger := funcr.NewJSON(func(line string) { fmt.Fprintln(os.Stderr, line) },
		funcr.Options{LogTimestamp: true, TimestampFormat: time.RFC3339Nano, Verbosity: int(cfg.LogLevel)})
	return logger.WithValues("node", cfg.Node, "role", role, "zone", cfg.Zone)
}

// Self makes the member that this process is.
func Self(cfg settings.Settings, role string) message.Member {
	voter := cfg.Voter
	if role == message.RoleProxy {
		voter = ""
	}
	return message.Member{Name: role + "/" + cfg.Node, Role: role, Voter: voter, Zone: cfg.Zone,
		Address: cfg.Address, Outside: cfg.Outside, Birth: time.Now().UnixNano()}
}

// New makes a house; the machine is set by Run.
func New(cfg settings.Settings, role string, members *goroutine.Group) *Node {
	return &Node{Settings: cfg, Group: members, Log: NewLog(cfg, role), commands: make(chan statemachine.Command, 4096), replacements: make(chan replacement),
		writes: make(chan *statemachine.Write, maxQueuedWrites), replies: map[int64]chan any{}, counts: map[string]int64{}}
}

// OnPublish and OnTraffic join the traffic side of a proxy.
func (h *Node) OnPublish(published func(snapshot any)) { h.published = published }

func (h *Node) OnTraffic(traffic func(from string, msg any, back func(msg any) error) bool) {
	h.traffic = traffic
}

// SetReportHeaders sets what else the collector is told in a report's head.
func (h *Node) SetReportHeaders(dress func(header http.Header, nodeName string, epoch int64)) {
	h.dress = dress
}

// Run binds the address, lets the traffic side begin, and starts the control goroutine.
func (h *Node) Run(machine statemachine.Machine, begin func(network *transport.Transport)) error {
	h.machine = machine
	network, err := transport.New(h.Group, h.Settings.Address, h.Settings.Limits.Frame, int(h.Settings.Limits.Queue), h.Settings.ConnectionDial(), h.inbound)
	if err != nil {
		return err
	}
	network.Pace(h.Settings.LinkShare())
	h.Transport = network
	network.OnBroke(func(address string) { h.Tell(statemachine.ConnectionBroke{Address: address}) })
	if begin != nil {
		begin(network)
	}
	network.Start()
	h.Group.Go("node.disk", h.runDisk)
	h.Group.Go("node.control", h.runControl)
	return nil
}

func (h *Node) inbound(from string, msg any, back func(msg any) error) {
	if h.traffic != nil && back != nil && h.traffic(from, msg, back) {
		return
	}
	select {
	case h.commands <- statemachine.Arrived{From: from, Message: msg}:
	default:
		h.count("control_queue_full")
	}
}

func (h *Node) runControl(ctx context.Context) {
	var seed [8]byte
	crand.Read(seed[:])
	env := statemachine.NewEnv(binary.BigEndian.Uint64(seed[:]))
	ticker := time.NewTicker(h.Settings.TickEvery())
	defer ticker.Stop()
	apply := func(command statemachine.Command) {
		env.Now, env.Wall = h.Group.Now(), h.Group.Wall()
		command.Apply(h.machine, env)
		for _, effect := range env.Drain() {
			h.perform(effect)
		}
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			apply(statemachine.Ticked{})
		case command := <-h.commands:
			apply(command)
		case next := <-h.replacements:
			h.takeReplacement(next)
		}
	}
}

func (h *Node) perform(effect any) {
	switch done := effect.(type) {
	case statemachine.Send:
		if err := h.Transport.Send(done.To, done.Message); err != nil {
			h.count("sends_dropped")
		}
	case statemachine.Datagram:
		if err := h.Transport.Datagram(done.To, done.Message); err != nil {
			h.count("datagrams_dropped")
		}
	case statemachine.Write:
		h.writes <- &done
	case statemachine.Reply:
		h.lock.Lock()
		waiting := h.replies[done.RequestID]
		delete(h.replies, done.RequestID)
		h.lock.Unlock()
		if waiting != nil {
			waiting <- done.Answer
		}
	case statemachine.Publish:
		if h.published != nil {
			h.published(done.Snapshot)
		}
	case statemachine.Event:
		h.logEvent(done)
	case statemachine.Probe:
		h.Group.Go("node.probe", func(ctx context.Context) { h.probe(ctx, done) })
	case statemachine.Report:
		if report, isReport := done.Body.(registry.Report); isReport {
			h.Group.Go("node.report", func(ctx context.Context) { h.report(ctx, report) })
		}
	}
}

func (h *Node) logEvent(done statemachine.Event) {
	h.lock.Lock()
	h.journal = append(h.journal, Entry{done.At.Milliseconds(), time.Now().UTC().Format(time.RFC3339Nano), done.EventName, done.Code, done.Epoch, done.Cause})
	if len(h.journal) > journalKept {
		h.journal = append([]Entry{}, h.journal[len(h.journal)-journalKept*3/4:]...)
	}
	h.counts["event_"+done.EventName]++
	h.lock.Unlock()
	h.Log.Info(done.EventName, "code", done.Code, "epoch", done.Epoch, "cause", done.Cause)
}

func (h *Node) count(name string) { h.add(name, 1) }

func (h *Node) add(name string, amount int) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.counts[name] += int64(amount)
}

// runDisk syncs writes in order, those that wait together at once.
func (h *Node) runDisk(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-h.writes:
			batch := []*statemachine.Write{first}
			for len(h.writes) > 0 && len(batch) < 256 {
				batch = append(batch, <-h.writes)
			}
			if h.sync(batch) != nil && h.build != nil && !h.recoverDisk(ctx) {
				return
			}
		}
	}
}

// sync writes a batch in order and gives the first failure.
func (h *Node) sync(batch []*statemachine.Write) error {
	var first error
	for len(batch) > 0 {
		run := 0
		records, size := [][]byte{}, len(batch[0].Snapshot)
		for run < len(batch) && batch[run].Snapshot == nil {
			records = append(records, batch[run].Record)
			size += len(batch[run].Record)
			run++
		}
		h.count("disk_syncs")
		h.add("disk_bytes", size)
		var failure error
		if run > 0 {
			failure = h.store.Append(records)
		} else {
			run, failure = 1, h.store.Compact(batch[0].Snapshot)
		}
		if first == nil {
			first = failure
		}
		for _, written := range batch[:run] {
			select {
			case h.commands <- statemachine.Synced{RequestID: written.RequestID, Failure: failure}:
			case <-h.Group.Context.Done():
				return first
			}
		}
		batch = batch[run:]
	}
	return first
}

func (h *Node) probe(ctx context.Context, probe statemachine.Probe) {
	dialer := net.Dialer{Timeout: h.Settings.ConnectionDial()}
	conn, err := dialer.DialContext(ctx, "tcp", probe.Address)
	if err == nil {
		conn.Close()
	}
	h.Tell(proxy.Probed{Key: probe.Key, Incarnation: probe.Incarnation, Answered: err == nil})
}

// report posts a sealed window to the collector, unless its time is over.
func (h *Node) report(ctx context.Context, report registry.Report) {
	body, _ := json.Marshal(map[string]any{"window": report.Window, "counts": report.Counts, "epoch": report.Epoch, "from": h.Settings.Node})
	limited, cancel := context.WithTimeout(ctx, h.Settings.ReportEvery())
	defer cancel()
	request, err := http.NewRequestWithContext(limited, http.MethodPost, h.Settings.Collector, bytes.NewReader(body))
	if err != nil || h.Group.Now() > report.Until {
		return
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	if h.dress != nil {
		h.dress(request.Header, h.Settings.Node, report.Epoch)
	}
	response, err := reportClient.Do(request)
	if err != nil {
		h.count("reports_failed")
		return
	}
	defer response.Body.Close()
	io.Copy(io.Discard, io.LimitReader(response.Body, 1<<16))
	if response.StatusCode >= 200 && response.StatusCode < 300 {
		h.Tell(registry.Reported{Window: report.Window})
	}
}

var reportClient = &http.Client{
	Transport:     &http.Transport{Proxy: nil, DisableCompression: true, MaxIdleConnsPerHost: 2},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Tell gives the machine tidings that want no answer.
func (h *Node) Tell(tidings any) {
	select {
	case h.commands <- statemachine.Asked{Question: tidings}:
	case <-h.Group.Context.Done():
	}
}

// Ask asks the machine and waits for its answer.
func (h *Node) Request(ctx context.Context, question any) (any, error) {
	h.lock.Lock()
	h.lastRequestID++
	requestID, waiting := h.lastRequestID, make(chan any, 1)
	h.replies[requestID] = waiting
	h.lock.Unlock()
	select {
	case h.commands <- statemachine.Asked{RequestID: requestID, Question: question}:
	case <-ctx.Done():
		return nil, errcode.Wrap("node.ask", errcode.Internal, ctx.Err())
	}
	select {
	case answer := <-waiting:
		if err, failed := answer.(error); failed {
			return nil, err
		}
		return answer, nil
	case <-ctx.Done():
		h.lock.Lock()
		delete(h.replies, requestID)
		h.lock.Unlock()
		return nil, errcode.Wrap("node.ask", errcode.Internal, ctx.Err())
	}
}

// Journal gives the newest entries.
func (h *Node) Journal() []Entry {
	h.lock.Lock()
	defer h.lock.Unlock()
	return append([]Entry{}, h.journal...)
}

// Counters gives the process's own counts.
func (h *Node) Counters() map[string]int64 {
	h.lock.Lock()
	defer h.lock.Unlock()
	counts := map[string]int64{"goroutines": h.Group.Running(), "control_queue": int64(len(h.commands)), "writes_queue": int64(len(h.writes))}
	for name, count := range h.counts {
		counts[name] = count
	}
	return counts
}
