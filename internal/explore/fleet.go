package explore

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"beaconvane/internal/message"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// The fleet models the clients of the registries in a run: proxies that send heartbeats and usage counts, their
// upstreams, which register and deregister, and the usage collector. It is not checked itself; it is the reference
// for the registries' roster and reports.
const (
	fleetProxies      = 2
	upstreamsPerProxy = 2
	// heartbeatRounds is the interval of a proxy's heartbeats and usage updates.
	heartbeatRounds = 2
	fleetZone       = "z"
	fleetTenant     = "tenant"
	// updatesPerFullUpdate: one in this many usage updates includes the closed windows.
	updatesPerFullUpdate = 2
	// windowRounds is the length of a usage window.
	windowRounds = 10
	// reportsPerLostResponse: one in this many responses of the collector is lost.
	reportsPerLostResponse = 2
	// thawGraceRounds is how long after a freeze a report is exempt from the rule "rest".
	thawGraceRounds = 6
	// maxWindowsBehind is how many windows the reports may lag at the end of a run without faults.
	maxWindowsBehind = 8
)

// fleetUpstream is the actual state of an upstream.
type fleetUpstream struct {
	registration message.Registration
	registered   bool
	probeResult  int64
}

// fleetProxy is a proxy, with the usage that it counted.
type fleetProxy struct {
	name        string
	address     string
	sequence    int64 // of the last usage update
	upstreams   []*fleetUpstream
	counts      map[int64]int64 // requests by usage window
	sealedBelow int64           // windows below it are sealed, according to the registries' responses
}

// windowReport is the last report of a usage window that the collector received.
type windowReport struct {
	counts   map[string]int64
	epoch    int64
	reporter string
}

// collectorCall is the last of a series of consecutive reports from one node.
type collectorCall struct {
	node  string
	round int
}

// fleet is the state of the proxies and of the collector.
type fleet struct {
	proxies            []*fleetProxy
	windows            map[int64]windowReport // by usage window
	newestWindow       int64                  // highest window that was reported
	highestFence       int64                  // highest lease epoch that the collector received
	fenceUsers         map[int64]string       // by lease epoch: the incarnation that reported under it
	calls              []collectorCall        // one per series of reports from the same node
	reportCount        int64
	dropFromProxyUntil map[[2]int]int              // by process and proxy: the round until which messages are dropped
	changes            map[message.Position]string // by position: the change that was broadcast
}

// newFleet returns a fleet with all upstreams registered.
func newFleet() *fleet {
	f := &fleet{
		windows:            map[int64]windowReport{},
		fenceUsers:         map[int64]string{},
		dropFromProxyUntil: map[[2]int]int{},
		changes:            map[message.Position]string{},
	}
	for number := range fleetProxies {
		proxy := &fleetProxy{
			name:    fmt.Sprintf("proxy/p%d", number),
			address: fmt.Sprintf("10.9.1.%d:1", number+1),
			counts:  map[int64]int64{},
		}
		for index := range upstreamsPerProxy {
			proxy.upstreams = append(proxy.upstreams, &fleetUpstream{registered: true, registration: message.Registration{
				Service:               "service",
				Instance:              fmt.Sprintf("i%d-%d", number, index),
				Incarnation:           1,
				Address:               fmt.Sprintf("10.8.%d.%d:1", number, index),
				Zone:                  fleetZone,
				Slots:                 4,
				State:                 message.StateReady,
				ServingProxy:          proxy.name,
				ServingProxyAddress:   proxy.address,
				ServingProxyStartTime: 1,
			}})
		}
		f.proxies = append(f.proxies, proxy)
	}
	return f
}

// currentWindow returns the usage window at the reference time, without clock steps.
func (w *World) currentWindow() int64 {
	return int64((startTime + w.now) / w.fleetSettings().UsageWindow())
}

// fleetSettings returns the settings that all processes share: those of the first one.
func (w *World) fleetSettings() settings.Settings { return w.processes[0].settings }

