package checker

import "time"

// Bounds are the limits of the guarantees that have one. A KeyWithdrawal of 0 is not checked.
type Bounds struct {
	ConfigurationInForce time.Duration // from the acknowledgement of a version until it is in force on each node
	RollbackWindow       time.Duration // during which a node may go back to an older version
	KeyWithdrawal        time.Duration // during which a withdrawn key may still be accepted
	Drain                time.Duration // during which a draining upstream may still receive requests
	ResponseDelay        time.Duration // from the upstream's complete answer until the caller has it
	HolderCooldown       time.Duration // before a lease may return to its previous holder
	UsageReportDelay     time.Duration // from the end of a usage window to its report
	UsageError           float64       // allowed deviation, as a share of a window's counts
	RetryShare           float64       // allowed retries per first attempt in RetryWindow
	RetryWindow          time.Duration
	RetryAllowance       int // retries in RetryWindow that are allowed beyond RetryShare
}

// BriefBounds returns the bounds of docs/brief.md. KeyWithdrawal is set only if withdrawal is true.
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

// Stretch returns a copy of the bounds in which the maximum durations and UsageError are multiplied by
// a factor, for a smoke test on a machine of unknown speed. HolderCooldown, which is a minimum, and the
// limits on retries stay unchanged.
func (b Bounds) Stretch(by float64) Bounds {
	for _, bound := range []*time.Duration{
		&b.ConfigurationInForce, &b.RollbackWindow, &b.KeyWithdrawal, &b.Drain, &b.ResponseDelay, &b.UsageReportDelay,
	} {
		*bound = time.Duration(float64(*bound) * by)
	}
	b.UsageError *= by
	return b
}
