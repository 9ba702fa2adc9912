package backend

import "time"

// retryShareWeight is how much one start moves the share of retries.
const retryShareWeight = 1.0 / 32

// RetryShare is the share that retries have lately had in the requests started at the upstreams
// here. Whatever a retry calls counts as a retry at the service called, and calls don't say which
// run makes them.
func (b *Backend) RetryShare() float64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.retryShare
}

// observeStart takes one start into the share: of starts and not of what runs, since calls come
// with the starts, and retries, which have less time left, run shorter. Requests that may run only
// once are left out, since they are hardly ever retries: where they make no calls, they would hide
// those that do.
func (b *Backend) observeStart(retry, once bool) {
	switch {
	case retry:
		b.retryShare += (1 - b.retryShare) * retryShareWeight
	case !once:
		b.retryShare -= b.retryShare * retryShareWeight
	}
}

// PauseRetries lets no retry start here until a time: the services that the upstreams here call
// have no room in their retry budget for what retries would call.
func (b *Backend) PauseRetries(until time.Duration) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.retriesPausedUntil = max(b.retriesPausedUntil, until)
}
