package transport

// This file gives traffic its turns on the machine's link. Whatever is posted reserves the
// time that its bytes take at a rate somewhat below the link's; traffic frames are written
// when their time comes, control messages at once. So the kernel's buffers and the link's
// queue stay short, and a control message does not wait behind requests and answers.

import (
	"sync"
	"time"
)

// pacedBurst is how much unused time may be caught up on.
const pacedBurst = 20 * time.Millisecond

// pacer is the link's reservations. Its zero value bounds nothing.
type pacer struct {
	lock sync.Mutex
	rate int64     // bytes a second; 0: not bounded
	free time.Time // when all that was accepted will have been sent
}

// reserve offers a frame of so many bytes together with the moment of its turn, and
// counts it when it was taken.
func (p *pacer) reserve(size int, take func(due time.Time) bool) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.rate == 0 {
		return take(time.Time{})
	}
	due := p.start(time.Now())
	if !take(due) {
		return false
	}
	p.free = due.Add(time.Duration(int64(size) * int64(time.Second) / p.rate))
	return true
}

// charge counts bytes that were sent without waiting for a turn.
func (p *pacer) charge(size int) {
	p.reserve(size, func(time.Time) bool { return true })
}

// backlog is how long a frame that was posted now would wait for its turn.
func (p *pacer) backlog() time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.rate == 0 {
		return 0
	}
	return max(0, time.Until(p.free))
}

// start is the turn of the next frame.
func (p *pacer) start(now time.Time) time.Time {
	if earliest := now.Add(-pacedBurst); p.free.Before(earliest) {
		return earliest
	}
	return p.free
}

// LimitRate bounds what traffic sends to so many bytes a second; before Start.
func (w *Transport) LimitRate(bytesPerSecond int64) { w.pacer.rate = bytesPerSecond }

// Backlog is how long a frame that was posted now would wait for its turn on the link.
func (w *Transport) Backlog() time.Duration { return w.pacer.backlog() }
