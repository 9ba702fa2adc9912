package registry

// This file is the holder's part for a zone: what it makes of heartbeats, which upstreams it
// expires, and how a change is written and told.

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/distribution"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

type heartbeatSeen struct {
	heartbeat message.Heartbeat
	at        time.Duration
	from      string
}

type ended struct {
	incarnation int64
	at          time.Duration
}

type proxySeen struct {
	batch message.HeartbeatBatch
	at    time.Duration
}

// sweep is what a holder does in a steady rhythm.
func (m *Machine) sweep(s *statemachine.Env) {
	for _, key := range slices.Sorted(maps.Keys(m.seen)) {
		seen := m.seen[key]
		if s.Now-seen.at > m.settings.HeartbeatTimeout()*4 {
			delete(m.seen, key)
			continue
		}
		m.consider(s, key)
	}
	for _, key := range slices.Sorted(maps.Keys(m.ended)) {
		if s.Now-m.ended[key].at > m.settings.HeartbeatTimeout()*10 {
			delete(m.ended, key)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.proxies)) {
		if s.Now-m.proxies[name].at > m.settings.ForgetAfter() {
			delete(m.proxies, name)
		}
	}
	for _, tag := range m.settings.Zones {
		if !m.keeps(s, tag) {
			continue
		}
		for _, registration := range m.slices[tag].List() {
			key := registration.Key()
			if gone, signed := m.ended[key]; signed && registration.Incarnation <= gone.incarnation {
				m.change(s, tag, registration, true, "signed off")
				continue
			}
			seen, beaten := m.seen[key]
			silent := s.Now - m.takenAt[tag]
			if beaten {
				silent = min(silent, s.Now-seen.at)
			}
			switch {
			case silent > m.settings.HeartbeatTimeout():
				m.change(s, tag, registration, true, "heartbeats stopped")
			case silent > m.settings.HeartbeatTimeout()/2 || registration.State == message.StateCreated:
				m.requestProbe(s, tag, registration)
			}
		}
	}
}

func (m *Machine) requestProbe(s *statemachine.Env, tag string, registration message.Registration) {
	if at, asked := m.probedAt[registration.Key()]; asked && s.Now-at < m.settings.HeartbeatEvery()*2 {
		return
	}
	m.probedAt[registration.Key()] = s.Now
	s.Send(registration.ServingProxyAddress, message.ProbeRequest{Tag: tag, Epoch: m.slices[tag].Mark.Epoch, Service: registration.Service,
		Instance: registration.Instance, Incarnation: registration.Incarnation})
}

// consider holds the newest heartbeat of an upstream against the roster.
func (m *Machine) consider(s *statemachine.Env, key string) {
	seen := m.seen[key]
	response := seen.heartbeat.Registration
	if gone, signed := m.ended[key]; signed && response.Incarnation <= gone.incarnation {
		return
	}
	if s.Now-seen.at > m.settings.HeartbeatTimeout() {
		return
	}
	for _, tag := range m.settings.Zones {
		if !m.keeps(s, tag) {
			continue
		}
		held, registered := m.slices[tag].Registrations[key]
		if registered && tag != response.Zone && response.Incarnation >= held.Incarnation {
			m.change(s, tag, held, true, "moved to "+response.Zone)
		}
		for _, other := range m.slices[tag].List() {
			if other.Address != response.Address || other.Key() == key {
				continue
			}
			if otherSeen, beaten := m.seen[other.Key()]; !beaten || otherSeen.at < seen.at {
				m.change(s, tag, other, true, "address taken by "+key)
			}
		}
		if tag != response.Zone {
			continue
		}
		if registered && held.Incarnation > response.Incarnation {
			continue
		}
		fresh := !registered || held.Incarnation < response.Incarnation
		wanted := response
		switch {
		case !fresh && held.State == message.StateLeaving:
			wanted.State = message.StateLeaving
		case response.State == message.StateLeaving:
		case seen.heartbeat.ProbeResult != 1 && (fresh || held.State == message.StateCreated):
			wanted.State = message.StateCreated
		}
		if !registered || held != wanted {
			m.change(s, tag, wanted, false, causeOf(registered, held, wanted))
			if wanted.State == message.StateCreated {
				m.requestProbe(s, tag, wanted)
			}
		}
	}
}

func causeOf(registered bool, held, wanted message.Registration) string {
	switch {
	case !registered:
		return "created"
	case held.Incarnation != wanted.Incarnation:
		return "new incarnation"
	case held.State != wanted.State && wanted.State == message.StateLeaving:
		return "drain"
	case held.State != wanted.State:
		return wanted.State
	case held.ServingProxy != wanted.ServingProxy:
		return "new home"
	}
	return "changed"
}

// change syncs first, then takes effect, then is broadcast.
func (m *Machine) change(s *statemachine.Env, tag string, registration message.Registration, gone bool, cause string) {
	key := registration.Key()
	if m.writing[key] || m.Failure() != nil {
		return
	}
	epoch := m.leases.Epoch(tag)
	m.writing[key] = true
	record := message.RosterChange{Position: message.Position{Topic: distribution.SliceTopic(tag), Epoch: epoch}, Registration: registration, Removed: gone, Cause: cause}
	m.Persist(s, record, func(s *statemachine.Env, failure error) {
		delete(m.writing, key)
		if failure != nil || !m.keeps(s, tag) || m.leases.Epoch(tag) != epoch {
			return
		}
		change := m.slices[tag].Append(epoch, registration, gone, cause)
		s.Event("roster-change", 0, epoch, tag+" "+key+": "+cause)
		for _, peer := range m.Peers() {
			s.Send(peer.Address, change)
		}
		m.distribution.SliceChanged(s, distribution.SliceTopic(tag))
	})
}

func (m *Machine) handleHeartbeats(s *statemachine.Env, from string, batch message.HeartbeatBatch) {
	if last, known := m.proxies[batch.Proxy]; known && batch.StartTime < last.batch.StartTime {
		return
	}
	m.proxies[batch.Proxy] = proxySeen{batch, s.Now}
	s.Send(from, message.HeartbeatResponse{Registry: m.membership.Self().Name, Sealed: m.usage.sealedBelow(),
		Newer: m.distribution.NewerThan(batch.Positions)})
	for _, end := range batch.Deregistrations {
		key := end.Service + "/" + end.Instance
		if known, signed := m.ended[key]; !signed || known.incarnation < end.Incarnation {
			m.ended[key] = ended{end.Incarnation, s.Now}
		}
	}
	for _, heartbeat := range batch.Heartbeats {
		key, at := heartbeat.Registration.Key(), s.Now-time.Duration(heartbeat.Age)
		last, known := m.seen[key]
		if known && (heartbeat.Registration.Incarnation < last.heartbeat.Registration.Incarnation ||
			heartbeat.Registration.Incarnation == last.heartbeat.Registration.Incarnation && at < last.at && last.from != batch.Proxy) {
			continue
		}
		m.seen[key] = heartbeatSeen{heartbeat, at, batch.Proxy}
		m.consider(s, key)
	}
	for _, mark := range batch.Positions {
		if slice, known := m.slices[tagOf(mark.Topic)]; known && !distribution.IsConfiguration(mark.Topic) && slice.Mark.Before(mark) {
			m.pull(s, tagOf(mark.Topic), "a proxy is ahead")
		}
	}
}
