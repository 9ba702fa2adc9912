package frontend

import (
	"sync"
	"time"

	"beaconvane/internal/message"
)

// PendingRequest is a request without a final answer yet. At most one attempt of it is out at a
// time.
type PendingRequest struct {
	Request     *Request
	onAdmitted  func(deadline time.Duration)
	onDone      func(response *Response)
	submittedAt time.Duration

	lock       sync.Mutex
	attemptID  string     // of the attempt that is out; "" for none
	connection Connection // on which that attempt went out; nil for this proxy itself
	resolving  bool       // an outcome is in; the answer or the next attempt follows from it
	finished   bool
}

// AttemptOutcome is the outcome of an attempt on its way to StageOutcome.
type AttemptOutcome struct {
	Pending *PendingRequest
	Outcome message.Outcome
}

// beginAttempt notes the attempt that goes out now. It returns false when the request has been
// answered meanwhile.
func (p *PendingRequest) beginAttempt(attemptID string, connection Connection) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.finished {
		return false
	}
	p.attemptID, p.connection, p.resolving = attemptID, connection, false
	return true
}

// claimOutcome reports whether an outcome is the first one of the attempt that is out. From then
// on no other outcome counts for that attempt.
func (p *PendingRequest) claimOutcome(attemptID string) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.finished || p.attemptID != attemptID {
		return false
	}
	p.attemptID, p.resolving = "", true
	return true
}

// sentOn reports whether the attempt that is out went on a certain connection.
func (p *PendingRequest) sentOn(connection Connection) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.connection == connection
}

// finish reports whether the request had no final answer before. Only the first call does.
func (p *PendingRequest) finish() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.finished {
		return false
	}
	p.finished = true
	return true
}

// abandon ends the request, unless an answer is on its way. It gives the attempt that is out, if
// there is one, and its connection.
func (p *PendingRequest) abandon() (attemptID string, connection Connection, abandoned bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.finished || p.resolving {
		return "", nil, false
	}
	p.finished = true
	return p.attemptID, p.connection, true
}
