// This file has the scenarios of the fleet runner as data: what is done while the
// load runs.
package fleet

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"syscall"
	"time"

	"beaconvane/internal/checker"
	"beaconvane/internal/errcode"
	"beaconvane/internal/loadgen"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/stubserver"
	"beaconvane/internal/workload"
)

// Outcome is a run in numbers.
type Outcome struct {
	Scenario  string          `json:"scenario"`
	ReadyMS   int64           `json:"ready_ms"`
	RestoreMS int64           `json:"restore_ms"`
	Summary   loadgen.Summary `json:"summary"`
	Review    checker.Review  `json:"review"`
	Uses      []Use           `json:"uses"`
	Writes    map[string]int  `json:"puts"` // how operators' puts were answered
	Pairs     []Pair          `json:"pairs,omitempty"`

	Uploads *loadgen.Summary `json:"uploads,omitempty"`
}

// Pair is one stretch of the same requests straight to the upstreams and one through
// two proxies, right after each other.
type Pair struct {
	StraightP50 float64 `json:"straight_p50_ms"`
	MeshP50     float64 `json:"mesh_p50_ms"`
	StraightP99 float64 `json:"straight_p99_ms"`
	MeshP99     float64 `json:"mesh_p99_ms"`
	ExtraP50    float64 `json:"extra_p50_ms"`
	ExtraP99    float64 `json:"extra_p99_ms"`
}

// overhead compares in pairs at the deployment's full rate, on one kind of request.
func overhead(f *Fleet, _ time.Duration, outcome *Outcome) {
	chosenKind := f.Deployment.Kinds[1]
	addresses, proxies := []string{}, []string{}
	for _, stand := range f.Understudys {
		if stand.Response.Service == chosenKind.Service {
			addresses = append(addresses, stand.Response.Address)
		}
	}
	for _, process := range f.Of(message.RoleProxy) {
		proxies = append(proxies, process.Outside)
	}
	run := func(targets []string, seed uint64) loadgen.Summary {
		return loadgen.Summarise(loadgen.Run(f.Group.Context, f.Group, loadgen.Plan{Proxies: targets, Kinds: []loadgen.Kind{chosenKind}, Tenants: f.Deployment.Tenants(),
			Rate: 500, Length: 3 * time.Second, Limit: 8 * time.Second, Seed: seed, Base: f.Base}))
	}
	for number := range uint64(5) {
		straight, mesh := run(addresses, 1000+number), run(proxies, 2000+number)
		outcome.Pairs = append(outcome.Pairs, Pair{straight.P50, mesh.P50, straight.P99, mesh.P99, mesh.P50 - straight.P50, mesh.P99 - straight.P99})
	}
}

// Scenarios do something to a fleet under load; at is the load's length.
var scenarios = map[string]func(f *Fleet, length time.Duration, outcome *Outcome){
	"overhead": overhead,
	"calm":     func(*Fleet, time.Duration, *Outcome) {},
	"holder": func(f *Fleet, length time.Duration, _ *Outcome) {
		f.after(length / 4)
		if holder := f.Holder(f.Deployment.Zones[0]); holder != nil {
			f.Kill(holder)
			f.after(length / 4)
			f.Start(holder)
		}
	},
	"voter": func(f *Fleet, length time.Duration, _ *Outcome) {
		f.after(length / 4)
		for _, process := range f.Processes {
			if process.Node == workload.Voters[0] {
				f.Kill(process)
			}
		}
		f.after(length / 8)
		f.Write(2, f.Deployment.Tenants(), 10)
		f.after(length / 4)
		for _, process := range f.Processes {
			if process.Node == workload.Voters[0] {
				f.Start(process)
			}
		}
	},
	"proxies": func(f *Fleet, length time.Duration, _ *Outcome) {
		proxies := f.Of(message.RoleProxy)
		for index, process := range proxies[:min(3, len(proxies))] {
			f.after(length / 8)
			if index%2 == 0 {
				f.Kill(process)
			} else {
				f.Signal(process, syscall.SIGTERM)
				<-process.ended
			}
			f.after(length / 16)
			f.Start(process)
		}
	},
	"freeze": func(f *Fleet, length time.Duration, _ *Outcome) {
		f.after(length / 4)
		if holder := f.Holder(f.Deployment.Zones[0]); holder != nil {
			f.Signal(holder, syscall.SIGSTOP)
			f.after(length / 4)
			f.Signal(holder, syscall.SIGCONT)
		}
	},
	"configurations": func(f *Fleet, length time.Duration, _ *Outcome) {
		for version := int64(2); version < 8; version++ {
			f.after(length / 8)
			f.Write(version, f.Deployment.Tenants(), int(version)*100)
		}
	},
	"withdraw": func(f *Fleet, length time.Duration, _ *Outcome) {
		// A key is withdrawn while one proxy is frozen; it wakes into a changed world.
		proxies := f.Of(message.RoleProxy)
		f.after(length / 4)
		f.Signal(proxies[0], syscall.SIGSTOP)
		f.after(length / 16)
		f.Write(2, f.Deployment.Tenants()[1:], 0)
		f.after(length / 3)
		f.Signal(proxies[0], syscall.SIGCONT)
	},
	"huge": func(f *Fleet, length time.Duration, _ *Outcome) {
		f.after(length / 4)
		f.Write(2, f.Deployment.Tenants(), 19000)
		f.after(length / 4)
		f.Write(3, f.Deployment.Tenants(), 18000)
	},
	"uploads": func(f *Fleet, length time.Duration, outcome *Outcome) {
		// Contact lists of nearly the largest body, many at once, beside the load.
		kind := f.Deployment.Kinds[0]
		for _, other := range f.Deployment.Kinds {
			if other.Body > kind.Body {
				kind = other
			}
		}
		kind.Body = int(settings.Default().Limits.Body) - 1024
		f.after(length / 4)
		proxies := []string{}
		for _, process := range f.Of(message.RoleProxy) {
			proxies = append(proxies, process.Outside)
		}
		f.uploads = loadgen.Run(f.Group.Context, f.Group, loadgen.Plan{Proxies: proxies, Kinds: []loadgen.Kind{kind}, Tenants: f.Deployment.Tenants(),
			Rate: 30, Length: length / 3, Limit: 8 * time.Second, Seed: 9000, Base: f.Base})
		summary := loadgen.Summarise(f.uploads)
		outcome.Uploads = &summary
	},
	"drain": func(f *Fleet, length time.Duration, _ *Outcome) {
		f.after(length / 4)
		f.Leave(f.Understudys[0])
		f.after(length / 8)
		f.Understudys[0].SignOff()
		f.End(f.Understudys[0])
		f.End(f.Understudys[1])
	},
	"garbage": func(f *Fleet, length time.Duration, _ *Outcome) {
		for _, stand := range f.Understudys[:2] {
			stand.SetFaults(stubserver.Faults{Lose: 0.05, Garbage: 0.05, Truncate: 0.05, Excess: 0.05, Slow: 0.05})
		}
	},
	"restart": func(f *Fleet, length time.Duration, outcome *Outcome) {
		f.after(length / 4)
		for _, process := range f.Processes {
			f.Kill(process)
		}
		for _, process := range f.Processes {
			f.Start(process)
		}
		begin := time.Now()
		f.Until(30*time.Second, f.Ready)
		outcome.RestoreMS = time.Since(begin).Milliseconds()
	},
}

