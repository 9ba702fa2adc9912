package backend

// RepeatShare is the part of the requests running at the upstreams here that are repeats.
// Whatever a repeat calls counts as a repeat at the service called, and calls don't say
// which run makes them.
func (g *Backend) RepeatShare() float64 {
	g.lock.Lock()
	defer g.lock.Unlock()
	running, repeats := 0, 0
	for _, held := range g.upstreams {
		for _, repeat := range held.running {
			running++
			if repeat {
				repeats++
			}
		}
	}
	return float64(repeats) / float64(max(1, running))
}
