package explore

import (
	"fmt"

	"beaconvane/internal/configstore"
	"beaconvane/internal/message"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// controlMachine is a state machine that holds a voter of the quorum.
type controlMachine interface {
	statemachine.Machine
	// VoterState returns the persisted state of the machine's voter.
	VoterState() message.VoterState
	// Serving reports whether the machine acts as the holder of a lease.
	Serving() bool
}

// newMachine restores the state machine of a role from the snapshot and the records on its disk.
func newMachine(role string, cfg settings.Settings, self message.Member, snapshot []byte, records [][]byte) (controlMachine, error) {
	switch role {
	case message.RoleConfigStore:
		return configstore.New(cfg, self, snapshot, records)
	case message.RoleRegistry:
		return registry.New(cfg, self, snapshot, records)
	}
	return nil, fmt.Errorf("role %q cannot be explored: expected %q or %q", role, message.RoleConfigStore, message.RoleRegistry)
}

// stopRequest returns the local request that shuts a role's machine down gracefully.
func stopRequest(role string) any {
	if role == message.RoleRegistry {
		return registry.Stop{}
	}
	return configstore.Stop{}
}
