package settings

import "time"

// Every timer of the system is derived from one of the bounds by a fixed ratio. These are the named ratios and
// the minimum of the base interval.
const (
	// minBaseInterval limits the frequency of ticks, since each one costs processor time.
	minBaseInterval = 400 * time.Millisecond
	// ticksPerBaseInterval and updatesPerBaseInterval are the numbers of ticks and updates in a base interval.
	ticksPerBaseInterval   = 80
	updatesPerBaseInterval = 10
	// renewalsPerLease is the number of renewals within the duration of a lease.
	renewalsPerLease = 5
	// heartbeatsPerTimeout is how often a proxy passes heartbeats on within HeartbeatTimeout.
	heartbeatsPerTimeout = 10
)

// BaseInterval is the time from which the intervals of ticks and updates, and the timeouts of relays, are derived. It
// is the bound for a configuration to be in force. It is less where a process that takes several of these intervals
// must end sooner: a lease, the catch-up of a new machine, the restoration after a loss, the withdrawal of a key.
func (c Settings) BaseInterval() time.Duration {
	interval := min(milliseconds(c.Bounds.ConfigurationInForce), c.Lease()*4/3,
		milliseconds(c.Bounds.CatchUp)/2, milliseconds(c.Bounds.Restore)*2/15)
	if c.Bounds.KeyWithdrawal > 0 {
		interval = min(interval, milliseconds(c.Bounds.KeyWithdrawal)*4/10)
	}
	return max(interval, minBaseInterval)
}

// TickEvery is the interval of the ticks that drive a state machine's timers.
func (c Settings) TickEvery() time.Duration { return c.BaseInterval() / ticksPerBaseInterval }

// UpdatesEvery is the interval at which updates of configurations and of the roster are distributed to proxies.
func (c Settings) UpdatesEvery() time.Duration { return c.BaseInterval() / updatesPerBaseInterval }

// ParentTimeout is the time without a response after which a relay's parent is considered unreachable.
func (c Settings) ParentTimeout() time.Duration { return c.BaseInterval() / 4 }

// ReparentAfter is how long a relay accepts a parent that does not bring it up to date before it looks for another. A
// configuration confirmed within this time counts as current.
func (c Settings) ReparentAfter() time.Duration { return c.BaseInterval() * 3 / 4 }

// MaxAgeReady is the age of the configurations or the roster above which a proxy is not ready.
func (c Settings) MaxAgeReady() time.Duration {
	if c.Bounds.KeyWithdrawal > 0 {
		return milliseconds(c.Bounds.KeyWithdrawal) * 8 / 10
	}
	return milliseconds(c.Bounds.Restore) * 4 / 10
}

// MaxAgeAdmit is the age of the configurations above which a proxy refuses requests, since a key may have been
// withdrawn meanwhile; 0: no limit.
func (c Settings) MaxAgeAdmit() time.Duration {
	return milliseconds(c.Bounds.KeyWithdrawal) * 9 / 10
}

// Lease is how long a voter grants a lease to its holder.
func (c Settings) Lease() time.Duration {
	if c.Bounds.Lease > 0 {
		return milliseconds(c.Bounds.Lease)
	}
	return milliseconds(c.Bounds.HolderCooldown) / 2
}

// HolderLease is how long the holder acts on a lease. It is shorter than the lease that the voters granted, so
// that two holders never overlap.
func (c Settings) HolderLease() time.Duration { return c.Lease() * 9 / 10 }

// RenewEvery is the interval at which a holder renews its lease.
func (c Settings) RenewEvery() time.Duration { return c.Lease() / renewalsPerLease }

// HolderCooldown is how long a former holder of a lease isn't granted it again.
func (c Settings) HolderCooldown() time.Duration { return milliseconds(c.Bounds.HolderCooldown) }

// FailbackAfter is how long a holder keeps a lease before it hands it over to the voter that the settings prefer.
func (c Settings) FailbackAfter() time.Duration { return c.HolderCooldown() * 4 }

// LeaseTakeover is the longest time that a lease is without a holder after the loss of its holder.
func (c Settings) LeaseTakeover() time.Duration {
	return c.Lease()*2 + milliseconds(c.Bounds.Sync)*minSyncsPerLease
}

// HeartbeatTimeout is how long an upstream counts as alive after a heartbeat.
func (c Settings) HeartbeatTimeout() time.Duration { return milliseconds(c.Bounds.Heartbeat) }

// HeartbeatEvery is the interval at which a proxy passes on the heartbeats of its upstreams.
func (c Settings) HeartbeatEvery() time.Duration { return c.HeartbeatTimeout() / heartbeatsPerTimeout }

