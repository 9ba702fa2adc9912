// This file is the proxy's face: announcements and sign-offs of upstreams, readiness,
// counters, and callers' requests, which are every path not below /beacon/.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/atomic"
	"go.uber.org/fx"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/node"
	"beaconvane/internal/proxy"
	"beaconvane/internal/settings"
	"beaconvane/internal/transport"
)

// ProxyModule is the proxy.
var ProxyModule = fx.Module("proxy", fx.Invoke(startProxy))

type proxyFace struct {
	settings   settings.Settings
	process    *node.Node
	goroutines *goroutine.Group
	room       *backend.Backend
	frontend   *frontend.Frontend
	stages     *frontend.Stages
	stopping   atomic.Bool
	closed     atomic.Bool
}

func startProxy(life fx.Lifecycle, cfg settings.Settings, members *goroutine.Group, process *node.Node, manners Manners) {
	u := &proxyFace{settings: cfg, process: process, goroutines: members}
	u.room = backend.New(cfg, func(forward message.Forward) errcode.Code { return u.frontend.Allowed(forward) })
	u.frontend = frontend.New(cfg, u.room.PassOf)
	u.frontend.Speak(manners.Callers)
	self := node.Self(cfg, message.RoleProxy)
	caller := backend.NewCaller(cfg, u.room, members)
	caller.Speak(manners.Upstreams)
	u.stages = frontend.NewStages(cfg, u.frontend, u.room, caller, members, self, process.Tell)
	process.OnTraffic(u.stages.Traffic)
	process.OnPublish(func(snapshot any) { u.stages.Show(snapshot.(*proxy.Snapshot)) })
	machine := proxy.New(cfg, self)
	face := NewFace()
	common(face.Router, "/beacon", process, u.counters)
	face.Router.HandleFunc("/beacon/ready", u.ready).Methods(http.MethodGet)
	face.Router.HandleFunc("/beacon/announce", u.announce).Methods(http.MethodPost)
	face.Router.HandleFunc("/beacon/announce/{instance}", u.announceNamed).Methods(http.MethodPost)
	face.Router.HandleFunc("/beacon/signoff/{instance}", u.dismiss).Methods(http.MethodPost)
	face.Router.HandleFunc("/beacon/signoff", u.signOff).Methods(http.MethodPost)
	face.Router.PathPrefix("/beacon/").HandlerFunc(func(out http.ResponseWriter, _ *http.Request) { writeCode(out, errcode.RequestNoRoute, "") })
	faces, outside := []*Face{face}, []string{cfg.Outside}
	if len(cfg.Beacon) > 0 {
		// Callers have an address of their own, where every path is theirs.
		faces, outside = []*Face{face, NewCallersFace(u.stages)}, cfg.Beacon
	} else {
		face.Router.NotFoundHandler = u.stages
	}
	face.Router.MethodNotAllowedHandler = http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) { writeCode(out, errcode.RequestNoRoute, "") })
	if len(cfg.Beacon) == 0 {
		face.Router.PathPrefix("/").Handler(u.stages)
	}
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := process.Run(machine, func(network *transport.Transport) { u.stages.Start(network) }); err != nil {
				return err
			}
			members.Go("proxy.count", u.count)
			members.Go("proxy.tell", u.tellTallies)
			if len(faces) > 1 {
				if err := faces[1].Serve(members, cfg.Outside); err != nil {
					return err
				}
			}
			return face.Serve(members, outside...)
		},
		OnStop: func(ctx context.Context) error { return u.stop(ctx, faces) },
	})
}

// stop: unready, tell the others, take requests a while yet where the settings say so,
// refuse what has not started, finish the rest.
func (u *proxyFace) stop(ctx context.Context, faces []*Face) error {
	u.stopping.Store(true)
	u.process.Tell(proxy.Stop{})
	graced, cancel := context.WithTimeout(ctx, u.settings.Grace())
	defer cancel()
	linger := time.NewTimer(max(u.settings.Linger(), u.settings.UpdatesEvery()))
	defer linger.Stop()
	if u.settings.Linger() == 0 {
		u.stages.Leave()
	}
	<-linger.C
	u.closed.Store(true)
	u.stages.Leave()
	var err error
	for index := len(faces) - 1; index >= 0; index-- {
		err = errors.Join(err, faces[index].Shutdown(graced))
	}
	ticker := time.NewTicker(u.settings.TickEvery())
	defer ticker.Stop()
	for u.stages.Inside() > 0 && graced.Err() == nil {
		select {
		case <-ticker.C:
		case <-graced.Done():
		}
	}
	// The last outcomes are on their connections; let them leave before those close.
	<-ticker.C
	u.process.Transport.Close()
	u.goroutines.Stop(u.settings.UpdatesEvery())
	return err
}

// count hands the usage counts to the control machine.
func (u *proxyFace) count(ctx context.Context) {
	ticker := time.NewTicker(u.settings.CountEvery())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			asked, cancel := context.WithTimeout(ctx, u.settings.HeartbeatEvery())
			answer, err := u.process.Request(asked, proxy.ReadSealed{})
			cancel()
			if err != nil {
				continue
			}
			usage, closed := u.frontend.Usage(time.Duration(time.Now().UnixNano()), answer.(int64))
			u.process.Tell(proxy.Counted{Usage: usage, Closed: closed})
		}
	}
}

