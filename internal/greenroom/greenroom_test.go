// Decisions of the home: slots, drains, ends, verdicts kept and barred.
package greenroom

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/crew"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
)

func told(instance, address string, incarnation int64) Announcement {
	return Announcement{Service: "pay", Instance: instance, Incarnation: incarnation, Address: address, District: "d", Slots: 2}
}

func carryOf(id, instance string, incarnation int64) script.Carry {
	return script.Carry{ID: id, Service: "pay", Instance: instance, Incarnation: incarnation, Remaining: int64(4 * time.Second)}
}

func home(c *qt.C) *Greenroom {
	room := New(playbill.Default(), func(script.Carry) notice.Code { return notice.OK })
	accepted, _, _ := room.Announce(0, told("one", "a:1", 5))
	c.Assert(accepted, qt.IsTrue)
	return room
}

func codes(orders []Order) []notice.Code {
	list := []notice.Code{}
	for _, order := range orders {
		if order.Start {
			list = append(list, notice.OK)
		} else {
			list = append(list, order.Code)
		}
	}
	return list
}

// Two slots, two waiting, the fifth refused; a slot that is freed starts the next; an
// answer that was lost keeps its slot for a query's time.
func TestSlots(t *testing.T) {
	c := qt.New(t)
	room := home(c)
	started := []Order{}
	for _, id := range []string{"a", "b"} {
		orders := room.Carried(time.Second, carryOf(id, "one", 5))
		c.Assert(codes(orders), qt.DeepEquals, []notice.Code{notice.OK})
		started = append(started, orders...)
	}
	c.Assert(room.Carried(time.Second, carryOf("c", "one", 5)), qt.HasLen, 0)
	c.Assert(room.Carried(time.Second, carryOf("d", "one", 5)), qt.HasLen, 0)
	c.Assert(codes(room.Carried(time.Second, carryOf("e", "one", 5))), qt.DeepEquals, []notice.Code{notice.BusySlotsFull})
	_, next := room.Finish(time.Second, started[0], script.Verdict{Kind: script.StartedWhole})
	c.Assert(codes(next), qt.DeepEquals, []notice.Code{notice.OK})
	_, next = room.Finish(time.Second, started[1], script.Verdict{Kind: script.StartedNoWhole})
	c.Assert(next, qt.HasLen, 0)
	c.Assert(codes(room.Expire(4*time.Second)), qt.HasLen, 0)
	c.Assert(codes(room.Expire(5*time.Second)), qt.DeepEquals, []notice.Code{notice.BusyDeadline})
}

// Leaving is at once and final for the incarnation; what waited was not started.
func TestLeaving(t *testing.T) {
	c := qt.New(t)
	room := home(c)
	for _, id := range []string{"a", "b", "c"} {
		room.Carried(time.Second, carryOf(id, "one", 5))
	}
	gone := told("one", "a:1", 5)
	gone.Leaving = true
	_, _, orders := room.Announce(2*time.Second, gone)
	c.Assert(codes(orders), qt.DeepEquals, []notice.Code{notice.BusyLeaving})
	room.Announce(3*time.Second, told("one", "a:1", 5))
	c.Assert(codes(room.Carried(3*time.Second, carryOf("d", "one", 5))), qt.DeepEquals, []notice.Code{notice.BusyLeaving})
	room.Announce(4*time.Second, told("one", "a:1", 6))
	c.Assert(codes(room.Carried(4*time.Second, carryOf("e", "one", 6))), qt.DeepEquals, []notice.Code{notice.OK})
}

// Another announcement from the address ends the old one; a break bars dials until a
// newer beat; without a beat in its bound nothing is started.
func TestBindings(t *testing.T) {
	c := qt.New(t)
	room := home(c)
	target := Target{Key: "pay/one", Address: "a:1", Incarnation: 5}
	c.Assert(room.Dialable(playbill.Default().DialFresh(), target), qt.IsTrue)
	c.Assert(room.Dialable(playbill.Default().DialFresh()+1, target), qt.IsFalse)
	room.Alive(time.Second, target)
	c.Assert(room.Dialable(time.Second, target), qt.IsTrue)
	room.Broke(2*time.Second, target)
	c.Assert(codes(room.Carried(2*time.Second, carryOf("a", "one", 5))), qt.DeepEquals, []notice.Code{notice.BusyUpstreamGone})
	room.Announce(2*time.Second+1, told("one", "a:1", 5))
	c.Assert(room.Dialable(2*time.Second+1, target), qt.IsTrue)
	_, endings, _ := room.Announce(3*time.Second, told("two", "a:1", 1))
	c.Assert(endings, qt.HasLen, 1)
	c.Assert(room.Dialable(3*time.Second, target), qt.IsFalse)
	c.Assert(codes(room.Carried(3*time.Second, carryOf("b", "one", 5))), qt.DeepEquals, []notice.Code{notice.BusyUpstreamGone})
	accepted, _, _ := room.Announce(4*time.Second, told("two", "a:1", 0))
	c.Assert(accepted, qt.IsFalse)
}

