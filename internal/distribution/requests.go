package distribution

import (
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// recordedRounds is the number of most recent requests to one parent whose send times are kept.
const recordedRounds = 64

// initialRequestRate is the number of requests per update interval while some subscribed topic has not
// been known to be current since the process started.
const initialRequestRate = 4

// requestLog contains the unanswered requests to the current parent and to earlier ones. On congested
// links an answer may arrive after its parent was left; its content is still valid.
type requestLog struct {
	rounds    statemachine.Sequence      // numbers the requests
	pending   map[int64]time.Duration    // send time of each unanswered request to the current parent, by round
	abandoned map[int64]abandonedRequest // unanswered requests to earlier parents, by round
}

// abandonedRequest is a request to a parent that was left before it answered.
type abandonedRequest struct {
	parent string
	sentAt time.Duration
}

func newRequestLog() requestLog {
	return requestLog{pending: map[int64]time.Duration{}, abandoned: map[int64]abandonedRequest{}}
}

// record adds a request that is sent now and returns its round.
func (l *requestLog) record(env *statemachine.Env) int64 {
	round := l.rounds.Next(env)
	l.pending[round] = env.Now
	delete(l.pending, round-recordedRounds)
	return round
}

// acknowledge removes the pending requests up to and including the answered round.
func (l *requestLog) acknowledge(answered int64) {
	for round := range l.pending {
		if round <= answered {
			delete(l.pending, round)
		}
	}
}

// abandon moves the pending requests to the abandoned ones when their parent is left.
func (l *requestLog) abandon(parent string) {
	for round, sentAt := range l.pending {
		l.abandoned[round] = abandonedRequest{parent, sentAt}
	}
	l.pending = map[int64]time.Duration{}
}

// reset prepares the log for a new parent and drops abandoned requests older than limit, which can no
// longer be answered.
func (l *requestLog) reset(now, limit time.Duration) {
	for round, request := range l.abandoned {
		if now-request.sentAt > limit {
			delete(l.abandoned, round)
		}
	}
	l.pending = map[int64]time.Duration{}
}

// request sends the parent an UpdatesRequest with this node's positions, and resumes stalled downloads.
func (d *Distribution) request(env *statemachine.Env) {
	d.nextRequestAt = env.Now + d.requestInterval()
	round := d.requests.record(env)
	positions := []message.Position{}
	for _, topic := range d.requiredTopics() {
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

// requestInterval returns the time until the next request.
func (d *Distribution) requestInterval() time.Duration {
	if d.initializing() {
		return d.settings.UpdatesEvery() / initialRequestRate
	}
	return d.settings.UpdatesEvery()
}

// initializing reports whether some topic that this node has subscribed to for itself has not been
// known to be current since the process started.
func (d *Distribution) initializing() bool {
	for topic := range d.subscribed {
		if !d.topics[topic].fresh() {
			return true
		}
	}
	return false
}
