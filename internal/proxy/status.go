package proxy

import "time"

// Status is the reply to ReadStatus. The counters page shows it.
type Status struct {
	AgesMS         map[string]int64 `json:"ages_ms"`        // by topic: milliseconds since it was last known to be current
	Configurations map[string]int64 `json:"configurations"` // version by configuration
	Members        int              `json:"members"`        // live nodes, including this one
	Moves          int64            `json:"moves"`          // number of parent changes
	Parent         string           `json:"parent"`         // member that sends updates to this proxy
	Path           []string         `json:"path"`           // relays between the source and this proxy
}

// status returns the current status of the control machine.
func (m *Machine) status(now time.Duration) Status {
	status := Status{AgesMS: map[string]int64{}, Configurations: map[string]int64{}}
	for _, position := range m.distribution.Positions() {
		if age, known := m.distribution.Age(position.Topic, now); known {
			status.AgesMS[position.Topic] = age.Milliseconds()
		}
	}
	for configName, state := range m.configurations {
		status.Configurations[configName] = state.latest.Version
	}
	status.Parent, status.Path, status.Moves = m.distribution.Parent()
	status.Members = len(m.membership.Alive("")) + 1
	return status
}
