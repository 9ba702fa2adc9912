// This file is the usher's face: announcements and sign-offs of upstreams, readiness,
// counters, and callers' queries, which are every path not below /beacon/.
package marquee

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

	"beaconvane/internal/crew"
	"beaconvane/internal/foyer"
	"beaconvane/internal/greenroom"
	"beaconvane/internal/house"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
	"beaconvane/internal/usher"
	"beaconvane/internal/wings"
)

// UsherModule is the proxy.
var UsherModule = fx.Module("usher", fx.Invoke(startUsher))

type usherFace struct {
	config   playbill.Config
	tower    *house.House
	crew     *crew.Crew
	room     *greenroom.Greenroom
	foyer    *foyer.Foyer
	stages   *foyer.Stages
	stopping atomic.Bool
	closed   atomic.Bool
}

func startUsher(life fx.Lifecycle, config playbill.Config, members *crew.Crew, tower *house.House, manners Manners) {
	u := &usherFace{config: config, tower: tower, crew: members}
	u.room = greenroom.New(config, func(carry script.Carry) notice.Code { return u.foyer.Allowed(carry) })
	u.foyer = foyer.New(config, u.room.PassOf)
	u.foyer.Speak(manners.Callers)
	self := house.Self(config, script.RoleUsher)
	caller := greenroom.NewCaller(config, u.room, members)
	caller.Speak(manners.Upstreams)
	u.stages = foyer.NewStages(config, u.foyer, u.room, caller, members, self, tower.Tell)
	tower.OnTraffic(u.stages.Traffic)
	tower.OnPublish(func(view any) { u.stages.Show(view.(*usher.View)) })
	machine := usher.New(config, self)
	face := NewFace()
	common(face.Router, "/beacon", tower, u.counters)
	face.Router.HandleFunc("/beacon/ready", u.ready).Methods(http.MethodGet)
	face.Router.HandleFunc("/beacon/announce", u.announce).Methods(http.MethodPost)
	face.Router.HandleFunc("/beacon/announce/{instance}", u.announceNamed).Methods(http.MethodPost)
	face.Router.HandleFunc("/beacon/signoff/{instance}", u.dismiss).Methods(http.MethodPost)
	face.Router.HandleFunc("/beacon/signoff", u.signOff).Methods(http.MethodPost)
	face.Router.PathPrefix("/beacon/").HandlerFunc(func(out http.ResponseWriter, _ *http.Request) { writeCode(out, notice.QueryNoRoute, "") })
	faces, outside := []*Face{face}, []string{config.Outside}
	if len(config.Beacon) > 0 {
		// Callers have an address of their own, where every path is theirs.
		faces, outside = []*Face{face, NewCallersFace(u.stages)}, config.Beacon
	} else {
		face.Router.NotFoundHandler = u.stages
	}
	face.Router.MethodNotAllowedHandler = http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) { writeCode(out, notice.QueryNoRoute, "") })
	if len(config.Beacon) == 0 {
		face.Router.PathPrefix("/").Handler(u.stages)
	}
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := tower.Run(machine, func(transport *wings.Wings) { u.stages.Start(transport) }); err != nil {
				return err
			}
			members.Go("usher.count", u.count)
			members.Go("usher.tell", u.tellTallies)
			if len(faces) > 1 {
				if err := faces[1].Serve(members, config.Outside); err != nil {
					return err
				}
			}
			return face.Serve(members, outside...)
		},
		OnStop: func(ctx context.Context) error { return u.stop(ctx, faces) },
	})
}

// stop: unready, tell the others, take queries a while yet where the settings say so,
// refuse what has not started, finish the rest.
func (u *usherFace) stop(ctx context.Context, faces []*Face) error {
	u.stopping.Store(true)
	u.tower.Tell(usher.Stop{})
	graced, cancel := context.WithTimeout(ctx, u.config.Grace())
	defer cancel()
	linger := time.NewTimer(max(u.config.Linger(), u.config.NewsEvery()))
	defer linger.Stop()
	if u.config.Linger() == 0 {
		u.stages.Leave()
	}
	<-linger.C
	u.closed.Store(true)
	u.stages.Leave()
	var err error
	for index := len(faces) - 1; index >= 0; index-- {
		err = errors.Join(err, faces[index].Shutdown(graced))
	}
	ticker := time.NewTicker(u.config.TickEvery())
	defer ticker.Stop()
	for u.stages.Inside() > 0 && graced.Err() == nil {
		select {
		case <-ticker.C:
		case <-graced.Done():
		}
	}
	// The last verdicts are on their wires; let them leave before those close.
	<-ticker.C
	u.tower.Wings.Close()
	u.crew.Stop(u.config.NewsEvery())
	return err
}

// count hands the usage counts to the control machine.
func (u *usherFace) count(ctx context.Context) {
	ticker := time.NewTicker(u.config.CountEvery())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			asked, cancel := context.WithTimeout(ctx, u.config.BeatEvery())
			answer, err := u.tower.Ask(asked, usher.ReadSealed{})
			cancel()
			if err != nil {
				continue
			}
			usage, closed := u.foyer.Usage(time.Duration(time.Now().UnixNano()), answer.(int64))
			u.tower.Tell(usher.Counted{Usage: usage, Closed: closed})
		}
	}
}