// ScenarioNames lists them.
func ScenarioNames() string {
	names := []string{}
	for name := range scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func (f *Fleet) after(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	<-timer.C
}

// Play runs one scenario from start to outcome.
func Play(deployment workload.Deployment, bin, folder, scenario string, length time.Duration, seed uint64, slack float64) (Outcome, error) {
	outcome := Outcome{Scenario: scenario}
	act, known := scenarios[scenario]
	if !known {
		return outcome, errcode.Wrap("fleet.play", errcode.ConfigBadValue, fmt.Errorf("no scenario %q", scenario))
	}
	fleetRun, err := New(deployment, bin, folder)
	if err != nil {
		return outcome, err
	}
	begin := time.Now()
	if err := fleetRun.StartAll(); err != nil {
		return outcome, err
	}
	defer fleetRun.StopAll()
	placed := fleetRun.Until(30*time.Second, func() bool {
		status, err := fleetRun.Write(1, deployment.Tenants(), 0)
		return err == nil && status == http.StatusOK
	})
	if !placed || !fleetRun.Until(30*time.Second, fleetRun.Ready) || !fleetRun.Until(30*time.Second, fleetRun.upstreamsReady) {
		return outcome, errcode.Wrap("fleet.play", errcode.BusyNotReady, fmt.Errorf("the fleet did not become ready (configuration put: %t); logs in %s", placed, folder))
	}
	outcome.ReadyMS = time.Since(begin).Milliseconds()
	fleetRun.Watch()
	acted := make(chan struct{})
	fleetRun.Group.Go("fleet.act", func(context.Context) {
		defer close(acted)
		act(fleetRun, length, &outcome)
	})
	asked := fleetRun.Load(deployment.Rate, length, seed)
	<-acted
	outcome.Summary = loadgen.Summarise(asked)
	asked = append(asked, fleetRun.uploads...)
	outcome.Uses = fleetRun.Uses()
	// The windows of the load are sealed a while after they end.
	newest := int64((time.Duration(fleetRun.Base.UnixNano()) + fleetRun.since()) / (time.Duration(settings.Default().Bounds.UsageWindow) * time.Millisecond))
	fleetRun.Until(12*time.Second, func() bool {
		fleetRun.lock.Lock()
		defer fleetRun.lock.Unlock()
		for _, report := range fleetRun.reported {
			if report.Window >= newest {
				return true
			}
		}
		return false
	})
	outcome.Writes = fleetRun.answers
	if len(outcome.Pairs) > 0 {
		// Half of these requests went past the mesh on purpose: nothing to hold it to.
		return outcome, nil
	}
	record := fleetRun.Record(asked)
	record.Bounds = record.Bounds.Stretch(slack)
	outcome.Review = checker.Check(record)
	return outcome, nil
}

// upstreamsReady: every registry lists every stand-in as ready.
func (f *Fleet) upstreamsReady() bool {
	for _, process := range f.Of(message.RoleRegistry) {
		roster := struct {
			Slices map[string][]struct {
				State string `json:"state"`
			} `json:"slices"`
		}{}
		if Get("http://"+process.Outside+"/v1/roster", &roster) != http.StatusOK {
			return false
		}
		count := 0
		for _, slice := range roster.Slices {
			for _, registration := range slice {
				if registration.State == message.StateReady {
					count++
				}
			}
		}
		if count < len(f.Understudys) {
			return false
		}
	}
	return true
}
