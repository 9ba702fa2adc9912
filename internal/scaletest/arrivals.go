package scaletest

import (
	"sync"
	"time"
)

// arrivals counts on how many proxies of a process each version of the configuration came into force,
// and when it last did.
type arrivals struct {
	lock    sync.Mutex
	reached map[int64]int
	lastAt  map[int64]int64 // unix nanoseconds
}

func newArrivals() *arrivals {
	return &arrivals{reached: map[int64]int{}, lastAt: map[int64]int64{}}
}

// record counts the versions after one, up to another, as in force on one more proxy.
func (a *arrivals) record(after, upTo int64) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for version := after + 1; version <= upTo; version++ {
		a.reached[version]++
		a.lastAt[version] = time.Now().UnixNano()
	}
}

// addTo copies the counts into a state.
func (a *arrivals) addTo(state *State) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for version, number := range a.reached {
		state.Reached[version], state.LastAt[version] = number, a.lastAt[version]
	}
}
