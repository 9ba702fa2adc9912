package api

import (
	"context"
	"net/http"
	"runtime/metrics"
	"strings"

	"beaconvane/internal/goroutine"
	figures "beaconvane/internal/metrics"
	"beaconvane/internal/node"
)

// heapMetric is the runtime's figure of the memory in use.
const heapMetric = "/memory/classes/heap/objects:bytes"

// eventCounter begins the name of a counter of events.
const eventCounter = "event_"

// NewMetricsHandler serves the figures of a process as text, on every path. While the control
// machine doesn't answer in time the page has the process's own figures only, and says so.
func NewMetricsHandler(process *node.Node, group *goroutine.Group, more func() []figures.Sample) http.Handler {
	router := newRouter()
	router.PathPrefix("/").Methods(http.MethodGet).HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
		samples := append(processSamples(process), controlSamples(process, group)...)
		if more != nil {
			samples = append(samples, more()...)
		}
		out.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_ = figures.Write(out, samples) // a reader that has gone needs no answer
	})
	return router
}

// processSamples returns the counters of the process and the memory that it uses.
func processSamples(process *node.Node) []figures.Sample {
	heap := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(heap)
	samples := []figures.Sample{figures.Of("heap_bytes", float64(heap[0].Value.Uint64()))}
	for name, count := range process.Counters() {
		if event, isEvent := strings.CutPrefix(name, eventCounter); isEvent {
			samples = append(samples, figures.About("events_total", "event", event, float64(count)))
			continue
		}
		samples = append(samples, figures.Of(name, float64(count)))
	}
	return samples
}

// controlSamples returns the figures of the control machine, and whether it replied in time.
func controlSamples(process *node.Node, group *goroutine.Group) []figures.Sample {
	limited, cancel := context.WithTimeout(group.Context, statusTimeout)
	defer cancel()
	samples, err := node.RequestAs[[]figures.Sample](limited, process, figures.Read{})
	return append(samples, figures.Flag("control_answers", err == nil))
}

// Metrics returns the figures of the proxy's traffic side.
func (p *Proxy) Metrics() []figures.Sample {
	results, retries := p.frontend.ResultCounts()
	running, pending := p.backend.Running()
	return append(figures.Counts("answers_total", "code", results),
		figures.Of("retries_total", float64(retries)),
		figures.Of("upstreams_running", float64(running)),
		figures.Of("upstreams_pending", float64(pending)),
		figures.Of("requests_inside", float64(p.pipeline.InFlight())),
		figures.Flag("ready", p.isReady()))
}
