package api

import (
	"context"
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
	"beaconvane/internal/node"
	"beaconvane/internal/proxy"
	"beaconvane/internal/settings"
)

// Limits of an announcement: its body and names in bytes, its slots as a count.
const (
	maxAnnouncementBytes = 16 << 10
	maxNameBytes         = 128
	maxSlots             = 1 << 20
)

// Validation errors of announcements. Their texts are sent to the upstream.
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

// refusesAnnouncements reports whether upstreams have to announce to another proxy. A stopping proxy
// still accepts announcements during its linger time.
func (p *Proxy) refusesAnnouncements() bool {
	return p.closed.Load() || p.stopping.Load() && p.settings.Linger() == 0
}

// announceNamed accepts an announcement that names its instance in the path and carries a "state"
// field. Unknown fields are ignored. The name of such an instance is never reused, so the
// announcement has no incarnation number.
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

// announcedState holds the "state" field of a named instance's announcement, which is sent in the
// same JSON object as the fields of backend.Announcement.
type announcedState struct {
	State string `json:"state"`
}

// parseNamedAnnouncement decodes the announcement of a named instance. It sets the incarnation to 1
// and translates the state to the Warming and Draining flags.
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

// checkAnnouncement returns the first validation error of an announcement, or nil.
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

// validName reports whether name is nonempty, within maxNameBytes, and free of slashes and white space.
func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsAny(name, "/ \t\r\n")
}

// signOffNamed deregisters the instance that the path names. It is acknowledged once a majority of the
// registries have the deregistration on disk, so that no crash brings the registration back. An instance
// that neither this proxy nor the roster knows is not registered anywhere.
func (p *Proxy) signOffNamed(out http.ResponseWriter, in *http.Request) {
	ended, found := p.pipeline.RetireInstance(mux.Vars(in)["instance"])
	switch {
	case found && !p.awaitStored(in.Context(), ended):
		WriteCode(out, errcode.BusyNotReady, "the sign-off is not on enough disks yet")
	case !found && !p.frontend.KnowsRoster():
		WriteCode(out, errcode.BusyNotReady, "")
	default:
		WriteCode(out, errcode.OK, "")
	}
}

// awaitStored waits until a majority of the registries have a deregistration on disk. It returns false if
// they don't within DeregistrationTimeout.
func (p *Proxy) awaitStored(ctx context.Context, ended message.Deregistration) bool {
	ctx, cancel := context.WithTimeout(ctx, p.settings.DeregistrationTimeout())
	defer cancel()
	_, err := node.RequestAs[proxy.DeregistrationStored](ctx, p.process, proxy.AwaitStored{Deregistration: ended})
	return err == nil
}

// signOffRequest is the request body with which an upstream deregisters one of its incarnations.
type signOffRequest struct {
	Service     string `json:"service"`
	Instance    string `json:"instance"`
	Incarnation int64  `json:"incarnation"`
}

// signOff deregisters one incarnation of an instance.
func (p *Proxy) signOff(out http.ResponseWriter, in *http.Request) {
	request := signOffRequest{}
	if err := json.NewDecoder(http.MaxBytesReader(out, in.Body, maxAnnouncementBytes)).Decode(&request); err != nil {
		WriteCode(out, errcode.AnnounceBad, err.Error())
		return
	}
	if !p.pipeline.Deregister(request.Service, request.Instance, request.Incarnation) {
		WriteCode(out, errcode.AnnounceUnknown, "")
		return
	}
	if !p.awaitStored(in.Context(), message.Deregistration(request)) {
		WriteCode(out, errcode.BusyNotReady, "the sign-off is not on enough disks yet")
		return
	}
	WriteCode(out, errcode.OK, "")
}
