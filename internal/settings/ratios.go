// This file holds the ratios of every timer to the bounds of the settings.
package settings

import "time"

// The ratios. Each timer of the system is one of these.

func (c Settings) TickEvery() time.Duration    { return ms(c.Bounds.ConfigurationInForce) / 80 }
func (c Settings) UpdatesEvery() time.Duration { return ms(c.Bounds.ConfigurationInForce) / 10 }
func (c Settings) ParentLimit() time.Duration  { return ms(c.Bounds.ConfigurationInForce) / 4 }
func (c Settings) Reparent() time.Duration     { return ms(c.Bounds.ConfigurationInForce) * 3 / 4 }

// StaleReady is the age of configuration or roster past which a proxy is unready.
func (c Settings) StaleReady() time.Duration {
	if c.Bounds.KeyWithdrawal > 0 {
		return ms(c.Bounds.KeyWithdrawal) * 8 / 10
	}
	return ms(c.Bounds.Restore) * 4 / 10
}

// StaleAdmit is the age of configuration past which a proxy refuses; 0 is never.
func (c Settings) StaleAdmit() time.Duration {
	return ms(c.Bounds.KeyWithdrawal) * 9 / 10
}

func (c Settings) Lease() time.Duration {
	if c.Bounds.Lease > 0 {
		return ms(c.Bounds.Lease)
	}
	return ms(c.Bounds.HolderRest) / 2
}
func (c Settings) LeaseHeld() time.Duration      { return c.Lease() * 9 / 10 }
func (c Settings) RenewEvery() time.Duration     { return c.Lease() / 5 }
func (c Settings) HolderRest() time.Duration     { return ms(c.Bounds.HolderRest) }
func (c Settings) MoveBack() time.Duration       { return ms(c.Bounds.HolderRest) * 4 }
func (c Settings) TakeOver() time.Duration       { return c.Lease()*2 + ms(c.Bounds.Sync)*4 }
func (c Settings) HeartbeatBound() time.Duration { return ms(c.Bounds.Heartbeat) }
func (c Settings) HeartbeatEvery() time.Duration { return ms(c.Bounds.Heartbeat) / 10 }

// ServingProxyBound is how long a serving proxy gives an upstream work without hearing from it: it may
// have said elsewhere that it leaves. DialFresh is how long a sign of life proves who
// is at an address.
func (c Settings) ServingProxyBound() time.Duration {
	if c.ByTarget() {
		// Heartbeats come to the serving proxy alone, and a target proves itself.
		return c.HeartbeatBound()
	}
	return min(c.HeartbeatBound(), ms(c.Bounds.Drain)*4/5)
}
func (c Settings) DialFresh() time.Duration      { return c.HeartbeatBound() / 30 }
func (c Settings) ConnectionIdle() time.Duration { return c.HeartbeatBound() * 2 / 3 }
func (c Settings) LookAgain() time.Duration      { return ms(c.Bounds.Restore) / 6 }

// A lost voter is found, suspected and replaced within the time that a new core machine
// has to catch up.
func (c Settings) ProbeEvery() time.Duration {
	return min(ms(c.Bounds.Restore)/60, ms(c.Bounds.CatchUp)/16)
}
func (c Settings) ProbeLimit() time.Duration { return c.ProbeEvery() * 2 / 5 }
func (c Settings) SuspectFor() time.Duration { return c.ProbeEvery() * 5 }

// ClaimAfter is how long a voter has to be free before a newcomer claims it.
func (c Settings) ClaimAfter() time.Duration { return ms(c.Bounds.CatchUp) / 10 }

// DiskRetryEvery is how often a disk that refused a write is tried again.
func (c Settings) DiskRetryEvery() time.Duration { return ms(c.Bounds.CatchUp) / 16 }

// HandOverLimit is how long a leaving voter waits for its successor.
func (c Settings) HandOverLimit() time.Duration { return c.Grace() / 4 }
func (c Settings) ForgetAfter() time.Duration   { return ms(c.Bounds.Restore) * 4 }
func (c Settings) JoinEvery() time.Duration     { return ms(c.Bounds.Restore) / 30 }
func (c Settings) SealAfter() time.Duration     { return ms(c.Bounds.UsageLate) * 6 / 10 }
func (c Settings) UsageLate() time.Duration     { return ms(c.Bounds.UsageLate) }
func (c Settings) UsageWindow() time.Duration   { return ms(c.Bounds.UsageWindow) }
func (c Settings) SaveEvery() time.Duration     { return ms(c.Bounds.Sync) / 5 }
func (c Settings) SlowSync() time.Duration      { return ms(c.Bounds.Sync) }

// CountEvery: counts begun at serving proxies are told once a fortieth of their window; a serving proxy's
// death loses no more.
func (c Settings) CountEvery() time.Duration {
	if c.CountsBegun() {
		return c.UsageWindow() / 40
	}
	return ms(c.Bounds.Sync) / 2
}
func (c Settings) ReportEvery() time.Duration { return ms(c.Bounds.UsageLate) / 20 }
func (c Settings) DigestEvery() time.Duration { return ms(c.Bounds.ConfigurationInForce) / 10 }

// InForceWait is how long a call waits for a version to be in force everywhere, if it does
// not say itself.
func (c Settings) InForceWait() time.Duration    { return ms(c.Bounds.ConfigurationInForce) * 2 }
func (c Settings) ConnectionDial() time.Duration { return ms(c.Bounds.Restore) / 60 }
func (c Settings) OutcomeKept() time.Duration {
	return min(ms(c.Limits.Request)*2, ms(c.Bounds.Restore)*8)
}

// AnswerKept is how long a serving proxy keeps whole answers for proxies that lost their connection and
// ask again.
func (c Settings) AnswerKept() time.Duration { return min(c.OutcomeKept(), c.UpdatesEvery()*10) }

func (c Settings) RequestLimit() time.Duration { return ms(c.Limits.Request) }
func (c Settings) WarmSpan() time.Duration     { return ms(c.Bounds.Heartbeat) * 2 / 3 }
func (c Settings) Linger() time.Duration       { return ms(c.Limits.Linger) }
func (c Settings) Grace() time.Duration        { return ms(c.Limits.Grace) }
func (c Settings) RetryWindow() time.Duration  { return ms(c.Bounds.RetryWindow) }

// Operators give a node up after a second of silence, later for large bodies.
const (
	answerLimit       = 800 * time.Millisecond
	answerBytesPerSec = 8 << 20
)

// AnswerLimit is how long an operator's call may take before it is told that nobody can
// answer it here now.
func (c Settings) AnswerLimit(bodyBytes int) time.Duration {
	return answerLimit + time.Duration(bodyBytes)*time.Second/answerBytesPerSec
}
