// Tests that calls made by running retries spend the retry budget of the called service.
package frontend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// fixedRetryMonitor is a RetryMonitor with a fixed share of retries. It records the last pause.
type fixedRetryMonitor struct {
	share       float64
	pausedUntil time.Duration
}

func (r *fixedRetryMonitor) RetryShare() float64              { return r.share }
func (r *fixedRetryMonitor) PauseRetries(until time.Duration) { r.pausedUntil = until }

// countForwardedCalls sends 200 requests and returns how many were assigned to an upstream. Without
// a key they are calls of running requests.
func countForwardedCalls(c *qt.C, share float64, key string) int {
	f := newHostFrontend(c, readyUpstream("one", "here"))
	monitor := &fixedRetryMonitor{share: share}
	f.UseRetryMonitor(monitor)
	random, forwarded := rand.New(rand.NewPCG(1, 2)), 0
	for range 200 {
		request := newHostRequest("/free/x", key)
		c.Assert(f.admit(time.Second, time.Now(), request), qt.IsNil)
		response := f.selectUpstream(time.Second, request, random)
		if response == nil {
			forwarded++
			f.release(request)
			continue
		}
		c.Assert(response.Code, qt.Equals, errcode.BusyBudget)
		c.Assert(response.RetryAfter > 0, qt.IsTrue)
		c.Assert(monitor.pausedUntil > time.Second, qt.IsTrue) // retries are paused
	}
	return forwarded
}

// The share of retries among running requests determines how many of their calls spend the retry
// budget.
func TestCallsOfRepeatsDrawOnTheBudget(t *testing.T) {
	c := qt.New(t)
	c.Assert(countForwardedCalls(c, 0, ""), qt.Equals, 200)
	c.Assert(countForwardedCalls(c, 1, "secret"), qt.Equals, 200) // not nested
	c.Assert(countForwardedCalls(c, 1, ""), qt.Equals, 0)         // no allowance within the retry window, and no first attempts
	// Half of the calls count as retries; the budget admits one fifth as many retries as first attempts.
	forwarded := countForwardedCalls(c, 0.5, "")
	c.Assert(forwarded > 90 && forwarded < 140, qt.IsTrue, qt.Commentf("%d", forwarded))
}

// A forwarded retry is marked as one, and the serving proxy measures the share of retries from the
// marks.
func TestRepeatsAreTold(t *testing.T) {
	c := qt.New(t)
	f := newHostFrontend(c, readyUpstream("one", "here"), readyUpstream("two", "here"))
	random := rand.New(rand.NewPCG(1, 2))
	request := newHostRequest("/pay/x", "secret")
	c.Assert(f.admit(pastRetryWindow, time.Now(), request), qt.IsNil)
	c.Assert(f.selectUpstream(pastRetryWindow, request, random), qt.IsNil)
	c.Assert(f.forwardFrame(pastRetryWindow, request, "me", "1").Retried, qt.IsFalse)
	c.Assert(f.evaluateOutcome(pastRetryWindow, request, message.Outcome{
		Kind:            message.NotStarted,
		Code:            int64(errcode.BusySlotsFull),
		ReachedUpstream: true,
	}), qt.IsNil)
	c.Assert(f.selectUpstream(pastRetryWindow, request, random), qt.IsNil)
	retry := f.forwardFrame(pastRetryWindow, request, "me", "2")
	c.Assert(retry.Retried, qt.IsTrue)

	serving := backend.New(f.settings, func(message.Forward) errcode.Code { return errcode.OK })
	for _, name := range []string{"one", "two"} {
		announcement := backend.Announcement{Service: "pay", Instance: name, Incarnation: 1, Address: name, Zone: "here", Slots: 4}
		serving.Announce(pastRetryWindow, announcement)
	}
	c.Assert(serving.RetryShare(), qt.Equals, 0.0)
	start := func(number int, retried, once bool) {
		forward := retry
		forward.ID, forward.Retried, forward.AtMostOnce = fmt.Sprint(number, retried, once), retried, once
		decisions := serving.HandleForward(pastRetryWindow, forward)
		c.Assert(decisions, qt.HasLen, 1)
		c.Assert(decisions[0].Start, qt.IsTrue)
		serving.Complete(pastRetryWindow, decisions[0], message.Outcome{Kind: message.Completed, Status: 200})
	}
	for number := range 300 {
		start(number, number%3 == 0, false)
		start(number, false, true) // at-most-once requests do not affect the share
	}
	share := serving.RetryShare()
	c.Assert(share > 0.25 && share < 0.42, qt.IsTrue, qt.Commentf("%v", share))
	for number := range 300 {
		start(1000+number, false, false)
	}
	c.Assert(serving.RetryShare() < 0.001, qt.IsTrue)
}

// While retries are paused, because the called services have no retry budget left, no retry starts.
// First attempts still start.
func TestBarredRepeatsDoNotStart(t *testing.T) {
	c := qt.New(t)
	serving := backend.New(settings.Default(), func(message.Forward) errcode.Code { return errcode.OK })
	announcement := backend.Announcement{Service: "pay", Instance: "one", Incarnation: 1, Address: "one", Zone: "here", Slots: 4}
	serving.Announce(pastRetryWindow, announcement)
	serving.PauseRetries(pastRetryWindow + time.Second)
	start := func(id string, now time.Duration, retried bool) backend.Decision {
		decisions := serving.HandleForward(now, message.Forward{
			ID:          id,
			Service:     "pay",
			Instance:    "one",
			Incarnation: 1,
			Remaining:   int64(time.Second),
			Retried:     retried,
		})
		c.Assert(decisions, qt.HasLen, 1)
		return decisions[0]
	}
	c.Assert(start("first", pastRetryWindow, false).Start, qt.IsTrue)
	paused := start("retry", pastRetryWindow, true)
	c.Assert(paused.Start, qt.IsFalse)
	c.Assert(paused.Code, qt.Equals, errcode.BusyBudget)
	c.Assert(start("later", pastRetryWindow+time.Second, true).Start, qt.IsTrue)
}
