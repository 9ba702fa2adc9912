package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"

	"github.com/gorilla/mux"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// Limits of announcements.
const (
	maxAnnouncementBytes = 16 << 10
	maxNameBytes         = 128
	maxSlots             = 1 << 20
)

// What is wrong with an announcement, as the upstream is told.
var (
	errAnnouncedName        = fmt.Errorf("service and instance want a name without slash or white space, at most %d bytes", maxNameBytes)
	errAnnouncedIncarnation = errors.New("incarnation wants a number above 0")
	errAnnouncedAddress     = errors.New("address wants an IP number and a port")
	errAnnouncedZone        = errors.New("unknown zone")
	errAnnouncedSlots       = errors.New("slots want 1 or more")
	errAnnouncedLoad        = errors.New("load wants 0 or more")
	errAnnouncedState       = errors.New("state wants ready, warming or leaving")
)

// announce accepts an announcement whose body names the instance and its incarnation.
func (p *Proxy) announce(out http.ResponseWriter, in *http.Request) {
	announcement := backend.Announcement{}
	decoder := json.NewDecoder(http.MaxBytesReader(out, in.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&announcement); err != nil {
		WriteCode(out, errcode.AnnounceBad, err.Error())
		return
	}
	if err := checkAnnouncement(p.settings, announcement); err != nil {
		WriteCode(out, errcode.AnnounceBad, err.Error())
		return
	}
	if p.refusesAnnouncements() {
		WriteCode(out, errcode.BusyLeaving, "announce to another proxy")
		return
	}
	if !p.pipeline.Announce(announcement) {
		WriteCode(out, errcode.AnnounceBad, "an incarnation higher than this one has announced")
		return
	}
	WriteCode(out, errcode.OK, "")
}

// refusesAnnouncements reports whether upstreams have to announce to another proxy. A proxy that
// stops still accepts announcements for its linger time.
func (p *Proxy) refusesAnnouncements() bool {
	return p.closed.Load() || p.stopping.Load() && p.settings.Linger() == 0
}

// announceNamed accepts an announcement whose instance is named by the path, and whose state by a
// word. Unknown fields are ignored. Such an instance never comes back under the same name, so there
// is no incarnation.
func (p *Proxy) announceNamed(out http.ResponseWriter, in *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(out, in.Body, maxAnnouncementBytes))
	if err != nil {
		WriteCode(out, errcode.AnnounceBad, err.Error())
		return
	}
	announcement, err := parseNamedAnnouncement(mux.Vars(in)["instance"], body)
	if err == nil {
		err = checkAnnouncement(p.settings, announcement)
	}
	if err != nil {
		WriteCode(out, errcode.AnnounceBad, err.Error())
		return
	}
	if p.refusesAnnouncements() {
		WriteCode(out, errcode.BusyLeaving, "")
		return
	}
	p.pipeline.Announce(announcement)
	WriteCode(out, errcode.OK, "")
}

// announcedState is the state of a named instance, which stands beside the fields of
// backend.Announcement.
type announcedState struct {
	State string `json:"state"`
}

// parseNamedAnnouncement reads the body of an announcement of a named instance.
func parseNamedAnnouncement(instance string, body []byte) (backend.Announcement, error) {
	announcement, state := backend.Announcement{}, announcedState{}
	if err := errors.Join(json.Unmarshal(body, &announcement), json.Unmarshal(body, &state)); err != nil {
		return announcement, err
	}
	announcement.Instance = instance
	announcement.Incarnation = 1
	switch state.State {
	case message.StateReady:
	case message.StateWarming:
		announcement.Warming = true
	case message.StateDraining:
		announcement.Draining = true
	default:
		return announcement, errAnnouncedState
	}
	return announcement, nil
}

// checkAnnouncement returns what is wrong with an announcement; nil when it is valid.
func checkAnnouncement(cfg settings.Settings, announcement backend.Announcement) error {
	host, port, err := net.SplitHostPort(announcement.Address)
	switch {
	case !validName(announcement.Service) || !validName(announcement.Instance):
		return errAnnouncedName
	case announcement.Incarnation <= 0:
		return errAnnouncedIncarnation
	case err != nil || net.ParseIP(host) == nil || port == "" || port == "0":
		return errAnnouncedAddress
	case !slices.Contains(cfg.Zones, announcement.Zone):
		return errAnnouncedZone
	case announcement.Slots < 1 || announcement.Slots > maxSlots:
		return errAnnouncedSlots
	case announcement.Load < 0:
		return errAnnouncedLoad
	}
	return nil
}

func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsAny(name, "/ \t\r\n")
}

// signOffNamed ends the instance that the path names.
func (p *Proxy) signOffNamed(out http.ResponseWriter, in *http.Request) {
	p.pipeline.RetireInstance(mux.Vars(in)["instance"])
	WriteCode(out, errcode.OK, "")
}

// signOffRequest is the body by which an upstream ends its incarnation.
type signOffRequest struct {
	Service     string `json:"service"`
	Instance    string `json:"instance"`
	Incarnation int64  `json:"incarnation"`
}

// signOff ends one incarnation of an instance.
func (p *Proxy) signOff(out http.ResponseWriter, in *http.Request) {
	end := signOffRequest{}
	if err := json.NewDecoder(http.MaxBytesReader(out, in.Body, maxAnnouncementBytes)).Decode(&end); err != nil {
		WriteCode(out, errcode.AnnounceBad, err.Error())
		return
	}
	if !p.pipeline.Deregister(end.Service, end.Instance, end.Incarnation) {
		WriteCode(out, errcode.AnnounceUnknown, "")
		return
	}
	WriteCode(out, errcode.OK, "")
}
