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

// proxyPrefix begins the paths that are the proxy's own; all others are callers'.
const proxyPrefix = "/beacon"

// statusTimeout is how long the counters wait for the control machine.
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

// BeginStop makes the proxy answer that it isn't ready. Announcements are still accepted for the
// linger time of the settings.
func (p *Proxy) BeginStop() { p.stopping.Store(true) }

// Close refuses announcements from now on.
func (p *Proxy) Close() { p.closed.Store(true) }

// Handler serves the proxy's own paths only.
func (p *Proxy) Handler() http.Handler { return p.router() }

// HandlerWithCallers serves the proxy's own paths, and hands all others to the callers' handler.
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
	router.PathPrefix(proxyPrefix + "/").HandlerFunc(noRoute)
	router.MethodNotAllowedHandler = http.HandlerFunc(noRoute)
	return router
}

func noRoute(out http.ResponseWriter, _ *http.Request) { WriteCode(out, errcode.RequestNoRoute, "") }

func (p *Proxy) isReady() bool { return !p.stopping.Load() && p.frontend.Ready(p.goroutines.Now()) }

func (p *Proxy) ready(out http.ResponseWriter, _ *http.Request) {
	if !p.isReady() {
		WriteCode(out, errcode.BusyNotReady, "")
		return
	}
	WriteCode(out, errcode.OK, "ready")
}

// proxyCounters is the body of a proxy's counters.
type proxyCounters struct {
	Answers             map[string]int64 `json:"answers"` // finished requests by the name of their code
	Control             *proxy.Status    `json:"control,omitempty"`
	InFlight            int64            `json:"inside"` // callers' requests that are being served
	Process             map[string]int64 `json:"process"`
	Retries             int64            `json:"retries"`
	ServingProxyPending int              `json:"serving_proxy_pending"` // queued for the upstreams beside this proxy
	ServingProxyRunning int              `json:"serving_proxy_running"` // running on the upstreams beside this proxy
}

// counters returns the counters; those of the control machine are left out while it does not reply.
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
	limited, cancel := context.WithTimeout(p.goroutines.Context, statusTimeout)
	defer cancel()
	if status, err := node.RequestAs[proxy.Status](limited, p.process, proxy.ReadStatus{}); err == nil {
		counters.Control = &status
	}
	return counters
}
