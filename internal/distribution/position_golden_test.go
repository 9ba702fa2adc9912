package distribution_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/distribution"
	"beaconvane/internal/membership"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// Positions are compared between processes of different program versions, so their hashes must not
// change. The hash of a configuration is the FNV-1a of its content; that of a slice is the sum of the
// FNV-1a hashes of its encoded registrations.
func TestPositionHashesAreUnchanged(t *testing.T) {
	c := qt.New(t)
	cfg := settings.Default()
	members := membership.New(cfg, message.Member{Name: "configstore/one"}, nil)
	source := distribution.New(cfg, members, func(*statemachine.Env, string) {})
	source.Subscribe(distribution.ConfigurationTopic("main"))
	source.WriteConfiguration(statemachine.NewEnv(1), "main", 7, []byte(`{"version":7}`))
	c.Check(source.Positions(), qt.DeepEquals, []message.Position{
		{Topic: "configuration:main", Seq: 7, Count: 1, Hash: 576421357176163376},
	})

	registration := message.Registration{
		Service:               "service-1",
		Instance:              "instance-1",
		Incarnation:           3,
		Address:               "10.0.1.1:80",
		Zone:                  "east",
		Slots:                 8,
		State:                 "ready",
		ServingProxy:          "proxy/p",
		ServingProxyAddress:   "10.0.0.8:9000",
		ServingProxyStartTime: 100,
	}
	other := registration
	other.Instance = "instance-2"
	slice := distribution.NewRosterSlice(distribution.SliceTopic("east"))
	c.Check(slice.Append(4, registration, false, "created"), qt.DeepEquals, message.RosterChange{
		Position:     message.Position{Topic: "slice:east", Epoch: 4, Seq: 1, Count: 1, Hash: 4725778936164794199},
		Registration: registration,
		Cause:        "created",
	})
	slice.Append(4, other, false, "created")
	c.Check(slice.Position, qt.Equals,
		message.Position{Topic: "slice:east", Epoch: 4, Seq: 2, Count: 2, Hash: 1413103518032186973})
	slice.Append(4, registration, true, "signed off")
	c.Check(slice.Position, qt.Equals,
		message.Position{Topic: "slice:east", Epoch: 4, Seq: 3, Count: 1, Hash: -3312675418132607226})
	c.Check(distribution.IsConfiguration("configuration:main"), qt.IsTrue)
	c.Check(distribution.IsConfiguration("slice:east"), qt.IsFalse)
}
