package simulation

import (
	"math/rand/v2"
	"time"

	"beaconvane/internal/configstore"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/workload"
)

// The hundreds scenario writes hundreds of configurations, while core machines, lease holders among
// them, are down, restart, are partitioned or lose a disk. A machine that returns must catch up in
// bounded time, the size of its disk and of its frames must stay bounded, and no read may return an
// older version than the last acknowledged one.
const (
	changeCount         = 620
	largeChangeInterval = 60   // every 60th change is large
	largeChangeRoutes   = 2500 // routes of a large change
	changesTimeLimit    = 75 * time.Second
	maxStoreDiskBytes   = 24 << 20 // limit of the sum of one store's files
)

// manyChangesPlan draws the plan of the hundreds scenario.
func manyChangesPlan(d workload.Deployment, random *rand.Rand) []Step {
	names := d.CoreNames()
	chosen := random.Perm(len(names))
	return []Step{
		{At: 9 * time.Second, Do: "hundreds", For: changesTimeLimit},
		{At: between(random, 11, 13), Do: "kill", Target: names[chosen[0]], For: between(random, 6, 9)},
		{At: between(random, 26, 28), Do: "cut-core", Target: names[chosen[1]], For: between(random, 5, 8)},
		{At: between(random, 40, 42), Do: "kill-holder", Target: settings.ConfigLogLease, For: between(random, 0.3, 2)},
		{At: between(random, 48, 50), Do: "kill-disk", Target: names[chosen[2]], For: between(random, 0.3, 2)},
		{At: between(random, 58, 60), Do: "kill", Target: names[chosen[1]], For: between(random, 3, 6)},
		{At: between(random, 70, 71), Do: "kill-holder", Target: settings.ConfigLogLease, For: between(random, 0.3, 2)},
	}
}

// writeChangesInSequence writes the remaining changes one after another, each up to 60 ms after the answer
// to the one before. It fails the run if some remain at the given time.
func (w *World) writeChangesInSequence(remaining int, until time.Duration) {
	if remaining == 0 {
		w.dangers["hundreds of changes made"]++
		return
	}
	if w.now > until {
		w.fail("%d changes were not written in time", remaining)
		return
	}
	w.lastVersion++
	tenants := w.options.Deployment.Tenants()[:w.tenantCount]
	routes := int(w.lastVersion) % 50
	if remaining%largeChangeInterval == 0 {
		routes = largeChangeRoutes
		w.dangers["large changes"]++
	}
	body := w.options.Deployment.Configuration(tenants, routes+int(w.lastVersion))
	w.retryWrite(w.newConfigWrite(w.lastVersion, tenants, body, func(code errcode.Code) {
		if code == errcode.OK {
			w.dangers["changes acknowledged"]++
		}
		w.measureDisks()
		w.after(time.Duration(w.random.Int64N(int64(60*time.Millisecond))), func() { w.writeChangesInSequence(remaining-1, until) })
	}))
}

// measureDisks records the largest size of a store's disk so far, as the sum of its files.
func (w *World) measureDisks() {
	for _, store := range w.nodesByRole(message.RoleConfigStore) {
		size := 0
		for _, file := range store.disk.files {
			size += len(file.current)
		}
		if size > w.largestStoreDiskBytes {
			w.largestStoreDiskBytes = size
		}
	}
}

// newestVersion returns the newest configuration version in a store's log; 0 if the node isn't a store.
func newestVersion(store *Node) int64 {
	if machine, isStore := store.control.(*configstore.Machine); isStore {
		return machine.NewestVersion("main")
	}
	return 0
}

// expectCatchUp checks that a store that has just started has, within the catch-up bound, every version
// acknowledged before its start. The check applies only while the other stores have a majority; a
// machine counts as lost while it is down and for the same bound after it is back.
func (w *World) expectCatchUp(store *Node) {
	acknowledgedVersion, incarnation, began := w.newestAcknowledged, store.incarnation, w.now
	bound := time.Duration(store.settings.Bounds.CatchUp) * time.Millisecond
	if acknowledgedVersion == 0 || store.role != message.RoleConfigStore || !w.othersHaveMajority(store, began-bound) {
		return
	}
	behind := acknowledgedVersion - newestVersion(store)
	w.after(bound, func() {
		impaired := !store.up || store.frozen || store.incarnation != incarnation || store.frozenSince(began) ||
			store.writeDelay > w.options.Deployment.DiskDelay
		if impaired || w.isSpare(store) || w.hasCutLink(store.machine) || !w.othersHaveMajority(store, began-bound) {
			return
		}
		if behind > 0 {
			w.dangers["stores that came back behind"]++
			w.dangers["versions they were behind"] += int(behind)
		}
		if version := newestVersion(store); version < acknowledgedVersion {
			w.fail("%s has version %d %s after its start, want at least %d, acknowledged before the start",
				store.name, version, bound, acknowledgedVersion)
		}
	})
}

// othersHaveMajority reports whether a majority of the voters has been up, unfrozen and connected since a
// given time, this store not counted.
func (w *World) othersHaveMajority(store *Node, since time.Duration) bool {
	voters, available := len(store.settings.Voters), 0
	for _, other := range w.runningNodes(message.RoleConfigStore) {
		_, cut := w.cutLinkSince[other.machine]
		if other != store && other.startedAt <= since && !other.frozenSince(since) && !cut && isVoting(other) {
			available++
		}
	}
	return available*2 > voters
}

// isSpare reports whether a store has no vote while all votes are held by other running stores, so that
// it has nothing to catch up with.
func (w *World) isSpare(store *Node) bool {
	if isVoting(store) {
		return false
	}
	voting := int64(0)
	for _, other := range w.runningNodes(message.RoleConfigStore) {
		if isVoting(other) {
			voting++
		}
	}
	return voting > 0 && voting == w.options.Deployment.VoterCount
}

// isVoting reports whether a node is a store with a vote.
func isVoting(store *Node) bool {
	machine, isStore := store.control.(*configstore.Machine)
	return isStore && machine.Voting()
}

// checkSizeBounds checks the largest disk and the largest frame at the end of a run.
func (w *World) checkSizeBounds() {
	if w.largestStoreDiskBytes > maxStoreDiskBytes {
		w.fail("largest store disk has %d bytes, limit is %d", w.largestStoreDiskBytes, maxStoreDiskBytes)
	}
	stores := w.nodesByRole(message.RoleConfigStore)
	if len(stores) == 0 {
		return
	}
	// All stores have the same limits.
	if limit := stores[0].settings.Limits.Frame; int64(w.largestFrameBytes) > limit {
		w.fail("largest frame has %d bytes, limit is %d", w.largestFrameBytes, limit)
	}
}

// manyChangesSteps returns the step of the hundreds scenario, by the name that plans use.
func manyChangesSteps() map[string]fault {
	return map[string]fault{
		"hundreds": func(w *World, step Step) { w.writeChangesInSequence(changeCount, w.now+step.For) },
	}
}
