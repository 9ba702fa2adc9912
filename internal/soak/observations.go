package soak

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// request is what a caller saw of one request. Times count from the start of the run.
type request struct {
	id       string
	proxy    string
	host     string
	path     string
	key      string
	once     bool
	sentAt   time.Duration
	endedAt  time.Duration
	status   int // 0: no complete answer
	answer   string
	answered bool // a status or a closed connection; false: silence until the caller gave up
}

// isMain reports whether the request was sent to the main route of the main authority.
func (r request) isMain() bool { return r.path == mainPath && (r.host == "" || r.host == shopHost) }

// execution is one run of a request at an upstream.
type execution struct {
	id       string
	service  string
	instance string
	path     string
	keySeen  bool
	at       time.Duration
}

// write is an operator's order to put a version into force.
type write struct {
	version int64
	content configuration
	body    string // "" for one that is too large to be kept
	valid   bool
	sentAt  time.Duration
	endedAt time.Duration
	status  int
}

// acknowledged reports whether the order got a 2xx.
func (w write) acknowledged() bool { return w.status/100 == 2 }

// read is an operator's read of the configuration.
type read struct {
	sentAt  time.Duration
	status  int
	version int64
	body    string
}

// signOff is an acknowledged sign-off of an upstream that serves on until servesUntil.
type signOff struct {
	instance       string
	acknowledgedAt time.Duration
	servesUntil    time.Duration
}

// leavingNotice is an acknowledged announcement of an upstream that it leaves. It serves on until servesUntil.
type leavingNotice signOff

// excess is a process that held more than its memory.
type excess struct {
	process     string
	held, limit int64 // MiB
	at          time.Duration
}

// Names of the counts in a run's line.
const (
	countHalfCloses   = "half-closes"
	countUploads      = "large uploads"
	countLargeAnswers = "large answers"
	countLargeOrders  = "large configurations"
	countAuthorities  = "requests for other authorities"
)

// observations collects what callers, upstreams and operators see. It is safe for concurrent use.
type observations struct {
	startedAt time.Time
	output    io.Writer // of the record; nil: none

	lock       sync.Mutex
	requests   []request
	executions []execution
	writes     []write
	reads      []read
	signOffs   []signOff
	leavings   []leavingNotice
	excesses   []excess
	disrupted  []time.Duration  // signals, starts and ends of processes
	counts     map[string]int   // how often something was tried, by the names above
	memory     map[string]int64 // highest memory by role, in MiB
	lines      []recordLine

	calmFrom  time.Duration // all processes run and no trouble follows; 0 before
	revokedAt time.Duration // all keys taken away and acknowledged; 0 before
}

// recordLine is one line of the record.
type recordLine struct {
	at   time.Duration
	text string
}

func (l recordLine) String() string { return fmt.Sprintf("%8.3f  %s", l.at.Seconds(), l.text) }

// now returns the time since the start of the run.
func (o *observations) now() time.Duration { return time.Since(o.startedAt) }

// record adds a line to the record.
func (o *observations) record(format string, arguments ...any) {
	o.lock.Lock()
	defer o.lock.Unlock()
	line := recordLine{o.now(), fmt.Sprintf(format, arguments...)}
	o.lines = append(o.lines, line)
	if o.output != nil {
		fmt.Fprintln(o.output, line)
	}
}

// mentioning returns the newest lines of the record that contain one of the texts.
func (o *observations) mentioning(limit int, matches func(line string) bool) []string {
	o.lock.Lock()
	defer o.lock.Unlock()
	found := []string{}
	for _, line := range slices.Backward(o.lines) {
		if matches(line.text) && len(found) < limit {
			found = append(found, line.String())
		}
	}
	slices.Reverse(found)
	return found
}

func (o *observations) addRequest(seen request) {
	o.lock.Lock()
	o.requests = append(o.requests, seen)
	o.lock.Unlock()
	o.record("caller %s %s at %s key %s sent at %.3f: %d %q",
		seen.id, seen.path, seen.proxy, seen.key, seen.sentAt.Seconds(), seen.status, seen.answer)
}

func (o *observations) addExecution(began execution) {
	o.lock.Lock()
	o.executions = append(o.executions, began)
	o.lock.Unlock()
	o.record("upstream %s (%s) runs %s %s", began.instance, began.service, began.id, began.path)
}

func (o *observations) addWrite(sent write) {
	o.lock.Lock()
	o.writes = append(o.writes, sent)
	o.lock.Unlock()
	o.record("operator writes version %d, valid %t, sent at %.3f: %d", sent.version, sent.valid, sent.sentAt.Seconds(), sent.status)
}

func (o *observations) addRead(seen read) {
	o.lock.Lock()
	o.reads = append(o.reads, seen)
	o.lock.Unlock()
	o.record("operator reads version %d, sent at %.3f: %d", seen.version, seen.sentAt.Seconds(), seen.status)
}

func (o *observations) addLeaving(acknowledged leavingNotice) {
	o.lock.Lock()
	o.leavings = append(o.leavings, acknowledged)
	o.lock.Unlock()
	o.record("leaving of %s acknowledged at %.3f", acknowledged.instance, acknowledged.acknowledgedAt.Seconds())
}

func (o *observations) addExcess(seen excess) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.excesses = append(o.excesses, seen)
}

func (o *observations) addMemory(role string, held int64) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.memory == nil {
		o.memory = map[string]int64{}
	}
	o.memory[role] = max(o.memory[role], held)
}

// addDisruption records that a process was signalled, started or has ended.
func (o *observations) addDisruption() {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.disrupted = append(o.disrupted, o.now())
}

// count counts that something was tried.
func (o *observations) count(name string) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.counts == nil {
		o.counts = map[string]int{}
	}
	o.counts[name]++
}

func (o *observations) addSignOff(acknowledged signOff) {
	o.lock.Lock()
	o.signOffs = append(o.signOffs, acknowledged)
	o.lock.Unlock()
	o.record("sign-off of %s acknowledged at %.3f", acknowledged.instance, acknowledged.acknowledgedAt.Seconds())
}
