package backend

import (
	"beaconvane/internal/message"
)

// Announcement is the state that an upstream reports of itself in each heartbeat.
type Announcement struct {
	Service         string  `json:"service"`
	Instance        string  `json:"instance"`
	Incarnation     int64   `json:"incarnation"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	Slots           int64   `json:"slots"`
	Warming         bool    `json:"warming"`
	Draining        bool    `json:"leaving"`
	Load            float64 `json:"load"`
	Sequence        int64   `json:"number"`  // rises with each announcement of an incarnation; 0 if not sent
	WarmUpRemaining int64   `json:"cold_ms"` // milliseconds until the upstream is warmed up
}

// State returns the roster state (message.State...) that corresponds to the announcement.
func (a Announcement) State() string {
	switch {
	case a.Draining:
		return message.StateDraining
	case a.Warming:
		return message.StateWarming
	}
	return message.StateReady
}

// Registration returns the roster entry for the announcement, without the serving proxy.
func (a Announcement) Registration() message.Registration {
	return message.Registration{
		Service:     a.Service,
		Instance:    a.Instance,
		Incarnation: a.Incarnation,
		Address:     a.Address,
		Zone:        a.Zone,
		Slots:       a.Slots,
		State:       a.State(),
	}
}

func (a Announcement) key() string { return upstreamKey(a.Service, a.Instance) }

// target returns the announced upstream as a Target without a delegation token.
func (a Announcement) target() Target {
	return Target{Key: a.key(), Address: a.Address, Incarnation: a.Incarnation}
}
