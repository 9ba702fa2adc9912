package frontend

import (
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/message"
	"beaconvane/internal/proxy"
)

// Announce processes the announcement of an upstream of this serving proxy. It returns false if a
// higher incarnation of that upstream is known.
func (d *Dispatcher) Announce(announcement backend.Announcement) bool {
	d.announcementReceived.Store(true)
	return d.register(announcement, 0)
}

// register applies an announcement to the backend and notifies the control state of the result. adoptedUntil
// is 0 for an announcement of the upstream itself.
func (d *Dispatcher) register(announcement backend.Announcement, adoptedUntil time.Duration) bool {
	accepted, ended, decisions := d.serving.Register(d.environment.Now(), announcement, adoptedUntil)
	if !accepted {
		return false
	}
	for _, previous := range ended {
		d.environment.Notify(proxy.SignedOff{Service: previous.Service, Instance: previous.Instance, Incarnation: previous.Incarnation})
	}
	// The notice carries the stored registration, since a late announcement may have had no effect.
	if registered, known := d.serving.Lookup(announcement.Service, announcement.Instance); known {
		d.environment.Notify(proxy.Announced{Registration: registered.Registration()})
	}
	d.execute(decisions)
	return true
}

// mayAdoptUpstreams reports whether this proxy started less than AdoptionTimeout ago and no upstream has
// announced itself since, and upstreams verify their requests' target themselves.
func (d *Dispatcher) mayAdoptUpstreams() bool {
	return d.settings.ProofByTarget() &&
		d.environment.Now() < d.adoptionEndsAt() &&
		!d.announcementReceived.Load()
}

// adoptionEndsAt returns the time from which only the upstream's own announcement counts.
func (d *Dispatcher) adoptionEndsAt() time.Duration {
	return d.startedAt + d.settings.AdoptionTimeout()
}

// adoptUpstreams registers the upstreams that the roster lists for an earlier run of this proxy. It
// is safe only where the proof is by target: each request names its upstream, so another process at
// the address of an upstream that has ended refuses the request. An adopted registration ends early: the
// earlier run may have acknowledged that the upstream leaves, and may have been killed, together with the
// registries, before the roster had it.
func (d *Dispatcher) adoptUpstreams(snapshot *proxy.Snapshot) {
	for _, registrations := range snapshot.Upstreams {
		for _, registration := range registrations {
			if d.isOrphan(registration) {
				d.register(announcementOf(registration), d.adoptionEndsAt())
			}
		}
	}
}

// isOrphan reports whether a registration was made with an earlier run of this proxy and its
// instance is not registered with the present one.
func (d *Dispatcher) isOrphan(registration message.Registration) bool {
	return registration.ServingProxy == d.nodeName &&
		registration.ServingProxyStartTime < d.processStartTime &&
		!d.serving.HasInstance(registration.Instance)
}

// announcementOf returns the announcement that corresponds to a registration.
func announcementOf(registration message.Registration) backend.Announcement {
	return backend.Announcement{
		Service:     registration.Service,
		Instance:    registration.Instance,
		Incarnation: registration.Incarnation,
		Address:     registration.Address,
		Zone:        registration.Zone,
		Slots:       registration.Slots,
		Draining:    registration.State == message.StateDraining,
	}
}

// RetireInstance ends an instance's registration for good. Instance names are not reused. It returns the
// deregistration for the registries, of the registration here or of that in the roster: the upstream may
// have been registered at another proxy, or at this one before a restart. It returns false if there is none.
func (d *Dispatcher) RetireInstance(instance string) (ended message.Deregistration, found bool) {
	previous, registered, decisions := d.serving.RetireInstance(d.environment.Now(), instance)
	d.execute(decisions)
	ended, found = message.Deregistration{Service: previous.Service, Instance: instance, Incarnation: previous.Incarnation}, registered
	if !registered {
		ended, found = d.frontend.registeredInstance(instance)
	}
	if found {
		d.environment.Notify(proxy.SignedOff(ended))
	}
	return ended, found
}

// registeredInstance returns the deregistration of an instance that the roster lists.
func (f *Frontend) registeredInstance(instance string) (ended message.Deregistration, found bool) {
	snapshot := f.currentSnapshot()
	if snapshot == nil {
		return message.Deregistration{}, false
	}
	for _, registrations := range snapshot.Upstreams {
		for _, registration := range registrations {
			if registration.Instance == instance {
				ended.Service, ended.Instance, ended.Incarnation = registration.Service, instance, registration.Incarnation
				return ended, true
			}
		}
	}
	return message.Deregistration{}, false
}

// KnowsRoster reports whether this proxy has received the roster since it started.
func (f *Frontend) KnowsRoster() bool { return f.synced() }

// Deregister ends an upstream's registration. It returns false if the upstream is not registered
// with this proxy; the control state is notified in either case.
func (d *Dispatcher) Deregister(service, instance string, incarnation int64) bool {
	found, decisions := d.serving.Deregister(service, instance, incarnation)
	d.environment.Notify(proxy.SignedOff{Service: service, Instance: instance, Incarnation: incarnation})
	d.execute(decisions)
	return found
}
