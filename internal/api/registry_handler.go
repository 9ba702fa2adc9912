package api

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"beaconvane/internal/errcode"
	"beaconvane/internal/node"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
)

// controlSlack is added to the operator timeout to allow for a delayed reply of the control machine.
const controlSlack = 100 * time.Millisecond

// noReplyDetail is the detail of the response if the control machine did not reply in time.
const noReplyDetail = "no answer from the control thread"

// registryHandler serves the HTTP API of a registry.
type registryHandler struct {
	settings settings.Settings
	process  *node.Node
	orders   *orders
}

// NewRegistryHandler returns the handler of a registry's HTTP API.
func NewRegistryHandler(cfg settings.Settings, process *node.Node) http.Handler {
	handler := &registryHandler{settings: cfg, process: process, orders: newOrders(cfg)}
	router := newRouter()
	addCommonRoutes(router, "", process, func() any { return processCounters{Process: process.Counters()} })
	handler.addRoutes(router)
	return router
}

func (h *registryHandler) addRoutes(router *mux.Router) {
	get := func(path string, request func(in *http.Request) any) {
		router.HandleFunc(path, h.forward(request)).Methods(http.MethodGet)
	}
	get("/ready", func(*http.Request) any { return registry.ReadReadiness{} })
	get("/v1/status", func(*http.Request) any { return registry.ReadStatus{} })
	get("/v1/roster", func(*http.Request) any { return registry.ReadRoster{} })
	get("/v1/usage/{window:[0-9]+}", func(in *http.Request) any {
		return registry.ReadUsage{Window: pathNumber(in, "window")}
	})
	router.HandleFunc("/v1/configurations/check", h.check).Methods(http.MethodPost)
	get("/v1/configurations/{configuration}", func(in *http.Request) any {
		return registry.ReadConfiguration{ConfigName: configName(in)}
	})
	get("/v1/configurations/{configuration}/versions", func(in *http.Request) any {
		return registry.ReadConfiguration{ConfigName: configName(in), List: true}
	})
	get("/v1/configurations/{configuration}/status", func(in *http.Request) any {
		return registry.ReadConfigurationStatus{ConfigName: configName(in)}
	})
	router.HandleFunc("/v1/configurations/{configuration}/{version:[0-9]+}/in-force", h.awaitInForce).Methods(http.MethodGet)
	get("/v1/configurations/{configuration}/{version:[0-9]+}", func(in *http.Request) any {
		return registry.ReadConfiguration{ConfigName: configName(in), Version: pathNumber(in, "version")}
	})
	router.HandleFunc("/v1/configurations/{configuration}/{version:[0-9]+}", h.write).Methods(http.MethodPut)
	router.HandleFunc("/v1/configurations/{configuration}", h.write).Methods(http.MethodPut)
}

// configName returns the name of the configuration in the path.
func configName(in *http.Request) string { return mux.Vars(in)["configuration"] }

// pathNumber returns the value of a numeric path variable. It returns 0 if the path has no such
// variable, and the greatest int64 if the value is out of range.
func pathNumber(in *http.Request, name string) int64 {
	value, _ := strconv.ParseInt(mux.Vars(in)[name], 10, 64) // the route patterns match digits only
	return value
}

// forward returns a handler that sends a request to the control machine and writes its reply.
func (h *registryHandler) forward(request func(in *http.Request) any) http.HandlerFunc {
	return func(out http.ResponseWriter, in *http.Request) { h.serve(out, in, request(in)) }
}

// serve sends a request to the control machine and writes its reply. Without a reply in time, the
// result code depends on the request: ConfigurationUnsure for a write, which may have been committed,
// and ConfigurationNoHolder for a read, which found no lease holder.
func (h *registryHandler) serve(out http.ResponseWriter, in *http.Request, request any) {
	write, isWrite := request.(registry.WriteConfiguration)
	_, isRead := request.(registry.ReadConfiguration)
	ctx, cancel := context.WithTimeout(in.Context(), h.settings.OperatorTimeout(len(write.Body))+controlSlack)
	defer cancel()
	response, err := node.RequestAs[registry.OperatorResponse](ctx, h.process, request)
	switch {
	case err == nil:
		writeResponse(out, response)
	case isWrite:
		WriteCode(out, errcode.ConfigurationUnsure, noReplyDetail)
	case isRead:
		WriteCode(out, errcode.ConfigurationNoHolder, noReplyDetail)
	default:
		WriteCode(out, errcode.Internal, noReplyDetail)
	}
}

// writeResponse writes the control machine's reply, whose body is already encoded as JSON.
func writeResponse(out http.ResponseWriter, response registry.OperatorResponse) {
	setCodeHeaders(out, response.Code)
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(response.Code.Status())
	out.Write(response.Body)
}
