package frontend

import (
	"beaconvane/internal/backend"
	"beaconvane/internal/message"
	"beaconvane/internal/proxy"
)

// Announce takes the announcement of an upstream here. It returns false when a higher incarnation
// of that upstream is known.
func (d *Dispatcher) Announce(announcement backend.Announcement) bool {
	d.heardAnnouncement.Store(true)
	return d.register(announcement)
}

// register lets an announcement take effect here, and tells the control state.
func (d *Dispatcher) register(announcement backend.Announcement) bool {
	accepted, ended, decisions := d.serving.Announce(d.environment.Now(), announcement)
	if !accepted {
		return false
	}
	for _, former := range ended {
		d.environment.Notify(proxy.SignedOff{Service: former.Service, Instance: former.Instance, Incarnation: former.Incarnation})
	}
	// What is registered now, which a late announcement has not altered.
	if registered, known := d.serving.Lookup(announcement.Service, announcement.Instance); known {
		d.environment.Notify(proxy.Announced{Registration: registered.Registration()})
	}
	d.execute(decisions)
	return true
}

// mayAdoptUpstreams reports whether this proxy has started so recently that its upstreams have
// not announced themselves to it yet.
func (d *Dispatcher) mayAdoptUpstreams() bool {
	return d.settings.ProofByTarget() &&
		d.environment.Now()-d.startedAt < d.settings.HeartbeatTimeout() &&
		!d.heardAnnouncement.Load()
}

// adoptUpstreams takes over what the roster says of the upstreams of an earlier run of this
// proxy, until any upstream has announced itself. That is safe where upstreams prove themselves:
// a request names its upstream, so whoever stands at the address of one that has gone refuses it.
func (d *Dispatcher) adoptUpstreams(snapshot *proxy.Snapshot) {
	for _, registrations := range snapshot.Upstreams {
		for _, registration := range registrations {
			if d.isOrphan(registration) {
				d.register(announcementOf(registration))
			}
		}
	}
}

// isOrphan reports whether a registration was made at an earlier run of this proxy, and not since.
func (d *Dispatcher) isOrphan(registration message.Registration) bool {
	return registration.ServingProxy == d.nodeName &&
		registration.ServingProxyStartTime < d.birth &&
		!d.serving.HasInstance(registration.Instance)
}

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

// RetireInstance ends whatever an instance has registered here. Its name never comes back.
func (d *Dispatcher) RetireInstance(instance string) {
	former, found, decisions := d.serving.RetireInstance(d.environment.Now(), instance)
	if found {
		d.environment.Notify(proxy.SignedOff{Service: former.Service, Instance: instance, Incarnation: former.Incarnation})
	}
	d.execute(decisions)
}

// Deregister ends an upstream's registration. It returns false when it is not registered here;
// the control state is told all the same.
func (d *Dispatcher) Deregister(service, instance string, incarnation int64) bool {
	found, decisions := d.serving.Deregister(service, instance, incarnation)
	d.environment.Notify(proxy.SignedOff{Service: service, Instance: instance, Incarnation: incarnation})
	d.execute(decisions)
	return found
}
