package backend

import "time"

// repeatsWeight is how much one start moves the share of repeats.
const repeatsWeight = 1.0 / 32

// RepeatShare is the part that repeats have lately had in the requests started at the
// upstreams here. Whatever a repeat calls counts as a repeat at the service called, and
// calls don't say which run makes them.
func (g *Backend) RepeatShare() float64 {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.repeatShare
}

// noteStart takes one start into the share: of starts and not of what runs, since calls come
// with the starts and repeats, which have less time left, run shorter. Once-only requests
// are left out, since they are hardly ever repeats: where they make no calls, they would
// hide those that do.
func (g *Backend) noteStart(repeat, once bool) {
	switch {
	case repeat:
		g.repeatShare += (1 - g.repeatShare) * repeatsWeight
	case !once:
		g.repeatShare -= g.repeatShare * repeatsWeight
	}
}

// BarRepeats lets no repeat start here until a time: the services that the upstreams here
// call have no room in their retry budget for what repeats would call.
func (g *Backend) BarRepeats(until time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.repeatsFrom = max(g.repeatsFrom, until)
}
