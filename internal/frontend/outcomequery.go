package frontend

import (
	"maps"
	"slices"
	"sync"

	"beaconvane/internal/message"
)

// maxOutcomeQueries is how often one attempt is asked about, each time on a new connection.
const maxOutcomeQueries = 4

// outcomeQuery asks a serving proxy what became of attempts whose connection broke. What it says
// is running is waited for as long as a connection to it stands and the request has time: an
// upstream at work is no reason to end a request. Only what nobody answers for is unknown.
type outcomeQuery struct {
	dispatcher   *Dispatcher
	servingProxy string
	remaining    int // further queries
	connection   Connection

	lock    sync.Mutex
	births  map[string]int64 // of the serving proxies that the attempts were sent to, by attempt
	running map[string]bool
}

// queryOutcomes asks about attempts, each given with the birth of the serving proxy that it was
// sent to.
func (d *Dispatcher) queryOutcomes(servingProxy string, births map[string]int64, remaining int) {
	q := &outcomeQuery{
		dispatcher:   d,
		servingProxy: servingProxy,
		remaining:    remaining - 1,
		births:       births,
		running:      map[string]bool{},
	}
	ids := slices.Sorted(maps.Keys(births))
	requests := make([]message.OutcomeRequest, 0, len(ids))
	for _, id := range ids {
		requests = append(requests, message.OutcomeRequest{ID: id, ServingProxyStartTime: births[id]})
	}
	connection := d.environment.Open(servingProxy, q.received, q.connectionLost)
	q.lock.Lock()
	q.connection = connection
	q.lock.Unlock()
	for _, request := range requests {
		// An attempt whose query can't be posted goes unanswered, and expires below.
		_ = connection.Post(request)
	}
	d.environment.After(d.settings.UpdatesEvery()*2, func() { q.expireUnanswered(ids) })
}

// received takes an answer to the query, or the outcome that comes later.
func (q *outcomeQuery) received(msg any) {
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
	settled, connection := len(q.births) == 0, q.connection
	q.lock.Unlock()
	q.dispatcher.handleReply(msg)
	if settled {
		connection.Close()
	}
}

// expireUnanswered ends the attempts for which the serving proxy has not answered in time.
func (q *outcomeQuery) expireUnanswered(ids []string) {
	for _, id := range ids {
		if q.dropUnanswered(id) {
			q.dispatcher.deliverOutcome(unknownOutcome(id))
		}
	}
	q.closeWhenSettled()
}

// dropUnanswered stops asking about an attempt of which nothing was heard, and reports whether it
// was one.
func (q *outcomeQuery) dropUnanswered(id string) bool {
	q.lock.Lock()
	defer q.lock.Unlock()
	_, open := q.births[id]
	if !open || q.running[id] {
		return false
	}
	delete(q.births, id)
	return true
}

// closeWhenSettled closes the connection once no request waits for anything on it, and otherwise
// looks again a while later.
func (q *outcomeQuery) closeWhenSettled() {
	q.lock.Lock()
	ids, connection := slices.Collect(maps.Keys(q.births)), q.connection
	q.lock.Unlock()
	if !q.dispatcher.anyPending(ids) {
		connection.Close()
		return
	}
	q.dispatcher.environment.After(q.dispatcher.settings.HeartbeatTimeout(), q.closeWhenSettled)
}

// connectionLost asks again about what is still open, if this connection came about and not too
// often. Otherwise it is unknown.
func (q *outcomeQuery) connectionLost(connection Connection) {
	q.lock.Lock()
	births := maps.Clone(q.births)
	clear(q.births)
	q.lock.Unlock()
	maps.DeleteFunc(births, func(id string, _ int64) bool { return !q.dispatcher.anyPending([]string{id}) })
	if len(births) == 0 {
		return
	}
	if connection.Established() && q.remaining > 0 {
		q.dispatcher.queryOutcomes(q.servingProxy, births, q.remaining)
		return
	}
	for _, id := range slices.Sorted(maps.Keys(births)) {
		q.dispatcher.deliverOutcome(unknownOutcome(id))
	}
}

// anyPending reports whether some request still waits for one of these attempts.
func (d *Dispatcher) anyPending(attemptIDs []string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return slices.ContainsFunc(attemptIDs, func(id string) bool { return d.pending[id] != nil })
}
