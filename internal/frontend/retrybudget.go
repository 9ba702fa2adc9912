package frontend

import (
	"math/rand/v2"
	"time"
)

const (
	// budgetBuckets is the number of buckets of a retry budget's window.
	budgetBuckets = 20

	// retryShareFactor is the fraction of the configured retry share that a proxy spends. The
	// margin keeps the total of the fleet below the bound.
	retryShareFactor = 0.9
)

// retryBudget counts a service's first attempts and retries of the last window in a ring of
// buckets. The ring has one bucket more than the window, so that retries that have just left the
// window still count.
type retryBudget struct {
	bucketNumbers [budgetBuckets + 1]int64
	firstAttempts [budgetBuckets + 1]int64
	retries       [budgetBuckets + 1]int64
}

// bucketSpan returns the duration that one bucket covers.
func (f *Frontend) bucketSpan() time.Duration { return f.settings.RetryWindow() / budgetBuckets }

// budgetOf returns a service's budget and creates it on first use.
func (f *Frontend) budgetOf(service string) *retryBudget {
	budget, known := f.retryBudgets[service]
	if !known {
		budget = &retryBudget{}
		f.retryBudgets[service] = budget
	}
	return budget
}

// advance returns the ring slot of a bucket. It clears the slot if it held an older bucket.
func (b *retryBudget) advance(bucketNumber int64) (slot int) {
	slot = int(bucketNumber % (budgetBuckets + 1))
	if b.bucketNumbers[slot] != bucketNumber {
		b.bucketNumbers[slot] = bucketNumber
		b.firstAttempts[slot] = 0
		b.retries[slot] = 0
	}
	return slot
}

// totals returns the sums over the window that ends with the bucket in a slot. The retries include
// one bucket more than the first attempts.
func (b *retryBudget) totals(slot int) (firstAttempts, retries int64) {
	for index := range b.bucketNumbers {
		age := b.bucketNumbers[slot] - b.bucketNumbers[index]
		if age <= budgetBuckets {
			retries += b.retries[index]
		}
		if age < budgetBuckets {
			firstAttempts += b.firstAttempts[index]
		}
	}
	return firstAttempts, retries
}

// countFirstAttempt counts a first attempt that this proxy sends. Requests that it refuses because
// no upstream is available do not add to the budget.
func (f *Frontend) countFirstAttempt(now time.Duration, service string) {
	budget := f.budgetOf(service)
	slot := budget.advance(int64(now / f.bucketSpan()))
	budget.firstAttempts[slot]++
}

// spendRetry takes one retry from a service's budget. It returns false if the budget is exhausted.
// The budget is a share of the first attempts in the last window plus this proxy's fraction of the
// fleet's allowance.
func (f *Frontend) spendRetry(now time.Duration, service string) bool {
	budget := f.budgetOf(service)
	slot := budget.advance(int64(now / f.bucketSpan()))
	firstAttempts, retries := budget.totals(slot)
	limit := f.settings.Bounds.RetryShare*float64(firstAttempts)*retryShareFactor + f.retryAllowance(now)
	if float64(retries+1) > limit {
		return false
	}
	budget.retries[slot]++
	f.retries++
	return true
}

// retryAllowance returns this proxy's fraction of the fleet's retry allowance. It is 0 until the
// proxy has run for a full window: otherwise proxies that restart one after another would renew the
// fleet's allowance each time.
func (f *Frontend) retryAllowance(now time.Duration) float64 {
	if now < f.settings.RetryWindow() {
		return 0
	}
	return float64(f.settings.Bounds.RetryAllowance) / float64(max(1, f.currentSnapshot().ProxyCount))
}

// RetryMonitor measures and pauses the retries that start at the upstreams of this proxy. The frontend
// calls it without holding a lock.
type RetryMonitor interface {
	// RetryShare returns the share of retries among the requests that start at these upstreams.
	RetryShare() float64
	// PauseRetries prevents retries from starting at these upstreams until the given time.
	PauseRetries(until time.Duration)
}

// UseRetryMonitor sets the monitor of this proxy's upstreams. It must be called before the first
// request.
func (f *Frontend) UseRetryMonitor(monitor RetryMonitor) { f.retryMonitor = monitor }

// spendFirstAttempt counts a request's first attempt and reports whether it may be made. A call made
// by a running retry counts as a retry of the called service and spends that service's budget.
func (f *Frontend) spendFirstAttempt(now time.Duration, request *Request, callOfRetry bool) bool {
	if !callOfRetry {
		f.countFirstAttempt(now, request.Service)
		return true
	}
	return f.spendRetry(now, request.Service)
}

// isCallOfRetry reports whether a request that has made no attempt counts as the call of a running
// retry. A call does not identify the attempt that makes it, so a random draw decides, with the share
// of retries among started requests as the probability.
func (f *Frontend) isCallOfRetry(request *Request, random *rand.Rand) bool {
	if request.Attempts > 0 || !request.nested() || f.retryMonitor == nil {
		return false
	}
	share := f.retryMonitor.RetryShare()
	return share > 0 && random.Float64() < share
}
