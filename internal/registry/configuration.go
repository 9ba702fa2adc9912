package registry

import (
	"beaconvane/internal/delta"
	"beaconvane/internal/distribution"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// handleConfigurationCommitted takes a version that a peer was told is committed; one that is known
// here already isn't unpacked.
func (m *Machine) handleConfigurationCommitted(env *statemachine.Env, committed message.ConfigurationCommitted) {
	version, _, known := m.distribution.Configuration(committed.ConfigName)
	if known && version >= committed.Version {
		return
	}
	body, err := delta.Apply(nil, committed.Body, m.settings.Limits.Configuration)
	if err != nil {
		env.Event("configuration-unreadable", int(errcode.FrameBad), 0, err.Error())
		return
	}
	m.distribution.WriteConfiguration(env, committed.ConfigName, committed.Version, body)
}

// configurationStatus says which proxy has which version in force, as its heartbeats tell.
func (m *Machine) configurationStatus(env *statemachine.Env, configName string, wanted int64) OperatorResponse {
	topic := distribution.ConfigurationTopic(configName)
	version, _, known := m.distribution.Configuration(configName)
	if !known {
		return answerCode(errcode.ConfigurationNotFound, configName)
	}
	code := errcode.OK
	if wanted == 0 {
		code = m.freshness(env, topic)
	}
	wanted = max(wanted, version)
	age, _ := m.distribution.Age(topic, env.Now)
	answer := configurationStatusAnswer{
		Configuration: configName,
		Version:       version,
		AgeMS:         age.Milliseconds(),
		InForce:       map[string]int64{},
		Wanted:        wanted,
		Lacking:       []string{},
	}
	for _, proxy := range m.membership.Alive(message.RoleProxy) {
		inForce := m.proxies.inForce(proxy.Name, topic)
		answer.InForce[proxy.Name] = inForce
		if inForce < wanted {
			answer.Lacking = append(answer.Lacking, proxy.Name)
		}
	}
	answer.Everywhere = len(answer.Lacking) == 0
	return answerJSON(code, answer)
}

// freshness says whether this registry may still give a topic out as current: it has heard from the
// topic's source within the time after which it isn't ready either. A registry that lost contact
// goes on to say what it knows, and how old that is, under the code BusyStale.
func (m *Machine) freshness(env *statemachine.Env, topic string) errcode.Code {
	age, known := m.distribution.Age(topic, env.Now)
	if !known || age > m.settings.MaxAgeReady() {
		return errcode.BusyStale
	}
	return errcode.OK
}

// sliceIsCurrent says that a zone's slice of the roster may be given out as current.
func (m *Machine) sliceIsCurrent(env *statemachine.Env, zone string) bool {
	return m.freshness(env, distribution.SliceTopic(zone)) == errcode.OK
}
