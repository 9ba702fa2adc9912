// Calls that running retries make draw on the retry budget of the service called.
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

// fixedRepeats is a serving side of which the share is given.
type fixedRepeats struct {
	share  float64
	barred time.Duration
}

func (r *fixedRepeats) RetryShare() float64              { return r.share }
func (r *fixedRepeats) PauseRetries(until time.Duration) { r.barred = until }

// callsLet counts how many calls of running requests get as far as an upstream.
func callsLet(c *qt.C, share float64, key string) int {
	f := hostedFrontend(c, upstream("one", "here"))
	repeats := &fixedRepeats{share: share}
	f.UseRetryMonitor(repeats)
	random, let := rand.New(rand.NewPCG(1, 2)), 0
	for range 200 {
		going := asked("/free/x", key)
		c.Assert(f.admit(time.Second, time.Now(), going), qt.IsNil)
		response := f.selectUpstream(time.Second, going, random)
		if response == nil {
			let++
			f.release(going)
			continue
		}
		c.Assert(response.Code, qt.Equals, errcode.BusyBudget)
		c.Assert(response.RetryAfter > 0, qt.IsTrue)
		c.Assert(repeats.barred > time.Second, qt.IsTrue) // no repeat starts here for a while
	}
	return let
}

func TestCallsOfRepeatsDrawOnTheBudget(t *testing.T) {
	c := qt.New(t)
	c.Assert(callsLet(c, 0, ""), qt.Equals, 200)
	c.Assert(callsLet(c, 1, "secret"), qt.Equals, 200) // a client's own request
	c.Assert(callsLet(c, 1, ""), qt.Equals, 0)         // a young process has no allowance, and no first tries
	// Half are repeats, of which the budget lets a fifth of the others by.
	let := callsLet(c, 0.5, "")
	c.Assert(let > 90 && let < 140, qt.IsTrue, qt.Commentf("%d", let))
}

// The serving proxy knows what runs as a repeat, and the frame says it.
func TestRepeatsAreTold(t *testing.T) {
	c := qt.New(t)
	f := hostedFrontend(c, upstream("one", "here"), upstream("two", "here"))
	random := rand.New(rand.NewPCG(1, 2))
	going := asked("/pay/x", "secret")
	c.Assert(f.admit(old, time.Now(), going), qt.IsNil)
	c.Assert(f.selectUpstream(old, going, random), qt.IsNil)
	c.Assert(f.forwardFrame(old, going, "me", "1").Retried, qt.IsFalse)
	c.Assert(f.evaluateOutcome(old, going, message.Outcome{
		Kind:            message.NotStarted,
		Code:            int64(errcode.BusySlotsFull),
		ReachedUpstream: true,
	}), qt.IsNil)
	c.Assert(f.selectUpstream(old, going, random), qt.IsNil)
	repeat := f.forwardFrame(old, going, "me", "2")
	c.Assert(repeat.Retried, qt.IsTrue)

	serving := backend.New(f.settings, func(message.Forward) errcode.Code { return errcode.OK })
	for _, name := range []string{"one", "two"} {
		serving.Announce(old, backend.Announcement{Service: "pay", Instance: name, Incarnation: 1, Address: name, Zone: "here", Slots: 4})
	}
	c.Assert(serving.RetryShare(), qt.Equals, 0.0)
	start := func(number int, again, once bool) {
		made := repeat
		made.ID, made.Retried, made.AtMostOnce = fmt.Sprint(number, again, once), again, once
		decisions := serving.HandleForward(old, made)
		c.Assert(decisions, qt.HasLen, 1)
		c.Assert(decisions[0].Start, qt.IsTrue)
		serving.Complete(old, decisions[0], message.Outcome{Kind: message.Completed, Status: 200})
	}
	for number := range 300 {
		start(number, number%3 == 0, false)
		start(number, false, true) // makes no repeats, and hides none
	}
	share := serving.RetryShare()
	c.Assert(share > 0.25 && share < 0.42, qt.IsTrue, qt.Commentf("%v", share))
	for number := range 300 {
		start(1000+number, false, false)
	}
	c.Assert(serving.RetryShare() < 0.001, qt.IsTrue)
}

// While the services called have no room for the calls of repeats, none starts; first
// attempts do.
func TestBarredRepeatsDoNotStart(t *testing.T) {
	c := qt.New(t)
	serving := backend.New(settings.Default(), func(message.Forward) errcode.Code { return errcode.OK })
	serving.Announce(old, backend.Announcement{Service: "pay", Instance: "one", Incarnation: 1, Address: "one", Zone: "here", Slots: 4})
	serving.PauseRetries(old + time.Second)
	start := func(id string, now time.Duration, repeat bool) backend.Decision {
		decisions := serving.HandleForward(now, message.Forward{
			ID:          id,
			Service:     "pay",
			Instance:    "one",
			Incarnation: 1,
			Remaining:   int64(time.Second),
			Retried:     repeat,
		})
		c.Assert(decisions, qt.HasLen, 1)
		return decisions[0]
	}
	c.Assert(start("first", old, false).Start, qt.IsTrue)
	barred := start("repeat", old, true)
	c.Assert(barred.Start, qt.IsFalse)
	c.Assert(barred.Code, qt.Equals, errcode.BusyBudget)
	c.Assert(start("later", old+time.Second, true).Start, qt.IsTrue)
}
