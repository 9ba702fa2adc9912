package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Times of the case: drain-s and contact-s of the pages, and the time for which the killed processes are down,
// which is less than a second.
const (
	drainBound  = 2 * time.Second
	contactTime = 3 * time.Second
	downTime    = 800 * time.Millisecond
)

// lostSignOff: an upstream signs off and gets its acknowledgement; right after it the processes of the core
// and the proxy that gave the acknowledgement are killed at once, and come back within a second. The upstream
// serves on for some seconds, as it may.
func lostSignOff(f *fleet, trouble bool) int {
	upstreams, ok := setUp(f, f.cores[0], []string{"alpha"}, configuration(10, "alpha", "alpha"))
	if !ok {
		return exitNotRun
	}
	time.Sleep(6 * time.Second)
	leaving := upstreams[1]
	before := len(leaving.allRuns())
	if !leaving.deregister() {
		f.record.say("the sign-off was not acknowledged")
		return exitNotRun
	}
	acknowledgedAt := f.record.now()
	backAt := acknowledgedAt
	if trouble {
		killed := append([]*machine{leaving.machine}, f.cores...)
		for _, m := range killed {
			for _, program := range m.programs() {
				m.signal(program, syscall.SIGKILL)
			}
		}
		f.record.say("sign-off of %s acknowledged; its proxy and all processes of the core killed within %.1f ms", leaving.instance,
			(f.record.now()-acknowledgedAt).Seconds()*1000)
		for _, m := range killed {
			for _, program := range m.programs() {
				m.reap(program)
			}
		}
		time.Sleep(downTime)
		for _, m := range killed {
			if m.startAll() != nil {
				return exitNotRun
			}
		}
		backAt = f.record.now()
		f.record.say("all processes started again")
	} else {
		f.record.say("sign-off of %s acknowledged", leaving.instance)
	}
	// Clients send all the time until 12 s after the processes are back.
	end := backAt + 12*time.Second
	var clients sync.WaitGroup
	served := make([]int, len(f.sidecars))
	var lock sync.Mutex
	sentAt := map[string]time.Duration{} // by attempt
	for index, m := range f.sidecars {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for f.record.now() < end {
				answer := f.request(m, http.MethodGet, "shop.example", "/x/1", 1200*time.Millisecond)
				if answer.status == http.StatusOK {
					served[index]++
				}
				lock.Lock()
				sentAt[answer.attempt] = answer.sentAt
				lock.Unlock()
				time.Sleep(40 * time.Millisecond)
			}
		}()
	}
	clients.Wait()
	inTouchFrom := acknowledgedAt
	if trouble {
		inTouchFrom = backAt + contactTime
	}
	late, counted := 0, 0
	for _, began := range leaving.allRuns()[before:] {
		if began.at <= acknowledgedAt+drainBound {
			continue
		}
		late++
		if sentAt[began.attempt] > inTouchFrom+200*time.Millisecond {
			counted++
		}
	}
	f.record.say("served: %v; begun at %s later than drain-s after its acknowledgement: %d, of these sent while all machines were in touch: %d",
		served, leaving.instance, late, counted)
	if counted > 0 {
		f.record.say("DRAIN broken: requests reach an upstream later than drain-s after its sign-off was acknowledged")
		return exitBroken
	}
	return exitHeld
}
