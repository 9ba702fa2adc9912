// Package house runs a machine as a process: one control goroutine applies commands,
// effects go out through the ports (wings, disk, HTTP), and what the machine did is
// kept as a journal and logged as JSON lines.
package house

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

	"beaconvane/internal/callboard"
	"beaconvane/internal/crew"
	"beaconvane/internal/cue"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
	"beaconvane/internal/usher"
	"beaconvane/internal/wardrobe"
	"beaconvane/internal/wings"
)

const (
	journalKept   = 2000
	writesPending = 16384
)

// Entry is one line of the journal.
type Entry struct {
	At    int64  `json:"at_ms"`
	Wall  string `json:"wall"`
	Deed  string `json:"deed"`
	Code  int    `json:"code"`
	Epoch int64  `json:"epoch"`
	Cause string `json:"cause"`
}

// House is one process.
type House struct {
	Config  playbill.Config
	Crew    *crew.Crew
	Log     logr.Logger
	Wings   *wings.Wings
	machine cue.Machine
	store   *wardrobe.Store
	dress   func(header http.Header, node string, epoch int64)

	commands  chan cue.Command
	writes    chan *cue.Write
	published func(view any)
	traffic   func(from string, message any, back func(message any) error) bool

	lock    sync.Mutex
	tickets int64
	replies map[int64]chan any
	journal []Entry
	counts  map[string]int64
}

// NewLog gives JSON lines on stderr with the node's name and district.
func NewLog(config playbill.Config, role string) logr.Logger {
	logger := funcr.NewJSON(func(line string) { fmt.Fprintln(os.Stderr, line) },
		funcr.Options{LogTimestamp: true, TimestampFormat: time.RFC3339Nano, Verbosity: int(config.LogLevel)})
	return logger.WithValues("node", config.Node, "role", role, "district", config.District)
}

// Self makes the member that this process is.
func Self(config playbill.Config, role string) script.Member {
	seat := config.Seat
	if role == script.RoleUsher {
		seat = ""
	}
	return script.Member{Name: role + "/" + config.Node, Role: role, Seat: seat, District: config.District,
		Address: config.Address, Outside: config.Outside, Birth: time.Now().UnixNano()}
}

// New makes a house; the machine is set by Run.
func New(config playbill.Config, role string, members *crew.Crew) *House {
	return &House{Config: config, Crew: members, Log: NewLog(config, role), commands: make(chan cue.Command, 4096),
		writes: make(chan *cue.Write, writesPending), replies: map[int64]chan any{}, counts: map[string]int64{}}
}

// OpenDisk reads the data folder of a program.
func (h *House) OpenDisk() (store *wardrobe.Store, view []byte, records [][]byte, err error) {
	folder, err := wardrobe.NewDirFolder(h.Config.Data)
	if err != nil {
		return nil, nil, nil, err
	}
	h.store, view, records, err = wardrobe.Open(folder)
	return h.store, view, records, err
}

// OnPublish and OnTraffic join the traffic side of a usher.
func (h *House) OnPublish(published func(view any)) { h.published = published }

func (h *House) OnTraffic(traffic func(from string, message any, back func(message any) error) bool) {
	h.traffic = traffic
}

// DressReports sets what else the collector is told in a report's head.
func (h *House) DressReports(dress func(header http.Header, node string, epoch int64)) {
	h.dress = dress
}

// Run binds the address, lets the traffic side begin, and starts the control goroutine.
func (h *House) Run(machine cue.Machine, begin func(transport *wings.Wings)) error {
	h.machine = machine
	transport, err := wings.New(h.Crew, h.Config.Address, h.Config.Limits.Frame, int(h.Config.Limits.Pending), h.Config.WireDial(), h.inbound)
	if err != nil {
		return err
	}
	h.Wings = transport
	transport.OnBroke(func(address string) { h.Tell(cue.WireBroke{Address: address}) })
	if begin != nil {
		begin(transport)
	}
	transport.Start()
	h.Crew.Go("house.disk", h.runDisk)
	h.Crew.Go("house.control", h.runControl)
	return nil
}

func (h *House) inbound(from string, message any, back func(message any) error) {
	if h.traffic != nil && back != nil && h.traffic(from, message, back) {
		return
	}
	select {
	case h.commands <- cue.Arrived{From: from, Message: message}:
	default:
		h.count("control_pending_full")
	}
}

func (h *House) runControl(ctx context.Context) {
	var seed [8]byte
	crand.Read(seed[:])
	stage := cue.NewStage(binary.BigEndian.Uint64(seed[:]))
	ticker := time.NewTicker(h.Config.TickEvery())
	defer ticker.Stop()
	apply := func(command cue.Command) {
		stage.Now, stage.Wall = h.Crew.Now(), time.Duration(time.Now().UnixNano())
		command.Apply(h.machine, stage)
		for _, effect := range stage.Drain() {
			h.perform(effect)
		}
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			apply(cue.Ticked{})
		case command := <-h.commands:
			apply(command)
		}
	}
}

