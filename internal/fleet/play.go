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

// Outcome is what a run came to: its figures, and the checker's review.
type Outcome struct {
	Scenario  string          `json:"scenario"`
	ReadyMS   int64           `json:"ready_ms"`
	RestoreMS int64           `json:"restore_ms"`
	Summary   loadgen.Summary `json:"summary"`
	Review    checker.Review  `json:"review"`
	Uses      []Use           `json:"uses"`
	Writes    map[string]int  `json:"puts"` // answers to writes of configurations, by status and code
	Pairs     []Pair          `json:"pairs,omitempty"`

	Uploads *loadgen.Summary `json:"uploads,omitempty"`
}

// Pair compares the latency of the same requests straight to the upstreams and through two proxies,
// measured right after each other.
type Pair struct {
	StraightP50 float64 `json:"straight_p50_ms"`
	MeshP50     float64 `json:"mesh_p50_ms"`
	StraightP99 float64 `json:"straight_p99_ms"`
	MeshP99     float64 `json:"mesh_p99_ms"`
	ExtraP50    float64 `json:"extra_p50_ms"`
	ExtraP99    float64 `json:"extra_p99_ms"`
}

const (
	// readyLimit is how long a fleet may take to become ready.
	readyLimit = 30 * time.Second
	// sealLimit is how long the last usage window of the load may take to be reported.
	sealLimit = 12 * time.Second
)

// Play runs one scenario from start to outcome; slack is the factor by which the bounds are
// stretched.
func Play(deployment workload.Deployment, bin, folder, scenario string, length time.Duration, seed uint64, slack float64) (Outcome, error) {
	outcome := Outcome{Scenario: scenario}
	act, known := scenarios[scenario]
	if !known {
		return outcome, errcode.Wrap("fleet.play", errcode.ConfigBadValue, fmt.Errorf("no scenario %q", scenario))
	}
	f, err := New(deployment, bin, folder)
	if err != nil {
		return outcome, err
	}
	begin := time.Now()
	if err := f.StartAll(); err != nil {
		return outcome, err
	}
	defer f.StopAll()
	if err := f.becomeReady(); err != nil {
		return outcome, err
	}
	outcome.ReadyMS = time.Since(begin).Milliseconds()
	f.Watch()
	var actError error
	acted := make(chan struct{})
	f.Group.Go("fleet.act", func(context.Context) {
		defer close(acted)
		actError = act(f, length, &outcome)
	})
	asked := f.Load(deployment.Rate, length, seed)
	<-acted
	if actError != nil {
		return outcome, actError
	}
	outcome.Summary = loadgen.Summarise(asked)
	asked = append(asked, f.uploads...)
	outcome.Uses = f.Uses()
	f.awaitUsage()
	outcome.Writes = f.writeAnswers
	if len(outcome.Pairs) > 0 {
		// Half of these requests went past the mesh on purpose: nothing to hold it to.
		return outcome, nil
	}
	record := f.Record(asked)
	record.Bounds = record.Bounds.Stretch(slack)
	outcome.Review = checker.Check(record)
	return outcome, nil
}

// becomeReady writes the first configuration and waits for proxies and upstreams to be ready.
func (f *Fleet) becomeReady() error {
	written := f.Until(readyLimit, func() bool {
		status, err := f.Write(1, f.Deployment.Tenants(), 0)
		return err == nil && status == http.StatusOK
	})
	if !written || !f.Until(readyLimit, f.Ready) || !f.Until(readyLimit, f.upstreamsReady) {
		return errcode.Wrap("fleet.play", errcode.BusyNotReady,
			fmt.Errorf("the fleet did not become ready (configuration written: %t); logs in %s", written, f.Folder))
	}
	return nil
}

// awaitUsage waits until the window that runs now is reported: windows are sealed a while after they
// end.
func (f *Fleet) awaitUsage() {
	window := time.Duration(settings.Default().Bounds.UsageWindow) * time.Millisecond
	newest := int64((time.Duration(f.Base.UnixNano()) + f.since()) / window)
	f.Until(sealLimit, func() bool {
		f.lock.Lock()
		defer f.lock.Unlock()
		for _, report := range f.reported {
			if report.Window >= newest {
				return true
			}
		}
		return false
	})
}

// upstreamsReady reports whether every registry lists every upstream as ready.
func (f *Fleet) upstreamsReady() bool {
	for _, process := range f.Of(message.RoleRegistry) {
		roster := struct {
			Slices map[string][]struct {
				State string `json:"state"`
			} `json:"slices"`
		}{}
		if Get("http://"+process.HTTPAddress+"/v1/roster", &roster) != http.StatusOK {
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
