package explore

import (
	"fmt"

	"beaconvane/internal/configstore"
	"beaconvane/internal/message"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// controlMachine is a machine with a voter.
type controlMachine interface {
	statemachine.Machine
	// VoterState is what the machine's disk says of its voter.
	VoterState() message.VoterState
	// Serving says that it acts as the holder of some lease.
	Serving() bool
}

// newMachine restores a role's machine from what its disk held.
func newMachine(role string, cfg settings.Settings, self message.Member, snapshot []byte, records [][]byte) (controlMachine, error) {
	switch role {
	case message.RoleConfigStore:
		return configstore.New(cfg, self, snapshot, records)
	case message.RoleRegistry:
		return registry.New(cfg, self, snapshot, records)
	}
	return nil, fmt.Errorf("no machine of role %q is explored", role)
}

// stopRequest asks a role's machine to end politely.
func stopRequest(role string) any {
	if role == message.RoleRegistry {
		return registry.Stop{}
	}
	return configstore.Stop{}
}
