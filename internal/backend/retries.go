package backend

import "time"

// retryShareWeight is the weight of one start in the moving average of the share of retries.
const retryShareWeight = 1.0 / 32

// RetryShare returns the moving average of the share of retries in the requests started at the
// upstreams of this proxy. Calls that a retry makes count as retries at the called service, and a call
// doesn't identify the run that makes it, so the caller estimates them by this share.
func (b *Backend) RetryShare() float64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.retryShare
}

// observeStart adds one start to the share of retries. The share is one of starts and not of running
// requests, since calls come with the starts, and retries, which have less time remaining, run shorter.
// Requests that may run only once are excluded, since they are hardly ever retries: if they make no
// calls, they would hide the retries that do.
func (b *Backend) observeStart(retry, atMostOnce bool) {
	switch {
	case retry:
		b.retryShare += (1 - b.retryShare) * retryShareWeight
	case !atMostOnce:
		b.retryShare -= b.retryShare * retryShareWeight
	}
}

// PauseRetries refuses retries until a time, because the retry budgets of the services that the
// upstreams call are too small for the calls that these retries would make. An earlier time than one
// already set has no effect.
func (b *Backend) PauseRetries(until time.Duration) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.retriesPausedUntil = max(b.retriesPausedUntil, until)
}
