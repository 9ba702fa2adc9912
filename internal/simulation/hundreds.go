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
	changesWanted = 620
	largeEvery    = 60   // every so many changes one is large
	largeRoutes   = 2500 // and has so many routes
	changesFor    = 75 * time.Second
	diskMost      = 24 << 20 // bytes on one store's disk
)

func hundredsPlan(d workload.Deployment, random *rand.Rand) []Step {
	names := d.CoreNames()
	chosen := random.Perm(len(names))
	return []Step{
		{At: 9 * time.Second, Do: "hundreds", For: changesFor},
		{At: span(random, 11, 13), Do: "kill", Target: names[chosen[0]], For: span(random, 6, 9)},
		{At: span(random, 26, 28), Do: "cut-core", Target: names[chosen[1]], For: span(random, 5, 8)},
		{At: span(random, 40, 42), Do: "kill-holder", Target: settings.ConfigLogLease, For: span(random, 0.3, 2)},
		{At: span(random, 48, 50), Do: "kill-disk", Target: names[chosen[2]], For: span(random, 0.3, 2)},
		{At: span(random, 58, 60), Do: "kill", Target: names[chosen[1]], For: span(random, 3, 6)},
		{At: span(random, 70, 71), Do: "kill-holder", Target: settings.ConfigLogLease, For: span(random, 0.3, 2)},
	}
}

// changeInTurn sends changes one after another until there are enough.
func (w *World) changeInTurn(left int, until time.Duration) {
	if left == 0 {
		w.dangers["hundreds of changes made"]++
		return
	}
	if w.now > until {
		w.fail("%d changes were not made in time", left)
		return
	}
	w.versions++
	tenants := w.options.Deployment.Tenants()[:w.tenants]
	routes := int(w.versions) % 50
	if left%largeEvery == 0 {
		routes = largeRoutes
		w.dangers["large changes"]++
	}
	w.persist(w.newOrder(w.versions, tenants, w.options.Deployment.Configuration(tenants, routes+int(w.versions)), func(code errcode.Code) {
		if code == errcode.OK {
			w.dangers["changes acknowledged"]++
		}
		w.measureDisks()
		w.after(time.Duration(w.random.Int64N(int64(60*time.Millisecond))), func() { w.changeInTurn(left-1, until) })
	}))
}

// measureDisks keeps the largest sum of a store's files.
func (w *World) measureDisks() {
	for _, store := range w.nodesOf(message.RoleConfigStore) {
		size := 0
		for _, file := range store.disk.files {
			size += len(file.current)
		}
		if size > w.diskMost {
			w.diskMost = size
		}
	}
}

// newestOf is the newest version that a store's log holds.
func newestOf(store *Node) int64 {
	if machine, isStore := store.control.(*configstore.Machine); isStore {
		return machine.NewestVersion("main")
	}
	return 0
}

// expectCaughtUp checks that a store that came back holds, within the bound, what had been
// acknowledged when it came, as long as no more machines count as lost than may be: one
// counts as lost while it is away and for the same bound after it is back.
func (w *World) expectCaughtUp(store *Node) {
	wanted, incarnation, began := w.newestAcked, store.incarnation, w.now
	bound := time.Duration(store.settings.Bounds.CatchUp) * time.Millisecond
	if wanted == 0 || store.role != message.RoleConfigStore || !w.othersStand(store, began-bound) {
		return
	}
	behind := wanted - newestOf(store)
	w.after(bound, func() {
		hampered := !store.up || store.frozen || store.incarnation != incarnation || store.wasFrozen(began) ||
			store.writeDelay > w.options.Deployment.DiskDelay
		if hampered || w.isSpare(store) || w.partitioned(store.machine) || !w.othersStand(store, began-bound) {
			return
		}
		if behind > 0 {
			w.dangers["stores that came back behind"]++
			w.dangers["versions they were behind"] += int(behind)
		}
		if held := newestOf(store); held < wanted {
			w.fail("%s holds version %d %s after its start, %d had been acknowledged", store.name, held, bound, wanted)
		}
	})
}

// othersStand says that without this store a majority has been up and connected since a time.
func (w *World) othersStand(store *Node, since time.Duration) bool {
	voters, standing := len(store.settings.Voters), 0
	for _, other := range w.alive(message.RoleConfigStore) {
		_, cut := w.cutSince[other.machine]
		if other != store && other.born <= since && !other.wasFrozen(since) && !cut && votes(other) {
			standing++
		}
	}
	return standing*2 > voters
}

// isSpare says that a store holds no voter while every voter stands elsewhere: it has
// nothing to catch up with.
func (w *World) isSpare(store *Node) bool {
	if votes(store) {
		return false
	}
	standing := int64(0)
	for _, other := range w.alive(message.RoleConfigStore) {
		if votes(other) {
			standing++
		}
	}
	return standing > 0 && standing == w.options.Deployment.VoterCount
}

func votes(store *Node) bool {
	machine, isStore := store.control.(*configstore.Machine)
	return isStore && machine.Voting()
}

// bounded checks the sizes at the end of a run.
func (w *World) bounded() {
	if w.diskMost > diskMost {
		w.fail("%d bytes on one store's disk, %d are the most", w.diskMost, diskMost)
	}
	stores := w.nodesOf(message.RoleConfigStore)
	if len(stores) == 0 {
		return
	}
	// All stores have the same limits.
	if limit := stores[0].settings.Limits.Frame; int64(w.frameMax) > limit {
		w.fail("a frame of %d bytes, the cap is %d", w.frameMax, limit)
	}
}

// hundredsSteps returns the step of the hundreds scenario, by the name that plans use.
func hundredsSteps() map[string]fault {
	return map[string]fault{
		"hundreds": func(w *World, step Step) { w.changeInTurn(changesWanted, w.now+step.For) },
	}
}
