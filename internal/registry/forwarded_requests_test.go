package registry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// newTestMachine returns a registry without peers, with an empty disk.
func newTestMachine(c *qt.C) *Machine {
	cfg := settings.Default()
	cfg.Voter, cfg.Voters, cfg.Zones = "1", settings.VoterNames(3), []string{"a"}
	machine, err := New(cfg, message.Member{Name: "registry/n1", Role: message.RoleRegistry, Address: "a1"}, nil, nil)
	c.Assert(err, qt.IsNil)
	return machine
}

// onlyRequestID returns the ID under which the machine forwards its only request.
func onlyRequestID(c *qt.C, machine *Machine) int64 {
	c.Assert(machine.requests.pending, qt.HasLen, 1)
	for requestID := range machine.requests.pending {
		return requestID
	}
	return 0
}

// An answer to a request of an earlier run of a registry, or of its machine before it was rebuilt from
// disk, isn't given to the operator whose request has just come: an invalid configuration was
// acknowledged, and put into force, with the answer to a valid one. Reads are no different.
func TestAnswerToAnEarlierRunIsIgnored(t *testing.T) {
	const firstOperator, secondOperator = 1, 2
	write := WriteConfiguration{ConfigName: "main", Version: 20, Body: []byte(`{"version":20}`)}
	invalid := WriteConfiguration{ConfigName: "main", Version: 25, Body: []byte(`{"version":25}`)}
	read := ReadConfiguration{ConfigName: "main"}
	restarted := statemachine.NewEnv(2)
	for _, step := range []struct {
		name          string
		first, second any
		secondEnv     *statemachine.Env // nil: the environment of the first run
	}{
		{"write after a restart", write, invalid, restarted},
		{"read after a restart", write, read, restarted},
		{"write after a read and a restart", read, invalid, restarted},
		{"write of a rebuilt machine", write, invalid, nil},
	} {
		t.Run(step.name, func(t *testing.T) {
			c := qt.New(t)
			env := statemachine.NewEnv(1)
			earlier := newTestMachine(c)
			earlier.HandleRequest(env, firstOperator, step.first)
			env.Drain()
			if step.secondEnv != nil {
				env = step.secondEnv
			}
			machine := newTestMachine(c)
			machine.HandleRequest(env, secondOperator, step.second)
			env.Drain()
			machine.Handle(env, "store", message.StoreResponse{
				RequestID: onlyRequestID(c, earlier), Code: int64(errcode.OK), ConfigName: "main", Version: 20,
			})
			for _, effect := range env.Drain() {
				_, isReply := effect.(statemachine.Reply)
				c.Check(isReply, qt.IsFalse, qt.Commentf("%+v", effect))
			}
			c.Assert(machine.requests.pending, qt.HasLen, 1)
			machine.Handle(env, "store", message.StoreResponse{
				RequestID: onlyRequestID(c, machine), Code: int64(errcode.ConfigurationBad), ConfigName: "main",
			})
			c.Assert(machine.requests.pending, qt.HasLen, 0)
		})
	}
}
