// Tests of the decisions of the serving proxy: slots, draining, replaced registrations, recorded and
// barred attempts.
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

// announcementOf returns an announcement of an upstream of the service pay with two slots.
func announcementOf(instance, address string, incarnation int64) Announcement {
	return Announcement{Service: "pay", Instance: instance, Incarnation: incarnation, Address: address, Zone: "d", Slots: 2}
}

// forwardOf returns a request to an incarnation of an instance of pay, with four seconds remaining.
func forwardOf(id, instance string, incarnation int64) message.Forward {
	return message.Forward{ID: id, Service: "pay", Instance: instance, Incarnation: incarnation, Remaining: int64(4 * time.Second)}
}

// newServingProxy returns a Backend on which instance one has announced incarnation 5 at time 0.
func newServingProxy(c *qt.C) *Backend {
	serving := New(settings.Default(), func(message.Forward) errcode.Code { return errcode.OK })
	accepted, _, _ := serving.Announce(0, announcementOf("one", "a:1", 5))
	c.Assert(accepted, qt.IsTrue)
	return serving
}

// codes returns the code of each refusal, and errcode.OK for each start.
func codes(decisions []Decision) []errcode.Code {
	list := []errcode.Code{}
	for _, decision := range decisions {
		if decision.Start {
			list = append(list, errcode.OK)
		} else {
			list = append(list, decision.Code)
		}
	}
	return list
}

