package registry

// This file tells operators what this registry knows: of itself, of the others, and of the
// roster.

import (
	"beaconvane/internal/distribution"
	"beaconvane/internal/errcode"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

func (m *Machine) status(s *statemachine.Env) Answer {
	parent, path, moves := m.distribution.Parent()
	return answerJSON(errcode.OK, statusAnswer{
		Node:           m.settings.Node,
		Voter:          m.quorum.Voter,
		Voting:         m.quorum.Voting(),
		ShutOut:        m.quorum.Removed,
		Members:        m.memberAnswers(),
		Relays:         m.relayAnswers(s),
		Leases:         m.leaseAnswers(s),
		Slices:         m.sliceAnswers(s),
		Configurations: m.configurationAnswers(s),
		Updates:        updatesAnswer{From: parent, Path: path, Moves: moves},
		Usage:          usageStatusAnswer{Reported: m.usage.reported},
	})
}

func (m *Machine) memberAnswers() []memberAnswer {
	members := []memberAnswer{}
	for _, member := range m.membership.All() {
		members = append(members, memberAnswer{Name: member.Name, Role: member.Role, Voter: member.Voter, Zone: member.Zone,
			Address: member.Address, State: stateNames[member.State&3], Incarnation: member.Incarnation})
	}
	return members
}

func (m *Machine) leaseAnswers(s *statemachine.Env) map[string]leaseAnswer {
	leases := map[string]leaseAnswer{}
	for _, tag := range append(append([]string{}, m.settings.Zones...), settings.UsageTag) {
		leases[tag] = leaseAnswer{Epoch: m.leases.Epoch(tag), Holder: m.leases.Holder(tag), Here: m.leases.Holding(tag, s.Now)}
	}
	return leases
}

func (m *Machine) sliceAnswers(s *statemachine.Env) map[string]sliceAnswer {
	answers := map[string]sliceAnswer{}
	for _, tag := range m.settings.Zones {
		mark := m.slices[tag].Mark
		age, known := m.distribution.Age(distribution.SliceTopic(tag), s.Now)
		answers[tag] = sliceAnswer{Epoch: mark.Epoch, Seq: mark.Seq, Count: mark.Count, AgeMS: age.Milliseconds(), Known: known, Whole: m.whole[tag]}
	}
	return answers
}

func (m *Machine) configurationAnswers(s *statemachine.Env) map[string]configurationAnswer {
	answers := map[string]configurationAnswer{}
	for _, configName := range m.settings.ConfigNames {
		version, body, known := m.distribution.Configuration(configName)
		age, _ := m.distribution.Age(distribution.ConfigurationTopic(configName), s.Now)
		answers[configName] = configurationAnswer{Version: version, Bytes: len(body), Known: known, AgeMS: age.Milliseconds()}
	}
	return answers
}

func (m *Machine) relayAnswers(s *statemachine.Env) map[string]relayAnswer {
	relays := map[string]relayAnswer{}
	for name, seen := range m.proxies {
		relays[name] = relayAnswer{Path: seen.batch.Path, Ready: seen.batch.Ready, HeardMS: (s.Now - seen.at).Milliseconds()}
	}
	return relays
}

// roster lists the registrations by zone; a registry that can't vouch for some slice says
// so by the code.
func (m *Machine) roster(s *statemachine.Env) Answer {
	answer, code := rosterAnswer{Slices: map[string][]registrationAnswer{}, AgesMS: map[string]int64{}}, errcode.OK
	for _, tag := range m.settings.Zones {
		if stale := m.vouches(s, distribution.SliceTopic(tag)); stale != errcode.OK {
			code = stale
		}
		if age, known := m.distribution.Age(distribution.SliceTopic(tag), s.Now); known {
			answer.AgesMS[tag] = age.Milliseconds()
		}
		answer.Slices[tag] = m.registrationAnswers(tag)
	}
	return answerJSON(code, answer)
}

func (m *Machine) registrationAnswers(tag string) []registrationAnswer {
	answers := []registrationAnswer{}
	for _, registration := range m.slices[tag].List() {
		answers = append(answers, registrationAnswer{Service: registration.Service, Instance: registration.Instance,
			Incarnation: registration.Incarnation, Address: registration.Address, Slots: registration.Slots,
			State: registration.State, ServingProxy: registration.ServingProxy})
	}
	return answers
}
