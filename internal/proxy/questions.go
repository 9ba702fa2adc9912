package proxy

import (
	"beaconvane/internal/message"
)

// Announced is the notice that the backend has accepted an announcement of an upstream.
type Announced struct {
	Registration message.Registration
}

// SignedOff is the notice that an incarnation of an upstream has ended.
type SignedOff struct {
	Service     string
	Instance    string
	Incarnation int64
}

// Probed is the result of a probe.
type Probed struct {
	Key         string // of the registration
	Incarnation int64
	Answered    bool
}

// UsageCounted is what the frontend has counted of usage; windows below Closed won't change.
type UsageCounted struct {
	Usage  []message.UsageCount
	Closed int64
}

// ReadSealed asks below which window all usage is sealed; the answer is an int64.
type ReadSealed struct{}

// ReadStatus asks for the Status.
type ReadStatus struct{}

// Stop is the notice that the process stops.
type Stop struct{}
