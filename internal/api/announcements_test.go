package api

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/backend"
	"beaconvane/internal/settings"
)

// checkAnnouncement accepts a valid announcement and names the field that is invalid.
func TestCheckAnnouncement(t *testing.T) {
	cfg := settings.Settings{Zones: []string{"north"}}
	good := backend.Announcement{Service: "dispatch", Instance: "d1", Incarnation: 1, Address: "10.0.0.1:80", Zone: "north", Slots: 1}
	for name, change := range map[string]func(a *backend.Announcement){
		"":                     func(*backend.Announcement) {},
		"service and instance": func(a *backend.Announcement) { a.Instance = "a/b" },
		"incarnation":          func(a *backend.Announcement) { a.Incarnation = 0 },
		"address":              func(a *backend.Announcement) { a.Address = "host:80" },
		"unknown zone":         func(a *backend.Announcement) { a.Zone = "south" },
		"slots":                func(a *backend.Announcement) { a.Slots = maxSlots + 1 },
		"load":                 func(a *backend.Announcement) { a.Load = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			announcement := good
			change(&announcement)
			err := checkAnnouncement(cfg, announcement)
			if name == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, name+" .*|"+name)
		})
	}
}

// The state of a named announcement is required; unknown fields are ignored.
func TestParseNamedAnnouncement(t *testing.T) {
	for body, want := range map[string]backend.Announcement{
		`{"state":"ready"}`:               {Instance: "d1", Incarnation: 1},
		`{"state":"warming","unknown":1}`: {Instance: "d1", Incarnation: 1, Warming: true},
		`{"state":"leaving","slots":3}`:   {Instance: "d1", Incarnation: 1, Draining: true, Slots: 3},
	} {
		announcement, err := parseNamedAnnouncement("d1", []byte(body))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, announcement, qt.Equals, want)
	}
	for _, body := range []string{`{}`, `{"state":"gone"}`, `{"state":`} {
		_, err := parseNamedAnnouncement("d1", []byte(body))
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf(body))
	}
}
