package registry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

// Leaving is final for an incarnation; an upstream that was not probed yet is created.
func TestWantedStates(t *testing.T) {
	c := qt.New(t)
	for _, step := range []struct {
		announced   string
		probed      int64
		incarnation int64
		current     string // state in the roster, at incarnation 1; "": not registered
		wanted      string
	}{
		{message.StateReady, message.NotProbed, 1, "", message.StateCreated},
		{message.StateReady, message.ProbeRefused, 1, "", message.StateCreated},
		{message.StateReady, message.ProbeAnswered, 1, "", message.StateReady},
		{message.StateDraining, message.NotProbed, 1, "", message.StateDraining},
		{message.StateReady, message.NotProbed, 1, message.StateCreated, message.StateCreated},
		{message.StateReady, message.ProbeAnswered, 1, message.StateCreated, message.StateReady},
		{message.StateReady, message.NotProbed, 1, message.StateReady, message.StateReady},
		{message.StateReady, message.ProbeAnswered, 1, message.StateDraining, message.StateDraining},
		{message.StateReady, message.NotProbed, 2, message.StateDraining, message.StateCreated},
		{message.StateReady, message.ProbeAnswered, 2, message.StateDraining, message.StateReady},
	} {
		announced := message.Registration{Service: "dispatch", Instance: "dispatch-1", Incarnation: step.incarnation, State: step.announced}
		current := message.Registration{Service: "dispatch", Instance: "dispatch-1", Incarnation: 1, State: step.current}
		registered := step.current != ""
		if !registered {
			current = message.Registration{}
		}
		wanted := wantedRegistration(message.Heartbeat{Registration: announced, ProbeResult: step.probed}, current, registered)
		c.Check(wanted.State, qt.Equals, step.wanted, qt.Commentf("%+v", step))
		wanted.State = announced.State
		c.Check(wanted, qt.Equals, announced)
	}
}