// With two slots two requests run, two are queued and the fifth is refused. A freed slot starts the next
// queued request. A request with an unknown outcome holds its slot for RequestTimeout.
func TestSlotLimitAndQueue(t *testing.T) {
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

// Draining takes effect immediately and is final for the incarnation. Queued requests are refused.
func TestLeaving(t *testing.T) {
	c := qt.New(t)
	serving := newServingProxy(c)
	for _, id := range []string{"a", "b", "c"} {
		serving.HandleForward(time.Second, forwardOf(id, "one", 5))
	}
	draining := announcementOf("one", "a:1", 5)
	draining.Draining = true
	_, _, decisions := serving.Announce(2*time.Second, draining)
	c.Assert(codes(decisions), qt.DeepEquals, []errcode.Code{errcode.BusyLeaving})
	serving.Announce(3*time.Second, announcementOf("one", "a:1", 5))
	c.Assert(codes(serving.HandleForward(3*time.Second, forwardOf("d", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.BusyLeaving})
	serving.Announce(4*time.Second, announcementOf("one", "a:1", 6))
	c.Assert(codes(serving.HandleForward(4*time.Second, forwardOf("e", "one", 6))), qt.DeepEquals, []errcode.Code{errcode.OK})
}

// Proof of an address expires AddressProofTTL after the last announcement or response. A connection loss
// bars requests until a newer heartbeat. An announcement of another upstream at the address ends the
// registration, and an older incarnation is not accepted.
func TestRegistrationBinding(t *testing.T) {
	c := qt.New(t)
	serving := newServingProxy(c)
	target := Target{Key: "pay/one", Address: "a:1", Incarnation: 5}
	c.Assert(serving.Dialable(settings.Default().AddressProofTTL(), target), qt.IsTrue)
	c.Assert(serving.Dialable(settings.Default().AddressProofTTL()+1, target), qt.IsFalse)
	serving.RecordActivity(time.Second, target)
	c.Assert(serving.Dialable(time.Second, target), qt.IsTrue)
	serving.RecordConnectionLoss(2*time.Second, target)
	c.Assert(codes(serving.HandleForward(2*time.Second, forwardOf("a", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.BusyUpstreamGone})
	serving.Announce(2*time.Second+1, announcementOf("one", "a:1", 5))
	c.Assert(serving.Dialable(2*time.Second+1, target), qt.IsTrue)
	_, ended, _ := serving.Announce(3*time.Second, announcementOf("two", "a:1", 1))
	c.Assert(ended, qt.HasLen, 1)
	c.Assert(serving.Dialable(3*time.Second, target), qt.IsFalse)
	c.Assert(codes(serving.HandleForward(3*time.Second, forwardOf("b", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.BusyUpstreamGone})
	accepted, _, _ := serving.Announce(4*time.Second, announcementOf("two", "a:1", 0))
	c.Assert(accepted, qt.IsFalse)
}

// A serving proxy that was paused starts nothing at an upstream before its next heartbeat: meanwhile the
// upstream may have moved to another serving proxy, which assigns the same slots.
func TestStalledServingProxyWaitsForHeartbeat(t *testing.T) {
	c := qt.New(t)
	serving := newServingProxy(c)
	serving.Expire(time.Second)
	c.Assert(codes(serving.HandleForward(time.Second, forwardOf("a", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.OK})
	c.Assert(codes(serving.HandleForward(2*time.Second, forwardOf("b", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.BusyUpstreamGone})
	serving.Expire(2 * time.Second)
	c.Assert(codes(serving.HandleForward(2*time.Second, forwardOf("c", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.BusyUpstreamGone})
	serving.Announce(2*time.Second+1, announcementOf("one", "a:1", 5))
	c.Assert(codes(serving.HandleForward(2*time.Second+1, forwardOf("d", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.OK})
}

// The outcome of an attempt can be queried after its end. Querying an unknown attempt bars it from
// starting later.
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

// When a process disappears without closing its connections and another one takes over its address,
// requests are sent only on connections to the previous process, or not at all.
func TestVanishedOwnersAddressGetsNothing(t *testing.T) {
	c := qt.New(t)
	goroutines := goroutine.New()
	defer goroutines.Stop(0)
	previousOwner := newScriptedUpstream(c, goroutines, "127.0.0.1:0", func(int64) string { return okResponse })
	fixture := newClientFixture(c, goroutines, previousOwner.listener.Addr().String())
	target := Target{Key: "pay/one", Address: fixture.address, Incarnation: 1}
	previousOwner.waitAccepted(c, fixture.guards+len(fixture.client.pool.idle[target]))
	previousOwner.listener.Close()
	newOwner := newScriptedUpstream(c, goroutines, fixture.address, func(int64) string { return okResponse })
	c.Assert(len(fixture.client.pool.idle[target]), qt.Equals, fixture.serving.WarmConnections(target))
	c.Assert(fixture.request(c, "a", http.MethodPost).Kind, qt.Equals, message.Completed)
	c.Assert(previousOwner.requestCount.Load(), qt.Equals, int64(1))
	// No warm connection is left, and the last evidence of liveness is older than AddressProofTTL.
	fixture.client.pool.lock.Lock()
	delete(fixture.client.pool.idle, target)
	fixture.client.pool.lock.Unlock()
	fixture.serving.upstreams["pay/one"].lastSeenAt -= settings.Default().AddressProofTTL() + 1
	outcome := fixture.request(c, "b", http.MethodPost)
	c.Assert(outcome.Kind, qt.Equals, message.NotStarted)
	c.Assert(errcode.Code(outcome.Code), qt.Equals, errcode.BusyUnproven)
	c.Assert(newOwner.requestCount.Load(), qt.Equals, int64(0))
}

// An upstream that announced to another proxy that it drains gets no requests from its previous serving
// proxy after the roster reports it, nor when its last heartbeat is older than ServingProxyTimeout.
func TestLeavingSaidElsewhere(t *testing.T) {
	c := qt.New(t)
	cfg := settings.Default()
	serving := newServingProxy(c)
	draining := message.Registration{Service: "pay", Instance: "one", Incarnation: 5, State: message.StateDraining}
	c.Assert(codes(serving.HandleForward(cfg.ServingProxyTimeout(), forwardOf("a", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.OK})
	c.Assert(
		codes(serving.HandleForward(cfg.ServingProxyTimeout()+1, forwardOf("b", "one", 5))),
		qt.DeepEquals,
		[]errcode.Code{errcode.BusyUpstreamGone},
	)
	serving.Announce(3*time.Second, announcementOf("one", "a:1", 5))
	serving.UpdateRoster(map[string][]message.Registration{"pay": {draining}})
	c.Assert(codes(serving.HandleForward(3*time.Second, forwardOf("c", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.BusyLeaving})
}

// The body of a retained response is removed after ResponseRetention, but the attempt remains known to
// have run.
func TestResponseBodiesExpireBeforeOutcomes(t *testing.T) {
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
	expired := serving.Outcome(later, "q")
	c.Check(expired.Body, qt.HasLen, 0)
	c.Check(expired.Kind, qt.Equals, message.OutcomeUnknown)
}
