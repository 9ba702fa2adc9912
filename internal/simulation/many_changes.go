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

// The hundreds scenario changes the configuration hundreds of times, while core machines are away,
// restart, lose a disk and hold the lease. A machine that returns must catch up in bounded time, its
// disk and its frames must stay bounded, and no read may be older than what was acknowledged.
const (
	changeCount         = 620
	largeChangeInterval = 60   // every so many changes one is large
	largeChangeRoutes   = 2500 // and has so many routes
	changesTimeLimit    = 75 * time.Second
	maxStoreDiskBytes   = 24 << 20 // bytes on one store's disk
)

func manyChangesPlan(d workload.Deployment, random *rand.Rand) []Step {
	names := d.CoreNames()
	chosen := random.Perm(len(names))
	return []Step{
		{At: 9 * time.Second, Do: "hundreds", For: changesTimeLimit},
		{At: randomDuration(random, 11, 13), Do: "kill", Target: names[chosen[0]], For: randomDuration(random, 6, 9)},
		{At: randomDuration(random, 26, 28), Do: "cut-core", Target: names[chosen[1]], For: randomDuration(random, 5, 8)},
		{At: randomDuration(random, 40, 42), Do: "kill-holder", Target: settings.ConfigLogLease, For: randomDuration(random, 0.3, 2)},
		{At: randomDuration(random, 48, 50), Do: "kill-disk", Target: names[chosen[2]], For: randomDuration(random, 0.3, 2)},
		{At: randomDuration(random, 58, 60), Do: "kill", Target: names[chosen[1]], For: randomDuration(random, 3, 6)},
		{At: randomDuration(random, 70, 71), Do: "kill-holder", Target: settings.ConfigLogLease, For: randomDuration(random, 0.3, 2)},
	}
}

// changeInTurn sends changes one after another until there are enough.
func (w *World) writeChangesInSequence(remaining int, until time.Duration) {
	if remaining == 0 {
		w.dangers["hundreds of changes made"]++
		return
	}
	if w.now > until {
		w.fail("%d changes were not made in time", remaining)
		return
	}
	w.lastVersion++
	tenants := w.options.Deployment.Tenants()[:w.tenantCount]
	routes := int(w.lastVersion) % 50
	if remaining%largeChangeInterval == 0 {
		routes = largeChangeRoutes
		w.dangers["large changes"]++
	}
	w.retryWrite(w.newConfigWrite(w.lastVersion, tenants, w.options.Deployment.Configuration(tenants, routes+int(w.lastVersion)), func(code errcode.Code) {
		if code == errcode.OK {
			w.dangers["changes acknowledged"]++
		}
		w.measureDisks()
		w.after(time.Duration(w.random.Int64N(int64(60*time.Millisecond))), func() { w.writeChangesInSequence(remaining-1, until) })
	}))
}

// measureDisks keeps the largest sum of a store's files.
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

// newestOf is the newest version that a store's log holds.
func newestVersion(store *Node) int64 {
	if machine, isStore := store.control.(*configstore.Machine); isStore {
		return machine.NewestVersion("main")
	}
	return 0
}

// expectCaughtUp checks that a store that came back holds, within the bound, what had been
// acknowledged when it came, as long as no more machines count as lost than may be: one
// counts as lost while it is away and for the same bound after it is back.
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
			w.fail("%s holds version %d %s after its start, %d had been acknowledged", store.name, version, bound, acknowledgedVersion)
		}
	})
}

// othersStand says that without this store a majority has been up and connected since a time.
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

// isSpare says that a store holds no voter while every voter stands elsewhere: it has
// nothing to catch up with.
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

func isVoting(store *Node) bool {
	machine, isStore := store.control.(*configstore.Machine)
	return isStore && machine.Voting()
}

// bounded checks the sizes at the end of a run.
func (w *World) checkSizeBounds() {
	if w.largestStoreDiskBytes > maxStoreDiskBytes {
		w.fail("%d bytes on one store's disk, %d are the most", w.largestStoreDiskBytes, maxStoreDiskBytes)
	}
	stores := w.nodesByRole(message.RoleConfigStore)
	if len(stores) == 0 {
		return
	}
	// All stores have the same limits.
	if limit := stores[0].settings.Limits.Frame; int64(w.largestFrameBytes) > limit {
		w.fail("a frame of %d bytes, the cap is %d", w.largestFrameBytes, limit)
	}
}

// hundredsSteps returns the step of the hundreds scenario, by the name that plans use.
func manyChangesSteps() map[string]fault {
	return map[string]fault{
		"hundreds": func(w *World, step Step) { w.writeChangesInSequence(changeCount, w.now+step.For) },
	}
}