// runFleet runs a round of the proxies: each counts one request and sends the heartbeat and usage update that are due.
func (w *World) runFleet() {
	if w.fleet == nil {
		return
	}
	for number, proxy := range w.fleet.proxies {
		proxy.counts[w.currentWindow()]++
		if w.round%heartbeatRounds != 0 {
			continue
		}
		proxy.sequence++
		receivers := w.usageReceivers()
		for _, p := range w.processes {
			if !p.up || w.round < w.fleet.dropFromProxyUntil[[2]int{p.index, number}] {
				continue
			}
			w.sendFromFleet(p, proxy.address, proxy.heartbeat(w.currentWindow()))
			if slices.Contains(receivers, p.index) {
				w.sendFromFleet(p, proxy.address, proxy.usageUpdate(w.currentWindow()))
			}
		}
	}
}

// usageReceivers returns the processes that receive usage updates: those with a voter, at most one more than the
// number of voters that the group can lose.
func (w *World) usageReceivers() []int {
	indexes := []int{}
	for _, p := range w.upProcesses() {
		if p.hasVoter && len(indexes) <= w.plan.Voters/2 {
			indexes = append(indexes, p.index)
		}
	}
	return indexes
}

// sendFromFleet queues a message from a proxy.
func (w *World) sendFromFleet(to *process, from string, body any) {
	w.queue = append(w.queue, item{sentStep: w.step, from: from, to: to, incarnation: to.incarnation, message: body})
}

// heartbeat returns the heartbeats of all registered upstreams.
func (x *fleetProxy) heartbeat(window int64) message.HeartbeatBatch {
	batch := message.HeartbeatBatch{
		Proxy:           x.name,
		StartTime:       1,
		Ready:           true,
		CurrentWindow:   window,
		Heartbeats:      []message.Heartbeat{},
		Deregistrations: []message.Deregistration{},
		Positions:       []message.Position{},
		RelayPath:       []string{},
	}
	for _, upstream := range x.upstreams {
		if upstream.registered {
			batch.Heartbeats = append(batch.Heartbeats, message.Heartbeat{
				Registration: upstream.registration,
				ProbeResult:  upstream.probeResult,
			})
		}
	}
	return batch
}

// usageUpdate returns the counts of the windows that are not sealed. Like a real proxy, it sets ClosedBelow only in
// updates that include the closed windows.
func (x *fleetProxy) usageUpdate(current int64) message.UsageUpdate {
	update := message.UsageUpdate{Proxy: x.name, StartTime: 1, Sequence: x.sequence, Counts: []message.UsageCount{}, ClosedBelow: current}
	if x.sequence%updatesPerFullUpdate != 0 {
		update.ClosedBelow = 0
	}
	for _, window := range slices.Sorted(maps.Keys(x.counts)) {
		if window < x.sealedBelow || update.ClosedBelow == 0 && window < current {
			continue
		}
		update.Counts = append(update.Counts, message.UsageCount{
			Window:   window,
			Counts:   map[string]int64{fleetTenant: x.counts[window]},
			InFlight: map[string]int64{},
		})
	}
	return update
}

// deliverToProxy delivers a registry's message to a proxy. It returns false if no proxy has the address.
func (w *World) deliverToProxy(to string, body any) bool {
	if w.fleet == nil {
		return false
	}
	for _, proxy := range w.fleet.proxies {
		if proxy.address != to {
			continue
		}
		switch received := body.(type) {
		case message.ProbeRequest:
			proxy.answerProbe(received)
		case message.HeartbeatResponse:
			proxy.sealedBelow = max(proxy.sealedBelow, received.SealedBelow)
		}
		return true
	}
	return false
}

// answerProbe marks the probed upstream as answered; the next heartbeat carries the result.
func (x *fleetProxy) answerProbe(request message.ProbeRequest) {
	for _, upstream := range x.upstreams {
		if upstream.registration.Instance == request.Instance && upstream.registration.Incarnation == request.Incarnation {
			upstream.probeResult = message.ProbeAnswered
		}
	}
}

