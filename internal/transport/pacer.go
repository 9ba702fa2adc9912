package transport

import (
	"time"

	"beaconvane/internal/locking"
)

// maxBurst limits the burst after an idle period: the time by which sending may run ahead of the rate.
const maxBurst = 20 * time.Millisecond

// pacer schedules the frames of all connections on the machine's link. Every frame reserves the time that its bytes
// take at rate, which should be somewhat below the rate of the link. Traffic frames are written when they are due,
// control messages immediately. This keeps the kernel's buffers and the queue of the link short, so that a control
// message doesn't wait behind requests and responses. The zero value imposes no limit.
type pacer struct {
	rate int64 // bytes per second; 0 for no limit. Set before the transport starts

	lock   locking.Mutex
	freeAt time.Time // end of the last reservation
}

// reserve calls accept with the time at which a frame of size bytes is due, and reserves the time on the link if
// accept returns true. Without a rate limit, due is zero, which means immediately.
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

// charge reserves time for bytes that were sent without pacing.
func (p *pacer) charge(size int) {
	p.reserve(size, func(time.Time) bool { return true })
}

// backlog returns how long a frame that is posted now would wait until it is due.
func (p *pacer) backlog() time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.rate == 0 {
		return 0
	}
	return max(0, time.Until(p.freeAt))
}

// nextDue returns the time at which the next frame is due.
func (p *pacer) nextDue(now time.Time) time.Time {
	if earliest := now.Add(-maxBurst); p.freeAt.Before(earliest) {
		return earliest
	}
	return p.freeAt
}
