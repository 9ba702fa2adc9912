package checker

import (
	"sort"
	"time"
)

// minFirstAttempts is the number of first attempts that a window must exceed for its retry share to be
// recorded as a figure.
const minFirstAttempts = 20

// timedAttempt is one attempt to send a request, or one run of it; retry is true for every one but the
// request's first.
type timedAttempt struct {
	at    time.Duration
	retry bool
}

// checkRetries checks, for each service and every interval of Bounds.RetryWindow, the number of retries
// against the number of first attempts. It counts attempts that left a proxy and runs at upstreams
// separately, and stops at the first violation.
func (r *Review) checkRetries(record Record, runs map[string][]Execution) {
	for service, attempts := range r.attemptsByService(record, runs) {
		if !r.checkRetryShare(record.Bounds, service, attempts) {
			return
		}
	}
}

// attemptsByService groups the attempts and the runs by service, under separate keys.
func (r *Review) attemptsByService(record Record, runs map[string][]Execution) map[string][]timedAttempt {
	attempts := map[string][]timedAttempt{}
	for _, attempt := range record.Attempts {
		key := "attempts at " + attempt.Service
		attempts[key] = append(attempts[key], timedAttempt{attempt.At, attempt.Retry})
		if attempt.Retry {
			r.count(retrySent)
		}
	}
	for _, executions := range runs {
		sort.Slice(executions, func(i, j int) bool { return executions[i].At < executions[j].At })
		for index, execution := range executions {
			attempts[execution.Service] = append(attempts[execution.Service], timedAttempt{execution.At, index > 0})
			if index > 0 {
				r.count(retryRan)
			}
		}
	}
	return attempts
}

// checkRetryShare moves a sliding window over the attempts of a service. It reports the first window
// that exceeds the bound and returns false.
func (r *Review) checkRetryShare(bounds Bounds, service string, attempts []timedAttempt) bool {
	sort.Slice(attempts, func(i, j int) bool { return attempts[i].at < attempts[j].at })
	firstAttempts, retries, oldest := 0, 0, 0
	count := func(attempt timedAttempt, change int) {
		if attempt.retry {
			retries += change
		} else {
			firstAttempts += change
		}
	}
	for _, attempt := range attempts {
		count(attempt, 1)
		for attempt.at-attempts[oldest].at > bounds.RetryWindow {
			count(attempts[oldest], -1)
			oldest++
		}
		if float64(retries) > bounds.RetryShare*float64(firstAttempts)+float64(bounds.RetryAllowance) {
			r.addViolation(retryShareExceeded, "%s: %d retries and %d first attempts in the window that ends at %s",
				service, retries, firstAttempts, attempt.at)
			return false
		}
		if firstAttempts > minFirstAttempts {
			r.recordWorst(retryShare, float64(retries)/float64(firstAttempts))
		}
	}
	return true
}
