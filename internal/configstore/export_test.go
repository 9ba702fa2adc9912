package configstore

import "beaconvane/internal/safeguard"

// WithoutGuard calls run while the named field of guards is set, which disables that rule.
func WithoutGuard(name string, run func()) { safeguard.WithoutField(&guardsOff, name, run) }
