package registry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

// heartbeatOf returns a heartbeat of upstream dispatch/dispatch-1.
func heartbeatOf(incarnation int64, proxy string, at time.Duration) upstreamHeartbeat {
	registration := message.Registration{Service: "dispatch", Instance: "dispatch-1", Incarnation: incarnation}
	return upstreamHeartbeat{message.Heartbeat{Registration: registration}, at, proxy}
}

// A later incarnation replaces the stored heartbeat. Within an incarnation it is replaced by one
// that was announced no earlier, or by any that comes from the proxy that forwarded the stored one.
func TestLatestHeartbeatIsKept(t *testing.T) {
	c := qt.New(t)
	table := newHeartbeatTable()
	for _, step := range []struct {
		received upstreamHeartbeat
		accepted bool
	}{
		{heartbeatOf(2, "proxy-a", 100*time.Millisecond), true},
		{heartbeatOf(1, "proxy-a", 900*time.Millisecond), false}, // an earlier incarnation
		{heartbeatOf(2, "proxy-b", 50*time.Millisecond), false},  // announced earlier, other proxy
		{heartbeatOf(2, "proxy-a", 50*time.Millisecond), true},   // announced earlier, same proxy: a correction
		{heartbeatOf(2, "proxy-b", 60*time.Millisecond), true},   // announced later, other proxy
		{heartbeatOf(3, "proxy-c", 10*time.Millisecond), true},   // a later incarnation
	} {
		before := table.latest["dispatch/dispatch-1"]
		c.Assert(table.record(step.received), qt.Equals, step.accepted)
		expected := before
		if step.accepted {
			expected = step.received
		}
		c.Assert(table.latest["dispatch/dispatch-1"], qt.Equals, expected)
	}
}

// A deregistration ends its incarnation and all earlier ones until it is dropped from the table.
func TestDeregistrationsEndIncarnations(t *testing.T) {
	c := qt.New(t)
	table := newHeartbeatTable()
	c.Assert(table.recordDeregistration(endOf(2), time.Second), qt.IsTrue)
	c.Assert(table.recordDeregistration(endOf(1), 2*time.Second), qt.IsFalse)
	c.Assert(table.recordDeregistration(endOf(2), 2*time.Second), qt.IsFalse)
	for incarnation, ended := range map[int64]bool{1: true, 2: true, 3: false} {
		registration := heartbeatOf(incarnation, "", 0).heartbeat.Registration
		c.Check(table.isDeregistered(registration), qt.Equals, ended)
	}
	registration := heartbeatOf(2, "", 0).heartbeat.Registration
	table.dropDeregistrations(time.Second)
	c.Check(table.isDeregistered(registration), qt.IsTrue)
	table.dropDeregistrations(time.Second + 1)
	c.Check(table.isDeregistered(registration), qt.IsFalse)
}

// Guards against an acknowledged drain that is forgotten when the proxy that passed it on restarts and reports the
// upstream as the roster had it: the state is final for an incarnation.
func TestDrainIsFinalForAnIncarnation(t *testing.T) {
	c := qt.New(t)
	inState := func(state string, incarnation int64, proxy string, at time.Duration) upstreamHeartbeat {
		received := heartbeatOf(incarnation, proxy, at)
		received.heartbeat.Registration.State = state
		return received
	}
	table := newHeartbeatTable()
	latestState := func() string { return table.latest["dispatch/dispatch-1"].heartbeat.Registration.State }
	table.record(inState(message.StateReady, 1, "proxy-a", time.Second))
	table.record(inState(message.StateDraining, 1, "proxy-a", 2*time.Second))
	c.Assert(latestState(), qt.Equals, message.StateDraining)
	table.record(inState(message.StateReady, 1, "proxy-a", 3*time.Second))
	c.Assert(latestState(), qt.Equals, message.StateDraining)
	table.record(inState(message.StateReady, 1, "proxy-b", 4*time.Second))
	c.Assert(latestState(), qt.Equals, message.StateDraining)
	table.record(inState(message.StateReady, 2, "proxy-a", 5*time.Second))
	c.Assert(latestState(), qt.Equals, message.StateReady)
}