// changeUpstream moves an upstream to its next state: ready, draining, deregistered, then ready again in a new
// incarnation. It returns false if there is no such upstream.
func (w *World) changeUpstream(proxy, index int) bool {
	if w.fleet == nil || proxy >= len(w.fleet.proxies) || index >= upstreamsPerProxy {
		return false
	}
	upstream := w.fleet.proxies[proxy].upstreams[index]
	switch {
	case !upstream.registered:
		upstream.registered, upstream.probeResult = true, message.NotProbed
		upstream.registration.Incarnation++
		upstream.registration.State = message.StateReady
	case upstream.registration.State == message.StateReady:
		upstream.registration.State = message.StateDraining
	default:
		upstream.registered = false
	}
	return true
}

// recordRosterChange records a roster change that a lease holder sends and checks the rule "one-change".
func (w *World) recordRosterChange(p *process, change message.RosterChange) {
	if w.fleet == nil {
		return
	}
	position := message.Position{Topic: change.Position.Topic, Epoch: change.Position.Epoch, Seq: change.Position.Seq}
	content := fmt.Sprintf("%+v removed %t to %d", change.Registration, change.Removed, change.Position.Hash)
	if earlier, known := w.fleet.changes[position]; known && earlier != content {
		w.reportViolation("one-change", "%s broadcasts %s at position (%d,%d), where %s was broadcast before", p.name(), content,
			position.Epoch, position.Seq, earlier)
	}
	w.fleet.changes[position] = content
}

// deliverReport delivers a usage report to the collector at once, unless it has expired. The response arrives a
// round later; one in reportsPerLostResponse is lost.
func (w *World) deliverReport(p *process, report registry.UsageReport) {
	if w.fleet == nil || p.now(w) > report.ExpiresAt {
		return
	}
	w.logf("%s reports window %d under epoch %d: %v", p.name(), report.Window, report.Epoch, report.Counts)
	w.checkReport(p, report)
	w.fleet.recordReport(p, w.round, report)
	w.fleet.reportCount++
	if w.fleet.reportCount%reportsPerLostResponse == 0 {
		return
	}
	incarnation := p.incarnation
	w.schedule(1, func() {
		if p.up && !p.frozen && p.incarnation == incarnation {
			p.apply(w, statemachine.LocalRequest{Request: registry.UsageDelivered{Window: report.Window}})
		}
	})
}

// recordReport records a report as received by the collector.
func (f *fleet) recordReport(p *process, round int, report registry.UsageReport) {
	f.windows[report.Window] = windowReport{counts: maps.Clone(report.Counts), epoch: report.Epoch, reporter: p.name()}
	f.newestWindow = max(f.newestWindow, report.Window)
	f.highestFence = max(f.highestFence, report.Epoch)
	f.fenceUsers[report.Epoch] = incarnationName(p)
	if len(f.calls) > 0 && f.calls[len(f.calls)-1].node == p.name() {
		f.calls[len(f.calls)-1].round = round
		return
	}
	f.calls = append(f.calls, collectorCall{p.name(), round})
}

// incarnationName identifies the current incarnation of a process.
func incarnationName(p *process) string {
	return fmt.Sprintf("%s in incarnation %d", p.name(), p.incarnation)
}

// checkReport checks the rules on usage reports: a window has one value, a lease epoch is used by one incarnation,
// epochs don't decrease, and a former holder doesn't report again within the holder cool-down.
func (w *World) checkReport(p *process, report registry.UsageReport) {
	f := w.fleet
	if earlier, known := f.windows[report.Window]; known && !maps.Equal(earlier.counts, report.Counts) {
		w.reportViolation("one-value", "%s reports window %d as %v, and %s reported it as %v", p.name(), report.Window, report.Counts,
			earlier.reporter, earlier.counts)
	}
	if report.Epoch < f.highestFence {
		w.reportViolation("fence", "%s reports under epoch %d after a report under epoch %d", p.name(), report.Epoch, f.highestFence)
	}
	if incarnation, used := f.fenceUsers[report.Epoch]; used && incarnation != incarnationName(p) {
		w.reportViolation("one-fence", "%s reports under epoch %d, which %s used", incarnationName(p), report.Epoch, incarnation)
	}
	if earlier, interrupted := f.callBeforeOther(p.name()); interrupted && w.round-earlier.round < w.cooldownRounds() &&
		w.round-p.thawRound > thawGraceRounds {
		w.reportViolation("rest", "%s reports %d rounds after its last report before another node reported, want at least %d", p.name(),
			w.round-earlier.round, w.cooldownRounds())
	}
}

