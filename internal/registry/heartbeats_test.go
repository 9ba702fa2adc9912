package registry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

func heartbeatOf(incarnation int64, proxy string, at time.Duration) upstreamHeartbeat {
	registration := message.Registration{Service: "dispatch", Instance: "dispatch-1", Incarnation: incarnation}
	return upstreamHeartbeat{message.Heartbeat{Registration: registration}, at, proxy}
}

// The newest heartbeat holds: by incarnation, then by time, and of one proxy the last that it passed on.
func TestTheNewestHeartbeatIsKept(t *testing.T) {
	c := qt.New(t)
	table := newHeartbeatTable()
	for _, step := range []struct {
		received upstreamHeartbeat
		taken    bool
	}{
		{heartbeatOf(2, "proxy-a", 100*time.Millisecond), true},
		{heartbeatOf(1, "proxy-a", 900*time.Millisecond), false}, // an earlier incarnation
		{heartbeatOf(2, "proxy-b", 50*time.Millisecond), false},  // older, by way of another proxy
		{heartbeatOf(2, "proxy-a", 50*time.Millisecond), true},   // the same proxy corrects itself
		{heartbeatOf(2, "proxy-b", 60*time.Millisecond), true},   // newer, by way of another proxy
		{heartbeatOf(3, "proxy-c", 10*time.Millisecond), true},   // a later incarnation
	} {
		before := table.newest["dispatch/dispatch-1"]
		c.Assert(table.record(step.received), qt.Equals, step.taken)
		wanted := before
		if step.taken {
			wanted = step.received
		}
		c.Assert(table.newest["dispatch/dispatch-1"], qt.Equals, wanted)
	}
}

// A deregistration ends an incarnation and those before it, until it is forgotten.
func TestDeregistrationsEndIncarnations(t *testing.T) {
	c := qt.New(t)
	table := newHeartbeatTable()
	table.recordDeregistration("dispatch/dispatch-1", 2, time.Second)
	table.recordDeregistration("dispatch/dispatch-1", 1, 2*time.Second)
	for incarnation, ended := range map[int64]bool{1: true, 2: true, 3: false} {
		registration := heartbeatOf(incarnation, "", 0).heartbeat.Registration
		c.Check(table.isDeregistered(registration), qt.Equals, ended)
	}
	registration := heartbeatOf(2, "", 0).heartbeat.Registration
	table.forgetDeregistrations(time.Second)
	c.Check(table.isDeregistered(registration), qt.IsTrue)
	table.forgetDeregistrations(time.Second + 1)
	c.Check(table.isDeregistered(registration), qt.IsFalse)
}
