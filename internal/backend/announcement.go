package backend

import (
	"beaconvane/internal/message"
)

// Announcement is what an upstream says of itself, in each heartbeat.
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
	Sequence        int64   `json:"number"`  // rises with each announcement of an incarnation; 0: not told
	WarmUpRemaining int64   `json:"cold_ms"` // how long it stays slow yet
}

// State is the roster's word for an announcement.
func (a Announcement) State() string {
	switch {
	case a.Draining:
		return message.StateDraining
	case a.Warming:
		return message.StateWarming
	}
	return message.StateReady
}

// Registration is the announcement as the roster holds it, without the serving proxy.
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

// target is the upstream that announces itself.
func (a Announcement) target() Target {
	return Target{Key: a.key(), Address: a.Address, Incarnation: a.Incarnation}
}
