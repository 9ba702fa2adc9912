// Tests of the order of requests in the queue and of announcements that arrive out of order.
package backend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// announcementWithSequence returns an announcement of incarnation 5 with a sequence number. alter may be
// nil.
func announcementWithSequence(sequence int64, alter func(announcement *Announcement)) Announcement {
	announcement := announcementOf("one", "a:1", 5)
	announcement.Sequence = sequence
	if alter != nil {
		alter(&announcement)
	}
	return announcement
}

// Queued requests start in order of priority, and in order of arrival within a priority. When the queue
// is full, its last request is refused.
func TestQueueOrderedByPriority(t *testing.T) {
	c := qt.New(t)
	serving := newServingProxy(c)
	submit := func(id string, priority int64) []Decision {
		forward := forwardOf(id, "one", 5)
		forward.Priority = priority
		return serving.HandleForward(time.Second, forward)
	}
	running := append(submit("a", 9), submit("b", 9)...)
	c.Assert(codes(running), qt.DeepEquals, []errcode.Code{errcode.OK, errcode.OK})
	c.Assert(submit("low", 5), qt.HasLen, 0)
	c.Assert(submit("mid", 3), qt.HasLen, 0)
	overflow := submit("mid too", 3)
	c.Assert(codes(overflow), qt.DeepEquals, []errcode.Code{errcode.BusySlotsFull})
	c.Assert(overflow[0].Forward.ID, qt.Equals, "low")
	overflow = submit("high", 0)
	c.Assert(codes(overflow), qt.DeepEquals, []errcode.Code{errcode.BusySlotsFull})
	c.Assert(overflow[0].Forward.ID, qt.Equals, "mid too")
	started := []string{}
	for _, decision := range running {
		_, next := serving.Complete(time.Second, decision, message.Outcome{Kind: message.Completed})
		c.Assert(next, qt.HasLen, 1)
		started = append(started, next[0].Forward.ID)
	}
	c.Assert(started, qt.DeepEquals, []string{"high", "mid"})
	// A request that was refused by overflow has not started.
	c.Assert(serving.Outcome(time.Second, "low").Kind, qt.Equals, message.NotStarted)
}

// A heartbeat that arrives after one with a higher sequence number changes neither address nor slots nor
// state, and does not renew the proof of the address.
func TestLateHeartbeatAltersNothing(t *testing.T) {
	c := qt.New(t)
	serving := New(settings.Default(), func(message.Forward) errcode.Code { return errcode.OK })
	serving.Announce(0, announcementWithSequence(7, nil))
	accepted, ended, decisions := serving.Announce(time.Second, announcementWithSequence(6, func(announcement *Announcement) {
		announcement.Draining, announcement.Slots, announcement.Address = true, 50, "a:2"
	}))
	c.Assert(accepted, qt.IsTrue)
	c.Assert(ended, qt.HasLen, 0)
	c.Assert(decisions, qt.HasLen, 0)
	registered, _ := serving.Lookup("pay", "one")
	c.Assert(registered, qt.DeepEquals, announcementWithSequence(7, nil))
	c.Assert(serving.Dialable(settings.Default().AddressProofTTL()+1, Target{Key: "pay/one", Address: "a:1", Incarnation: 5}), qt.IsFalse)
	c.Assert(codes(serving.HandleForward(time.Second, forwardOf("a", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.OK})
	// A new incarnation starts its own sequence.
	serving.Announce(time.Second, announcementWithSequence(1, func(announcement *Announcement) { announcement.Incarnation = 6 }))
	registered, _ = serving.Lookup("pay", "one")
	c.Assert(registered.Incarnation, qt.Equals, int64(6))
}

// Announcements of a retired instance are ignored until ForgetAfter has passed, whatever their sequence
// number and incarnation. Another instance at its address may register.
func TestDismissedNeverComesBack(t *testing.T) {
	c := qt.New(t)
	serving := New(settings.Default(), func(message.Forward) errcode.Code { return errcode.OK })
	serving.Announce(0, announcementWithSequence(7, nil))
	serving.HandleForward(0, forwardOf("a", "one", 5))
	serving.HandleForward(0, forwardOf("b", "one", 5))
	serving.HandleForward(0, forwardOf("c", "one", 5))
	retired, found, decisions := serving.RetireInstance(time.Second, "one")
	c.Assert(found, qt.IsTrue)
	c.Assert(retired.Service, qt.Equals, "pay")
	c.Assert(codes(decisions), qt.DeepEquals, []errcode.Code{errcode.BusyLeaving})
	for number := int64(6); number < 10; number++ {
		accepted, _, _ := serving.Announce(
			2*time.Second,
			announcementWithSequence(number, func(announcement *Announcement) { announcement.Incarnation = number }),
		)
		c.Assert(accepted, qt.IsTrue)
		c.Assert(serving.HasInstance("one"), qt.IsFalse)
	}
	c.Assert(codes(serving.HandleForward(2*time.Second, forwardOf("d", "one", 5))), qt.DeepEquals, []errcode.Code{errcode.BusyUpstreamGone})
	_, found, _ = serving.RetireInstance(2*time.Second, "one")
	c.Assert(found, qt.IsFalse)
	// Retiring an instance that has not announced itself here also bars its delayed announcements.
	serving.RetireInstance(2*time.Second, "unregistered")
	serving.Announce(2*time.Second, announcementOf("unregistered", "a:3", 1))
	c.Assert(serving.HasInstance("unregistered"), qt.IsFalse)
	serving.Announce(2*time.Second, announcementOf("two", "a:1", 1))
	c.Assert(serving.HasInstance("two"), qt.IsTrue)
}

// Guards against a late heartbeat of an upstream's earlier life that ends the present one at the same address.
func TestLateHeartbeatOfAnEarlierLife(t *testing.T) {
	c := qt.New(t)
	serving := New(settings.Default(), func(message.Forward) errcode.Code { return errcode.OK })
	announce := func(now time.Duration, instance, address string, incarnation, sequence int64) (ended int) {
		announcement := announcementOf(instance, address, incarnation)
		announcement.Sequence = sequence
		accepted, endedAnnouncements, _ := serving.Announce(now, announcement)
		c.Assert(accepted, qt.IsTrue)
		return len(endedAnnouncements)
	}
	silence := serving.settings.HeartbeatTimeout() / 2
	announce(0, "earlier", "a:1", 1, 8)
	c.Assert(announce(time.Second, "present", "a:1", 1, 1), qt.Equals, 1)
	c.Assert(announce(time.Second+silence, "earlier", "a:1", 1, 9), qt.Equals, 0)
	c.Assert(serving.HasInstance("present"), qt.IsTrue)
	c.Assert(serving.HasInstance("earlier"), qt.IsFalse)
	// The same instance may come elsewhere, or with a later incarnation.
	c.Assert(announce(2*time.Second, "earlier", "b:1", 1, 10), qt.Equals, 0)
	c.Assert(serving.HasInstance("earlier"), qt.IsTrue)
	c.Assert(announce(2*time.Second, "earlier", "a:1", 2, 1), qt.Equals, 1)
	c.Assert(serving.HasInstance("present"), qt.IsFalse)
	// If the one that replaced it falls silent, it was a late heartbeat of that one.
	c.Assert(announce(3*time.Second, "present", "a:1", 1, 2), qt.Equals, 0)
	c.Assert(announce(2*time.Second+silence+1, "present", "a:1", 1, 3), qt.Equals, 1)
	c.Assert(serving.HasInstance("present"), qt.IsTrue)
}
