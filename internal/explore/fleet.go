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
	// wholeUpdates: of so many updates of usage one holds the windows that are over.
	wholeUpdates = 2
	// windowRounds is the length of a usage window.
	windowRounds = 10
	// answersLost: of so many answers of the collector one is lost.
	answersLost = 2
	// thawRounds is how long after a thaw an act does not count as one out of order.
	thawRounds = 6
	// lateWindows is how many windows the reports may be behind when a run ends in calm.
	lateWindows = 8
)

// fleetUpstream is an upstream as it stands in truth.
type fleetUpstream struct {
	registration message.Registration
	there        bool
	probed       int64
}

type fleetProxy struct {
	name      string
	address   string
	number    int64 // of its usage updates
	upstreams []*fleetUpstream
	counts    map[int64]int64 // by window
	sealed    int64           // windows below it are sealed, as some registry said
}

// report is what the collector took of a window.
type report struct {
	counts map[string]int64
	epoch  int64
	by     string
}

// act is a call that reached the collector.
type act struct {
	node  string
	round int
}

// fleet is the registries' surroundings.
type fleet struct {
	proxies            []*fleetProxy
	windows            map[int64]report
	newest             int64            // window that was reported
	fence              int64            // the highest that the collector has seen
	incarnations       map[int64]string // by fence: the incarnation that used it
	acts               []act            // the first of each holder in a row
	attempts           int64
	dropFromProxyUntil map[[2]int]int              // by process and proxy: the round until which nothing comes through
	changes            map[message.Position]string // by position: what was broadcast as the change to it
}

