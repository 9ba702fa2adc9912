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

// The fleet is what registries serve in a run: proxies with heartbeats, usage counts and upstreams
// that come and go, and the usage collector. It keeps no promises itself; it is the truth that the
// registries' roster and reports are checked against.
const (
	fleetProxies      = 2
	upstreamsPerProxy = 2
	// heartbeatRounds is the interval of a proxy's heartbeats and counts.
	heartbeatRounds = 2
	fleetZone       = "z"
	fleetTenant     = "tenant"
	// updatesPerFullUpdate: of so many updates of usage one holds the windows that are over.
	updatesPerFullUpdate = 2
	// windowRounds is the length of a usage window.
	windowRounds = 10
	// reportsPerLostResponse: of so many answers of the collector one is lost.
	reportsPerLostResponse = 2
	// thawGraceRounds is how long after a thaw an act does not count as one out of order.
	thawGraceRounds = 6
	// maxWindowsBehind is how many windows the reports may be behind when a run ends in calm.
	maxWindowsBehind = 8
)

// fleetUpstream is an upstream as it stands in truth.
type fleetUpstream struct {
	registration message.Registration
	registered   bool
	probeResult  int64
}

type fleetProxy struct {
	name        string
	address     string
	sequence    int64 // of its usage updates
	upstreams   []*fleetUpstream
	counts      map[int64]int64 // by window
	sealedBelow int64           // windows below it are sealed, as some registry said
}

// windowReport is what the collector took of a window.
type windowReport struct {
	counts map[string]int64
	epoch  int64
	reporter     string
}

// collectorCall is a call that reached the collector.
type collectorCall struct {
	node  string
	round int
}

// fleet is the registries' surroundings.
type fleet struct {
	proxies            []*fleetProxy
	windows            map[int64]windowReport
	newestWindow       int64            // window that was reported
	highestFence       int64            // the highest that the collector has seen
	fenceUsers         map[int64]string // by fence: the incarnation that used it
	calls              []collectorCall  // the first of each holder in a row
	reportCount        int64
	dropFromProxyUntil map[[2]int]int              // by process and proxy: the round until which nothing comes through
	changes            map[message.Position]string // by position: what was broadcast as the change to it
}

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

// currentWindow is the usage currentWindow of the true time.
func (w *World) currentWindow() int64 {
	return int64((startTime + w.now) / w.fleetSettings().UsageWindow())
}

func (w *World) fleetSettings() settings.Settings { return w.processes[0].settings }

// runFleet is a round of the proxies: each counts a request, and sends what is due.
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

// usageReceivers are the processes that the proxies tell their counts: one more than may be lost,
// of those that hold a voter.
func (w *World) usageReceivers() []int {
	indexes := []int{}
	for _, p := range w.upProcesses() {
		if p.hasVoter && len(indexes) <= w.plan.Voters/2 {
			indexes = append(indexes, p.index)
		}
	}
	return indexes
}

// sendFromFleet puts a message of the fleet into the queue.
func (w *World) sendFromFleet(to *process, from string, body any) {
	w.queue = append(w.queue, item{sentStep: w.step, from: from, to: to, incarnation: to.incarnation, message: body})
}

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

// usageUpdate tells the counts of the windows that are not sealed; like a real proxy it names the
// closed ones only in updates that hold them.
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

// deliverToProxy takes what a registry sends to a proxy; false where it is for none.
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

func (x *fleetProxy) answerProbe(request message.ProbeRequest) {
	for _, upstream := range x.upstreams {
		if upstream.registration.Instance == request.Instance && upstream.registration.Incarnation == request.Incarnation {
			upstream.probeResult = message.ProbeAnswered
		}
	}
}

// changeUpstream lets an upstream take its next step: it leaves, is gone, comes back in a
// new incarnation.
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

// recordRosterChange notes a roster change that a holder sends.
func (w *World) recordRosterChange(p *process, change message.RosterChange) {
	if w.fleet == nil {
		return
	}
	position := message.Position{Topic: change.Position.Topic, Epoch: change.Position.Epoch, Seq: change.Position.Seq}
	content := fmt.Sprintf("%+v gone %t to %d", change.Registration, change.Removed, change.Position.Hash)
	if earlier, known := w.fleet.changes[position]; known && earlier != content {
		w.reportViolation("one-change", "%s broadcasts %s as (%d,%d), which was %s", p.name(), content, position.Epoch, position.Seq, earlier)
	}
	w.fleet.changes[position] = content
}

// deliverReport takes a usage report: it reaches the collector at once, and the answer is lost at
// times.
func (w *World) deliverReport(p *process, report registry.UsageReport) {
	if w.fleet == nil || p.now(w) > report.ExpiresAt {
		return
	}
	w.logf("%s reports window %d under %d: %v", p.name(), report.Window, report.Epoch, report.Counts)
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

func incarnationName(p *process) string {
	return fmt.Sprintf("%s in incarnation %d", p.name(), p.incarnation)
}

// checkReport checks that a window has one value, a fence one holder, fences don't fall, and no holder
// comes back within the rest.
func (w *World) checkReport(p *process, report registry.UsageReport) {
	f := w.fleet
	if earlier, known := f.windows[report.Window]; known && !maps.Equal(earlier.counts, report.Counts) {
		w.reportViolation("one-value", "%s reports window %d as %v, and %s has as %v", p.name(), report.Window, report.Counts, earlier.reporter,
			earlier.counts)
	}
	if report.Epoch < f.highestFence {
		w.reportViolation("fence", "%s reports under %d, and %d was seen", p.name(), report.Epoch, f.highestFence)
	}
	if incarnation, used := f.fenceUsers[report.Epoch]; used && incarnation != incarnationName(p) {
		w.reportViolation("one-fence", "%s reports under %d, which is that of %s", incarnationName(p), report.Epoch, incarnation)
	}
	if earlier, interrupted := f.callBeforeOther(p.name()); interrupted && w.round-earlier.round < w.cooldownRounds() && w.round-p.thawRound > thawGraceRounds {
		w.reportViolation("rest", "%s acts %d rounds after it acted before another", p.name(), w.round-earlier.round)
	}
}

// callBeforeOther gives the last act of a node behind which another node acted.
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

func (w *World) cooldownRounds() int { return int(w.fleetSettings().HolderCooldown() / roundDuration) }

// checkFleet holds the roster and the reports against the truth, at the end of a run that
// was calm for long enough.
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
			w.reportViolation("converge", "%s has %v, and the truth is %v", p.name(), actual, expected)
		}
	}
	if w.fleet.newestWindow < w.currentWindow()-maxWindowsBehind {
		w.reportViolation("reported", "window %d is the newest that was reported, and %d is under way", w.fleet.newestWindow, w.currentWindow())
	}
	w.checkCounts()
}

// majorityUp says that a majority of the voters runs: two that leave at one time with nobody
// to take their places leave none.
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

// checkCounts checks that what was counted while there were no faults is reported as it was.
func (w *World) checkCounts() {
	settledRound := w.faultFreeFrom + faultFreeRounds/2
	firstWindow := int64((startTime+time.Duration(settledRound)*roundDuration)/w.fleetSettings().UsageWindow()) + 1
	for window, reported := range w.fleet.windows {
		counted := int64(0)
		for _, proxy := range w.fleet.proxies {
			counted += proxy.counts[window]
		}
		if window >= firstWindow && reported.counts[fleetTenant] != counted {
			w.reportViolation("counts", "window %d was reported as %d by %s, and %d were counted", window, reported.counts[fleetTenant], reported.reporter,
				counted)
		}
	}
}

// expectedRoster is what every registry has to hold in the end.
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