// callBeforeOther returns the node's last report that was followed by another node's report; false if there is none,
// or if the node itself reported last.
func (f *fleet) callBeforeOther(node string) (collectorCall, bool) {
	if len(f.calls) < 2 || f.calls[len(f.calls)-1].node == node {
		return collectorCall{}, false
	}
	for index := len(f.calls) - 2; index >= 0; index-- {
		if f.calls[index].node == node {
			return f.calls[index], true
		}
	}
	return collectorCall{}, false
}

// cooldownRounds returns the holder cool-down in rounds.
func (w *World) cooldownRounds() int { return int(w.fleetSettings().HolderCooldown() / roundDuration) }

// checkFleet compares the roster and the usage reports with the fleet at the end of a run, if its last
// faultFreeRounds had no faults and a majority of the voters is up.
func (w *World) checkFleet() {
	if w.fleet == nil || w.plan.Rounds-w.faultFreeFrom < faultFreeRounds || !w.majorityUp() {
		return
	}
	expected := w.fleet.expectedRoster()
	for _, p := range w.upProcesses() {
		machine, isRegistry := p.machine.(*registry.Machine)
		if !isRegistry || p.frozen || !p.hasVoter {
			continue
		}
		if actual := machine.Registrations(fleetZone); !slices.Equal(actual, expected) {
			w.reportViolation("converge", "%s has the roster %v, want %v", p.name(), actual, expected)
		}
	}
	if w.fleet.newestWindow < w.currentWindow()-maxWindowsBehind {
		w.reportViolation("reported", "window %d is the newest reported one, while window %d is current",
			w.fleet.newestWindow, w.currentWindow())
	}
	w.checkCounts()
}

// majorityUp reports whether a majority of the voters is up. There is none if, for example, two processes leave at
// the same time and no others replace them.
func (w *World) majorityUp() bool {
	memberList, up := w.newestMemberList(), 0
	for _, p := range w.upProcesses() {
		state := p.machine.VoterState()
		if p.hasVoter && !p.frozen && (w.plan.Named || memberList[state.Voter] == state.Identity) {
			up++
		}
	}
	return up*2 > w.plan.Voters
}

// checkCounts checks that the windows of the second half of the fault-free rounds are reported with exact counts.
func (w *World) checkCounts() {
	settledRound := w.faultFreeFrom + faultFreeRounds/2
	firstWindow := int64((startTime+time.Duration(settledRound)*roundDuration)/w.fleetSettings().UsageWindow()) + 1
	for window, reported := range w.fleet.windows {
		counted := int64(0)
		for _, proxy := range w.fleet.proxies {
			counted += proxy.counts[window]
		}
		if window >= firstWindow && reported.counts[fleetTenant] != counted {
			w.reportViolation("counts", "window %d was reported as %d by %s, want %d", window, reported.counts[fleetTenant],
				reported.reporter, counted)
		}
	}
}

// expectedRoster returns the roster that every registry must hold at the end of the run.
func (f *fleet) expectedRoster() []message.Registration {
	list := []message.Registration{}
	for _, proxy := range f.proxies {
		for _, upstream := range proxy.upstreams {
			if upstream.registered {
				list = append(list, upstream.registration)
			}
		}
	}
	slices.SortFunc(list, func(one, other message.Registration) int {
		if one.Key() < other.Key() {
			return -1
		}
		return 1
	})
	return list
}
