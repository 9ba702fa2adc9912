package main

import (
	"fmt"
	"sync"
	"time"
)

// The times of the case. The core is back within a second of its end, and the upstream's next beat, which is due
// heartbeat-s (1.5 s) after the one before, comes 3.5 s late.
const (
	leavesAfter   = 50 * time.Millisecond  // from the end of the core to the beat that says leaving
	proxyEndsAt   = 100 * time.Millisecond // after the acknowledgement
	backAfter     = 400 * time.Millisecond // from the end of the proxy to the start of all
	nextBeatAt    = 5 * time.Second        // after the acknowledgement
	contact       = 3 * time.Second        // contact-s
	drain         = 2 * time.Second        // drain-s
	beforeLeaving = 6
)

// leaving: all processes of the core are killed and come back within a second. Meanwhile an upstream says that it
// leaves, its proxy acknowledges that, and is killed and restarted as well. The upstream's next beat comes some
// seconds late. Requests must not reach the upstream later than drain-s after the acknowledgement, once all machines
// are in touch again (rule DRAIN). Without the trouble nothing is killed.
func leaving(r *record, root string, trouble bool) ([]string, error) {
	services := []string{"quoter", "bookings", "fabrication"}
	f, err := newFleet(r, root, jcHQ, services)
	if err != nil {
		return nil, err
	}
	defer f.stopAll()
	if err := f.startAll(); err != nil {
		return nil, err
	}
	upstreams := []*upstream{}
	for index, sidecar := range f.sidecars {
		u, err := startUpstream(f, sidecar, fmt.Sprintf("i-%08x", 0x5000+index), 20*time.Millisecond)
		if err != nil {
			return nil, err
		}
		upstreams = append(upstreams, u)
	}
	const key = "6wsjnbanfqasnmgkcuyj"
	content := configuration(7, services, []map[string]any{
		route("r-once", "hulo84.example", "/xapu221/", "once", "bookings", 1500, 600, false),
	}, []map[string]any{{"name": "pulo780", "keys": []string{key}, "priority": 1}})
	if err := f.putConfiguration(content, 20*time.Second); err != nil {
		return nil, err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second)

	send := func(index int) (sent time.Time, what, id string) {
		id = fmt.Sprintf("%016x", 0xd000+index)
		sidecar := f.sidecars[index%len(f.sidecars)]
		sent = time.Now()
		r.line("client sends %s to %s", id, sidecar.name)
		got := ask(f.egress(sidecar), clientRequest("POST", "hulo84.example", "/xapu221/2f", id, key, 1500, "deposit"), "POST", 2*time.Second)
		r.line("client of %s receives %s", id, got)
		if got.err != nil {
			return sent, "no answer", id
		}
		return sent, fmt.Sprint(got.status), id
	}
	leaver, beside := upstreams[1], f.sidecars[1]
	for index := range beforeLeaving {
		if _, what, _ := send(index); what != "200" {
			return nil, fmt.Errorf("a request before the disruption gets %s", what)
		}
	}
	close(leaver.stop) // the beats go on by hand
	leaver.lock.Lock()
	number := leaver.number
	leaver.lock.Unlock()
	time.Sleep(200 * time.Millisecond)
	ended := sync.WaitGroup{}
	kill := func(m *machine, role string) {
		ended.Add(1)
		go func() {
			defer ended.Done()
			f.kill(m, role)
		}()
	}
	if trouble {
		for _, core := range f.cores {
			kill(core, "registry")
			kill(core, "configstore")
		}
		ended.Wait()
		time.Sleep(leavesAfter)
	}
	if !leaver.beat(number+10, "leaving") {
		return nil, fmt.Errorf("leaving was not acknowledged")
	}
	acknowledged := time.Now()
	r.line("upstream %s says leaving and is acknowledged", leaver.instance)
	back := acknowledged
	if trouble {
		time.Sleep(proxyEndsAt)
		kill(beside, "proxy")
		ended.Wait()
		time.Sleep(backAfter)
		for _, core := range f.cores {
			for _, role := range []string{"registry", "configstore"} {
				if err := f.start(core, role, false); err != nil {
					return nil, err
				}
			}
		}
		if err := f.start(beside, "proxy", false); err != nil {
			return nil, err
		}
		back = time.Now()
		r.line("all are back, %.2f s after the acknowledgement", back.Sub(acknowledged).Seconds())
	}
	faults, told := []string{}, map[string]int{}
	for index := beforeLeaving; time.Since(acknowledged) < nextBeatAt; index++ {
		sent, what, id := send(index)
		told[what]++
		for _, run := range leaver.runsOf(id) {
			if late := run.at.Sub(acknowledged); late > drain && sent.Sub(back) > contact {
				faults = append(faults, fmt.Sprintf("DRAIN: %s, sent %.2f s after the last start, reaches %s %.2f s after its leaving was acknowledged",
					id, sent.Sub(back).Seconds(), leaver.instance, late.Seconds()))
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.line("upstream %s beats again, acknowledged %t", leaver.instance, leaver.beat(number+11, "leaving"))
	r.line("what the clients were told since the upstream left: %v", told)
	return faults, nil
}
