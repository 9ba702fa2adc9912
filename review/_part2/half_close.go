package main

import (
	"bufio"
	"fmt"
	"net"
	"time"
)

// halfClose: half of the clients give up 100 ms after they have sent their request, while an upstream works on it
// (400 ms). They close their connection in order: they end their own direction (FIN), and read until the other side
// has closed too. If they receive a success, it must be the upstream's (rule MIXED). The other clients wait for
// their answers. Without the trouble all of them wait.
func halfClose(r *record, root string, trouble bool) ([]string, error) {
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
		u, err := startUpstream(f, sidecar, fmt.Sprintf("i-%08x", 0x1000+index), 400*time.Millisecond)
		if err != nil {
			return nil, err
		}
		upstreams = append(upstreams, u)
	}
	const key = "6wsjnbanfqasnmgkcuyj"
	content := configuration(7, services, []map[string]any{
		route("r-once", "hulo84.example", "/xapu221/", "once", "bookings", 1500, 600, false),
		route("r-many", "jepu9.example", "/lepu270/", "repeatable", "quoter", 1200, 500, false),
	}, []map[string]any{{"name": "pulo780", "keys": []string{key}, "priority": 1}})
	if err := f.putConfiguration(content, 20*time.Second); err != nil {
		return nil, err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // contact-s and the upstreams' first probes

	faults := []string{}
	served := 0
	for index := range 20 {
		sidecar := f.sidecars[index%len(f.sidecars)]
		method, host, path, body := "POST", "hulo84.example", "/xapu221/2f", "deposit"
		if index%2 == 1 {
			method, host, path, body = "GET", "jepu9.example", "/lepu270/2f", ""
		}
		id := fmt.Sprintf("%016x", 0xa000+index)
		conn, err := net.DialTimeout("tcp", f.egress(sidecar), time.Second)
		if err != nil {
			return nil, err
		}
		conn.SetDeadline(time.Now().Add(4 * time.Second))
		if _, err := conn.Write([]byte(clientRequest(method, host, path, id, key, 1500, body))); err != nil {
			return nil, err
		}
		r.line("client sends %s %s to %s", id, method, sidecar.name)
		if trouble && index%4 >= 2 {
			time.Sleep(100 * time.Millisecond)
			r.line("client of %s gives up: it closes its direction of the connection and reads until the end", id)
			conn.(*net.TCPConn).CloseWrite()
		}
		got := readAnswer(bufio.NewReader(conn), method)
		conn.Close()
		runs := 0
		for _, u := range upstreams {
			runs += len(u.runsOf(id))
		}
		r.line("client of %s receives %s; runs so far %d", id, got, runs)
		if got.err != nil {
			continue // a closed connection is no success
		}
		if got.status/100 == 2 && got.header.Get("X-Beaconvane-Server-Seal") == "" {
			faults = append(faults, fmt.Sprintf("MIXED: the client of %s (%s) receives %d without a seal, body %q", id, method, got.status, got.body))
		}
		if got.status/100 == 2 && got.header.Get("X-Beaconvane-Server-Seal") != "" {
			served++
		}
	}
	r.line("%d requests were answered by an upstream", served)
	if served < 8 {
		return nil, fmt.Errorf("only %d of the clients that waited were served", served)
	}
	return faults, nil
}
