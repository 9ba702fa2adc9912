package frontend

import (
	"math/rand/v2"
	"time"
)

const (
	// budgetBuckets is into how many parts the window of a retry budget is split.
	budgetBuckets = 20

	// retryShareUsed is the part of the allowed share of retries that a proxy spends, so that the sum
	// over the fleet keeps clear of the bound.
	retryShareUsed = 0.9
)

// retryBudget counts a service's first attempts and retries of the last window, in a ring of
// buckets. One bucket more than the window has is kept, for retries that have just left it.
type retryBudget struct {
	bucketNumbers [budgetBuckets + 1]int64
	firstAttempts [budgetBuckets + 1]int64
	retries       [budgetBuckets + 1]int64
}

// bucketSpan is the time that one bucket covers.
func (f *Frontend) bucketSpan() time.Duration { return f.settings.RetryWindow() / budgetBuckets }

// budgetOf returns a service's budget, which begins with the first asking.
func (f *Frontend) budgetOf(service string) *retryBudget {
	budget, known := f.retryBudgets[service]
	if !known {
		budget = &retryBudget{}
		f.retryBudgets[service] = budget
	}
	return budget
}

// advance returns the slot of a bucket, emptied if an older one stood there.
func (b *retryBudget) advance(bucketNumber int64) (slot int) {
	slot = int(bucketNumber % (budgetBuckets + 1))
	if b.bucketNumbers[slot] != bucketNumber {
		b.bucketNumbers[slot] = bucketNumber
		b.firstAttempts[slot] = 0
		b.retries[slot] = 0
	}
	return slot
}

// totals sums up the window that ends with a slot's bucket.
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

// countFirstAttempt counts a first attempt that leaves this proxy. What is refused here, for want
// of any upstream, pays for no retries.
func (f *Frontend) countFirstAttempt(now time.Duration, service string) {
	budget := f.budgetOf(service)
	slot := budget.advance(int64(now / f.bucketSpan()))
	budget.firstAttempts[slot]++
}

// spendRetry takes one retry from a service's budget, and reports whether there was one. The
// budget is a share of the first attempts of the last window, and this proxy's part of the fleet's
// allowance.
func (f *Frontend) spendRetry(now time.Duration, service string) bool {
	budget := f.budgetOf(service)
	slot := budget.advance(int64(now / f.bucketSpan()))
	firstAttempts, retries := budget.totals(slot)
	limit := f.settings.Bounds.RetryShare*float64(firstAttempts)*retryShareUsed + f.retryAllowance(now)
	if float64(retries+1) > limit {
		return false
	}
	budget.retries[slot]++
	f.retries++
	return true
}

// retryAllowance is this proxy's part of the fleet's allowance. A proxy has it only once it is as
// old as the window, or proxies that restart in turn would refill it for the fleet.
func (f *Frontend) retryAllowance(now time.Duration) float64 {
	if now < f.settings.RetryWindow() {
		return 0
	}
	return float64(f.settings.Bounds.RetryAllowance) / float64(max(1, f.snapshot.ProxyCount))
}

// RetryMonitor is what the serving side of this proxy knows of retries, and does about them.
type RetryMonitor interface {
	// RetryShare is the share of retries in what starts at the upstreams here.
	RetryShare() float64
	// PauseRetries lets no retry start at them until a time.
	PauseRetries(until time.Duration)
}

// UseRetryMonitor sets the serving side. It is called before the first request.
func (f *Frontend) UseRetryMonitor(monitor RetryMonitor) { f.retryMonitor = monitor }

// spendFirstAttempt counts a request's first attempt, and reports whether it may be made. A call
// that a running retry makes is itself a retry at the service called, and draws on its budget.
// Since calls don't say which run makes them, the share of retries among those that start decides.
// Refusing calls when the budget is spent would mostly hit those of first runs, so retries
// themselves don't start here for a while, which ends what they call.
func (f *Frontend) spendFirstAttempt(now time.Duration, request *Request, random *rand.Rand) bool {
	if !f.isCallOfRetry(request, random) {
		f.countFirstAttempt(now, request.Service)
		return true
	}
	if f.spendRetry(now, request.Service) {
		return true
	}
	f.retryMonitor.PauseRetries(now + f.bucketSpan())
	return false
}

// isCallOfRetry decides by the share of retries whether a running retry makes a request.
func (f *Frontend) isCallOfRetry(request *Request, random *rand.Rand) bool {
	if !request.nested() || f.retryMonitor == nil {
		return false
	}
	share := f.retryMonitor.RetryShare()
	return share > 0 && random.Float64() < share
}