func newFleet() *fleet {
	f := &fleet{
		windows:            map[int64]report{},
		incarnations:       map[int64]string{},
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
			proxy.upstreams = append(proxy.upstreams, &fleetUpstream{there: true, registration: message.Registration{
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

// window is the usage window of the true time.
func (w *World) window() int64 { return int64((epoch + w.now) / w.fleetSettings().UsageWindow()) }

func (w *World) fleetSettings() settings.Settings { return w.processes[0].settings }

// playFleet is a round of the proxies: each counts a request, and sends what is due.
func (w *World) playFleet() {
	if w.fleet == nil {
		return
	}
	for number, proxy := range w.fleet.proxies {
		proxy.counts[w.window()]++
		if w.round%heartbeatRounds != 0 {
			continue
		}
		proxy.number++
		counters := w.counters()
		for _, p := range w.processes {
			if !p.up || w.round < w.fleet.dropFromProxyUntil[[2]int{p.index, number}] {
				continue
			}
			w.tell(p, proxy.address, proxy.heartbeat(w.window()))
			if slices.Contains(counters, p.index) {
				w.tell(p, proxy.address, proxy.usage(w.window()))
			}
		}
	}
}

// counters are the processes that the proxies tell their counts: one more than may be lost,
// of those that hold a voter.
func (w *World) counters() []int {
	indexes := []int{}
	for _, p := range w.upProcesses() {
		if p.seated && len(indexes) <= w.plan.Voters/2 {
			indexes = append(indexes, p.index)
		}
	}
	return indexes
}

// tell puts a message of the fleet into the queue.
func (w *World) tell(to *process, from string, body any) {
	w.queue = append(w.queue, item{step: w.step, from: from, to: to, incarnation: to.incarnation, message: body})
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
		if upstream.there {
			batch.Heartbeats = append(batch.Heartbeats, message.Heartbeat{
				Registration: upstream.registration,
				ProbeResult:  upstream.probed,
			})
		}
	}
	return batch
}

// usage tells the counts of the windows that are not sealed; like a real proxy it names the
// closed ones only in updates that hold them.
func (x *fleetProxy) usage(current int64) message.UsageUpdate {
	update := message.UsageUpdate{Proxy: x.name, StartTime: 1, Sequence: x.number, Counts: []message.UsageCount{}, ClosedBelow: current}
	if x.number%wholeUpdates != 0 {
		update.ClosedBelow = 0
	}
	for _, window := range slices.Sorted(maps.Keys(x.counts)) {
		if window < x.sealed || update.ClosedBelow == 0 && window < current {
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

// fleetReceives takes what a registry sends to a proxy; false where it is for none.
func (w *World) fleetReceives(to string, body any) bool {
	if w.fleet == nil {
		return false
	}
	for _, proxy := range w.fleet.proxies {
		if proxy.address != to {
			continue
		}
		switch received := body.(type) {
		case message.ProbeRequest:
			proxy.probe(received)
		case message.HeartbeatResponse:
			proxy.sealed = max(proxy.sealed, received.SealedBelow)
		}
		return true
	}
	return false
}

func (x *fleetProxy) probe(asked message.ProbeRequest) {
	for _, upstream := range x.upstreams {
		if upstream.registration.Instance == asked.Instance && upstream.registration.Incarnation == asked.Incarnation {
			upstream.probed = message.ProbeAnswered
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
	case !upstream.there:
		upstream.there, upstream.probed = true, message.NotProbed
		upstream.registration.Incarnation++
		upstream.registration.State = message.StateReady
	case upstream.registration.State == message.StateReady:
		upstream.registration.State = message.StateDraining
	default:
		upstream.there = false
	}
	return true
}

// broadcast notes a roster change that a holder sends.
func (w *World) broadcast(p *process, change message.RosterChange) {
	if w.fleet == nil {
		return
	}
	place := message.Position{Topic: change.Position.Topic, Epoch: change.Position.Epoch, Seq: change.Position.Seq}
	content := fmt.Sprintf("%+v gone %t to %d", change.Registration, change.Removed, change.Position.Hash)
	if other, known := w.fleet.changes[place]; known && other != content {
		w.violate("one-change", "%s broadcasts %s as (%d,%d), which was %s", p.name(), content, place.Epoch, place.Seq, other)
	}
	w.fleet.changes[place] = content
}

// reports takes a usage report: it reaches the collector at once, and the answer is lost at
// times.
func (w *World) reports(p *process, sent registry.UsageReport) {
	if w.fleet == nil || p.now(w) > sent.ExpiresAt {
		return
	}
	w.note("%s reports window %d under %d: %v", p.name(), sent.Window, sent.Epoch, sent.Counts)
	w.checkReport(p, sent)
	w.fleet.take(p, w.round, sent)
	w.fleet.attempts++
	if w.fleet.attempts%answersLost == 0 {
		return
	}
	incarnation := p.incarnation
	w.after(1, func() {
		if p.up && !p.frozen && p.incarnation == incarnation {
			p.apply(w, statemachine.LocalRequest{Request: registry.UsageDelivered{Window: sent.Window}})
		}
	})
}

func (f *fleet) take(p *process, round int, sent registry.UsageReport) {
	f.windows[sent.Window] = report{counts: maps.Clone(sent.Counts), epoch: sent.Epoch, by: p.name()}
	f.newest = max(f.newest, sent.Window)
	f.fence = max(f.fence, sent.Epoch)
	f.incarnations[sent.Epoch] = incarnationName(p)
	if len(f.acts) > 0 && f.acts[len(f.acts)-1].node == p.name() {
		f.acts[len(f.acts)-1].round = round
		return
	}
	f.acts = append(f.acts, act{p.name(), round})
}

func incarnationName(p *process) string {
	return fmt.Sprintf("%s in incarnation %d", p.name(), p.incarnation)
}

// checkReport checks that a window has one value, a fence one holder, fences don't fall, and no holder
// comes back within the rest.
func (w *World) checkReport(p *process, sent registry.UsageReport) {
	f := w.fleet
	if earlier, known := f.windows[sent.Window]; known && !maps.Equal(earlier.counts, sent.Counts) {
		w.violate("one-value", "%s reports window %d as %v, and %s has as %v", p.name(), sent.Window, sent.Counts, earlier.by,
			earlier.counts)
	}
	if sent.Epoch < f.fence {
		w.violate("fence", "%s reports under %d, and %d was seen", p.name(), sent.Epoch, f.fence)
	}
	if incarnation, used := f.incarnations[sent.Epoch]; used && incarnation != incarnationName(p) {
		w.violate("one-fence", "%s reports under %d, which is that of %s", incarnationName(p), sent.Epoch, incarnation)
	}
	if before, came := f.cameBack(p.name()); came && w.round-before.round < w.restRounds() && w.round-p.thawedAt > thawRounds {
		w.violate("rest", "%s acts %d rounds after it acted before another", p.name(), w.round-before.round)
	}
}

// cameBack gives the last act of a node behind which another node acted.
func (f *fleet) cameBack(node string) (act, bool) {
	if len(f.acts) < 2 || f.acts[len(f.acts)-1].node == node {
		return act{}, false
	}
	for index := len(f.acts) - 2; index >= 0; index-- {
		if f.acts[index].node == node {
			return f.acts[index], true
		}
	}
	return act{}, false
}

func (w *World) restRounds() int { return int(w.fleetSettings().HolderCooldown() / roundTime) }

// checkFleet holds the roster and the reports against the truth, at the end of a run that
// was calm for long enough.
func (w *World) checkFleet() {
	if w.fleet == nil || w.plan.Rounds-w.calmFrom < calmRounds || !w.majorityUp() {
		return
	}
	wanted := w.fleet.roster()
	for _, p := range w.upProcesses() {
		machine, isRegistry := p.machine.(*registry.Machine)
		if !isRegistry || p.frozen || !p.seated {
			continue
		}
		if found := machine.Registrations(fleetZone); !slices.Equal(found, wanted) {
			w.violate("converge", "%s has %v, and the truth is %v", p.name(), found, wanted)
		}
	}
	if w.fleet.newest < w.window()-lateWindows {
		w.violate("reported", "window %d is the newest that was reported, and %d is under way", w.fleet.newest, w.window())
	}
	w.checkCounts()
}

// majorityUp says that a majority of the voters runs: two that leave at one time with nobody
// to take their places leave none.
func (w *World) majorityUp() bool {
	newest, up := w.newestList(), 0
	for _, p := range w.upProcesses() {
		state := p.machine.VoterState()
		if p.seated && !p.frozen && (w.plan.Named || newest[state.Voter] == state.Identity) {
			up++
		}
	}
	return up*2 > w.plan.Voters
}

// checkCounts checks that what was counted while there were no faults is reported as it was.
func (w *World) checkCounts() {
	settled := w.calmFrom + calmRounds/2
	first := int64((epoch+time.Duration(settled)*roundTime)/w.fleetSettings().UsageWindow()) + 1
	for window, taken := range w.fleet.windows {
		truth := int64(0)
		for _, proxy := range w.fleet.proxies {
			truth += proxy.counts[window]
		}
		if window >= first && taken.counts[fleetTenant] != truth {
			w.violate("counts", "window %d was reported as %d by %s, and %d were counted", window, taken.counts[fleetTenant], taken.by,
				truth)
		}
	}
}

// roster is what every registry has to hold in the end.
func (f *fleet) roster() []message.Registration {
	list := []message.Registration{}
	for _, proxy := range f.proxies {
		for _, upstream := range proxy.upstreams {
			if upstream.there {
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
