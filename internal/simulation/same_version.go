package simulation

import (
	"math/rand/v2"
	"time"

	"beaconvane/internal/checker"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/workload"
)

// The same-version scenario has two operators write different contents under one version, while
// answers are lost, orders are sent again to other nodes, and old orders return.
const (
	rivalEvery    = 600 * time.Millisecond
	ordersAtOnce  = 8
	atOnceEvery   = 4 * time.Second
	resendEvery   = 350 * time.Millisecond
	sameVersionOn = 24 * time.Second
	lostShare     = 0.7
)

func sameVersionPlan(_ workload.Deployment, random *rand.Rand) []Step {
	at := span(random, 9, 10)
	plan := []Step{
		{At: at, Do: "rival-orders", For: sameVersionOn},
		{At: at + time.Second, Do: "orders-at-once", For: sameVersionOn},
		{At: at + 2*time.Second, Do: "resend-orders", For: sameVersionOn},
		{At: at, Do: "lose-answers", For: sameVersionOn},
	}
	for _, trouble := range []string{"kill-holder", "freeze-holder", "cut-core"} {
		if random.IntN(2) == 0 {
			target := settings.ConfigLogLease
			if trouble == "cut-core" {
				target = voter(random)
			}
			plan = append(plan, Step{At: at + span(random, 2, 18), Do: trouble, Target: target, For: span(random, 0.5, 5)})
		}
	}
	return plan
}

// sameVersionSteps returns the steps of the same-version scenario, by the name that plans use.
func sameVersionSteps() map[string]fault {
	return map[string]fault{
		"rival-orders":   func(w *World, step Step) { w.repeat(rivalEvery, w.now+step.For, w.rivalOrders) },
		"orders-at-once": func(w *World, step Step) { w.repeat(atOnceEvery, w.now+step.For, w.ordersTogether) },
		"resend-orders":  func(w *World, step Step) { w.repeat(resendEvery, w.now+step.For, w.resendOrder) },
		"lose-answers":   func(w *World, step Step) { w.answersLost, w.lostShare = w.now+step.For, lostShare },
	}
}

// repeat does something in a steady rhythm.
func (w *World) repeat(every, until time.Duration, do func()) {
	if w.now > until {
		return
	}
	do()
	w.after(every, func() { w.repeat(every, until, do) })
}

// rivalOrders sends two contents under one version at once to two registries.
func (w *World) rivalOrders() {
	registries := w.alive(message.RoleRegistry)
	if len(registries) == 0 {
		return
	}
	w.versions += 1 + int64(w.random.IntN(3))
	tenants := w.options.Deployment.Tenants()[:w.tenants]
	confirmed, version, digests := 0, w.versions, [2]string{}
	for rival := range digests {
		body := w.options.Deployment.Configuration(tenants, int(version)%40+rival*50)
		digests[rival] = checker.Digest(body)
		o := w.newOrder(version, tenants, body, func(code errcode.Code) {
			if code != errcode.OK || w.taken[version] != digests[rival] {
				// An overtaken version is acknowledged too: it alters nothing.
				return
			}
			if confirmed++; confirmed == 2 {
				w.fail("two operators were both told that theirs was taken under one version")
			}
		})
		o.rivalled = true
		w.sendOrder(o, registries[(w.random.IntN(len(registries))+rival)%len(registries)])
	}
	w.dangers["pairs of contents under one version"]++
}

// ordersTogether sends several new versions at one time.
func (w *World) ordersTogether() {
	registries := w.alive(message.RoleRegistry)
	tenants := w.options.Deployment.Tenants()[:w.tenants]
	for index := range ordersAtOnce {
		w.versions++
		o := w.newOrder(w.versions, tenants, w.options.Deployment.Configuration(tenants, 100+int(w.versions)), nil)
		if len(registries) == 0 {
			w.persist(o)
			continue
		}
		w.sendOrder(o, registries[index%len(registries)])
	}
	w.dangers["eight orders at one time"]++
}

// resendOrder sends an accepted order again, the oldest every third time, or any.
func (w *World) resendOrder() {
	known := []*order{}
	for _, o := range w.orders {
		if w.taken[o.version] == o.digest {
			known = append(known, o)
		}
	}
	registries := w.alive(message.RoleRegistry)
	if len(known) == 0 || len(registries) == 0 {
		return
	}
	chosen := known[0]
	if w.random.IntN(3) > 0 {
		chosen = known[w.random.IntN(len(known))]
	}
	again := w.newOrder(chosen.version, chosen.tenants, chosen.body, func(code errcode.Code) {
		if code != errcode.OK {
			w.fail("order %d came again and was answered %s", chosen.version, code)
		}
	})
	again.tries = 1
	w.sendOrder(again, registries[w.random.IntN(len(registries))])
}

// settled checks that at the end every operator was told yes or no.
func (w *World) settled() {
	for _, o := range w.orders {
		switch {
		case !o.ended:
			w.fail("order %d (%s) was never answered, sent %d times", o.version, o.digest, o.tries)
		case o.rivalled && o.code == errcode.OK && w.taken[o.version] == o.digest:
			w.dangers["rival orders that were taken"]++
		case o.rivalled && o.code == errcode.ConfigurationConflict:
			w.dangers["rival orders that were refused"]++
		}
	}
}
