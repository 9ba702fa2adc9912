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

// The same-version scenario has two operators write different contents under one version, while answers
// are lost, writes are retried at other registries, and accepted writes are repeated.
const (
	conflictingWritesInterval = 600 * time.Millisecond
	concurrentWriteCount      = 8
	concurrentWritesInterval  = 4 * time.Second
	resendInterval            = 350 * time.Millisecond
	sameVersionDuration       = 24 * time.Second
	lostOperatorAnswerShare   = 0.7
)

// sameVersionPlan draws the plan of the same-version scenario.
func sameVersionPlan(_ workload.Deployment, random *rand.Rand) []Step {
	start := between(random, 9, 10)
	plan := []Step{
		{At: start, Do: "rival-orders", For: sameVersionDuration},
		{At: start + time.Second, Do: "orders-at-once", For: sameVersionDuration},
		{At: start + 2*time.Second, Do: "resend-orders", For: sameVersionDuration},
		{At: start, Do: "lose-answers", For: sameVersionDuration},
	}
	for _, extraFault := range []string{"kill-holder", "freeze-holder", "cut-core"} {
		if random.IntN(2) == 0 {
			target := settings.ConfigLogLease
			if extraFault == "cut-core" {
				target = randomVoter(random)
			}
			plan = append(plan, Step{At: start + between(random, 2, 18), Do: extraFault, Target: target, For: between(random, 0.5, 5)})
		}
	}
	return plan
}

// sameVersionSteps returns the steps of the same-version scenario, by the name that plans use.
func sameVersionSteps() map[string]fault {
	return map[string]fault{
		"rival-orders": func(w *World, step Step) {
			w.repeat(conflictingWritesInterval, w.now+step.For, w.sendConflictingWrites)
		},
		"orders-at-once": func(w *World, step Step) { w.repeat(concurrentWritesInterval, w.now+step.For, w.sendConcurrentWrites) },
		"resend-orders":  func(w *World, step Step) { w.repeat(resendInterval, w.now+step.For, w.resendWrite) },
		"lose-answers": func(w *World, step Step) {
			w.answersLostUntil, w.lostAnswerShare = w.now+step.For, lostOperatorAnswerShare
		},
	}
}

// repeat calls a function periodically until a simulated time.
func (w *World) repeat(every, until time.Duration, do func()) {
	if w.now > until {
		return
	}
	do()
	w.after(every, func() { w.repeat(every, until, do) })
}

// sendConflictingWrites sends two contents under one version at the same time, to two registries if
// there are as many.
func (w *World) sendConflictingWrites() {
	registries := w.runningNodes(message.RoleRegistry)
	if len(registries) == 0 {
		return
	}
	w.lastVersion += 1 + int64(w.random.IntN(3))
	tenants := w.options.Deployment.Tenants()[:w.tenantCount]
	confirmed, version, digests := 0, w.lastVersion, [2]string{}
	for index := range digests {
		body := w.options.Deployment.Configuration(tenants, int(version)%40+index*50)
		digests[index] = checker.Digest(body)
		write := w.newConfigWrite(version, tenants, body, func(code errcode.Code) {
			if code != errcode.OK || w.acceptedDigests[version] != digests[index] {
				// A write of an older version may be acknowledged too; it has no effect.
				return
			}
			if confirmed++; confirmed == 2 {
				w.fail("both conflicting writes of version %d were acknowledged", version)
			}
		})
		write.contested = true
		w.sendWrite(write, registries[(w.random.IntN(len(registries))+index)%len(registries)])
	}
	w.dangers["pairs of contents under one version"]++
}

// sendConcurrentWrites sends several new versions at the same time.
func (w *World) sendConcurrentWrites() {
	registries := w.runningNodes(message.RoleRegistry)
	tenants := w.options.Deployment.Tenants()[:w.tenantCount]
	for index := range concurrentWriteCount {
		w.lastVersion++
		write := w.newConfigWrite(w.lastVersion, tenants, w.options.Deployment.Configuration(tenants, 100+int(w.lastVersion)), nil)
		if len(registries) == 0 {
			w.retryWrite(write)
			continue
		}
		w.sendWrite(write, registries[index%len(registries)])
	}
	w.dangers["eight orders at one time"]++
}

// resendWrite repeats an accepted write: the oldest with a probability of a third, else a random one.
func (w *World) resendWrite() {
	accepted := []*configWrite{}
	for _, write := range w.configWrites {
		if w.acceptedDigests[write.version] == write.digest {
			accepted = append(accepted, write)
		}
	}
	registries := w.runningNodes(message.RoleRegistry)
	if len(accepted) == 0 || len(registries) == 0 {
		return
	}
	chosen := accepted[0]
	if w.random.IntN(3) > 0 {
		chosen = accepted[w.random.IntN(len(accepted))]
	}
	repeated := w.newConfigWrite(chosen.version, chosen.tenants, chosen.body, func(code errcode.Code) {
		if code != errcode.OK {
			w.fail("the repeated write of accepted version %d was answered %s", chosen.version, code)
		}
	})
	repeated.attempts = 1
	w.sendWrite(repeated, registries[w.random.IntN(len(registries))])
}

// checkWritesFinished checks at the end of a run that every write got a final answer.
func (w *World) checkWritesFinished() {
	for _, write := range w.configWrites {
		switch {
		case !write.finished:
			w.fail("write of version %d (%s) got no final answer in %d attempts", write.version, write.digest, write.attempts)
		case write.contested && write.code == errcode.OK && w.acceptedDigests[write.version] == write.digest:
			w.dangers["rival orders that were taken"]++
		case write.contested && write.code == errcode.ConfigurationConflict:
			w.dangers["rival orders that were refused"]++
		}
	}
}
