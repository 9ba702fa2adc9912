package transport

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
)

func TestReservationsFollowTheRate(t *testing.T) {
	c := qt.New(t)
	limited := &pacer{rate: 100000}
	startedAt := time.Now()
	var last time.Time
	for range 100 {
		limited.reserve(1000, func(due time.Time) bool { last = due; return true })
	}
	// 99 frames of 10 ms each precede the last one, less the permitted burst.
	wait := last.Sub(startedAt)
	c.Assert(wait >= 990*time.Millisecond-maxBurst, qt.IsTrue, qt.Commentf("%v", wait))
	c.Assert(wait <= 1200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", wait))
	backlog := limited.backlog()
	c.Assert(backlog > 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", backlog))

	// A frame that is not accepted reserves no time.
	limited.reserve(1<<20, func(time.Time) bool { return false })
	c.Assert(limited.backlog() <= backlog, qt.IsTrue)
}

func TestNoPacingWithoutRate(t *testing.T) {
	c := qt.New(t)
	unlimited := &pacer{}
	unlimited.reserve(1<<30, func(due time.Time) bool {
		c.Check(due.IsZero(), qt.IsTrue)
		return true
	})
	c.Assert(unlimited.backlog(), qt.Equals, time.Duration(0))
}

// receiver counts the bytes of traffic bodies, and closes control when a control message is received.
type receiver struct {
	lock    sync.Mutex
	traffic int
	control chan struct{}
}

func (r *receiver) handle(_ string, msg any, _ func(msg any) error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	switch received := msg.(type) {
	case message.Forward:
		r.traffic += len(received.Body)
	case message.UpdatesRequest:
		close(r.control)
	}
}

func (r *receiver) bytes() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.traffic
}

// A proxy with far more traffic than its link can carry stays within its rate limit, and a control message overtakes
// the queued traffic frames.
func TestControlDoesNotWaitBehindTraffic(t *testing.T) {
	c := qt.New(t)
	group := goroutine.New()
	defer group.Stop(time.Second)
	received := &receiver{control: make(chan struct{})}
	const queueLength, rate, body = 512, 200000, 4000
	from, err := New(group, testConfig(queueLength), func(string, any, func(any) error) {})
	c.Assert(err, qt.IsNil)
	to, err := New(group, testConfig(queueLength), received.handle)
	c.Assert(err, qt.IsNil)
	from.LimitRate(rate)
	from.Start()
	to.Start()
	defer from.Close()
	defer to.Close()

	startedAt := time.Now()
	traffic := from.OpenTraffic(to.address, func(any) {})
	for range 250 {
		forward := message.Forward{Headers: []message.HeaderLine{}, Body: make([]byte, body)}
		c.Assert(traffic.Post(forward), qt.IsNil)
	}
	c.Assert(from.Backlog() > time.Second, qt.IsTrue, qt.Commentf("%v", from.Backlog()))
	c.Assert(from.Send(to.address, message.UpdatesRequest{Positions: []message.Position{}}), qt.IsNil)
	select {
	case <-received.control:
	case <-time.After(time.Second):
		c.Fatal("the control message was not received within a second")
	}
	time.Sleep(300 * time.Millisecond)
	elapsed := time.Since(startedAt) + maxBurst
	maxBytes := int(elapsed.Seconds()*rate) + body
	comment := qt.Commentf("received %d bytes in %v, the rate limit allows %d", received.bytes(), elapsed, maxBytes)
	c.Assert(received.bytes() <= maxBytes, qt.IsTrue, comment)
	c.Assert(received.bytes() > 0, qt.IsTrue)
}
