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

// Outcome is the result of a run: its figures and the checker's review.
type Outcome struct {
	Scenario  string          `json:"scenario"`
	ReadyMS   int64           `json:"ready_ms"`   // time from the start of the processes until the fleet is ready
	RestoreMS int64           `json:"restore_ms"` // time until every proxy is ready again, in the scenario restart
	Summary   loadgen.Summary `json:"summary"`
	Review    checker.Review  `json:"review"`
	Usage     []ProcessUsage  `json:"uses"`
	Writes    map[string]int  `json:"puts"` // answers to writes of configurations, by status and error code
	Pairs     []Pair          `json:"pairs,omitempty"`

	Uploads *loadgen.Summary `json:"uploads,omitempty"`
}

// Pair compares the latency of requests sent directly to the upstreams with that of the same kind of
// requests sent through two proxies, measured one after the other.
type Pair struct {
	DirectP50 float64 `json:"straight_p50_ms"`
	MeshP50   float64 `json:"mesh_p50_ms"`
	DirectP99 float64 `json:"straight_p99_ms"`
	MeshP99   float64 `json:"mesh_p99_ms"`
	ExtraP50  float64 `json:"extra_p50_ms"`
	ExtraP99  float64 `json:"extra_p99_ms"`
}

const (
	// readyTimeout is the maximum time of each step until a fleet is ready.
	readyTimeout = 30 * time.Second
	// usageReportTimeout is the maximum wait for the report of the last usage window of the load.
	usageReportTimeout = 12 * time.Second
)

// Play starts a fleet, runs one scenario under load, stops the fleet and checks the record of the run.
// slack is the factor by which the bounds are multiplied (checker.Bounds.Stretch).
func Play(deployment workload.Deployment, bin, folder, scenario string, length time.Duration, seed uint64, slack float64) (Outcome, error) {
	outcome := Outcome{Scenario: scenario}
	runScenario, known := scenarios[scenario]
	if !known {
		return outcome, errcode.Wrap("fleet.play", errcode.ConfigBadValue,
			fmt.Errorf("no scenario %q, expected one of %s", scenario, ScenarioNames()))
	}
	f, err := New(deployment, bin, folder)
	if err != nil {
		return outcome, err
	}
	startedAt := time.Now()
	if err := f.StartAll(); err != nil {
		return outcome, err
	}
	defer f.StopAll()
	if err := f.awaitReady(); err != nil {
		return outcome, err
	}
	outcome.ReadyMS = time.Since(startedAt).Milliseconds()
	f.MarkConnected()
	var scenarioErr error
	scenarioDone := make(chan struct{})
	f.Group.Go("fleet.act", func(context.Context) {
		defer close(scenarioDone)
		scenarioErr = runScenario(f, length, &outcome)
	})
	requests := f.Load(deployment.Rate, length, seed)
	<-scenarioDone
	if scenarioErr != nil {
		return outcome, scenarioErr
	}
	outcome.Summary = loadgen.Summarise(requests)
	requests = append(requests, f.uploads...)
	outcome.Usage = f.ResourceUsage()
	f.awaitUsage()
	outcome.Writes = f.writeAnswers
	if len(outcome.Pairs) > 0 {
		// Half of these requests were sent directly to the upstreams, so that the mesh's guarantees
		// don't apply to the record.
		return outcome, nil
	}
	record := f.Record(requests)
	record.Bounds = record.Bounds.Stretch(slack)
	outcome.Review = checker.Check(record)
	return outcome, nil
}

// awaitReady writes the first configuration and waits until all proxies and upstreams are ready.
func (f *Fleet) awaitReady() error {
	written := f.WaitUntil(readyTimeout, func() bool {
		status, err := f.Write(1, f.Deployment.Tenants(), 0)
		return err == nil && status == http.StatusOK
	})
	if !written || !f.WaitUntil(readyTimeout, f.Ready) || !f.WaitUntil(readyTimeout, f.upstreamsReady) {
		return errcode.Wrap("fleet.play", errcode.BusyNotReady,
			fmt.Errorf("the fleet did not become ready (configuration written: %t); logs in %s", written, f.Folder))
	}
	return nil
}

// awaitUsage waits until the current usage window is reported. Windows are sealed, and then reported,
// only some time after their end.
func (f *Fleet) awaitUsage() {
	window := time.Duration(settings.Default().Bounds.UsageWindow) * time.Millisecond
	currentWindow := int64((time.Duration(f.Base.UnixNano()) + f.sinceStart()) / window)
	f.WaitUntil(usageReportTimeout, func() bool {
		f.lock.Lock()
		defer f.lock.Unlock()
		for _, report := range f.reported {
			if report.Window >= currentWindow {
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