func (h *House) perform(effect any) {
	switch done := effect.(type) {
	case cue.Send:
		if err := h.Wings.Send(done.To, done.Message); err != nil {
			h.count("sends_dropped")
		}
	case cue.Datagram:
		if err := h.Wings.Datagram(done.To, done.Message); err != nil {
			h.count("datagrams_dropped")
		}
	case cue.Write:
		h.writes <- &done
	case cue.Reply:
		h.lock.Lock()
		waiting := h.replies[done.Ticket]
		delete(h.replies, done.Ticket)
		h.lock.Unlock()
		if waiting != nil {
			waiting <- done.Answer
		}
	case cue.Publish:
		if h.published != nil {
			h.published(done.View)
		}
	case cue.Note:
		h.note(done)
	case cue.Probe:
		h.Crew.Go("house.probe", func(ctx context.Context) { h.probe(ctx, done) })
	case cue.Report:
		if report, isReport := done.Body.(callboard.Report); isReport {
			h.Crew.Go("house.report", func(ctx context.Context) { h.report(ctx, report) })
		}
	}
}

func (h *House) note(done cue.Note) {
	h.lock.Lock()
	h.journal = append(h.journal, Entry{done.At.Milliseconds(), time.Now().UTC().Format(time.RFC3339Nano), done.Deed, done.Code, done.Epoch, done.Cause})
	if len(h.journal) > journalKept {
		h.journal = append([]Entry{}, h.journal[len(h.journal)-journalKept*3/4:]...)
	}
	h.counts["deed_"+done.Deed]++
	h.lock.Unlock()
	h.Log.Info(done.Deed, "code", done.Code, "epoch", done.Epoch, "cause", done.Cause)
}

func (h *House) count(name string) { h.add(name, 1) }

func (h *House) add(name string, amount int) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.counts[name] += int64(amount)
}

// runDisk syncs writes in order, those that wait together at once.
func (h *House) runDisk(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-h.writes:
			batch := []*cue.Write{first}
			for len(h.writes) > 0 && len(batch) < 256 {
				batch = append(batch, <-h.writes)
			}
			h.sync(batch)
		}
	}
}

func (h *House) sync(batch []*cue.Write) {
	for len(batch) > 0 {
		run := 0
		records, size := [][]byte{}, len(batch[0].View)
		for run < len(batch) && batch[run].View == nil {
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
			run, failure = 1, h.store.Compact(batch[0].View)
		}
		for _, written := range batch[:run] {
			select {
			case h.commands <- cue.Synced{Ticket: written.Ticket, Failure: failure}:
			case <-h.Crew.Context.Done():
				return
			}
		}
		batch = batch[run:]
	}
}

func (h *House) probe(ctx context.Context, probe cue.Probe) {
	dialer := net.Dialer{Timeout: h.Config.WireDial()}
	conn, err := dialer.DialContext(ctx, "tcp", probe.Address)
	if err == nil {
		conn.Close()
	}
	h.Tell(usher.Probed{Key: probe.Key, Incarnation: probe.Incarnation, Answered: err == nil})
}

// report posts a sealed window to the collector, unless its time is over.
func (h *House) report(ctx context.Context, report callboard.Report) {
	body, _ := json.Marshal(map[string]any{"window": report.Window, "counts": report.Counts, "epoch": report.Epoch, "from": h.Config.Node})
	limited, cancel := context.WithTimeout(ctx, h.Config.ReportEvery())
	defer cancel()
	request, err := http.NewRequestWithContext(limited, http.MethodPost, h.Config.Collector, bytes.NewReader(body))
	if err != nil || h.Crew.Now() > report.Until {
		return
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	if h.dress != nil {
		h.dress(request.Header, h.Config.Node, report.Epoch)
	}
	response, err := reportClient.Do(request)
	if err != nil {
		h.count("reports_failed")
		return
	}
	defer response.Body.Close()
	io.Copy(io.Discard, io.LimitReader(response.Body, 1<<16))
	if response.StatusCode >= 200 && response.StatusCode < 300 {
		h.Tell(callboard.Reported{Window: report.Window})
	}
}

var reportClient = &http.Client{
	Transport:     &http.Transport{Proxy: nil, DisableCompression: true, MaxIdleConnsPerHost: 2},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Tell gives the machine tidings that want no answer.
func (h *House) Tell(tidings any) {
	select {
	case h.commands <- cue.Asked{Question: tidings}:
	case <-h.Crew.Context.Done():
	}
}

// Ask asks the machine and waits for its answer.
func (h *House) Ask(ctx context.Context, question any) (any, error) {
	h.lock.Lock()
	h.tickets++
	ticket, waiting := h.tickets, make(chan any, 1)
	h.replies[ticket] = waiting
	h.lock.Unlock()
	select {
	case h.commands <- cue.Asked{Ticket: ticket, Question: question}:
	case <-ctx.Done():
		return nil, notice.Wrap("house.ask", notice.Internal, ctx.Err())
	}
	select {
	case answer := <-waiting:
		return answer, nil
	case <-ctx.Done():
		h.lock.Lock()
		delete(h.replies, ticket)
		h.lock.Unlock()
		return nil, notice.Wrap("house.ask", notice.Internal, ctx.Err())
	}
}

// Journal gives the newest entries.
func (h *House) Journal() []Entry {
	h.lock.Lock()
	defer h.lock.Unlock()
	return append([]Entry{}, h.journal...)
}

// Counters gives the process's own counts.
func (h *House) Counters() map[string]int64 {
	h.lock.Lock()
	defer h.lock.Unlock()
	counts := map[string]int64{"goroutines": h.Crew.Running(), "control_pending": int64(len(h.commands)), "writes_pending": int64(len(h.writes))}
	for name, count := range h.counts {
		counts[name] = count
	}
	return counts
}
