package checker

import (
	"sort"
	"time"
)

// leastFirstAttempts is how many first attempts a window needs before its share is a figure.
const leastFirstAttempts = 20

// timedAttempt is one attempt to send a request, or one run of it; again says that it was not the
// request's first.
type timedAttempt struct {
	at    time.Duration
	again bool
}

// checkRetries checks the retries against the first attempts of the same service, in any span as
// long as the window: those that left a proxy, and those that ran.
func (r *Review) checkRetries(record Record, runs map[string][]Execution) {
	for service, attempts := range r.attemptsByService(record, runs) {
		if !r.checkRetryShare(record.Bounds, service, attempts) {
			return
		}
	}
}

// attemptsByService collects the attempts and the runs.
func (r *Review) attemptsByService(record Record, runs map[string][]Execution) map[string][]timedAttempt {
	attempts := map[string][]timedAttempt{}
	for _, attempt := range record.Attempts {
		key := "attempts at " + attempt.Service
		attempts[key] = append(attempts[key], timedAttempt{attempt.At, attempt.Retry})
		if attempt.Retry {
			r.count(attemptAgain)
		}
	}
	for _, list := range runs {
		sort.Slice(list, func(i, j int) bool { return list[i].At < list[j].At })
		for index, ran := range list {
			attempts[ran.Service] = append(attempts[ran.Service], timedAttempt{ran.At, index > 0})
			if index > 0 {
				r.count(retrySeen)
			}
		}
	}
	return attempts
}

// checkRetryShare slides the window over the attempts of a service; it returns false at the first
// window that breaks the bound.
func (r *Review) checkRetryShare(bounds Bounds, service string, attempts []timedAttempt) bool {
	sort.Slice(attempts, func(i, j int) bool { return attempts[i].at < attempts[j].at })
	first, again, oldest := 0, 0, 0
	count := func(attempt timedAttempt, change int) {
		if attempt.again {
			again += change
		} else {
			first += change
		}
	}
	for _, newest := range attempts {
		count(newest, 1)
		for newest.at-attempts[oldest].at > bounds.RetryWindow {
			count(attempts[oldest], -1)
			oldest++
		}
		if float64(again) > bounds.RetryShare*float64(first)+float64(bounds.RetryAllowance) {
			r.violate(retryShareExceeded, "%s: %d retries to %d first tries before %s", service, again, first, newest.at)
			return false
		}
		if first > leastFirstAttempts {
			r.measure(retryShare, float64(again)/float64(first))
		}
	}
	return true
}