// tellTallies logs how requests ended since the last line, where any was refused.
func (u *proxyFace) tellTallies(ctx context.Context) {
	ticker := time.NewTicker(u.settings.LookAgain())
	defer ticker.Stop()
	last := map[string]int64{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		tallies, _ := u.frontend.Tallies()
		since := map[string]int64{}
		for code, count := range tallies {
			if count > last[code] && code != errcode.OK.String() {
				since[code] = count - last[code]
			}
		}
		if len(since) > 0 {
			since[errcode.OK.String()] = tallies[errcode.OK.String()] - last[errcode.OK.String()]
			u.process.Log.Info("answers", "since", since)
		}
		last = tallies
	}
}

func (u *proxyFace) counters() map[string]any {
	tallies, retries := u.frontend.Tallies()
	running, queue := u.room.Running()
	body := map[string]any{"answers": tallies, "retries": retries, "serving_proxy_running": running, "serving_proxy_pending": queue, "inside": u.stages.Inside()}
	asked, cancel := context.WithTimeout(u.goroutines.Context, time.Second)
	defer cancel()
	if answer, err := u.process.Request(asked, proxy.ReadStatus{}); err == nil {
		body["control"] = answer
	}
	return body
}

func (u *proxyFace) ready(out http.ResponseWriter, _ *http.Request) {
	if u.stopping.Load() || !u.frontend.Ready(u.goroutines.Now()) {
		writeCode(out, errcode.BusyNotReady, "")
		return
	}
	writeCode(out, errcode.OK, "ready")
}

func (u *proxyFace) announce(out http.ResponseWriter, in *http.Request) {
	response := backend.Announcement{}
	decoder := json.NewDecoder(http.MaxBytesReader(out, in.Body, 16<<10))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&response); err != nil {
		writeCode(out, errcode.AnnounceBad, err.Error())
		return
	}
	if err := checkAnnouncement(u.settings, response); err != nil {
		writeCode(out, errcode.AnnounceBad, err.Error())
		return
	}
	if u.leaving() {
		writeCode(out, errcode.BusyLeaving, "announce to another proxy")
		return
	}
	if !u.stages.Announce(response) {
		writeCode(out, errcode.AnnounceBad, "an incarnation higher than this one has announced")
		return
	}
	writeCode(out, errcode.OK, "")
}

// leaving: announcements are for another proxy; one that lingers takes them yet.
func (u *proxyFace) leaving() bool {
	return u.closed.Load() || u.stopping.Load() && u.settings.Linger() == 0
}

// announceNamed takes an announcement whose instance is named by the path and whose
// state by a word. Fields that are not known are passed over. An instance's name is of
// one life, so there is no incarnation.
func (u *proxyFace) announceNamed(out http.ResponseWriter, in *http.Request) {
	word := struct {
		State string `json:"state"`
	}{}
	response := backend.Announcement{}
	body, err := io.ReadAll(http.MaxBytesReader(out, in.Body, 16<<10))
	if err == nil {
		err = errors.Join(json.Unmarshal(body, &response), json.Unmarshal(body, &word))
	}
	if err != nil {
		writeCode(out, errcode.AnnounceBad, err.Error())
		return
	}
	response.Instance, response.Incarnation = mux.Vars(in)["instance"], 1
	switch word.State {
	case message.StateReady:
	case message.StateWarming:
		response.Warming = true
	case message.StateLeaving:
		response.Leaving = true
	default:
		writeCode(out, errcode.AnnounceBad, "state wants ready, warming or leaving")
		return
	}
	if err := checkAnnouncement(u.settings, response); err != nil {
		writeCode(out, errcode.AnnounceBad, err.Error())
		return
	}
	if u.leaving() {
		writeCode(out, errcode.BusyLeaving, "")
		return
	}
	u.stages.Announce(response)
	writeCode(out, errcode.OK, "")
}

// dismiss takes the last word of an instance that is named by the path.
func (u *proxyFace) dismiss(out http.ResponseWriter, in *http.Request) {
	u.stages.Dismiss(mux.Vars(in)["instance"])
	writeCode(out, errcode.OK, "")
}

func checkAnnouncement(cfg settings.Settings, response backend.Announcement) error {
	host, port, err := net.SplitHostPort(response.Address)
	known := false
	for _, zone := range cfg.Zones {
		known = known || zone == response.Zone
	}
	named := func(name string) bool {
		return name != "" && len(name) <= 128 && !strings.ContainsAny(name, "/ \t\r\n")
	}
	switch {
	case !named(response.Service) || !named(response.Instance):
		return fmt.Errorf("service and instance want a name without slash or white space, at most 128 bytes")
	case response.Incarnation <= 0:
		return fmt.Errorf("incarnation wants a number above 0")
	case err != nil || net.ParseIP(host) == nil || port == "" || port == "0":
		return fmt.Errorf("address wants an IP number and a port")
	case !known:
		return fmt.Errorf("unknown zone")
	case response.Slots < 1 || response.Slots > 1<<20:
		return fmt.Errorf("slots want 1 or more")
	case response.Load < 0:
		return fmt.Errorf("load wants 0 or more")
	}
	return nil
}

func (u *proxyFace) signOff(out http.ResponseWriter, in *http.Request) {
	response := struct {
		Service     string `json:"service"`
		Instance    string `json:"instance"`
		Incarnation int64  `json:"incarnation"`
	}{}
	if err := json.NewDecoder(http.MaxBytesReader(out, in.Body, 16<<10)).Decode(&response); err != nil {
		writeCode(out, errcode.AnnounceBad, err.Error())
		return
	}
	if !u.stages.SignOff(response.Service, response.Instance, response.Incarnation) {
		writeCode(out, errcode.AnnounceUnknown, "")
		return
	}
	writeCode(out, errcode.OK, "")
}
