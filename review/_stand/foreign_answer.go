package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// setUp starts a fleet with one sidecar of each service in each zone, and waits until the first
// configuration is in force. The first orders go to one core machine only.
func setUp(f *fleet, first *machine, services []string, initial []byte) ([]*upstream, bool) {
	upstreams := []*upstream{}
	for zone := range f.zones {
		for _, service := range services {
			f.addSidecar(zone, service)
		}
	}
	if err := f.startMachines(); err != nil {
		f.record.say("start: %v", err)
		return nil, false
	}
	for _, m := range f.sidecars {
		u, err := newUpstream(m, "i-"+m.name, 20*time.Millisecond)
		if err != nil {
			f.record.say("upstream: %v", err)
			return nil, false
		}
		upstreams = append(upstreams, u)
	}
	acknowledged := waitFor(15*time.Second, func() bool {
		status, _, err := f.put("A", first, initial)
		return err == nil && status == http.StatusOK
	})
	if !acknowledged {
		f.record.say("the first configuration was not acknowledged")
		return nil, false
	}
	served := waitFor(15*time.Second, func() bool {
		for _, m := range f.sidecars {
			if !f.ready(m) || f.request(m, http.MethodGet, "shop.example", "/x/1", 1200*time.Millisecond).status != http.StatusOK {
				return false
			}
		}
		return true
	})
	for _, m := range f.machines() {
		m.bootstrap = false
	}
	return upstreams, served
}

// holder returns the core machine whose configuration store the registries follow.
func (f *fleet) holder() *machine {
	for _, core := range f.cores {
		status, body, err := f.call(http.MethodGet, "http://"+core.address(f.ports.control)+"/v1/status", nil, time.Second)
		var answer struct {
			Updates struct {
				From string `json:"from"`
			} `json:"updates"`
		}
		if err != nil || status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
			continue
		}
		for _, other := range f.cores {
			if answer.Updates.From == "configstore/"+other.name {
				return other
			}
		}
	}
	return nil
}

// killTimes are the times of one round, from the first kill on. The processes that are killed together come back
// within a second: the registry that took the order first, the others later.
type killTimes struct{ lastKill, registryBack, othersBack time.Duration }

// rounds: the second one, with the two machines exchanged, is played only if the first one broke nothing.
var rounds = []killTimes{
	{25 * time.Millisecond, 130 * time.Millisecond, 150 * time.Millisecond},
	{60 * time.Millisecond, 150 * time.Millisecond, 600 * time.Millisecond},
}

// operatorPause is the pause of operator B between calls that were not taken.
const operatorPause = 5 * time.Millisecond

// invalidConfiguration returns a configuration with a route that names an unknown service. Its other route
// sends /x/ to the given service.
func invalidConfiguration(version int, service string, services ...string) []byte {
	var content map[string]any
	_ = json.Unmarshal(configuration(version, service, services...), &content)
	routes, _ := content["routes"].([]any)
	content["routes"] = append(routes, map[string]any{"name": "r-bad", "host": "shop.example", "prefix": "/bad/", "kind": "repeatable",
		"timeout_ms": 1200, "aim_ms": 500, "priority": 2, "service": "nobody", "attempts": 2, "open": false})
	body, _ := json.Marshal(content)
	return body
}

// foreignAnswer: operator A's order is under way while many processes are killed at the same moment, among
// them the registry that took it. They come back within a second. Operator B sends an invalid configuration
// to the registry that has come back. Without a clear answer, A sends its order again.
func foreignAnswer(f *fleet, trouble bool) int {
	if _, ok := setUp(f, f.cores[0], []string{"alpha", "beta", "gamma"}, configuration(10, "alpha", "alpha", "beta", "gamma")); !ok {
		return exitNotRun
	}
	time.Sleep(2 * time.Second)
	holder := f.holder()
	if holder == nil {
		f.record.say("no holder of the configuration log found")
		return exitNotRun
	}
	// The order goes to a core machine that is not the holder and, if possible, has taken no order before.
	others := []*machine{}
	for _, core := range append(f.cores[1:], f.cores[0]) {
		if core != holder {
			others = append(others, core)
		}
	}
	code := foreignAnswerRound(f, trouble, rounds[0], holder, others[0], others[1], 20, "beta")
	if code == exitHeld {
		time.Sleep(3 * time.Second)
		if holder = f.holder(); holder == nil || holder == others[1] {
			return code
		}
		third := others[0]
		if holder == third {
			return code
		}
		code = foreignAnswerRound(f, trouble, rounds[1], holder, others[1], third, 40, "alpha")
	}
	return code
}

