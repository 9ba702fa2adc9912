package transport

import (
	"sync"
	"time"
)

// maxBurst is how much unused time on the link may be made up for.
const maxBurst = 20 * time.Millisecond

// pacer gives frames their turns on the machine's link. Whatever is posted reserves the time that its
// bytes take at a rate somewhat below the link's. Traffic frames are written when their time comes,
// control messages at once, so that the kernel's buffers and the link's queue stay short, and a control
// message does not wait behind requests and answers. The zero value bounds nothing.
type pacer struct {
	rate int64 // bytes a second; 0: not bounded

	lock   sync.Mutex
	freeAt time.Time // when all that was accepted will have been sent
}

// reserve offers the turn of a frame of so many bytes to accept, and counts the frame if that takes it.
// The turn is zero, which means at once, without a rate.
func (p *pacer) reserve(size int, accept func(due time.Time) bool) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.rate == 0 {
		return accept(time.Time{})
	}
	due := p.nextDue(time.Now())
	if !accept(due) {
		return false
	}
	p.freeAt = due.Add(time.Duration(int64(size) * int64(time.Second) / p.rate))
	return true
}

// charge counts bytes that were sent without waiting for a turn.
func (p *pacer) charge(size int) {
	p.reserve(size, func(time.Time) bool { return true })
}

// backlog returns how long a frame that was posted now would wait for its turn.
func (p *pacer) backlog() time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.rate == 0 {
		return 0
	}
	return max(0, time.Until(p.freeAt))
}

// nextDue returns the turn of the next frame.
func (p *pacer) nextDue(now time.Time) time.Time {
	if earliest := now.Add(-maxBurst); p.freeAt.Before(earliest) {
		return earliest
	}
	return p.freeAt
}
