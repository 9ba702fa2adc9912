package distribution

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// maxPending is how many rounds of requests to one parent are remembered.
const maxPending = 64

// initialRequestRate is how many requests are sent in an update interval while some topic has not
// been known current in this life.
const initialRequestRate = 4

// requestLog is the requests that have not been answered: those to the parent, and those to the
// parents before it. Where links are crowded an answer may come after its parent was given up, and
// what it says is no less true.
type requestLog struct {
	round     int64                      // of the last request in this life
	pending   map[int64]time.Duration    // when each was sent to the parent, by round
	abandoned map[int64]abandonedRequest // by round
}

// abandonedRequest is a request to a parent that was left before it answered.
type abandonedRequest struct {
	parent string
	sentAt time.Duration
}

func newRequestLog() requestLog {
	return requestLog{pending: map[int64]time.Duration{}, abandoned: map[int64]abandonedRequest{}}
}

// begin notes a request that is sent now and returns its round.
func (l *requestLog) begin(now time.Duration) int64 {
	l.round++
	l.pending[l.round] = now
	delete(l.pending, l.round-maxPending)
	return l.round
}

// acknowledge removes the requests up to a round, which the parent has answered.
func (l *requestLog) acknowledge(answered int64) {
	for round := range l.pending {
		if round <= answered {
			delete(l.pending, round)
		}
	}
}

// abandon keeps the pending requests apart when their parent is left.
func (l *requestLog) abandon(parent string) {
	for round, sentAt := range l.pending {
		l.abandoned[round] = abandonedRequest{parent, sentAt}
	}
	l.pending = map[int64]time.Duration{}
}

// restart begins with a new parent, and forgets abandoned requests older than a limit, to which no
// answer can be on its way any more.
func (l *requestLog) restart(now, limit time.Duration) {
	for round, request := range l.abandoned {
		if now-request.sentAt > limit {
			delete(l.abandoned, round)
		}
	}
	l.pending = map[int64]time.Duration{}
}

// request asks the parent for what is new.
func (d *Distribution) request(env *statemachine.Env) {
	d.nextRequestAt = env.Now + d.requestInterval()
	round := d.requests.begin(env.Now)
	positions := []message.Position{}
	for _, topic := range d.wanted() {
		positions = append(positions, d.topics[topic].requestPosition())
	}
	self := d.membership.Self()
	env.Send(d.parent.address, message.UpdatesRequest{
		Round:      round,
		Child:      self.Name,
		Role:       self.Role,
		LastResort: d.parent.lastResort,
		Positions:  positions,
	})
	d.resumeDownloads(env)
}

// requestInterval is the time to the next request.
func (d *Distribution) requestInterval() time.Duration {
	if d.initializing() {
		return d.settings.UpdatesEvery() / initialRequestRate
	}
	return d.settings.UpdatesEvery()
}

// initializing reports whether some topic that this node wants for itself has never been known
// current in this life.
func (d *Distribution) initializing() bool {
	for topic := range d.subscribed {
		if !d.topics[topic].fresh() {
			return true
		}
	}
	return false
}
