package backend

// RepeatShare is the part of the requests running at the upstreams here that are repeats,
// among those that may be repeated. Whatever a repeat calls counts as a repeat at the
// service called, and calls don't say which run makes them. Once-only requests are left
// out, since they are hardly ever repeats: where they make no calls, they would hide those
// that do.
func (g *Backend) RepeatShare() float64 {
	g.lock.Lock()
	defer g.lock.Unlock()
	repeatable, repeats := 0, 0
	for _, held := range g.upstreams {
		for _, run := range held.running {
			if run.repeat {
				repeats++
			}
			if run.repeat || !run.once {
				repeatable++
			}
		}
	}
	return float64(repeats) / float64(max(1, repeatable))
}
