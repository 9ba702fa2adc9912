package proxy

import (
	"beaconvane/internal/message"
)

// The notices below are handed to Machine.HandleRequest by the process and have no answer.

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

// Probed is the notice of a probe's result.
type Probed struct {
	Key         string // of the registration
	Incarnation int64
	Answered    bool
}

// UsageCounted is the notice of what the frontend has counted. Windows below Closed won't change.
type UsageCounted struct {
	Usage  []message.UsageCount
	Closed int64
}

// Stop is the notice that the process stops.
type Stop struct{}

// The queries below are handed to Machine.HandleRequest with a request id, under which the answer comes.

// ReadSealed asks below which window all usage is sealed. The answer is an int64.
type ReadSealed struct{}

// ReadStatus asks for the Status.
type ReadStatus struct{}
