package fleet

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"beaconvane/internal/checker"
	"beaconvane/internal/errcode"
	"beaconvane/internal/loadgen"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
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

// Play runs one scenario from start to outcome; slack stretches the bounds in time.
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

// upstreamsReady reports whether every registry lists every upstream as ready.
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
		if count < len(f.Upstreams) {
			return false
		}
	}
	return true
}
