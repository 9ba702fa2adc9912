package api

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/atomic"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/node"
	"beaconvane/internal/proxy"
	"beaconvane/internal/settings"
)

// proxyPrefix is the prefix of the proxy's own paths. All other paths belong to callers.
const proxyPrefix = "/beacon"

// statusTimeout bounds the wait for the control machine's status and metrics.
const statusTimeout = time.Second

// Proxy serves the proxy's own paths: readiness, counters, and the announcements of upstreams.
type Proxy struct {
	settings   settings.Settings
	process    *node.Node
	goroutines *goroutine.Group
	frontend   *frontend.Frontend
	backend    *backend.Backend
	pipeline   *frontend.Pipeline
	stopping   atomic.Bool
	closed     atomic.Bool
}

// NewProxy returns the HTTP interface of a proxy.
func NewProxy(cfg settings.Settings, process *node.Node, goroutines *goroutine.Group, front *frontend.Frontend,
	back *backend.Backend, pipeline *frontend.Pipeline) *Proxy {
	return &Proxy{settings: cfg, process: process, goroutines: goroutines, frontend: front, backend: back, pipeline: pipeline}
}

// BeginStop makes the readiness route report that the proxy is not ready. Announcements are still
// accepted until Close if the settings give a linger time.
func (p *Proxy) BeginStop() { p.stopping.Store(true) }

// Close makes the proxy refuse announcements.
func (p *Proxy) Close() { p.closed.Store(true) }

// Handler returns a handler of the proxy's own paths only.
func (p *Proxy) Handler() http.Handler { return p.router() }

// HandlerWithCallers returns a handler of the proxy's own paths that passes all other requests to callers.
func (p *Proxy) HandlerWithCallers(callers http.Handler) http.Handler {
	router := p.router()
	router.NotFoundHandler = callers
	router.PathPrefix("/").Handler(callers)
	return router
}

func (p *Proxy) router() *mux.Router {
	router := newRouter()
	addCommonRoutes(router, proxyPrefix, p.process, func() any { return p.counters() })
	router.HandleFunc(proxyPrefix+"/ready", p.ready).Methods(http.MethodGet)
	router.HandleFunc(proxyPrefix+"/announce", p.announce).Methods(http.MethodPost)
	router.HandleFunc(proxyPrefix+"/announce/{instance}", p.announceNamed).Methods(http.MethodPost)
	router.HandleFunc(proxyPrefix+"/signoff/{instance}", p.signOffNamed).Methods(http.MethodPost)
	router.HandleFunc(proxyPrefix+"/signoff", p.signOff).Methods(http.MethodPost)
	router.PathPrefix(proxyPrefix + "/").HandlerFunc(writeNoRoute)
	router.MethodNotAllowedHandler = http.HandlerFunc(writeNoRoute)
	return router
}

// writeNoRoute responds with RequestNoRoute.
func writeNoRoute(out http.ResponseWriter, _ *http.Request) {
	WriteCode(out, errcode.RequestNoRoute, "")
}

func (p *Proxy) isReady() bool { return !p.stopping.Load() && p.frontend.Ready(p.goroutines.Now()) }

func (p *Proxy) ready(out http.ResponseWriter, _ *http.Request) {
	if !p.isReady() {
		WriteCode(out, errcode.BusyNotReady, "")
		return
	}
	WriteCode(out, errcode.OK, "ready")
}

// proxyCounters is the response body of the counters route of a proxy.
type proxyCounters struct {
	Answers             map[string]int64 `json:"answers"` // finished requests by result code name
	Control             *proxy.Status    `json:"control,omitempty"`
	InFlight            int64            `json:"inside"` // callers' requests in flight
	Process             map[string]int64 `json:"process"`
	Retries             int64            `json:"retries"`
	ServingProxyPending int              `json:"serving_proxy_pending"` // requests queued for the upstreams that this proxy serves
	ServingProxyRunning int              `json:"serving_proxy_running"` // requests running on the upstreams that this proxy serves
}

// counters returns the counters of the proxy. The control machine's status is omitted if it does not
// reply within statusTimeout.
func (p *Proxy) counters() proxyCounters {
	results, retries := p.frontend.ResultCounts()
	running, pending := p.backend.Running()
	counters := proxyCounters{
		Answers:             results,
		InFlight:            p.pipeline.InFlight(),
		Process:             p.process.Counters(),
		Retries:             retries,
		ServingProxyPending: pending,
		ServingProxyRunning: running,
	}
	ctx, cancel := context.WithTimeout(p.goroutines.Context, statusTimeout)
	defer cancel()
	if status, err := node.RequestAs[proxy.Status](ctx, p.process, proxy.ReadStatus{}); err == nil {
		counters.Control = &status
	}
	return counters
}