// foreignAnswerRound plays one round: the valid version sends /x/ to a service, the invalid one, whose number is
// higher by 5, to gamma, which no other version names for it.
func foreignAnswerRound(f *fleet, trouble bool, times killTimes, holder, taker, third *machine, version int, service string) int {
	newer := configuration(version, service, "alpha", "beta", "gamma")
	invalid := invalidConfiguration(version+5, "gamma", "alpha", "beta", "gamma")
	sidecar := f.sidecars[0]
	for _, m := range f.sidecars {
		if m.zone == taker.zone {
			sidecar = m
		}
	}
	f.record.say("holder %s; order to %s; to be killed: both programs of %s and %s, the proxy of %s", holder.name, taker.name, taker.name,
		third.name, sidecar.name)
	var pending sync.WaitGroup
	pending.Add(1)
	startedAt := time.Now()
	if trouble {
		taker.signal("configstore", syscall.SIGKILL)
		third.signal("configstore", syscall.SIGKILL)
		third.signal("registry", syscall.SIGKILL)
		sidecar.signal("proxy", syscall.SIGKILL)
	}
	go func() {
		defer pending.Done()
		_, _, _ = f.put("A", taker, newer)
	}()
	if trouble {
		time.Sleep(times.lastKill)
		taker.signal("registry", syscall.SIGKILL)
		f.record.say("killed: both programs of %s and %s, the proxy of %s", taker.name, third.name, sidecar.name)
		for _, m := range []*machine{taker, third, sidecar} {
			for _, program := range m.programs() {
				m.reap(program)
			}
		}
		time.Sleep(times.registryBack - time.Since(startedAt))
		if taker.start("registry") != nil {
			return exitNotRun
		}
		f.record.say("the registry of %s started again", taker.name)
		pending.Add(1)
		go func() {
			defer pending.Done()
			time.Sleep(times.othersBack - time.Since(startedAt))
			_, _, _ = third.startAll(), sidecar.startAll(), taker.start("configstore")
			f.record.say("the other processes started again")
		}()
	} else {
		pending.Wait()
	}
	restartedAt := f.record.now() + times.othersBack
	invalidAcknowledged := false
	// B sends its order until a node takes the call.
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(operatorPause) {
		status, answer, err := f.put("B", taker, invalid)
		if err == nil {
			f.record.say("answer to the invalid configuration, version %d: %d %s", version+5, status, firstLine(answer))
			invalidAcknowledged = status/100 == 2
			break
		}
	}
	pending.Wait()
	acknowledged := waitFor(10*time.Second, func() bool {
		status, _, err := f.put("A", holder, newer)
		return err == nil && status == http.StatusOK
	})
	if !acknowledged {
		f.record.say("version %d was not acknowledged", version)
		return exitNotRun
	}
	f.record.say("version %d acknowledged", version)
	// Judged are requests sent more than config-apply-s after the acknowledgement, and more than twice
	// contact-s after the start of the processes, when all machines are in touch.
	time.Sleep(max(2*time.Second, restartedAt+6*time.Second-f.record.now()) + 200*time.Millisecond)
	invalidRuns, olderRuns, right, failed := map[string]int{}, 0, 0, 0
	for range 20 {
		for _, m := range f.sidecars {
			answer := f.request(m, http.MethodGet, "shop.example", "/x/1", 1200*time.Millisecond)
			switch {
			case answer.failure != nil || answer.status != http.StatusOK:
				failed++
			case answer.body == service+" "+answer.attempt:
				right++
			case answer.body == "gamma "+answer.attempt:
				invalidRuns[m.name]++
			default:
				olderRuns++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	status, body, _ := f.read(holder)
	f.record.say("read back from %s: %d, %s", holder.name, status, configurationLabel(body))
	f.record.say("requests run by the service of version %d: %d, by the invalid one's: %v, by an older version's: %d, not served: %d",
		version, right, invalidRuns, olderRuns, failed)
	if len(invalidRuns) > 0 {
		f.record.say("CONFIG broken: the invalid configuration is in force")
	}
	if olderRuns > 0 {
		f.record.say("CONFIG broken: requests ran as only an older version allows")
	}
	if invalidAcknowledged {
		f.record.say("CONFIG broken: an invalid configuration was acknowledged")
	}
	if invalidAcknowledged || len(invalidRuns)+olderRuns > 0 {
		return exitBroken
	}
	return exitHeld
}