// A home that stood still gives no slot before it has heard a beat again.
func TestHeldUpHomeWaitsForABeat(t *testing.T) {
	c := qt.New(t)
	room := home(c)
	room.Expire(time.Second)
	c.Assert(codes(room.Carried(time.Second, carryOf("a", "one", 5))), qt.DeepEquals, []notice.Code{notice.OK})
	c.Assert(codes(room.Carried(2*time.Second, carryOf("b", "one", 5))), qt.DeepEquals, []notice.Code{notice.BusyUpstreamGone})
	room.Expire(2 * time.Second)
	c.Assert(codes(room.Carried(2*time.Second, carryOf("c", "one", 5))), qt.DeepEquals, []notice.Code{notice.BusyUpstreamGone})
	room.Announce(2*time.Second+1, told("one", "a:1", 5))
	c.Assert(codes(room.Carried(2*time.Second+1, carryOf("d", "one", 5))), qt.DeepEquals, []notice.Code{notice.OK})
}

// A verdict is kept for the asker; an id never seen is barred from starting later.
func TestVerdictsAreKept(t *testing.T) {
	c := qt.New(t)
	room := home(c)
	orders := room.Carried(time.Second, carryOf("a", "one", 5))
	c.Assert(room.Verdict(time.Second, "a").Kind, qt.Equals, script.StillRunning)
	room.Finish(time.Second, orders[0], script.Verdict{Kind: script.StartedWhole, Status: 200, Body: []byte("x")})
	c.Assert(string(room.Verdict(2*time.Second, "a").Body), qt.Equals, "x")
	c.Assert(room.Verdict(2*time.Second, "b").Kind, qt.Equals, script.NotStarted)
	c.Assert(codes(room.Carried(2*time.Second, carryOf("b", "one", 5))), qt.DeepEquals, []notice.Code{notice.BusyHomeLost})
}

// A process that vanished without closing its wires, and another one at its address:
// what goes out goes on wires of the old one or not at all.
func TestVanishedOwnersAddressGetsNothing(t *testing.T) {
	c := qt.New(t)
	members := crew.New()
	defer members.Stop(0)
	old := newScripted(c, members, "127.0.0.1:0", func(int64) string { return good })
	b := newBench(c, members, old.listener.Addr().String())
	old.listener.Close()
	heir := newScripted(c, members, b.address, func(int64) string { return good })
	target := Target{Key: "pay/one", Address: b.address, Incarnation: 1}
	c.Assert(len(b.caller.idle[target]), qt.Equals, b.room.WiresReady(target))
	c.Assert(b.ask(c, "a", http.MethodPost).Kind, qt.Equals, script.StartedWhole)
	c.Assert(old.reads.Load(), qt.Equals, int64(1))
	// Every kept wire is used up, and the last sign of life is a moment too old.
	b.caller.lock.Lock()
	delete(b.caller.idle, target)
	b.caller.lock.Unlock()
	b.room.upstreams["pay/one"].aliveAt -= playbill.Default().DialFresh() + 1
	verdict := b.ask(c, "b", http.MethodPost)
	c.Assert(verdict.Kind, qt.Equals, script.NotStarted)
	c.Assert(notice.Code(verdict.Code), qt.Equals, notice.BusyUnproven)
	c.Assert(heir.reads.Load(), qt.Equals, int64(0))
}

// An upstream that told another usher that it leaves gets nothing from its old home
// once the keepers say so, nor when nothing was heard for the home's bound.
func TestLeavingSaidElsewhere(t *testing.T) {
	c := qt.New(t)
	config := playbill.Default()
	room := home(c)
	left := script.Registration{Service: "pay", Instance: "one", Incarnation: 5, State: script.StateLeaving}
	c.Assert(codes(room.Carried(config.HomeBound(), carryOf("a", "one", 5))), qt.DeepEquals, []notice.Code{notice.OK})
	c.Assert(codes(room.Carried(config.HomeBound()+1, carryOf("b", "one", 5))), qt.DeepEquals, []notice.Code{notice.BusyUpstreamGone})
	room.Announce(3*time.Second, told("one", "a:1", 5))
	room.Roster(map[string][]script.Registration{"pay": {left}})
	c.Assert(codes(room.Carried(3*time.Second, carryOf("c", "one", 5))), qt.DeepEquals, []notice.Code{notice.BusyLeaving})
}

// What is kept of an answer for a usher that lost its wire goes soon, and that it ran
// is known long after.
func TestAnswersAreNotKeptForLong(t *testing.T) {
	c := qt.New(t)
	config := playbill.Default()
	g := New(config, func(script.Carry) notice.Code { return notice.OK })
	told := Announcement{Service: "pay", Instance: "one", Incarnation: 1, Address: "a:1", Slots: 2}
	g.Announce(time.Second, told)
	orders := g.Carried(time.Second, script.Carry{ID: "q", Service: "pay", Instance: "one", Incarnation: 1, Remaining: int64(time.Second)})
	c.Assert(orders, qt.HasLen, 1)
	g.Finish(time.Second, orders[0], script.Verdict{Kind: script.StartedWhole, Status: 200, Body: []byte("answer")})
	c.Check(string(g.Verdict(time.Second, "q").Body), qt.Equals, "answer")
	later := time.Second + config.AnswerKept() + time.Millisecond
	g.Announce(later, told)
	g.Expire(later)
	late := g.Verdict(later, "q")
	c.Check(late.Body, qt.HasLen, 0)
	c.Check(late.Kind, qt.Equals, script.StartedNoWhole)
}
