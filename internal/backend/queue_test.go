package backend

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// overloadedBackend returns a backend with one upstream of a few slots that runs requests.
func overloadedBackend(slots int64) *Backend {
	serving := New(settings.Default(), func(message.Forward) errcode.Code { return errcode.OK })
	serving.Announce(time.Second, Announcement{Service: "pay", Instance: "one", Incarnation: 1, Address: "one", Zone: "here", Slots: slots})
	return serving
}

// forwardOrCall returns a request of a caller, or a call that a running request makes.
func forwardOrCall(id string, call bool) message.Forward {
	forward := message.Forward{
		ID: id, Service: "pay", Instance: "one", Incarnation: 1, Remaining: int64(time.Minute), Tenant: "t", Priority: 7, Route: "r",
	}
	if call {
		forward.Tenant, forward.Priority = "", 1
	}
	return forward
}

// Where calls of running requests and requests of callers both exceed what an upstream can take, the
// requests of callers are still served at least a quarter as often as all: they are refused nearly all, for
// as long as the overload lasts.
func TestCallsLeaveCallersAShareOfAnOverloadedUpstream(t *testing.T) {
	const slots, rounds = 4, 200
	c := qt.New(t)
	serving := overloadedBackend(slots)
	started, offered := map[bool]int{}, map[bool]int{}
	running := []Decision{}
	handle := func(decisions []Decision) {
		for _, decision := range decisions {
			if decision.Start {
				running = append(running, decision)
				started[strings.HasPrefix(decision.Forward.ID, "call-")]++
			}
		}
	}
	for round := range rounds {
		// Twice as many calls as can start, and half as many requests of callers.
		for number := range slots * 2 {
			offered[true]++
			handle(serving.HandleForward(time.Second, forwardOrCall(fmt.Sprintf("call-%d-%d", round, number), true)))
		}
		for number := range slots / 2 {
			offered[false]++
			handle(serving.HandleForward(time.Second, forwardOrCall(fmt.Sprintf("caller-%d-%d", round, number), false)))
		}
		ended := running
		running = nil
		for _, decision := range ended {
			_, next := serving.Complete(time.Second, decision, message.Outcome{Kind: message.Completed, Status: 200})
			handle(next)
		}
	}
	servedOfCallers := float64(started[false]) / float64(offered[false])
	servedOfAll := float64(started[false]+started[true]) / float64(offered[false]+offered[true])
	c.Assert(servedOfCallers*4 >= servedOfAll, qt.IsTrue,
		qt.Commentf("%.2f of callers' requests, %.2f of all", servedOfCallers, servedOfAll))
}

// Without an overload, calls go before the requests of callers.
func TestCallsGoFirst(t *testing.T) {
	c := qt.New(t)
	serving := overloadedBackend(4)
	running := []Decision{}
	for number := range 4 {
		running = append(running, serving.HandleForward(time.Second, forwardOrCall(fmt.Sprint("first-", number), false))...)
	}
	c.Assert(serving.HandleForward(time.Second, forwardOrCall("caller", false)), qt.HasLen, 0)
	c.Assert(serving.HandleForward(time.Second, forwardOrCall("call", true)), qt.HasLen, 0)
	for _, expected := range []string{"call", "caller"} {
		_, next := serving.Complete(time.Second, running[0], message.Outcome{Kind: message.Completed, Status: 200})
		running = running[1:]
		c.Assert(next, qt.HasLen, 1)
		c.Check(next[0].Forward.ID, qt.Equals, expected)
	}
}
