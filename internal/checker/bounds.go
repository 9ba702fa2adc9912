package checker

import "time"

// Bounds are the limits of the promises that have one. A KeyWithdrawal of 0 is not checked.
type Bounds struct {
	ConfigurationInForce time.Duration // from the acknowledgement until it is in force on each node
	RollbackWindow       time.Duration // for which an older version may be in force again
	KeyWithdrawal        time.Duration // for which a withdrawn key may still work
	Drain                time.Duration // for which a draining upstream may still get requests
	ResponseDelay        time.Duration // for which a complete answer may be delayed
	HolderCooldown       time.Duration // before a lease may go back to its former holder
	UsageReportDelay     time.Duration // from a window's end to its report
	UsageError           float64       // share of a window's counts that may be wrong
	RetryShare           float64       // retries for each first attempt in RetryWindow
	RetryWindow          time.Duration
	RetryAllowance       int // retries in RetryWindow beyond the share
}

// BriefBounds returns the bounds of docs/brief.md; withdrawal says whether withdrawn keys have one.
func BriefBounds(withdrawal bool) Bounds {
	bounds := Bounds{
		ConfigurationInForce: 2 * time.Second,
		RollbackWindow:       250 * time.Millisecond,
		Drain:                2 * time.Second,
		ResponseDelay:        200 * time.Millisecond,
		HolderCooldown:       3 * time.Second,
		UsageReportDelay:     10 * time.Second,
		UsageError:           0.05,
		RetryShare:           0.2,
		RetryWindow:          10 * time.Second,
		RetryAllowance:       10,
	}
	if withdrawal {
		bounds.KeyWithdrawal = 5 * time.Second
	}
	return bounds
}

// Stretch returns bounds whose times, and share of wrong usage counts, are larger by a factor, for a
// smoke test on a machine of unknown speed. What must never happen at all stays as it is.
func (b Bounds) Stretch(by float64) Bounds {
	for _, bound := range []*time.Duration{
		&b.ConfigurationInForce, &b.RollbackWindow, &b.KeyWithdrawal, &b.Drain, &b.ResponseDelay, &b.UsageReportDelay,
	} {
		*bound = time.Duration(float64(*bound) * by)
	}
	b.UsageError *= by
	return b
}
