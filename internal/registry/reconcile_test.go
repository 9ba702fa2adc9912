package registry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/message"
)

// The state leaving is final for an incarnation. A new incarnation that announces another state is
// in the state created until it has answered a probe. The other fields are those that were
// announced.
func TestDesiredRegistrationState(t *testing.T) {
	c := qt.New(t)
	for _, step := range []struct {
		announced   string
		probed      int64
		incarnation int64
		current     string // state in the roster, at incarnation 1; "": not registered
		expected    string
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
		desired := desiredRegistration(message.Heartbeat{Registration: announced, ProbeResult: step.probed}, current, registered)
		c.Check(desired.State, qt.Equals, step.expected, qt.Commentf("%+v", step))
		desired.State = announced.State
		c.Check(desired, qt.Equals, announced)
	}
}
