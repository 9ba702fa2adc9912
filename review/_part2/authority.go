package main

import (
	"fmt"
	"time"
)

// authority: the operator adds a route of an authority that differs from another one only by its port. Requests for
// the new authority must be run by its service (rule ROUTE: no configuration ever sent allows them to go to another).
// Without the trouble the new authority has another name.
func authority(r *record, root string, trouble bool) ([]string, error) {
	services := []string{"quoter", "bookings", "fabrication"}
	f, err := newFleet(r, root, jcHQ, services)
	if err != nil {
		return nil, err
	}
	defer f.stopAll()
	if err := f.startAll(); err != nil {
		return nil, err
	}
	upstreams := map[string]*upstream{}
	for index, sidecar := range f.sidecars {
		u, err := startUpstream(f, sidecar, fmt.Sprintf("i-%08x", 0x4000+index), 20*time.Millisecond)
		if err != nil {
			return nil, err
		}
		upstreams[sidecar.service] = u
	}
	const key = "6wsjnbanfqasnmgkcuyj"
	added := "jepu9-8443.example"
	if trouble {
		added = "jepu9.example:8443"
	}
	routes := []map[string]any{route("r-old", "jepu9.example", "/lepu270/", "once", "quoter", 1500, 600, false)}
	tenants := []map[string]any{{"name": "pulo780", "keys": []string{key}, "priority": 1}}
	if err := f.putConfiguration(configuration(7, services, routes, tenants), 20*time.Second); err != nil {
		return nil, err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	routes = append(routes, route("r-new", added, "/lepu270/", "once", "bookings", 1500, 600, false))
	if err := f.putConfiguration(configuration(8, services, routes, tenants), 20*time.Second); err != nil {
		return nil, err
	}
	r.line("configuration 8 has a route of %q to bookings, beside that of \"jepu9.example\" to quoter", added)
	time.Sleep(4 * time.Second) // twice config-apply-s

	faults, right := []string{}, 0
	for index := range 20 {
		sidecar := f.sidecars[index%len(f.sidecars)]
		host, service := "jepu9.example", "quoter"
		if index%2 == 1 {
			host, service = added, "bookings"
		}
		id := fmt.Sprintf("%016x", 0xc000+index)
		r.line("client sends %s POST, Host: %s, to %s", id, host, sidecar.name)
		got := ask(f.egress(sidecar), clientRequest("POST", host, "/lepu270/2f", id, key, 1500, "deposit"), "POST", 3*time.Second)
		r.line("client of %s receives %s", id, got)
		for name, u := range upstreams {
			for range u.runsOf(id) {
				if name == service {
					right++
					continue
				}
				faults = append(faults, fmt.Sprintf("ROUTE: the request %s for Host %s was run by %s, its route goes to %s", id, host, name, service))
			}
		}
	}
	if right < 10 && len(faults) == 0 {
		return nil, fmt.Errorf("only %d of 20 requests were run", right)
	}
	return faults, nil
}
