package api

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/settings"
)

// newTestOrders returns the limits of a registry with memory for two configurations of the largest size.
func newTestOrders() *orders {
	cfg := settings.Default()
	cfg.Limits.Configuration, cfg.Limits.Memory = 1<<20, 17
	return newOrders(cfg)
}

// readOrder reads a body of a size, of a known length or in chunks, and returns the status of the refusal, or 0.
func readOrder(o *orders, size int, chunked bool) (status int, release func()) {
	request := httptest.NewRequest(http.MethodPut, "/x", io.NopCloser(bytes.NewReader(make([]byte, size))))
	request.ContentLength = int64(size)
	if chunked {
		request.ContentLength = -1
	}
	recorder := httptest.NewRecorder()
	body, release, complete := o.read(recorder, request)
	if !complete {
		return recorder.Code, release
	}
	if len(body) != size {
		panic("incomplete body")
	}
	return 0, release
}

// Guards against large configurations that take a registry over its memory when several come at once. A small one
// beside them is read.
func TestOrdersAreBoundedTogether(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		c := qt.New(t)
		o := newTestOrders()
		first, releaseFirst := readOrder(o, 1<<20, chunked)
		second, releaseSecond := readOrder(o, 1<<20, chunked)
		c.Assert([]int{first, second}, qt.DeepEquals, []int{0, 0})
		third, releaseThird := readOrder(o, 1<<20, chunked)
		c.Assert(third, qt.Equals, http.StatusServiceUnavailable)
		small, releaseSmall := readOrder(o, 1000, false)
		c.Assert(small, qt.Equals, 0)
		releaseFirst()
		again, releaseAgain := readOrder(o, 1<<20, chunked)
		c.Assert(again, qt.Equals, 0)
		for _, release := range []func(){releaseSecond, releaseThird, releaseSmall, releaseAgain} {
			release()
		}
		c.Assert(o.bodies.Used(), qt.Equals, int64(0))
	}
}

// A configuration over the limit is refused before it is read where its length is known.
func TestOversizedOrderIsNotRead(t *testing.T) {
	c := qt.New(t)
	for _, chunked := range []bool{false, true} {
		status, release := readOrder(newTestOrders(), 2<<20, chunked)
		release()
		c.Assert(status, qt.Equals, http.StatusRequestEntityTooLarge)
	}
}

// Large configurations are checked one after the other; a small one and one whose caller gives up don't wait.
func TestLargeOrdersAreCheckedInTurn(t *testing.T) {
	c := qt.New(t)
	o := newTestOrders()
	expired, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	checks := 0
	count := func() { checks++ }
	c.Assert(o.check(context.Background(), 1<<20, func() {
		c.Check(o.check(expired, 1<<20, count), qt.IsFalse)
		c.Check(o.check(context.Background(), 1000, count), qt.IsTrue)
	}), qt.IsTrue)
	c.Assert(o.check(context.Background(), 1<<20, count), qt.IsTrue)
	c.Assert(checks, qt.Equals, 2)
}
