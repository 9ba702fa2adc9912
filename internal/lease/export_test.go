package lease

import "beaconvane/internal/safeguard"

// WithoutGuard calls do with one guard disabled. name is the name of a field of guards.
func WithoutGuard(name string, do func()) { safeguard.WithoutField(&guardsOff, name, do) }
