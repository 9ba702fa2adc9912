package frontend

import (
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/locking"
	"beaconvane/internal/message"
	"beaconvane/internal/quota"
	"beaconvane/internal/settings"
	"beaconvane/internal/transport"
)

const (
	// frameCopies is how often the body of a received frame is in memory: in the frame, and in the decoded message.
	frameCopies = 2

	// maxAnswerWait is how long a large answer may wait for memory. Meanwhile its connection reads nothing else.
	maxAnswerWait = 250 * time.Millisecond
	// answerRetryInterval is the interval at which a waiting answer asks for memory again.
	answerRetryInterval = 2 * time.Millisecond
)

// transferMemory limits the memory of the large frames that this proxy receives: requests that are forwarded to its
// upstreams, and answers for its callers. It is safe for concurrent use.
type transferMemory struct {
	forwards heldMemory
	answers  heldMemory
}

// newTransferMemory returns the limits of the settings.
func newTransferMemory(cfg settings.Settings) *transferMemory {
	return &transferMemory{
		forwards: newHeldMemory(cfg.ForwardMemory()),
		answers:  newHeldMemory(cfg.ResponseMemory()),
	}
}

// heldMemory is a quota of which bytes are held by attempt id.
type heldMemory struct {
	bytes *quota.Bytes
	lock  *locking.Mutex
	held  map[string]int64
}

func newHeldMemory(limit int64) heldMemory {
	return heldMemory{bytes: quota.New(limit), lock: &locking.Mutex{}, held: map[string]int64{}}
}

// hold reserves bytes for an attempt. It returns false if they are not available, or if the attempt holds some.
func (h heldMemory) hold(attemptID string, size int64) bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	if _, holds := h.held[attemptID]; holds || !h.bytes.Reserve(size) {
		return false
	}
	h.held[attemptID] = size
	return true
}

// release returns the bytes of an attempt, if it holds any.
func (h heldMemory) release(attemptID string) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.bytes.Release(h.held[attemptID])
	delete(h.held, attemptID)
}

// gateLargeFrame implements transport.LargeFrameGate. A forwarded request that does not fit in the memory is refused
// before it is read, so that nothing of it ran. An answer that does not fit for a while is given up: the request has
// run, and its caller is told so.
func (p *Pipeline) gateLargeFrame(head []byte, size int64, reply func(msg any) error) (accepted bool, failed func()) {
	attempt, found := message.PeekAttempt(head)
	switch {
	case !found:
		return true, func() {}
	case attempt.IsForward:
		return p.gateForward(attempt.ID, size, reply)
	}
	return p.gateAnswer(attempt.ID, size)
}

// gateForward decides whether a large forwarded request is read.
func (p *Pipeline) gateForward(attemptID string, size int64, reply func(msg any) error) (accepted bool, failed func()) {
	if !p.transfers.forwards.hold(attemptID, size*frameCopies) {
		sendReply(reply, message.Outcome{ID: attemptID, Kind: message.NotStarted, Code: int64(errcode.BusyBodies)})
		return false, nil
	}
	return true, func() { p.transfers.forwards.release(attemptID) }
}

// gateAnswer decides whether a large answer is read.
func (p *Pipeline) gateAnswer(attemptID string, size int64) (accepted bool, failed func()) {
	for end := time.Now().Add(maxAnswerWait); p.isPending(attemptID); time.Sleep(answerRetryInterval) {
		if p.transfers.answers.hold(attemptID, size*frameCopies) {
			return true, func() { p.transfers.answers.release(attemptID) }
		}
		if time.Now().After(end) {
			p.handleReply(message.Outcome{ID: attemptID, Kind: message.OutcomeUnknown, Code: int64(errcode.AnswerTooLarge)})
			break
		}
	}
	return false, nil
}

// isPending reports whether an attempt has no outcome yet.
func (d *Dispatcher) isPending(attemptID string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	_, pending := d.pending[attemptID]
	return pending
}

var _ transport.LargeFrameGate = (*Pipeline)(nil).gateLargeFrame
