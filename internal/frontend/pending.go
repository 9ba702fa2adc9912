package frontend

import (
	"time"

	"beaconvane/internal/locking"
	"beaconvane/internal/message"
)

// PendingRequest is a request without a final answer. At most one of its attempts is in progress at
// a time.
type PendingRequest struct {
	Request     *Request
	onAdmitted  func(deadline time.Duration)
	onDone      func(response *Response)
	submittedAt time.Duration

	lock       locking.Mutex
	attemptID  string     // of the attempt in progress; "" for none
	connection Connection // on which that attempt was sent; nil if this proxy is the serving proxy
	resolving  bool       // an outcome has arrived; the answer or the next attempt follows
	resolvedBy string     // the latest attempt that had an outcome
	finished   bool
}

// AttemptOutcome is an item of StageOutcome: an attempt's outcome and its request.
type AttemptOutcome struct {
	Pending *PendingRequest
	Outcome message.Outcome
}

// beginAttempt records the attempt that is about to be sent. It returns false if the request has
// its final answer.
func (p *PendingRequest) beginAttempt(attemptID string, connection Connection) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.finished {
		return false
	}
	p.attemptID, p.connection, p.resolving = attemptID, connection, false
	return true
}

// claimOutcome reports whether an outcome is the first one of the attempt in progress. After that,
// it returns false for every other outcome of that attempt.
func (p *PendingRequest) claimOutcome(attemptID string) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.finished || p.attemptID != attemptID {
		return false
	}
	p.attemptID, p.resolving, p.resolvedBy = "", true, attemptID
	return true
}

// answeredBy returns the id of the latest attempt that had an outcome, or "".
func (p *PendingRequest) answeredBy() string {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.resolvedBy
}

// sentOn reports whether the latest attempt was sent on the given connection.
func (p *PendingRequest) sentOn(connection Connection) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.connection == connection
}

// finish marks the request as answered. It returns false if it already was.
func (p *PendingRequest) finish() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.finished {
		return false
	}
	p.finished = true
	return true
}

// abandon marks the request as answered, unless it already is or an outcome is being processed. It
// returns the attempt in progress, if any, and its connection.
func (p *PendingRequest) abandon() (attemptID string, connection Connection, abandoned bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.finished || p.resolving {
		return "", nil, false
	}
	p.finished = true
	return p.attemptID, p.connection, true
}
