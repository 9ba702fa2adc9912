package registry

import (
	"beaconvane/internal/delta"
	"beaconvane/internal/distribution"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/statemachine"
)

// handleConfigurationCommitted stores a committed version that a peer has published. A version that
// is not newer than the stored one is skipped before its body is decompressed.
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

// configurationStatus reports which version of a configuration each living proxy has in force,
// according to its heartbeats. The proxies are compared with minVersion, or with the version of
// this registry if that is higher. If minVersion is 0, the code of the answer tells whether the
// version of this registry is current.
func (m *Machine) configurationStatus(env *statemachine.Env, configName string, minVersion int64) OperatorResponse {
	topic := distribution.ConfigurationTopic(configName)
	version, _, known := m.distribution.Configuration(configName)
	if !known {
		return answerCode(errcode.ConfigurationNotFound, configName)
	}
	code := errcode.OK
	if minVersion == 0 {
		code = m.freshnessCode(env, topic)
	}
	minVersion = max(minVersion, version)
	age, _ := m.distribution.Age(topic, env.Now)
	answer := configurationStatusAnswer{
		Configuration:  configName,
		Version:        version,
		AgeMS:          age.Milliseconds(),
		VersionByProxy: map[string]int64{},
		MinVersion:     minVersion,
		BehindProxies:  []string{},
	}
	for _, proxy := range m.membership.Alive(message.RoleProxy) {
		inForce := m.proxies.inForce(proxy.Name, topic)
		answer.VersionByProxy[proxy.Name] = inForce
		if inForce < minVersion {
			answer.BehindProxies = append(answer.BehindProxies, proxy.Name)
		}
	}
	answer.Everywhere = len(answer.BehindProxies) == 0
	return answerJSON(code, answer)
}

// freshnessCode returns OK if this registry may serve a topic as current: its source confirmed it
// within MaxAgeReady, the age past which the process isn't ready either. Otherwise it returns
// BusyStale. A registry that lost contact to the source still serves its data under that code, with
// the data's age.
func (m *Machine) freshnessCode(env *statemachine.Env, topic string) errcode.Code {
	age, known := m.distribution.Age(topic, env.Now)
	if !known || age > m.settings.MaxAgeReady() {
		return errcode.BusyStale
	}
	return errcode.OK
}

// sliceIsCurrent reports whether a zone's slice of the roster may be served as current.
func (m *Machine) sliceIsCurrent(env *statemachine.Env, zone string) bool {
	return m.freshnessCode(env, distribution.SliceTopic(zone)) == errcode.OK
}
