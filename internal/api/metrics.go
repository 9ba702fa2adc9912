package api

import (
	"context"
	"net/http"
	"runtime/metrics"
	"strings"

	"beaconvane/internal/goroutine"
	meshmetrics "beaconvane/internal/metrics"
	"beaconvane/internal/node"
)

// heapMetric names the runtime metric of the heap memory that objects occupy.
const heapMetric = "/memory/classes/heap/objects:bytes"

// eventCounterPrefix is the prefix of the names of event counters.
const eventCounterPrefix = "event_"

// NewMetricsHandler returns a handler that serves the metrics of a process as text, on every path. If
// the control machine doesn't reply within statusTimeout, the page omits its metrics and sets
// control_answers to 0. The function extraSamples may be nil.
func NewMetricsHandler(process *node.Node, group *goroutine.Group, extraSamples func() []meshmetrics.Sample) http.Handler {
	router := newRouter()
	router.PathPrefix("/").Methods(http.MethodGet).HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
		samples := append(processSamples(process), controlSamples(process, group)...)
		if extraSamples != nil {
			samples = append(samples, extraSamples()...)
		}
		out.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_ = meshmetrics.Write(out, samples) // fails only if the client has disconnected
	})
	return router
}

// processSamples returns the counters and the heap size of the process.
func processSamples(process *node.Node) []meshmetrics.Sample {
	heap := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(heap)
	samples := []meshmetrics.Sample{meshmetrics.Of("heap_bytes", float64(heap[0].Value.Uint64()))}
	for name, count := range process.Counters() {
		if event, isEvent := strings.CutPrefix(name, eventCounterPrefix); isEvent {
			samples = append(samples, meshmetrics.About("events_total", "event", event, float64(count)))
			continue
		}
		samples = append(samples, meshmetrics.Of(name, float64(count)))
	}
	return samples
}

// controlSamples returns the metrics of the control machine, and a flag that tells whether it replied
// in time.
func controlSamples(process *node.Node, group *goroutine.Group) []meshmetrics.Sample {
	ctx, cancel := context.WithTimeout(group.Context, statusTimeout)
	defer cancel()
	samples, err := node.RequestAs[[]meshmetrics.Sample](ctx, process, meshmetrics.Read{})
	return append(samples, meshmetrics.Flag("control_answers", err == nil))
}

// Metrics returns the metrics of the proxy's data plane.
func (p *Proxy) Metrics() []meshmetrics.Sample {
	results, retries := p.frontend.ResultCounts()
	running, pending := p.backend.Running()
	return append(meshmetrics.Counts("answers_total", "code", results),
		meshmetrics.Of("retries_total", float64(retries)),
		meshmetrics.Of("upstreams_running", float64(running)),
		meshmetrics.Of("upstreams_pending", float64(pending)),
		meshmetrics.Of("requests_inside", float64(p.pipeline.InFlight())),
		meshmetrics.Flag("ready", p.isReady()))
}
