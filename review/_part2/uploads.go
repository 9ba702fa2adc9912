package main

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// largeUpload is the body of an upload with the disruption, in bytes: less than half of `max-body-bytes`
	// (67108864). smallUpload is the mean of the site file.
	largeUpload = 32_000_000
	smallUpload = 60_000

	uploadWaves = 22 // one upload of each machine in a wave
	waveEvery   = 3 * time.Second
)

// uploads: the clients of all ten sidecars send a bulk contact list at the same time, every three seconds. The
// platform ends each process that holds more than its memory-mb, and starts it again after a short time
// (DEPLOY.md). It is a fault if on two machines (a tenth, two at least) processes end so three times (RULES.md,
// "Fault"). Without the trouble the lists are small.
func uploads(r *record, root string, trouble bool) ([]string, error) {
	services := []string{"registry", "dispatch"}
	sides := []string{"registry", "registry", "registry", "dispatch", "dispatch", "dispatch", "dispatch", "dispatch", "dispatch", "dispatch"}
	f, err := newFleet(r, root, umuyoboroSMS, sides)
	if err != nil {
		return nil, err
	}
	defer f.stopAll()
	if err := f.startAll(); err != nil {
		return nil, err
	}
	upstreams := []*upstream{}
	for index, sidecar := range f.sidecars {
		u, err := startUpstream(f, sidecar, fmt.Sprintf("i-%08x", 0x2000+index), 190*time.Millisecond)
		if err != nil {
			return nil, err
		}
		upstreams = append(upstreams, u)
	}
	const key = "6wsjnbanfqasnmgkcuyj"
	content := configuration(7, services, []map[string]any{
		route("r-up", "hulo84.example", "/xapu221/", "upload", "registry", 2500, 600, false),
	}, []map[string]any{{"name": "pulo780", "keys": []string{key}, "priority": 1}})
	if err := f.putConfiguration(content, 20*time.Second); err != nil {
		return nil, err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)

	watch := watchMemory(f, f.sidecars, "proxy", f.site.sidecarMemory)
	size := smallUpload
	if trouble {
		size = largeUpload
	}
	r.line("each upload has %d bytes", size)
	body := bytes.Repeat([]byte("+250788000000;reminder\n"), size/23+1)[:size]
	statuses := map[string]int{}
	lock, waiting := sync.Mutex{}, sync.WaitGroup{}
	for wave := range uploadWaves {
		begun := time.Now()
		for index, sidecar := range f.sidecars {
			waiting.Add(1)
			go func() {
				defer waiting.Done()
				id := fmt.Sprintf("%08x%08x", wave, index)
				got := upload(f.egress(sidecar), id, key, body)
				r.line("client of %s at %s: %s", id, sidecar.name, got)
				lock.Lock()
				statuses[got]++
				lock.Unlock()
			}()
		}
		waiting.Wait()
		time.Sleep(time.Until(begun.Add(waveEvery)))
	}
	ends := watch.stop()
	r.line("what the clients were told: %v", statuses)
	machines, total := 0, 0
	for name, count := range ends {
		r.line("%s: ended %d times for its memory", name, count)
		total += count
		if count >= 3 {
			machines++
		}
	}
	if !trouble && statuses["200"] < uploadWaves*8 {
		return nil, fmt.Errorf("only %d small uploads were served", statuses["200"])
	}
	if machines >= 2 {
		return []string{fmt.Sprintf("Fault: on %d machines the proxy ended three times or more for its memory (%d times in all)", machines, total)}, nil
	}
	return nil, nil
}

// upload sends an upload on a new connection and returns the status of the answer.
func upload(address, id, key string, body []byte) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2600 * time.Millisecond))
	head := clientRequest("POST", "hulo84.example", "/xapu221/list", id, key, 2500, "")
	head = strings.Replace(head, "Content-Length: 0", "Content-Length: "+strconv.Itoa(len(body)), 1)
	if _, err := conn.Write([]byte(head)); err != nil {
		return "closed"
	}
	_, _ = conn.Write(body)
	text := make([]byte, 12)
	if count, _ := conn.Read(text); count < 12 {
		return "closed"
	}
	return string(text[9:12])
}
