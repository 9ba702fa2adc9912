package proxy

import (
	"beaconvane/internal/message"
)

// The process passes the notices below to Machine.HandleRequest. They have no reply.

// Announced reports that the backend accepted an announcement of an upstream.
type Announced struct {
	Registration message.Registration
}

// SignedOff reports that an incarnation of an upstream was deregistered.
type SignedOff struct {
	Service     string
	Instance    string
	Incarnation int64
}

// AwaitStored queries whether a deregistration is on the disks of a majority of the registries. The reply, a
// DeregistrationStored, comes as soon as it is. Otherwise there is none.
type AwaitStored struct{ Deregistration message.Deregistration }

// DeregistrationStored is the reply to AwaitStored.
type DeregistrationStored struct{}

// Probed reports the result of a probe.
type Probed struct {
	Key         string // key of the registration
	Incarnation int64
	Answered    bool
}

// UsageCounted reports the usage counts of this proxy. Windows below Closed are closed: no further
// requests are counted in them.
type UsageCounted struct {
	Usage  []message.UsageCount
	Closed int64
}

// Stop reports that the process is shutting down.
type Stop struct{}

// The process passes the queries below to Machine.HandleRequest with a request id, which the reply
// carries.

// ReadSealed queries the window below which all usage is sealed. The reply is an int64.
type ReadSealed struct{}

// ReadStatus queries the status of the control machine. The reply is a Status.
type ReadStatus struct{}
