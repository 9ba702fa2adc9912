package settings

import "time"

// Every timer of the system is a ratio to one of the bounds. These are the ratios that more than
// one timer goes by.
const (
	// shortestBaseInterval keeps the ticks, which cost processor time, from coming too often.
	shortestBaseInterval = 400 * time.Millisecond
	// ticksInBaseInterval and updatesInBaseInterval are how many ticks, and updates, a base interval
	// holds.
	ticksInBaseInterval   = 80
	updatesInBaseInterval = 10
	// renewalsInLease is how often a lease is renewed within its length.
	renewalsInLease = 5
	// heartbeatsInBound is how often heartbeats go on within the time that one holds.
	heartbeatsInBound = 10
)

// BaseInterval is the time that the periodic timers are parts of. It is the bound for a configuration
// to be in force, or less where something that takes several rounds of these timers has to be over
// sooner: a lease, the catching up of a new machine, the restoration after a loss, the withdrawal of
// a key.
func (c Settings) BaseInterval() time.Duration {
	interval := min(ms(c.Bounds.ConfigurationInForce), c.Lease()*4/3, ms(c.Bounds.CatchUp)/2, ms(c.Bounds.Restore)*2/15)
	if c.Bounds.KeyWithdrawal > 0 {
		interval = min(interval, ms(c.Bounds.KeyWithdrawal)*4/10)
	}
	return max(interval, shortestBaseInterval)
}

// TickEvery is the interval of a machine's clock.
func (c Settings) TickEvery() time.Duration { return c.BaseInterval() / ticksInBaseInterval }

// UpdatesEvery is the interval of updates to proxies.
func (c Settings) UpdatesEvery() time.Duration { return c.BaseInterval() / updatesInBaseInterval }

// ParentTimeout is the silence after which a relay's parent counts as lost.
func (c Settings) ParentTimeout() time.Duration { return c.BaseInterval() / 4 }

// ReparentAfter is how long a relay tries a parent before it asks for another.
func (c Settings) ReparentAfter() time.Duration { return c.BaseInterval() * 3 / 4 }

// MaxAgeReady is the age of configuration or roster past which a proxy is unready.
func (c Settings) MaxAgeReady() time.Duration {
	if c.Bounds.KeyWithdrawal > 0 {
		return ms(c.Bounds.KeyWithdrawal) * 8 / 10
	}
	return ms(c.Bounds.Restore) * 4 / 10
}

// MaxAgeAdmit is the age of configuration past which a proxy refuses; 0 is never.
func (c Settings) MaxAgeAdmit() time.Duration {
	return ms(c.Bounds.KeyWithdrawal) * 9 / 10
}

// Lease is how long a voter grants a lease to its holder.
func (c Settings) Lease() time.Duration {
	if c.Bounds.Lease > 0 {
		return ms(c.Bounds.Lease)
	}
	return ms(c.Bounds.HolderCooldown) / 2
}

// HolderLease is how long the holder acts on a lease. It stops before the lease that the voters granted
// ends, so that two holders never overlap.
func (c Settings) HolderLease() time.Duration { return c.Lease() * 9 / 10 }

// RenewEvery is the interval of renewals.
func (c Settings) RenewEvery() time.Duration { return c.Lease() / renewalsInLease }

// HolderCooldown is how long a former holder of a lease isn't granted it again.
func (c Settings) HolderCooldown() time.Duration { return ms(c.Bounds.HolderCooldown) }

// FailbackAfter is how long a holder keeps a lease for which the settings prefer another voter.
func (c Settings) FailbackAfter() time.Duration { return c.HolderCooldown() * 4 }

// LeaseTakeover is how long a lease is without a holder at most after its holder was lost.
func (c Settings) LeaseTakeover() time.Duration {
	return c.Lease()*2 + ms(c.Bounds.Sync)*syncsInLease
}

// HeartbeatTimeout is how long an upstream counts as alive after a heartbeat.
func (c Settings) HeartbeatTimeout() time.Duration { return ms(c.Bounds.Heartbeat) }

// HeartbeatEvery is the interval at which a proxy passes on what it heard of upstreams.
func (c Settings) HeartbeatEvery() time.Duration { return c.HeartbeatTimeout() / heartbeatsInBound }

// ServingProxyTimeout is how long a serving proxy gives an upstream work without hearing from it: the
// upstream may have told another proxy that it leaves.
func (c Settings) ServingProxyTimeout() time.Duration {
	if c.ProofByTarget() {
		// Heartbeats come to the serving proxy alone, and a target proves itself.
		return c.HeartbeatTimeout()
	}
	return min(c.HeartbeatTimeout(), ms(c.Bounds.Drain)*4/5)
}

// AddressProofTTL is how long an announcement or an answer proves which upstream is at an address.
func (c Settings) AddressProofTTL() time.Duration { return c.HeartbeatTimeout() / 30 }

// ConnectionIdle is how long a connection to an upstream stays open without a request.
func (c Settings) ConnectionIdle() time.Duration { return c.HeartbeatTimeout() * 2 / 3 }

// ReloadEvery is the interval at which the settings file is read again.
func (c Settings) ReloadEvery() time.Duration { return ms(c.Bounds.Restore) / 6 }

// ProbeEvery is the interval of the membership's probes. It is short enough for a lost voter to be
// noticed, suspected and replaced within the time that a new core machine has to catch up.
func (c Settings) ProbeEvery() time.Duration {
	return min(ms(c.Bounds.Restore)/60, ms(c.Bounds.CatchUp)/16)
}

// ProbeTimeout is how long an answer to a probe may take.
func (c Settings) ProbeTimeout() time.Duration { return c.ProbeEvery() * 2 / 5 }

