package registry

import (
	"beaconvane/internal/distribution"
	"beaconvane/internal/errcode"
	"beaconvane/internal/statemachine"
)

// memberStateNames are the names of a member's states, by their numbers in message.Member.
var memberStateNames = [...]string{"alive", "suspect", "dead", "left"}

// status gathers all that this registry knows of itself and of the others.
func (m *Machine) status(env *statemachine.Env) OperatorResponse {
	parent, path, moves := m.distribution.Parent()
	return answerJSON(errcode.OK, statusAnswer{
		Node:           m.settings.Node,
		Voter:          m.quorum.Voter,
		Voting:         m.quorum.Voting(),
		ShutOut:        m.quorum.Removed,
		Members:        m.memberAnswers(),
		Relays:         m.relayAnswers(env),
		Leases:         m.leaseAnswers(env),
		Slices:         m.sliceAnswers(env),
		Configurations: m.configurationAnswers(env),
		Updates:        updatesAnswer{From: parent, Path: path, Moves: moves},
		Usage:          usageStatusAnswer{Reported: m.usage.sealed.reported},
	})
}

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

func (m *Machine) leaseAnswers(env *statemachine.Env) map[string]leaseAnswer {
	leases := map[string]leaseAnswer{}
	for _, name := range leaseNames(m.settings) {
		leases[name] = leaseAnswer{
			Epoch:  m.leases.Epoch(name),
			Holder: m.leases.Holder(name),
			Here:   m.leases.IsHolder(name, env.Now),
		}
	}
	return leases
}

func (m *Machine) sliceAnswers(env *statemachine.Env) map[string]sliceAnswer {
	answers := map[string]sliceAnswer{}
	for _, zone := range m.settings.Zones {
		replica := m.zones[zone]
		mark := replica.slice.Position
		age, known := m.distribution.Age(distribution.SliceTopic(zone), env.Now)
		answers[zone] = sliceAnswer{
			Epoch: mark.Epoch,
			Seq:   mark.Seq,
			Count: mark.Count,
			AgeMS: age.Milliseconds(),
			Known: known,
			Whole: replica.complete,
		}
	}
	return answers
}

func (m *Machine) configurationAnswers(env *statemachine.Env) map[string]configurationAnswer {
	answers := map[string]configurationAnswer{}
	for _, configName := range m.settings.ConfigNames {
		version, body, known := m.distribution.Configuration(configName)
		age, _ := m.distribution.Age(distribution.ConfigurationTopic(configName), env.Now)
		answers[configName] = configurationAnswer{Version: version, Bytes: len(body), Known: known, AgeMS: age.Milliseconds()}
	}
	return answers
}

func (m *Machine) relayAnswers(env *statemachine.Env) map[string]relayAnswer {
	relays := map[string]relayAnswer{}
	for name, report := range m.proxies {
		relays[name] = relayAnswer{
			Path:    report.batch.RelayPath,
			Ready:   report.batch.Ready,
			HeardMS: (env.Now - report.at).Milliseconds(),
		}
	}
	return relays
}

// roster lists the registrations by zone. The code says so where some slice isn't current here.
func (m *Machine) roster(env *statemachine.Env) OperatorResponse {
	answer := rosterAnswer{Slices: map[string][]registrationAnswer{}, AgesMS: map[string]int64{}}
	code := errcode.OK
	for _, zone := range m.settings.Zones {
		topic := distribution.SliceTopic(zone)
		if stale := m.freshness(env, topic); stale != errcode.OK {
			code = stale
		}
		if age, known := m.distribution.Age(topic, env.Now); known {
			answer.AgesMS[zone] = age.Milliseconds()
		}
		answer.Slices[zone] = m.registrationAnswers(zone)
	}
	return answerJSON(code, answer)
}

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
