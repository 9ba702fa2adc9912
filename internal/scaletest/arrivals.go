package scaletest

import (
	"sync"
	"time"
)

// arrivals counts, for each version of the configuration, the proxies of this process on which it came
// into force, and records when it last did so.
type arrivals struct {
	lock         sync.Mutex
	proxyCounts  map[int64]int
	lastArrivals map[int64]int64 // Unix nanoseconds
}

// newArrivals returns empty counts.
func newArrivals() *arrivals {
	return &arrivals{proxyCounts: map[int64]int{}, lastArrivals: map[int64]int64{}}
}

// record increments the count of every version in (after, upTo], which came into force on a proxy.
func (a *arrivals) record(after, upTo int64) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for version := after + 1; version <= upTo; version++ {
		a.proxyCounts[version]++
		a.lastArrivals[version] = time.Now().UnixNano()
	}
}

// addTo copies the counts into a state.
func (a *arrivals) addTo(state *State) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for version, number := range a.proxyCounts {
		state.ProxyCounts[version], state.LastArrivals[version] = number, a.lastArrivals[version]
	}
}