// SuspicionTimeout is how long a member is suspected before it counts as dead.
func (c Settings) SuspicionTimeout() time.Duration { return c.ProbeEvery() * 5 }

// DiskRetryEvery is the interval at which a disk that refused a write is tried again.
func (c Settings) DiskRetryEvery() time.Duration { return ms(c.Bounds.CatchUp) / 16 }

// ClaimAfter is how long a voter has to be without a machine before a new machine claims it.
func (c Settings) ClaimAfter() time.Duration { return ms(c.Bounds.CatchUp) / 10 }

// HandoverTimeout is how long a leaving voter waits for its successor.
func (c Settings) HandoverTimeout() time.Duration { return c.Grace() / 4 }

// ForgetAfter is how long a dead member is remembered.
func (c Settings) ForgetAfter() time.Duration { return ms(c.Bounds.Restore) * 4 }

// JoinEvery is the interval at which a process without peers asks its seeds.
func (c Settings) JoinEvery() time.Duration { return ms(c.Bounds.Restore) / 30 }

// SealAfter is how long after its end a usage window is sealed.
func (c Settings) SealAfter() time.Duration { return ms(c.Bounds.UsageReportDelay) * 6 / 10 }

// UsageReportDelay is how long after its end a usage window's report falls due.
func (c Settings) UsageReportDelay() time.Duration { return ms(c.Bounds.UsageReportDelay) }

// UsageWindow is the length of a window of usage.
func (c Settings) UsageWindow() time.Duration { return ms(c.Bounds.UsageWindow) }

// SaveEvery is the interval at which counts are saved.
func (c Settings) SaveEvery() time.Duration { return ms(c.Bounds.Sync) / 5 }

// SlowSync is the time past which a sync counts as slow.
func (c Settings) SlowSync() time.Duration { return ms(c.Bounds.Sync) }

// CountEvery is the interval at which usage counts go to the registries. Where serving proxies count
// begun requests it is a fortieth of the window, since the crash of a serving proxy loses the counts
// of one interval.
func (c Settings) CountEvery() time.Duration {
	if c.CountsBegun() {
		return c.UsageWindow() / 40
	}
	return ms(c.Bounds.Sync) / 2
}

// ReportEvery is the interval at which a usage report is tried again.
func (c Settings) ReportEvery() time.Duration { return ms(c.Bounds.UsageReportDelay) / 20 }

// DigestEvery is the interval at which voters send their status to each other.
func (c Settings) DigestEvery() time.Duration { return c.UpdatesEvery() }

// InForceWait is how long a call waits for a version to be in force everywhere, if it does
// not say itself.
func (c Settings) InForceWait() time.Duration { return ms(c.Bounds.ConfigurationInForce) * 2 }

// Operators try another node after a second without an answer, later for large bodies.
const (
	answerLimit       = 800 * time.Millisecond
	answerBytesPerSec = 8 << 20
)

// OperatorTimeout is how long an operator's call may wait for a reply before it is told that none is to
// be had here now.
func (c Settings) OperatorTimeout(bodyBytes int) time.Duration {
	return answerLimit + time.Duration(bodyBytes)*time.Second/answerBytesPerSec
}

// DialTimeout is the timeout for opening a connection.
func (c Settings) DialTimeout() time.Duration { return ms(c.Bounds.Restore) / 60 }

// OutcomeRetention is how long a serving proxy remembers the outcome of a request.
func (c Settings) OutcomeRetention() time.Duration {
	return min(ms(c.Limits.RequestTimeout)*2, ms(c.Bounds.Restore)*8)
}

// ResponseRetention is how long a serving proxy keeps complete answers for proxies that lost their
// connection and ask again.
func (c Settings) ResponseRetention() time.Duration {
	return min(c.OutcomeRetention(), c.UpdatesEvery()*10)
}

// RequestTimeout is the longest time that a request may take.
func (c Settings) RequestTimeout() time.Duration { return ms(c.Limits.RequestTimeout) }

// WarmUpTime is how long a new upstream counts as warming up.
func (c Settings) WarmUpTime() time.Duration { return ms(c.Bounds.Heartbeat) * 2 / 3 }

// Linger is how long a process that stops still accepts requests.
func (c Settings) Linger() time.Duration { return ms(c.Limits.Linger) }

// Grace is how long a process that stops may take.
func (c Settings) Grace() time.Duration { return ms(c.Limits.Grace) }

// RetryWindow is the span over which retries are counted against the budget.
func (c Settings) RetryWindow() time.Duration { return ms(c.Bounds.RetryWindow) }

// TrafficRate is how many bytes a second the traffic side may send, so that the link has capacity for
// control messages at any moment; 0: no limit.
func (c Settings) TrafficRate() int64 { return c.Limits.LinkBandwidth * 17 / 20 }

// LinkWait is how long a request may wait in the queue of the link; one that would wait longer is
// refused at once.
func (c Settings) LinkWait() time.Duration { return c.UpdatesEvery() }

// bodyMemoryDivisor gives the part of the memory that callers' bodies may take together: each body is
// in memory several times on its way.
const bodyMemoryDivisor = 8

// BodyMemory is how many bytes callers' bodies may take together; at least the largest one.
func (c Settings) BodyMemory() int64 {
	if c.Limits.Memory == 0 {
		return c.Limits.Body * bodyMemoryDivisor
	}
	return max(c.Limits.Memory<<20/bodyMemoryDivisor, c.Limits.Body)
}

// CallerConnections is how many connections callers may keep open at a proxy, so that file descriptors
// are left for the connections to upstreams and between processes; 0: no limit.
func (c Settings) CallerConnections() int { return int(c.Limits.Descriptors / 2) }