// ServingProxyTimeout is how long after an upstream's last announcement its serving proxy still forwards requests
// to it. It is limited since the upstream may have signed off at another proxy.
func (c Settings) ServingProxyTimeout() time.Duration {
	if c.ProofByTarget() {
		// An upstream sends heartbeats to its serving proxy only, and refuses requests for another target.
		return c.HeartbeatTimeout()
	}
	return min(c.HeartbeatTimeout(), milliseconds(c.Bounds.Drain)*4/5)
}

// AdoptionTimeout is how long after its start a proxy passes requests to an upstream of which it knows from the
// roster only, since the upstream announced itself to an earlier run of the proxy.
func (c Settings) AdoptionTimeout() time.Duration {
	return min(milliseconds(c.Bounds.Adoption), c.ServingProxyTimeout())
}

// AddressProofTTL is how long an announcement or a response proves which upstream uses an address.
func (c Settings) AddressProofTTL() time.Duration { return c.HeartbeatTimeout() / 30 }

// ConnectionIdle is how long an idle connection to an upstream stays open.
func (c Settings) ConnectionIdle() time.Duration { return c.HeartbeatTimeout() * 2 / 3 }

// ReloadEvery is the interval at which a process reads its settings file again.
func (c Settings) ReloadEvery() time.Duration { return milliseconds(c.Bounds.Restore) / 6 }

// DeregistrationTimeout is how long an upstream that signs off waits for its acknowledgement. It is below the second
// after which it calls another proxy.
func (c Settings) DeregistrationTimeout() time.Duration { return operatorBaseTimeout }

// ProbeEvery is the interval of membership probes. It is short enough for a lost voter to be detected, suspected
// and replaced within the time that a new core machine has to catch up.
func (c Settings) ProbeEvery() time.Duration {
	return min(milliseconds(c.Bounds.Restore)/60, milliseconds(c.Bounds.CatchUp)/16)
}

// ProbeTimeout is how long the reply to a probe may take before the member is probed indirectly.
func (c Settings) ProbeTimeout() time.Duration { return c.ProbeEvery() * 2 / 5 }

// SuspicionTimeout is how long a member is suspected before it is considered dead.
func (c Settings) SuspicionTimeout() time.Duration { return c.ProbeEvery() * 5 }

// DiskRetryEvery is the interval at which a process retries a disk after a failed write.
func (c Settings) DiskRetryEvery() time.Duration { return milliseconds(c.Bounds.CatchUp) / 16 }

// ClaimAfter is how long a majority must report a voter as vacant before another machine claims it.
func (c Settings) ClaimAfter() time.Duration { return milliseconds(c.Bounds.CatchUp) / 10 }

// HandoverTimeout is how long a stopping process waits for its voter to be handed over.
func (c Settings) HandoverTimeout() time.Duration { return c.Grace() / 4 }

// ForgetAfter is how long the record of a dead member, a retired upstream or an absent proxy is retained.
func (c Settings) ForgetAfter() time.Duration { return milliseconds(c.Bounds.Restore) * 4 }

// JoinEvery is the interval at which a process without peers contacts its seeds to join.
func (c Settings) JoinEvery() time.Duration { return milliseconds(c.Bounds.Restore) / 30 }

// SealAfter is the time from the end of a usage window until it is sealed.
func (c Settings) SealAfter() time.Duration { return milliseconds(c.Bounds.UsageReportDelay) * 6 / 10 }

// UsageReportDelay is the time from the end of a usage window until its report is due.
func (c Settings) UsageReportDelay() time.Duration { return milliseconds(c.Bounds.UsageReportDelay) }

// UsageWindow is the length of a usage window.
func (c Settings) UsageWindow() time.Duration { return milliseconds(c.Bounds.UsageWindow) }

// SaveEvery is the interval at which a registry writes usage counts to disk.
func (c Settings) SaveEvery() time.Duration { return milliseconds(c.Bounds.Sync) / 5 }

// SlowSync is the duration above which a disk sync is considered slow.
func (c Settings) SlowSync() time.Duration { return milliseconds(c.Bounds.Sync) }

// CountEvery is the interval at which proxies send usage counts to the registries. Where serving proxies count
// begun requests it is a fortieth of the window, since the crash of a serving proxy loses the counts
// of one interval.
func (c Settings) CountEvery() time.Duration {
	if c.CountsBegun() {
		return c.UsageWindow() / 40
	}
	return milliseconds(c.Bounds.Sync) / 2
}

// ReportEvery is the interval at which a registry retries a usage report, and the time that each attempt may take.
func (c Settings) ReportEvery() time.Duration { return milliseconds(c.Bounds.UsageReportDelay) / 20 }

