package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// badBytes is the size of the invalid configurations with the disruption.
	badBytes = 4_194_000

	// badOrders is the number of invalid configurations, badGap the time between them, as in a day of the site file
	// (bad_config, count = 3, gap_s = 0.6).
	badOrders = 3
	badGap    = 600 * time.Millisecond
)

// invalid: operators send three invalid configurations, 0.6 s apart: their lists of routes hold numbers, many of
// them. The platform ends each process that holds more than its memory-mb, and starts it again. It is a fault if on
// half of the core (two machines of three) processes end so three times. Without the trouble the lists hold two
// numbers.
func invalid(r *record, root string, trouble bool) ([]string, error) {
	services := []string{"quoter", "bookings", "fabrication"}
	f, err := newFleet(r, root, jcHQ, services)
	if err != nil {
		return nil, err
	}
	defer f.stopAll()
	if err := f.startAll(); err != nil {
		return nil, err
	}
	for index, sidecar := range f.sidecars {
		if _, err := startUpstream(f, sidecar, fmt.Sprintf("i-%08x", 0x3000+index), 20*time.Millisecond); err != nil {
			return nil, err
		}
	}
	const key = "6wsjnbanfqasnmgkcuyj"
	content := configuration(7, services, []map[string]any{
		route("r-many", "jepu9.example", "/lepu270/", "repeatable", "quoter", 1200, 500, false),
	}, []map[string]any{{"name": "pulo780", "keys": []string{key}, "priority": 1}})
	if err := f.putConfiguration(content, 20*time.Second); err != nil {
		return nil, err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)

	watch := watchMemory(f, f.cores, "registry", 280)
	load := startLoad(f, key)
	orders := sync.WaitGroup{}
	for number := range badOrders {
		bad := []byte(fmt.Sprintf(`{"version":%d,"routes":[0,0]}`, 8+number))
		if trouble {
			start := bad[:len(bad)-len("0]}")]
			bad = append(bytes.Clone(start), bytes.Repeat([]byte("0,"), (badBytes-len(start))/len("0,")-1)...)
			bad = append(bad, "0]}"...)
		}
		orders.Add(1)
		go func() {
			defer orders.Done()
			r.line("operator %d sends an invalid configuration of %d bytes: %.40s...", number, len(bad), bad)
			r.line("operator %d: %s", number, order(f, bad))
		}()
		time.Sleep(badGap)
	}
	orders.Wait()
	time.Sleep(3 * time.Second)
	ends := watch.stop()
	load.stop(r)
	machines := 0
	for name, count := range ends {
		r.line("%s: the registry ended %d times for its memory", name, count)
		if count >= 3 {
			machines++
		}
	}
	if machines*2 >= len(f.cores) {
		return []string{fmt.Sprintf("Fault: on %d of %d core machines the registry ended three times or more for its memory: %v", machines, len(f.cores), ends)}, nil
	}
	return nil, nil
}

// order sends a configuration as PROTOCOL.md says: to one node after another, unchanged, until the answer is clear;
// after a second of silence, more for a large body, the next node. It gives up after 40 s.
func order(f *fleet, body []byte) string {
	client := http.Client{Timeout: time.Second + time.Duration(len(body))*time.Second/(8<<20)}
	begun, pause, tries := time.Now(), 100*time.Millisecond, 0
	for index := 0; time.Since(begun) < 40*time.Second; index++ {
		core := f.cores[index%len(f.cores)]
		request, _ := http.NewRequest(http.MethodPut, "http://"+f.control(core)+"/v1/configurations/main", bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		tries++
		response, err := client.Do(request)
		if err != nil {
			f.record.line("operator: no answer of %s", core.name)
		} else {
			io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if status := response.StatusCode; status/100 == 2 || status/100 == 4 && status != 408 && status != 429 {
				return fmt.Sprintf("%d by %s at try %d", status, core.name, tries)
			}
		}
		time.Sleep(pause)
		pause = min(pause*3/2, time.Second)
	}
	return fmt.Sprintf("no clear answer in %d tries", tries)
}

// load is a small steady load of one request each 50 ms, for the record.
type load struct {
	done     chan struct{}
	ended    chan struct{}
	statuses map[string]int
}

func startLoad(f *fleet, key string) *load {
	l := &load{done: make(chan struct{}), ended: make(chan struct{}), statuses: map[string]int{}}
	go func() {
		defer close(l.ended)
		for index := 0; ; index++ {
			select {
			case <-l.done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			got := ask(f.egress(f.sidecars[index%len(f.sidecars)]), clientRequest("GET", "jepu9.example", "/lepu270/2f", fmt.Sprintf("%016x", 0xb000+index), key, 1200, ""), "GET", 1500*time.Millisecond)
			what := "no answer"
			if got.err == nil {
				what = fmt.Sprint(got.status)
			}
			l.statuses[what]++
		}
	}()
	return l
}

func (l *load) stop(r *record) {
	close(l.done)
	<-l.ended
	r.line("what the clients were told: %v", l.statuses)
}
