// This file asks a serving proxy what became of attempts whose connection broke. What it
// says is running is waited for, as long as a connection to it stands and the request has
// time: an upstream at work is no reason to end a request, and only what nobody answers
// for is unknown.

package frontend

import (
	"maps"
	"slices"
	"sync"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// questionsMost is how often one attempt is asked about, each time on a new connection.
const questionsMost = 4

// question is one asking about some attempts at one serving proxy.
type question struct {
	tracker      *Dispatcher
	servingProxy string
	left         int // further askings
	connection   Connection

	lock    sync.Mutex
	births  map[string]int64 // of the lives that were sent the attempts, by attempt
	running map[string]bool
}

// question asks about attempts, given with the births of the lives that they were sent to.
func (d *Dispatcher) question(servingProxy string, births map[string]int64, left int) {
	q := &question{tracker: d, servingProxy: servingProxy, left: left - 1, births: births, running: map[string]bool{}}
	ids := slices.Sorted(maps.Keys(births))
	connection := d.back.Open(servingProxy, q.received, q.broke)
	q.lock.Lock()
	q.connection = connection
	q.lock.Unlock()
	for _, id := range ids {
		connection.Post(message.OutcomeRequest{ID: id, ServingProxyStartTime: births[id]})
	}
	d.back.After(d.settings.UpdatesEvery()*2, func() { q.patience(ids) })
}

// received takes an answer to the question, or the outcome that comes later.
func (q *question) received(msg any) {
	outcome, isOutcome := msg.(message.Outcome)
	if !isOutcome {
		return
	}
	q.lock.Lock()
	if outcome.Kind == message.StillRunning {
		q.running[outcome.ID] = true
	} else {
		delete(q.births, outcome.ID)
	}
	over, connection := len(q.births) == 0, q.connection
	q.lock.Unlock()
	q.tracker.received(msg)
	if over {
		connection.Close()
	}
}

// patience is over for what the serving proxy has not answered for.
func (q *question) patience(ids []string) {
	for _, id := range ids {
		q.lock.Lock()
		_, open := q.births[id]
		silent := open && !q.running[id]
		if silent {
			delete(q.births, id)
		}
		q.lock.Unlock()
		if silent {
			q.tracker.outcome(unknownOutcome(id))
		}
	}
	q.endUnlessWaiting()
}

// endUnlessWaiting closes the connection once no request waits for anything on it, and
// looks again a while later.
func (q *question) endUnlessWaiting() {
	q.lock.Lock()
	ids, connection := slices.Collect(maps.Keys(q.births)), q.connection
	q.lock.Unlock()
	if !q.tracker.anyWaiting(ids) {
		connection.Close()
		return
	}
	q.tracker.back.After(q.tracker.settings.HeartbeatTimeout(), q.endUnlessWaiting)
}

// broke: what is still open is asked about again, if this connection came about and not
// too often; else it is unknown.
func (q *question) broke(connection Connection) {
	q.lock.Lock()
	births := maps.Clone(q.births)
	clear(q.births)
	q.lock.Unlock()
	maps.DeleteFunc(births, func(id string, _ int64) bool { return !q.tracker.anyWaiting([]string{id}) })
	if len(births) == 0 {
		return
	}
	if connection.Attached() && q.left > 0 {
		q.tracker.question(q.servingProxy, births, q.left)
		return
	}
	for _, id := range slices.Sorted(maps.Keys(births)) {
		q.tracker.outcome(unknownOutcome(id))
	}
}

// anyWaiting: some request still waits for one of these attempts.
func (d *Dispatcher) anyWaiting(ids []string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return slices.ContainsFunc(ids, func(id string) bool { return d.waiting[id] != nil })
}

func unknownOutcome(id string) message.Outcome {
	return message.Outcome{ID: id, Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownOutcome)}
}
