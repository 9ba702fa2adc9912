// Decisions of the serving proxy: slots, draining, replaced registrations, recorded and barred attempts.
package backend

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

func response(instance, address string, incarnation int64) Announcement {
	return Announcement{Service: "pay", Instance: instance, Incarnation: incarnation, Address: address, Zone: "d", Slots: 2}
}

func forwardOf(id, instance string, incarnation int64) message.Forward {
	return message.Forward{ID: id, Service: "pay", Instance: instance, Incarnation: incarnation, Remaining: int64(4 * time.Second)}
}

func newServingProxy(c *qt.C) *Backend {
	serving := New(settings.Default(), func(message.Forward) errcode.Code { return errcode.OK })
	accepted, _, _ := serving.Announce(0, response("one", "a:1", 5))
	c.Assert(accepted, qt.IsTrue)
	return serving
}

func codes(decisions []Decision) []errcode.Code {
	list := []errcode.Code{}
	for _, order := range decisions {
		if order.Start {
			list = append(list, errcode.OK)
		} else {
			list = append(list, order.Code)
		}
	}
	return list
}

// Two slots, two waiting, the fifth refused; a slot that is freed starts the next; an
// answer that was lost keeps its slot for a request's time.
func TestSlots(t *testing.T) {
	c := qt.New(t)
	serving := newServingProxy(c)
	started := []Decision{}
	for _, id := range []string{"a", "b"} {
		decisions := serving.HandleForward(time.Second, forwardOf(id, "one", 5))
		c.Assert(codes(decisions), qt.DeepEquals, []errcode.Code{errcode.OK})
		started = append(started, decisions...)
	}
	c.Assert(serving.HandleForward(time.Second, forwardOf("c", "one", 5)), qt.HasLen, 0)
	c.Assert(serving.HandleForward(time.Second, forwardOf("d", "one", 5)), qt.HasLen, 0)
	c.Assert(codes(serving.HandleForward(time.Second, forwardOf("e", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.BusySlotsFull})
	_, next := serving.Complete(time.Second, started[0], message.Outcome{Kind: message.Completed})
	c.Assert(codes(next), qt.DeepEquals, []errcode.Code{errcode.OK})
	_, next = serving.Complete(time.Second, started[1], message.Outcome{Kind: message.OutcomeUnknown})
	c.Assert(next, qt.HasLen, 0)
	c.Assert(codes(serving.Expire(4*time.Second)), qt.HasLen, 0)
	c.Assert(codes(serving.Expire(5*time.Second)), qt.DeepEquals, []errcode.Code{errcode.BusyDeadline})
}

// Leaving is at once and final for the incarnation; what waited was not started.
func TestLeaving(t *testing.T) {
	c := qt.New(t)
	serving := newServingProxy(c)
	for _, id := range []string{"a", "b", "c"} {
		serving.HandleForward(time.Second, forwardOf(id, "one", 5))
	}
	gone := response("one", "a:1", 5)
	gone.Draining = true
	_, _, decisions := serving.Announce(2*time.Second, gone)
	c.Assert(codes(decisions), qt.DeepEquals, []errcode.Code{errcode.BusyLeaving})
	serving.Announce(3*time.Second, response("one", "a:1", 5))
	c.Assert(codes(serving.HandleForward(3*time.Second, forwardOf("d", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.BusyLeaving})
	serving.Announce(4*time.Second, response("one", "a:1", 6))
	c.Assert(codes(serving.HandleForward(4*time.Second, forwardOf("e", "one", 6))), qt.DeepEquals, []errcode.Code{errcode.OK})
}

// Another announcement from the address ends the old one; a break bars dials until a
// newer heartbeat; without a heartbeat in its bound nothing is started.
func TestBindings(t *testing.T) {
	c := qt.New(t)
	serving := newServingProxy(c)
	target := Target{Key: "pay/one", Address: "a:1", Incarnation: 5}
	c.Assert(serving.Dialable(settings.Default().AddressProofTTL(), target), qt.IsTrue)
	c.Assert(serving.Dialable(settings.Default().AddressProofTTL()+1, target), qt.IsFalse)
	serving.RecordActivity(time.Second, target)
	c.Assert(serving.Dialable(time.Second, target), qt.IsTrue)
	serving.RecordConnectionLoss(2*time.Second, target)
	c.Assert(codes(serving.HandleForward(2*time.Second, forwardOf("a", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.BusyUpstreamGone})
	serving.Announce(2*time.Second+1, response("one", "a:1", 5))
	c.Assert(serving.Dialable(2*time.Second+1, target), qt.IsTrue)
	_, endings, _ := serving.Announce(3*time.Second, response("two", "a:1", 1))
	c.Assert(endings, qt.HasLen, 1)
	c.Assert(serving.Dialable(3*time.Second, target), qt.IsFalse)
	c.Assert(codes(serving.HandleForward(3*time.Second, forwardOf("b", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.BusyUpstreamGone})
	accepted, _, _ := serving.Announce(4*time.Second, response("two", "a:1", 0))
	c.Assert(accepted, qt.IsFalse)
}

// A serving proxy that stood still gives no slot before it has heard a heartbeat again.
func TestHeldUpServingProxyWaitsForAHeartbeat(t *testing.T) {
	c := qt.New(t)
	serving := newServingProxy(c)
	serving.Expire(time.Second)
	c.Assert(codes(serving.HandleForward(time.Second, forwardOf("a", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.OK})
	c.Assert(codes(serving.HandleForward(2*time.Second, forwardOf("b", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.BusyUpstreamGone})
	serving.Expire(2 * time.Second)
	c.Assert(codes(serving.HandleForward(2*time.Second, forwardOf("c", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.BusyUpstreamGone})
	serving.Announce(2*time.Second+1, response("one", "a:1", 5))
	c.Assert(codes(serving.HandleForward(2*time.Second+1, forwardOf("d", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.OK})
}

// A outcome is kept for the asker; an id never seen is barred from starting later.
func TestOutcomesAreKept(t *testing.T) {
	c := qt.New(t)
	serving := newServingProxy(c)
	decisions := serving.HandleForward(time.Second, forwardOf("a", "one", 5))
	c.Assert(serving.Outcome(time.Second, "a").Kind, qt.Equals, message.StillRunning)
	serving.Complete(time.Second, decisions[0], message.Outcome{Kind: message.Completed, Status: 200, Body: []byte("x")})
	c.Assert(string(serving.Outcome(2*time.Second, "a").Body), qt.Equals, "x")
	c.Assert(serving.Outcome(2*time.Second, "b").Kind, qt.Equals, message.NotStarted)
	c.Assert(
		codes(serving.HandleForward(2*time.Second, forwardOf("b", "one", 5))),
		qt.DeepEquals,
		[]errcode.Code{errcode.BusyServingProxyLost},
	)
}

// A process that vanished without closing its connections, and another one at its address:
// what goes out goes on connections of the old one or not at all.
func TestVanishedOwnersAddressGetsNothing(t *testing.T) {
	c := qt.New(t)
	members := goroutine.New()
	defer members.Stop(0)
	old := newScripted(c, members, "127.0.0.1:0", func(int64) string { return good })
	b := newBench(c, members, old.listener.Addr().String())
	target := Target{Key: "pay/one", Address: b.address, Incarnation: 1}
	old.waitAccepted(c, b.guards+len(b.caller.pool.idle[target]))
	old.listener.Close()
	heir := newScripted(c, members, b.address, func(int64) string { return good })
	c.Assert(len(b.caller.pool.idle[target]), qt.Equals, b.serving.WarmConnections(target))
	c.Assert(b.request(c, "a", http.MethodPost).Kind, qt.Equals, message.Completed)
	c.Assert(old.reads.Load(), qt.Equals, int64(1))
	// Every kept connection is used up, and the last sign of life is a moment too old.
	b.caller.pool.lock.Lock()
	delete(b.caller.pool.idle, target)
	b.caller.pool.lock.Unlock()
	b.serving.upstreams["pay/one"].lastSeenAt -= settings.Default().AddressProofTTL() + 1
	outcome := b.request(c, "b", http.MethodPost)
	c.Assert(outcome.Kind, qt.Equals, message.NotStarted)
	c.Assert(errcode.Code(outcome.Code), qt.Equals, errcode.BusyUnproven)
	c.Assert(heir.reads.Load(), qt.Equals, int64(0))
}

// An upstream that told another proxy that it leaves gets nothing from its old serving proxy
// once the holders say so, nor when nothing was heard for the serving proxy's bound.
func TestLeavingSaidElsewhere(t *testing.T) {
	c := qt.New(t)
	cfg := settings.Default()
	serving := newServingProxy(c)
	left := message.Registration{Service: "pay", Instance: "one", Incarnation: 5, State: message.StateDraining}
	c.Assert(codes(serving.HandleForward(cfg.ServingProxyTimeout(), forwardOf("a", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.OK})
	c.Assert(
		codes(serving.HandleForward(cfg.ServingProxyTimeout()+1, forwardOf("b", "one", 5))),
		qt.DeepEquals,
		[]errcode.Code{errcode.BusyUpstreamGone},
	)
	serving.Announce(3*time.Second, response("one", "a:1", 5))
	serving.UpdateRoster(map[string][]message.Registration{"pay": {left}})
	c.Assert(codes(serving.HandleForward(3*time.Second, forwardOf("c", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.BusyLeaving})
}

// What is kept of an answer for a proxy that lost its connection goes soon, and that it ran
// is known long after.
func TestAnswersAreNotKeptForLong(t *testing.T) {
	c := qt.New(t)
	cfg := settings.Default()
	serving := New(cfg, func(message.Forward) errcode.Code { return errcode.OK })
	announcement := Announcement{Service: "pay", Instance: "one", Incarnation: 1, Address: "a:1", Slots: 2}
	serving.Announce(time.Second, announcement)
	decisions := serving.HandleForward(time.Second, message.Forward{
		ID:          "q",
		Service:     "pay",
		Instance:    "one",
		Incarnation: 1,
		Remaining:   int64(time.Second),
	})
	c.Assert(decisions, qt.HasLen, 1)
	serving.Complete(time.Second, decisions[0], message.Outcome{Kind: message.Completed, Status: 200, Body: []byte("answer")})
	c.Check(string(serving.Outcome(time.Second, "q").Body), qt.Equals, "answer")
	later := time.Second + cfg.ResponseRetention() + time.Millisecond
	serving.Announce(later, announcement)
	serving.Expire(later)
	late := serving.Outcome(later, "q")
	c.Check(late.Body, qt.HasLen, 0)
	c.Check(late.Kind, qt.Equals, message.OutcomeUnknown)
}
