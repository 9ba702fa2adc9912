package frontend

import (
	"sort"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/safeguard"
)

// connectionTo returns the connection to a serving proxy, opened anew where it broke, or nil for
// this proxy itself.
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

// AttemptsOn counts the attempts that are out on a connection.
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

// connectionLost settles the attempts that were out on a connection that broke. Another
// connection to the same serving proxy says nothing of what this one carried, so only attempts
// of this very connection are settled.
func (d *Dispatcher) connectionLost(servingProxy string, connection Connection) {
	births, ids := d.forgetConnection(servingProxy, connection)
	if len(ids) == 0 {
		return
	}
	if !connection.Established() || !safeguard.NeverAttached.On() {
		for _, id := range ids {
			d.deliverOutcome(notStartedOutcome(id))
		}
		return
	}
	d.queryOutcomes(servingProxy, births, maxOutcomeQueries)
}

// forgetConnection removes a broken connection, and returns the attempts that were out on it, in
// order, and for each the birth of the serving proxy that it was sent to.
func (d *Dispatcher) forgetConnection(servingProxy string, connection Connection) (births map[string]int64, ids []string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	births = map[string]int64{}
	for id, pending := range d.pending {
		if pending.sentOn(connection) {
			births[id] = pending.Request.Target.ServingProxyStartTime
			ids = append(ids, id)
		}
	}
	if d.connections[servingProxy] == connection {
		delete(d.connections, servingProxy)
	}
	sort.Strings(ids)
	return births, ids
}

// handleReply takes what a serving proxy sends back.
func (d *Dispatcher) handleReply(msg any) {
	if outcome, isOutcome := msg.(message.Outcome); isOutcome && outcome.Kind != message.StillRunning {
		d.deliverOutcome(outcome)
	}
}

// deliverOutcome passes the first outcome of an attempt on. Later ones, and those of requests
// that nobody waits for, are dropped.
func (d *Dispatcher) deliverOutcome(outcome message.Outcome) {
	d.lock.Lock()
	pending, known := d.pending[outcome.ID]
	delete(d.pending, outcome.ID)
	d.lock.Unlock()
	if known && pending.claimOutcome(outcome.ID) {
		// Never refused: the queue has room for every request inside.
		d.environment.Enqueue(StageOutcome, AttemptOutcome{pending, outcome})
	}
}

// notStartedOutcome is the outcome of an attempt that never reached its serving proxy.
func notStartedOutcome(attemptID string) message.Outcome {
	return message.Outcome{ID: attemptID, Kind: message.NotStarted, Code: int64(errcode.BusyServingProxyLost)}
}

// unknownOutcome is the outcome of an attempt that nobody can answer for.
func unknownOutcome(attemptID string) message.Outcome {
	return message.Outcome{ID: attemptID, Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownOutcome)}
}
