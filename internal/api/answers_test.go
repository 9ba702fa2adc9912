package api

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/settings"
)

func TestCodeAnswers(t *testing.T) {
	for code, want := range map[errcode.Code]struct {
		status     int
		header     string
		retryAfter string
		body       string
	}{
		errcode.OK:                    {http.StatusOK, "", "", `{"code":0,"detail":"d","result":"OK"}`},
		errcode.ConfigurationNoHolder: {http.StatusServiceUnavailable, "4005", "1", `{"code":4005,"detail":"d","result":"ConfigurationNoHolder"}`},
		errcode.AnnounceBad:           {http.StatusBadRequest, "2001", "", `{"code":2001,"detail":"d","result":"AnnounceBad"}`},
	} {
		t.Run(code.String(), func(t *testing.T) {
			c := qt.New(t)
			out := httptest.NewRecorder()
			WriteCode(out, code, "d")
			c.Assert(out.Code, qt.Equals, want.status)
			c.Assert(out.Header().Get("X-Beacon-Code"), qt.Equals, want.header)
			c.Assert(out.Header().Get("Retry-After"), qt.Equals, want.retryAfter)
			c.Assert(out.Header().Get("Content-Type"), qt.Equals, "application/json")
			c.Assert(strings.TrimSpace(out.Body.String()), qt.Equals, want.body)
		})
	}
}

func TestAnnouncementsAreChecked(t *testing.T) {
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

func TestNamedAnnouncementsHaveAState(t *testing.T) {
	for body, want := range map[string]backend.Announcement{
		`{"state":"ready"}`:               {Instance: "d1", Incarnation: 1},
		`{"state":"warming","unknown":1}`: {Instance: "d1", Incarnation: 1, Warming: true},
		`{"state":"leaving","slots":3}`:   {Instance: "d1", Incarnation: 1, Leaving: true, Slots: 3},
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

// An upstream takes an acknowledgement of at most 4 KiB for one, head and all.
func TestAcknowledgementsAreSmall(t *testing.T) {
	c := qt.New(t)
	const mostAcknowledgement = 4 << 10
	for code := range errcode.Entries {
		out := httptest.NewRecorder()
		WriteCode(out, code, "")
		size := out.Body.Len()
		for name, values := range out.Header() {
			size += len(name) + len(strings.Join(values, "")) + len(": \r\n")
		}
		c.Check(size < mostAcknowledgement, qt.IsTrue, qt.Commentf("%s: %d", code, size))
	}
}
