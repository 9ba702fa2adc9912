// The order in which a home hears things, where upstreams number what they say.
package greenroom

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
)

func numbered(number int64, alter func(told *Announcement)) Announcement {
	announcement := told("one", "a:1", 5)
	announcement.Number = number
	if alter != nil {
		alter(&announcement)
	}
	return announcement
}

// Pending queries start by priority, among equals in their order, and the last one has
// to go when there is no room.
func TestPendingGoByPriority(t *testing.T) {
	c := qt.New(t)
	room := home(c)
	carried := func(id string, priority int64) []Order {
		carry := carryOf(id, "one", 5)
		carry.Priority = priority
		return room.Carried(time.Second, carry)
	}
	running := append(carried("a", 9), carried("b", 9)...)
	c.Assert(codes(running), qt.DeepEquals, []notice.Code{notice.OK, notice.OK})
	c.Assert(carried("low", 5), qt.HasLen, 0)
	c.Assert(carried("mid", 3), qt.HasLen, 0)
	put := carried("mid too", 3)
	c.Assert(codes(put), qt.DeepEquals, []notice.Code{notice.BusySlotsFull})
	c.Assert(put[0].Carry.ID, qt.Equals, "low")
	put = carried("high", 0)
	c.Assert(codes(put), qt.DeepEquals, []notice.Code{notice.BusySlotsFull})
	c.Assert(put[0].Carry.ID, qt.Equals, "mid too")
	started := []string{}
	for _, order := range running {
		_, next := room.Finish(time.Second, order, script.Verdict{Kind: script.StartedWhole})
		c.Assert(next, qt.HasLen, 1)
		started = append(started, next[0].Carry.ID)
	}
	c.Assert(started, qt.DeepEquals, []string{"high", "mid"})
	// One put out had not begun, so it may be carried here again.
	c.Assert(room.Verdict(time.Second, "low").Kind, qt.Equals, script.NotStarted)
}

// A beat behind a newer one alters nothing: neither address nor slots nor state, and it
// is no sign of life.
func TestLateBeatAltersNothing(t *testing.T) {
	c := qt.New(t)
	room := New(playbill.Default(), func(script.Carry) notice.Code { return notice.OK })
	room.Announce(0, numbered(7, nil))
	accepted, endings, orders := room.Announce(time.Second, numbered(6, func(told *Announcement) { told.Leaving, told.Slots, told.Address = true, 50, "a:2" }))
	c.Assert(accepted, qt.IsTrue)
	c.Assert(endings, qt.HasLen, 0)
	c.Assert(orders, qt.HasLen, 0)
	held, _ := room.Held("pay", "one")
	c.Assert(held, qt.DeepEquals, numbered(7, nil))
	c.Assert(room.Dialable(playbill.Default().DialFresh()+1, Target{Key: "pay/one", Address: "a:1", Incarnation: 5}), qt.IsFalse)
	c.Assert(codes(room.Carried(time.Second, carryOf("a", "one", 5))), qt.DeepEquals, []notice.Code{notice.OK})
	// A later life counts anew; what numbers nothing is taken as it comes.
	room.Announce(time.Second, numbered(1, func(told *Announcement) { told.Incarnation = 6 }))
	held, _ = room.Held("pay", "one")
	c.Assert(held.Incarnation, qt.Equals, int64(6))
}

// Whoever has been dismissed never comes back under that name, before its memory is
// over, whatever is still on its way; another name at its address does.
func TestDismissedNeverComesBack(t *testing.T) {
	c := qt.New(t)
	room := New(playbill.Default(), func(script.Carry) notice.Code { return notice.OK })
	room.Announce(0, numbered(7, nil))
	room.Carried(0, carryOf("a", "one", 5))
	room.Carried(0, carryOf("b", "one", 5))
	room.Carried(0, carryOf("c", "one", 5))
	ending, found, orders := room.Dismiss(time.Second, "one")
	c.Assert(found, qt.IsTrue)
	c.Assert(ending.Service, qt.Equals, "pay")
	c.Assert(codes(orders), qt.DeepEquals, []notice.Code{notice.BusyLeaving})
	for number := int64(6); number < 10; number++ {
		accepted, _, _ := room.Announce(2*time.Second, numbered(number, func(told *Announcement) { told.Incarnation = number }))
		c.Assert(accepted, qt.IsTrue)
		c.Assert(room.Holds("one"), qt.IsFalse)
	}
	c.Assert(codes(room.Carried(2*time.Second, carryOf("d", "one", 5))), qt.DeepEquals, []notice.Code{notice.BusyUpstreamGone})
	_, found, _ = room.Dismiss(2*time.Second, "one")
	c.Assert(found, qt.IsFalse)
	// One that was never heard of here may not come after its last word either.
	room.Dismiss(2*time.Second, "unheard")
	room.Announce(2*time.Second, told("unheard", "a:3", 1))
	c.Assert(room.Holds("unheard"), qt.IsFalse)
	room.Announce(2*time.Second, told("two", "a:1", 1))
	c.Assert(room.Holds("two"), qt.IsTrue)
}
