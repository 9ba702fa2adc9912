package proxy

import "time"

// Status is the answer to ReadStatus: what the control machine knows. The counters page shows it.
type Status struct {
	AgesMS         map[string]int64 `json:"ages_ms"`        // milliseconds since each topic was known current
	Configurations map[string]int64 `json:"configurations"` // version by configuration
	Members        int              `json:"members"`        // nodes alive, this one included
	Moves          int64            `json:"moves"`          // changes of the parent
	Parent         string           `json:"parent"`         // member that sends the updates
	Path           []string         `json:"path"`           // the relays between the source and this proxy
}

func (m *Machine) status(now time.Duration) Status {
	status := Status{AgesMS: map[string]int64{}, Configurations: map[string]int64{}}
	for _, mark := range m.distribution.Positions() {
		if age, known := m.distribution.Age(mark.Topic, now); known {
			status.AgesMS[mark.Topic] = age.Milliseconds()
		}
	}
	for configName, state := range m.configurations {
		status.Configurations[configName] = state.latest.Version
	}
	status.Parent, status.Path, status.Moves = m.distribution.Parent()
	status.Members = len(m.membership.Alive("")) + 1
	return status
}
