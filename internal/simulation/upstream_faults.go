package simulation

import (
	"fmt"
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/stubserver"
)

// runUpstreamStep executes a fault of an upstream. It fails the run if the target doesn't exist.
func (w *World) runUpstreamStep(step Step) {
	u := w.upstreams[step.Target]
	if u == nil {
		w.fail("no upstream is the target of step %s", step)
		return
	}
	switch step.Do {
	case "upstream-kill":
		u.kill()
		w.after(step.For, func() { u.start(500 * time.Millisecond) })
	case "upstream-replace":
		u.startDraining()
		w.after(step.For, func() {
			u.deregister()
			u.kill()
			w.after(500*time.Millisecond, func() { u.start(time.Second) })
		})
	case "upstream-leave":
		u.startDraining()
		u.removed = true
		w.after(step.For, func() {
			u.deregister()
			u.kill()
		})
	case "upstream-handover":
		// The process crashes, and its address passes at once to a new instance of another service.
		u.kill()
		u.removed = true
		w.after(step.For/50, func() { w.reassignAddress(u) })
	case "upstream-vanish":
		// The machine vanishes without closing connections, and its address passes to another service.
		u.vanish()
		u.removed = true
		w.after(w.options.Deployment.Vanish()+step.For, func() { w.reassignAddress(u) })
	case "service-kill":
		// Every upstream of the target's service crashes and restarts.
		for _, key := range w.upstreamOrder {
			if other := w.upstreams[key]; other.announcement.Service == u.announcement.Service {
				other.kill()
				w.after(step.For, func() { other.start(500 * time.Millisecond) })
			}
		}
	case "upstream-leave-elsewhere":
		// The drain is announced only to another proxy than the serving one.
		u.servingProxies = append(append([]*Node{}, u.servingProxies[1:]...), u.servingProxies[0])
		u.startDraining()
		u.removed = true
		w.after(max(step.For, 4*time.Second), func() {
			u.deregister()
			u.kill()
		})
	case "upstream-faults":
		u.faults = stubserver.Faults{Lose: 0.1, Garbage: 0.05, Truncate: 0.05, Excess: 0.02, Slow: 0.05}
		w.after(step.For, func() { u.faults = stubserver.Faults{} })
	}
}

// reassignAddress starts a new instance of another service at the address of a removed upstream.
func (w *World) reassignAddress(old *Upstream) {
	services := w.options.Deployment.Services
	for _, service := range services {
		if service.Name == old.announcement.Service {
			continue
		}
		key := fmt.Sprintf("%s/%s-heir-%d", service.Name, service.Name, len(w.upstreamOrder))
		replacement := &Upstream{
			world:                w,
			key:                  key,
			vanishedIncarnations: map[int]bool{},
			workTime:             service.Work,
			slots:                int(service.Slots),
			serviceSpec:          service,
			servingProxies:       old.servingProxies,
			announcement: backend.Announcement{
				Service:  service.Name,
				Instance: key[len(service.Name)+1:],
				Address:  old.announcement.Address,
				Zone:     old.announcement.Zone,
				Slots:    service.Slots,
			},
		}
		w.upstreams[key] = replacement
		w.upstreamOrder = append(w.upstreamOrder, key)
		// It accepts connections at once, and announces itself only up to two seconds later, to another proxy.
		replacement.servingProxies = append(append([]*Node{}, old.servingProxies[1:]...), old.servingProxies[0])
		replacement.silentUntil = w.now + time.Duration(w.random.Int64N(int64(2*time.Second)))
		replacement.start(0)
		return
	}
}