// DigestEvery is the interval at which voters send their status to each other.
func (c Settings) DigestEvery() time.Duration { return c.UpdatesEvery() }

// InForceWait is how long a call waits for a version to be in force everywhere, unless the call gives its own time.
func (c Settings) InForceWait() time.Duration { return milliseconds(c.Bounds.ConfigurationInForce) * 2 }

// Operators' clients try another node after a second without a response, or later for large bodies. The timeout must
// end before.
const (
	operatorBaseTimeout    = 800 * time.Millisecond
	operatorBytesPerSecond = 8 << 20
)

// OperatorTimeout is how long an operator's call waits for the reply of another process before it is answered with
// an error.
func (c Settings) OperatorTimeout(bodyBytes int) time.Duration {
	return operatorBaseTimeout + time.Duration(bodyBytes)*time.Second/operatorBytesPerSecond
}

// DialTimeout is the timeout for opening a connection.
func (c Settings) DialTimeout() time.Duration { return milliseconds(c.Bounds.Restore) / 60 }

// OutcomeRetention is how long a serving proxy keeps the outcome of a request.
func (c Settings) OutcomeRetention() time.Duration {
	return min(milliseconds(c.Limits.RequestTimeout)*2, milliseconds(c.Bounds.Restore)*8)
}

// ResponseRetention is how long a serving proxy keeps complete responses for proxies that lost their
// connection and request the outcome again.
func (c Settings) ResponseRetention() time.Duration {
	return min(c.OutcomeRetention(), c.UpdatesEvery()*10)
}

// RequestTimeout is the maximum duration of a request.
func (c Settings) RequestTimeout() time.Duration { return milliseconds(c.Limits.RequestTimeout) }

// WarmUpTime is how long after an upstream became ready proxies prefer other upstreams to it.
func (c Settings) WarmUpTime() time.Duration { return milliseconds(c.Bounds.Heartbeat) * 2 / 3 }

// Linger is how long a process that stops still accepts requests.
func (c Settings) Linger() time.Duration { return milliseconds(c.Limits.Linger) }

// Grace is how long a process that stops may take.
func (c Settings) Grace() time.Duration { return milliseconds(c.Limits.Grace) }

// RetryWindow is the period over which retries are counted against the retry budget.
func (c Settings) RetryWindow() time.Duration { return milliseconds(c.Bounds.RetryWindow) }

// TrafficRate is the rate at which forwarded requests and responses may be sent, in bytes per second. The rest of
// the link's bandwidth is reserved for control messages. 0: no limit.
func (c Settings) TrafficRate() int64 { return c.Limits.LinkBandwidth * 17 / 20 }

// LinkWait is how long a request may wait in the send queue of the machine's link; a request that would wait longer
// is refused immediately.
func (c Settings) LinkWait() time.Duration { return c.UpdatesEvery() }

// bodyMemoryDivisor determines the fraction of the memory that callers' bodies may use together, since each body is
// in memory several times while it is forwarded.
const bodyMemoryDivisor = 8

// BodyMemory is the number of bytes that callers' bodies may use together. It is at least the size of the largest
// allowed body.
func (c Settings) BodyMemory() int64 {
	if c.Limits.Memory == 0 {
		return c.Limits.Body * bodyMemoryDivisor
	}
	return max(c.Limits.Memory<<20/bodyMemoryDivisor, c.Limits.Body)
}

// ForwardMemory is the number of bytes that requests forwarded to the upstreams of a proxy may use together while
// they arrive, wait and run. It holds at least two copies of the largest body.
func (c Settings) ForwardMemory() int64 {
	return max(c.BodyMemory()*2, c.Limits.Body*2+frameOverheadBytes*2)
}

// ResponseMemory is the number of bytes that the answers which a proxy reads from its upstreams may use together, and
// again those that arrive for its callers. It holds at least two copies of the largest response.
func (c Settings) ResponseMemory() int64 {
	return max(c.BodyMemory(), c.Limits.Response*2+frameOverheadBytes*2)
}

// OrderMemory is the number of bytes that the configurations of operators may use together in a registry, and the
// pending writes in a configuration store. It holds at least one of the largest size.
func (c Settings) OrderMemory() int64 {
	if c.Limits.Memory == 0 {
		return c.Limits.Configuration * bodyMemoryDivisor
	}
	return max(c.Limits.Memory<<20/bodyMemoryDivisor, c.Limits.Configuration)
}

// CallerConnections is the number of connections that callers may keep open at a proxy. The remaining file
// descriptors are reserved for connections to upstreams and between processes. 0: no limit.
func (c Settings) CallerConnections() int { return int(c.Limits.Descriptors / 2) }
