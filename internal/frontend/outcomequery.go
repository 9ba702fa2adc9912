package frontend

import (
	"maps"
	"slices"

	"beaconvane/internal/locking"
	"beaconvane/internal/message"
)

// maxOutcomeQueries is the maximum number of queries for one attempt, each on a new connection.
const maxOutcomeQueries = 4

// outcomeQuery asks a serving proxy for the outcomes of attempts whose connection broke. An attempt
// that the serving proxy reports as running stays pending until the request's deadline, or until
// connections to the serving proxy fail: a running upstream is no reason to end a request. Only an
// attempt without a reply becomes unknown.
type outcomeQuery struct {
	dispatcher       *Dispatcher
	servingProxy     string
	remainingQueries int // after this one
	connection       Connection

	lock       locking.Mutex
	startTimes map[string]int64 // by attempt id: start time of the serving proxy it was sent to
	running    map[string]bool  // by attempt id: reported as running
}

// queryOutcomes sends outcome requests for attempts on a new connection. startTimes has, by attempt
// id, the start time of the serving proxy that the attempt was sent to.
func (d *Dispatcher) queryOutcomes(servingProxy string, startTimes map[string]int64, remaining int) {
	q := &outcomeQuery{
		dispatcher:       d,
		servingProxy:     servingProxy,
		remainingQueries: remaining - 1,
		startTimes:       startTimes,
		running:          map[string]bool{},
	}
	ids := slices.Sorted(maps.Keys(startTimes))
	requests := make([]message.OutcomeRequest, 0, len(ids))
	for _, id := range ids {
		requests = append(requests, message.OutcomeRequest{ID: id, ServingProxyStartTime: startTimes[id]})
	}
	connection := d.environment.Open(servingProxy, q.received, q.connectionLost)
	q.lock.Lock()
	q.connection = connection
	q.lock.Unlock()
	for _, request := range requests {
		// An attempt whose query can't be posted gets no reply, and expires below.
		_ = connection.Post(request)
	}
	d.environment.After(d.settings.UpdatesEvery()*2, func() { q.expireUnanswered(ids) })
}

// received processes a reply to the query, or the outcome of an attempt that was reported as
// running. It closes the connection once every attempt is resolved.
func (q *outcomeQuery) received(msg any) {
	outcome, isOutcome := msg.(message.Outcome)
	if !isOutcome {
		return
	}
	q.lock.Lock()
	if outcome.Kind == message.StillRunning {
		q.running[outcome.ID] = true
	} else {
		delete(q.startTimes, outcome.ID)
	}
	resolved, connection := len(q.startTimes) == 0, q.connection
	q.lock.Unlock()
	q.dispatcher.handleReply(msg)
	if resolved {
		connection.Close()
	}
}

// expireUnanswered resolves the attempts without a reply as unknown.
func (q *outcomeQuery) expireUnanswered(ids []string) {
	for _, id := range ids {
		if q.dropUnanswered(id) {
			q.dispatcher.deliverOutcome(unknownOutcome(id))
		}
	}
	q.closeWhenSettled()
}

// dropUnanswered removes an attempt if the serving proxy has sent no reply for it, and reports
// whether it did.
func (q *outcomeQuery) dropUnanswered(id string) bool {
	q.lock.Lock()
	defer q.lock.Unlock()
	_, unresolved := q.startTimes[id]
	if !unresolved || q.running[id] {
		return false
	}
	delete(q.startTimes, id)
	return true
}

// closeWhenSettled closes the connection if none of its attempts is pending. Otherwise it checks
// again after one heartbeat timeout.
func (q *outcomeQuery) closeWhenSettled() {
	q.lock.Lock()
	ids, connection := slices.Collect(maps.Keys(q.startTimes)), q.connection
	q.lock.Unlock()
	if !q.dispatcher.anyPending(ids) {
		connection.Close()
		return
	}
	q.dispatcher.environment.After(q.dispatcher.settings.HeartbeatTimeout(), q.closeWhenSettled)
}

// connectionLost starts another query for the attempts that are still pending, if this connection
// was established and queries remain. Otherwise it resolves them as unknown.
func (q *outcomeQuery) connectionLost(connection Connection) {
	q.lock.Lock()
	startTimes := maps.Clone(q.startTimes)
	clear(q.startTimes)
	q.lock.Unlock()
	maps.DeleteFunc(startTimes, func(id string, _ int64) bool { return !q.dispatcher.anyPending([]string{id}) })
	if len(startTimes) == 0 {
		return
	}
	if connection.Established() && q.remainingQueries > 0 {
		q.dispatcher.queryOutcomes(q.servingProxy, startTimes, q.remainingQueries)
		return
	}
	for _, id := range slices.Sorted(maps.Keys(startTimes)) {
		q.dispatcher.deliverOutcome(unknownOutcome(id))
	}
}

// anyPending reports whether at least one of the attempts has no outcome yet.
func (d *Dispatcher) anyPending(attemptIDs []string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return slices.ContainsFunc(attemptIDs, func(id string) bool { return d.pending[id] != nil })
}
