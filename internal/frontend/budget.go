package frontend

// This file is the retry budget of each service.

import (
	"math/rand/v2"
	"time"
)

const budgetBuckets = 20

type budget struct {
	bucket  [budgetBuckets + 1]int64
	firsts  [budgetBuckets + 1]int64
	retries [budgetBuckets + 1]int64
}

func (f *Frontend) bucketOf(now time.Duration, held *budget) int {
	number := int64(now / (f.settings.RetryWindow() / budgetBuckets))
	slot := int(number % (budgetBuckets + 1))
	if held.bucket[slot] != number {
		held.bucket[slot], held.firsts[slot], held.retries[slot] = number, 0, 0
	}
	return slot
}

func (f *Frontend) budget(service string) *budget {
	held, known := f.budgets[service]
	if !known {
		held = &budget{}
		f.budgets[service] = held
	}
	return held
}

// first counts a first try that leaves this proxy; what is refused here, for want of
// any upstream, pays for no retries.
func (f *Frontend) first(now time.Duration, service string) {
	held := f.budget(service)
	held.firsts[f.bucketOf(now, held)]++
}

// Repeats is what the serving side of this proxy knows of repeats, and does about them.
type Repeats interface {
	// RepeatShare is the part that repeats have in what starts at the upstreams here.
	RepeatShare() float64
	// BarRepeats lets no repeat start at them until a time.
	BarRepeats(until time.Duration)
}

// UseRetryMonitor sets the serving side; before it is used.
func (f *Frontend) UseRetryMonitor(serving Repeats) { f.repeats = serving }

// paysFirst counts a request's first attempt. A call that a running repeat makes is itself
// a repeat at the service called, and draws on its budget; since calls don't say which run
// makes them, the share of repeats among those that start decides. Refusing calls when the
// budget is spent would mostly hit those of first runs; so repeats themselves don't start
// here for a while, which ends what they call.
func (f *Frontend) paysFirst(now time.Duration, request *Request, random *rand.Rand) bool {
	if request.nested() && f.repeats != nil {
		if share := f.repeats.RepeatShare(); share > 0 && random.Float64() < share {
			if f.mayRetry(now, request.Service) {
				return true
			}
			f.repeats.BarRepeats(now + f.settings.RetryWindow()/budgetBuckets)
			return false
		}
	}
	f.first(now, request.Service)
	return true
}

// mayRetry spends from the service's budget: a share of the first tries of the last
// window and this proxy's part of the fleet's allowance.
func (f *Frontend) mayRetry(now time.Duration, service string) bool {
	held := f.budget(service)
	slot := f.bucketOf(now, held)
	firsts, retries := int64(0), int64(0)
	for index := range held.bucket {
		age := held.bucket[slot] - held.bucket[index]
		if age <= budgetBuckets {
			retries += held.retries[index]
		}
		if age < budgetBuckets {
			firsts += held.firsts[index]
		}
	}
	// A life has its part of the allowance only once it is as old as the window, or
	// proxies that restart in turn would refill it for the fleet.
	allowance := 0.0
	if now >= f.settings.RetryWindow() {
		allowance = float64(f.settings.Bounds.RetryAllowance) / float64(max(1, f.snapshot.ProxyCount))
	}
	if float64(retries+1) > f.settings.Bounds.RetryShare*float64(firsts)*0.9+allowance {
		return false
	}
	held.retries[slot]++
	f.again++
	return true
}
