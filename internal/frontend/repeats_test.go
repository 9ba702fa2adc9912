// Calls that running repeats make draw on the retry budget of the service called.
package frontend

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// callsLet counts how many calls of running requests get as far as an upstream.
func callsLet(c *qt.C, share float64, key string) int {
	f := hostedFrontend(c, upstream("one", "here"))
	f.RepeatsFrom(func() float64 { return share })
	random, let := rand.New(rand.NewPCG(1, 2)), 0
	for range 200 {
		going := asked("/free/x", key)
		c.Assert(f.Admit(time.Second, time.Now(), going), qt.IsNil)
		final := f.Choose(time.Second, going, random)
		if final == nil {
			let++
			f.Release(going)
			continue
		}
		c.Assert(final.Code, qt.Equals, errcode.BusyBudget)
		c.Assert(final.RetryAfter > 0, qt.IsTrue)
	}
	return let
}

func TestCallsOfRepeatsDrawOnTheBudget(t *testing.T) {
	c := qt.New(t)
	c.Assert(callsLet(c, 0, ""), qt.Equals, 200)
	c.Assert(callsLet(c, 1, "secret"), qt.Equals, 200) // a client's own request
	c.Assert(callsLet(c, 1, ""), qt.Equals, 0)         // a young life has no allowance, and no first tries
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
	c.Assert(f.Admit(old, time.Now(), going), qt.IsNil)
	c.Assert(f.Choose(old, going, random), qt.IsNil)
	c.Assert(f.Forward(old, going, "me", "1").Repeat, qt.IsFalse)
	c.Assert(f.Judge(old, going, message.Outcome{Kind: message.NotStarted, Code: int64(errcode.BusySlotsFull), Sent: true}), qt.IsNil)
	c.Assert(f.Choose(old, going, random), qt.IsNil)
	repeat := f.Forward(old, going, "me", "2")
	c.Assert(repeat.Repeat, qt.IsTrue)

	room := backend.New(f.settings, func(message.Forward) errcode.Code { return errcode.OK })
	for _, name := range []string{"one", "two"} {
		room.Announce(old, backend.Announcement{Service: "pay", Instance: name, Incarnation: 1, Address: name, Zone: "here", Slots: 4})
	}
	c.Assert(room.RepeatShare(), qt.Equals, 0.0)
	first := repeat
	first.ID, first.Repeat, first.Once = "other", false, false
	room.Forwarded(old, first)
	once := first
	once.ID, once.Once = "once", true
	room.Forwarded(old, once) // makes no repeats, and hides none
	orders := room.Forwarded(old, repeat)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(room.RepeatShare(), qt.Equals, 0.5)
	room.Finish(old, orders[0], message.Outcome{Kind: message.StartedWhole, Status: 200})
	c.Assert(room.RepeatShare(), qt.Equals, 0.0)
}
