package frontend

import (
	"sort"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/safeguard"
)

// connectionTo returns the connection to a serving proxy, or nil if that is this proxy. It opens a
// new connection if there is none or the existing one is broken.
func (d *Dispatcher) connectionTo(servingProxy string) Connection {
	if servingProxy == d.address {
		return nil
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	connection := d.connections[servingProxy]
	if connection == nil || connection.Broken() {
		connection = d.environment.Open(servingProxy, d.handleReply, func(broken Connection) { d.connectionLost(servingProxy, broken) })
		d.connections[servingProxy] = connection
	}
	return connection
}

// AttemptsOn returns the number of attempts without an outcome that were sent on a connection.
func (d *Dispatcher) AttemptsOn(connection Connection) int {
	d.lock.Lock()
	defer d.lock.Unlock()
	count := 0
	for _, pending := range d.pending {
		if pending.sentOn(connection) {
			count++
		}
	}
	return count
}

// connectionLost resolves the attempts without an outcome that were sent on a broken connection.
// Only attempts of this connection are resolved: the state of another connection to the same
// serving proxy is no evidence about them.
func (d *Dispatcher) connectionLost(servingProxy string, connection Connection) {
	startTimes, ids := d.removeConnection(servingProxy, connection)
	if len(ids) == 0 {
		return
	}
	if !connection.Established() || !safeguard.NeverAttached.On() {
		for _, id := range ids {
			d.deliverOutcome(notStartedOutcome(id))
		}
		return
	}
	d.queryOutcomes(servingProxy, startTimes, maxOutcomeQueries)
}

// removeConnection removes a broken connection. It returns the sorted ids of the attempts without
// an outcome that were sent on it, and for each the start time of its serving proxy.
func (d *Dispatcher) removeConnection(servingProxy string, connection Connection) (startTimes map[string]int64, ids []string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	startTimes = map[string]int64{}
	for id, pending := range d.pending {
		if pending.sentOn(connection) {
			startTimes[id] = pending.Request.Target.ServingProxyStartTime
			ids = append(ids, id)
		}
	}
	if d.connections[servingProxy] == connection {
		delete(d.connections, servingProxy)
	}
	sort.Strings(ids)
	return startTimes, ids
}

// handleReply processes a frame that a serving proxy sent back. Frames other than final outcomes
// are ignored.
func (d *Dispatcher) handleReply(msg any) {
	if outcome, isOutcome := msg.(message.Outcome); isOutcome && outcome.Kind != message.StillRunning {
		d.deliverOutcome(outcome)
	}
}

// deliverOutcome enqueues the first outcome of an attempt for StageOutcome. It drops later
// outcomes, and those of attempts that are no longer pending.
func (d *Dispatcher) deliverOutcome(outcome message.Outcome) {
	d.lock.Lock()
	pending, known := d.pending[outcome.ID]
	delete(d.pending, outcome.ID)
	d.lock.Unlock()
	if known && pending.claimOutcome(outcome.ID) {
		// Enqueue can't fail here: the queue holds an outcome of every request in flight.
		d.environment.Enqueue(StageOutcome, AttemptOutcome{pending, outcome})
		return
	}
	d.answerDropped(outcome.ID)
}

// notStartedOutcome returns the outcome of an attempt that did not reach its serving proxy.
func notStartedOutcome(attemptID string) message.Outcome {
	return message.Outcome{ID: attemptID, Kind: message.NotStarted, Code: int64(errcode.BusyServingProxyLost)}
}

// unknownOutcome returns the outcome of an attempt whose result can't be determined.
func unknownOutcome(attemptID string) message.Outcome {
	return message.Outcome{ID: attemptID, Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownOutcome)}
}