// tellTallies logs how queries ended since the last line, where any was refused.
func (u *usherFace) tellTallies(ctx context.Context) {
	ticker := time.NewTicker(u.config.LookAgain())
	defer ticker.Stop()
	last := map[string]int64{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		tallies, _ := u.foyer.Tallies()
		since := map[string]int64{}
		for code, count := range tallies {
			if count > last[code] && code != notice.OK.String() {
				since[code] = count - last[code]
			}
		}
		if len(since) > 0 {
			since[notice.OK.String()] = tallies[notice.OK.String()] - last[notice.OK.String()]
			u.tower.Log.Info("answers", "since", since)
		}
		last = tallies
	}
}

func (u *usherFace) counters() map[string]any {
	tallies, retries := u.foyer.Tallies()
	running, pending := u.room.Running()
	body := map[string]any{"answers": tallies, "retries": retries, "home_running": running, "home_pending": pending, "inside": u.stages.Inside()}
	asked, cancel := context.WithTimeout(u.crew.Context, time.Second)
	defer cancel()
	if answer, err := u.tower.Ask(asked, usher.ReadStatus{}); err == nil {
		body["control"] = answer
	}
	return body
}

func (u *usherFace) ready(out http.ResponseWriter, _ *http.Request) {
	if u.stopping.Load() || !u.foyer.Ready(u.crew.Now()) {
		writeCode(out, notice.BusyNotReady, "")
		return
	}
	writeCode(out, notice.OK, "ready")
}

func (u *usherFace) announce(out http.ResponseWriter, in *http.Request) {
	told := greenroom.Announcement{}
	decoder := json.NewDecoder(http.MaxBytesReader(out, in.Body, 16<<10))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&told); err != nil {
		writeCode(out, notice.AnnounceBad, err.Error())
		return
	}
	if err := checkAnnouncement(u.config, told); err != nil {
		writeCode(out, notice.AnnounceBad, err.Error())
		return
	}
	if u.leaving() {
		writeCode(out, notice.BusyLeaving, "announce to another usher")
		return
	}
	if !u.stages.Announce(told) {
		writeCode(out, notice.AnnounceBad, "an incarnation higher than this one has announced")
		return
	}
	writeCode(out, notice.OK, "")
}

// leaving: announcements are for another usher; one that lingers takes them yet.
func (u *usherFace) leaving() bool {
	return u.closed.Load() || u.stopping.Load() && u.config.Linger() == 0
}

// announceNamed takes an announcement whose instance is named by the path and whose
// state by a word. Fields that are not known are passed over. An instance's name is of
// one life, so there is no incarnation.
func (u *usherFace) announceNamed(out http.ResponseWriter, in *http.Request) {
	word := struct {
		State string `json:"state"`
	}{}
	told := greenroom.Announcement{}
	body, err := io.ReadAll(http.MaxBytesReader(out, in.Body, 16<<10))
	if err == nil {
		err = errors.Join(json.Unmarshal(body, &told), json.Unmarshal(body, &word))
	}
	if err != nil {
		writeCode(out, notice.AnnounceBad, err.Error())
		return
	}
	told.Instance, told.Incarnation = mux.Vars(in)["instance"], 1
	switch word.State {
	case script.StateReady:
	case script.StateWarming:
		told.Warming = true
	case script.StateLeaving:
		told.Leaving = true
	default:
		writeCode(out, notice.AnnounceBad, "state wants ready, warming or leaving")
		return
	}
	if err := checkAnnouncement(u.config, told); err != nil {
		writeCode(out, notice.AnnounceBad, err.Error())
		return
	}
	if u.leaving() {
		writeCode(out, notice.BusyLeaving, "")
		return
	}
	u.stages.Announce(told)
	writeCode(out, notice.OK, "")
}

// dismiss takes the last word of an instance that is named by the path.
func (u *usherFace) dismiss(out http.ResponseWriter, in *http.Request) {
	u.stages.Dismiss(mux.Vars(in)["instance"])
	writeCode(out, notice.OK, "")
}

func checkAnnouncement(config playbill.Config, told greenroom.Announcement) error {
	host, port, err := net.SplitHostPort(told.Address)
	known := false
	for _, district := range config.Districts {
		known = known || district == told.District
	}
	named := func(name string) bool {
		return name != "" && len(name) <= 128 && !strings.ContainsAny(name, "/ \t\r\n")
	}
	switch {
	case !named(told.Service) || !named(told.Instance):
		return fmt.Errorf("service and instance want a name without slash or white space, at most 128 bytes")
	case told.Incarnation <= 0:
		return fmt.Errorf("incarnation wants a number above 0")
	case err != nil || net.ParseIP(host) == nil || port == "" || port == "0":
		return fmt.Errorf("address wants an IP number and a port")
	case !known:
		return fmt.Errorf("unknown district")
	case told.Slots < 1 || told.Slots > 1<<20:
		return fmt.Errorf("slots want 1 or more")
	case told.Load < 0:
		return fmt.Errorf("load wants 0 or more")
	}
	return nil
}

func (u *usherFace) signOff(out http.ResponseWriter, in *http.Request) {
	told := struct {
		Service     string `json:"service"`
		Instance    string `json:"instance"`
		Incarnation int64  `json:"incarnation"`
	}{}
	if err := json.NewDecoder(http.MaxBytesReader(out, in.Body, 16<<10)).Decode(&told); err != nil {
		writeCode(out, notice.AnnounceBad, err.Error())
		return
	}
	if !u.stages.SignOff(told.Service, told.Instance, told.Incarnation) {
		writeCode(out, notice.AnnounceUnknown, "")
		return
	}
	writeCode(out, notice.OK, "")
}
