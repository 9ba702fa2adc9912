package registry

import (
	"beaconvane/internal/distribution"
	"beaconvane/internal/errcode"
	"beaconvane/internal/statemachine"
)

// memberStateNames are the names of the member states, indexed by message.Member.State.
var memberStateNames = [...]string{"alive", "suspect", "dead", "left"}

// status describes this registry, and the members, relays and leases as it sees them.
func (m *Machine) status(env *statemachine.Env) OperatorResponse {
	parent, path, moves := m.distribution.Parent()
	return answerJSON(errcode.OK, statusAnswer{
		Node:           m.settings.Node,
		Voter:          m.quorum.Voter,
		Voting:         m.quorum.Voting(),
		Removed:        m.quorum.Removed,
		Members:        m.memberAnswers(),
		Relays:         m.relayAnswers(env),
		Leases:         m.leaseAnswers(env),
		Slices:         m.sliceAnswers(env),
		Configurations: m.configurationAnswers(env),
		Updates:        updatesAnswer{Parent: parent, Path: path, ParentChanges: moves},
		Usage:          usageStatusAnswer{Reported: m.usage.sealed.reported},
	})
}

// memberAnswers lists all known members, this registry first.
func (m *Machine) memberAnswers() []memberAnswer {
	members := []memberAnswer{}
	for _, member := range m.membership.All() {
		members = append(members, memberAnswer{
			Name:        member.Name,
			Role:        member.Role,
			Voter:       member.Voter,
			Zone:        member.Zone,
			Address:     member.Address,
			State:       memberStateNames[member.State&3],
			Incarnation: member.Incarnation,
		})
	}
	return members
}

// leaseAnswers describes each lease by its name.
func (m *Machine) leaseAnswers(env *statemachine.Env) map[string]leaseAnswer {
	leases := map[string]leaseAnswer{}
	for _, name := range leaseNames(m.settings) {
		leases[name] = leaseAnswer{
			Epoch:    m.leases.Epoch(name),
			Holder:   m.leases.Holder(name),
			HeldHere: m.leases.IsHolder(name, env.Now),
		}
	}
	return leases
}

// sliceAnswers describes the copy of each zone.
func (m *Machine) sliceAnswers(env *statemachine.Env) map[string]sliceAnswer {
	answers := map[string]sliceAnswer{}
	for _, zone := range m.settings.Zones {
		replica := m.zones[zone]
		position := replica.slice.Position
		age, known := m.distribution.Age(distribution.SliceTopic(zone), env.Now)
		answers[zone] = sliceAnswer{
			Epoch:    position.Epoch,
			Seq:      position.Seq,
			Count:    position.Count,
			AgeMS:    age.Milliseconds(),
			Known:    known,
			Complete: replica.complete,
		}
	}
	return answers
}

// configurationAnswers describes the copy of each configuration that the settings name.
func (m *Machine) configurationAnswers(env *statemachine.Env) map[string]configurationAnswer {
	answers := map[string]configurationAnswer{}
	for _, configName := range m.settings.ConfigNames {
		version, body, known := m.distribution.Configuration(configName)
		age, _ := m.distribution.Age(distribution.ConfigurationTopic(configName), env.Now)
		answers[configName] = configurationAnswer{Version: version, Bytes: len(body), Known: known, AgeMS: age.Milliseconds()}
	}
	return answers
}

// relayAnswers describes the position of each proxy in the distribution tree.
func (m *Machine) relayAnswers(env *statemachine.Env) map[string]relayAnswer {
	relays := map[string]relayAnswer{}
	for name, report := range m.proxies {
		relays[name] = relayAnswer{
			Path:           report.batch.RelayPath,
			Ready:          report.batch.Ready,
			HeartbeatAgeMS: (env.Now - report.receivedAt).Milliseconds(),
		}
	}
	return relays
}

// roster lists the registrations by zone. Its code is BusyStale if the slice of any zone is not
// current here.
func (m *Machine) roster(env *statemachine.Env) OperatorResponse {
	answer := rosterAnswer{Slices: map[string][]registrationAnswer{}, AgesMS: map[string]int64{}}
	code := errcode.OK
	for _, zone := range m.settings.Zones {
		topic := distribution.SliceTopic(zone)
		if freshness := m.freshnessCode(env, topic); freshness != errcode.OK {
			code = freshness
		}
		if age, known := m.distribution.Age(topic, env.Now); known {
			answer.AgesMS[zone] = age.Milliseconds()
		}
		answer.Slices[zone] = m.registrationAnswers(zone)
	}
	return answerJSON(code, answer)
}

// registrationAnswers lists the registrations of a zone.
func (m *Machine) registrationAnswers(zone string) []registrationAnswer {
	answers := []registrationAnswer{}
	for _, registration := range m.zones[zone].slice.List() {
		answers = append(answers, registrationAnswer{
			Service:      registration.Service,
			Instance:     registration.Instance,
			Incarnation:  registration.Incarnation,
			Address:      registration.Address,
			Slots:        registration.Slots,
			State:        registration.State,
			ServingProxy: registration.ServingProxy,
		})
	}
	return answers
}
