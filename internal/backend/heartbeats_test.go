// The order in which a serving proxy hears things, where upstreams number what they say.
package backend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

func numbered(number int64, alter func(response *Announcement)) Announcement {
	announcement := response("one", "a:1", 5)
	announcement.Sequence = number
	if alter != nil {
		alter(&announcement)
	}
	return announcement
}

// Pending requests start by priority, among equals in their order, and the last one has
// to go when there is no room.
func TestQueueGoesByPriority(t *testing.T) {
	c := qt.New(t)
	serving := newServingProxy(c)
	forwarded := func(id string, priority int64) []Decision {
		forward := forwardOf(id, "one", 5)
		forward.Priority = priority
		return serving.HandleForward(time.Second, forward)
	}
	running := append(forwarded("a", 9), forwarded("b", 9)...)
	c.Assert(codes(running), qt.DeepEquals, []errcode.Code{errcode.OK, errcode.OK})
	c.Assert(forwarded("low", 5), qt.HasLen, 0)
	c.Assert(forwarded("mid", 3), qt.HasLen, 0)
	write := forwarded("mid too", 3)
	c.Assert(codes(write), qt.DeepEquals, []errcode.Code{errcode.BusySlotsFull})
	c.Assert(write[0].Forward.ID, qt.Equals, "low")
	write = forwarded("high", 0)
	c.Assert(codes(write), qt.DeepEquals, []errcode.Code{errcode.BusySlotsFull})
	c.Assert(write[0].Forward.ID, qt.Equals, "mid too")
	started := []string{}
	for _, order := range running {
		_, next := serving.Complete(time.Second, order, message.Outcome{Kind: message.Completed})
		c.Assert(next, qt.HasLen, 1)
		started = append(started, next[0].Forward.ID)
	}
	c.Assert(started, qt.DeepEquals, []string{"high", "mid"})
	// One put out had not begun, so it may be carried here again.
	c.Assert(serving.Outcome(time.Second, "low").Kind, qt.Equals, message.NotStarted)
}

// A heartbeat behind a newer one alters nothing: neither address nor slots nor state, and it
// is no sign of life.
func TestLateHeartbeatAltersNothing(t *testing.T) {
	c := qt.New(t)
	serving := New(settings.Default(), func(message.Forward) errcode.Code { return errcode.OK })
	serving.Announce(0, numbered(7, nil))
	accepted, endings, decisions := serving.Announce(time.Second, numbered(6, func(announcement *Announcement) {
		announcement.Draining, announcement.Slots, announcement.Address = true, 50, "a:2"
	}))
	c.Assert(accepted, qt.IsTrue)
	c.Assert(endings, qt.HasLen, 0)
	c.Assert(decisions, qt.HasLen, 0)
	registered, _ := serving.Lookup("pay", "one")
	c.Assert(registered, qt.DeepEquals, numbered(7, nil))
	c.Assert(serving.Dialable(settings.Default().AddressProofTTL()+1, Target{Key: "pay/one", Address: "a:1", Incarnation: 5}), qt.IsFalse)
	c.Assert(codes(serving.HandleForward(time.Second, forwardOf("a", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.OK})
	// A later life counts anew; what numbers nothing is taken as it comes.
	serving.Announce(time.Second, numbered(1, func(announcement *Announcement) { announcement.Incarnation = 6 }))
	registered, _ = serving.Lookup("pay", "one")
	c.Assert(registered.Incarnation, qt.Equals, int64(6))
}

// Whoever has been dismissed never comes back under that name, before its memory is
// over, whatever is still on its way; another name at its address does.
func TestDismissedNeverComesBack(t *testing.T) {
	c := qt.New(t)
	serving := New(settings.Default(), func(message.Forward) errcode.Code { return errcode.OK })
	serving.Announce(0, numbered(7, nil))
	serving.HandleForward(0, forwardOf("a", "one", 5))
	serving.HandleForward(0, forwardOf("b", "one", 5))
	serving.HandleForward(0, forwardOf("c", "one", 5))
	ending, found, decisions := serving.RetireInstance(time.Second, "one")
	c.Assert(found, qt.IsTrue)
	c.Assert(ending.Service, qt.Equals, "pay")
	c.Assert(codes(decisions), qt.DeepEquals, []errcode.Code{errcode.BusyLeaving})
	for number := int64(6); number < 10; number++ {
		accepted, _, _ := serving.Announce(
			2*time.Second,
			numbered(number, func(announcement *Announcement) { announcement.Incarnation = number }),
		)
		c.Assert(accepted, qt.IsTrue)
		c.Assert(serving.HasInstance("one"), qt.IsFalse)
	}
	c.Assert(codes(serving.HandleForward(2*time.Second, forwardOf("d", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.BusyUpstreamGone})
	_, found, _ = serving.RetireInstance(2*time.Second, "one")
	c.Assert(found, qt.IsFalse)
	// One that was never heard of here may not come after its last word either.
	serving.RetireInstance(2*time.Second, "unheard")
	serving.Announce(2*time.Second, response("unheard", "a:3", 1))
	c.Assert(serving.HasInstance("unheard"), qt.IsFalse)
	serving.Announce(2*time.Second, response("two", "a:1", 1))
	c.Assert(serving.HasInstance("two"), qt.IsTrue)
}
