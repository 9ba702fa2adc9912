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

// controlSlack is how late the control machine may be with its replies.
const controlSlack = 100 * time.Millisecond

// noReply is the detail of an answer when the control machine did not reply in time.
const noReply = "no answer from the control thread"

// registryHandler serves the paths of a registry.
type registryHandler struct {
	settings settings.Settings
	process  *node.Node
}

// NewRegistryHandler returns the handler of a registry's HTTP address.
func NewRegistryHandler(cfg settings.Settings, process *node.Node) http.Handler {
	handler := &registryHandler{settings: cfg, process: process}
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
	router.HandleFunc("/v1/configurations/{configuration}/{version:[0-9]+}/in-force", h.inForce).Methods(http.MethodGet)
	get("/v1/configurations/{configuration}/{version:[0-9]+}", func(in *http.Request) any {
		return registry.ReadConfiguration{ConfigName: configName(in), Version: pathNumber(in, "version")}
	})
	router.HandleFunc("/v1/configurations/{configuration}/{version:[0-9]+}", h.write).Methods(http.MethodPut)
	router.HandleFunc("/v1/configurations/{configuration}", h.write).Methods(http.MethodPut)
}

// configName returns the configuration that the path names.
func configName(in *http.Request) string { return mux.Vars(in)["configuration"] }

// pathNumber returns a number of the path: 0 when the path has none of that name, and the greatest
// number in the place of one that is out of range.
func pathNumber(in *http.Request, name string) int64 {
	value, _ := strconv.ParseInt(mux.Vars(in)[name], 10, 64) // the routes let digits through only
	return value
}

// forward returns a handler that hands a request to the machine and writes its reply.
func (h *registryHandler) forward(request func(in *http.Request) any) http.HandlerFunc {
	return func(out http.ResponseWriter, in *http.Request) { h.serve(out, in, request(in)) }
}

// serve hands a request to the machine and writes its reply. Without a reply the caller is told what
// that means: a write may have been committed, a read has found no holder of the lease.
func (h *registryHandler) serve(out http.ResponseWriter, in *http.Request, request any) {
	write, isWrite := request.(registry.WriteConfiguration)
	_, isRead := request.(registry.ReadConfiguration)
	limited, cancel := context.WithTimeout(in.Context(), h.settings.OperatorTimeout(len(write.Body))+controlSlack)
	defer cancel()
	answer, err := node.RequestAs[registry.OperatorResponse](limited, h.process, request)
	switch {
	case err == nil:
		writeResponse(out, answer)
	case isWrite:
		WriteCode(out, errcode.ConfigurationUnsure, noReply)
	case isRead:
		WriteCode(out, errcode.ConfigurationNoHolder, noReply)
	default:
		WriteCode(out, errcode.Internal, noReply)
	}
}

// writeResponse writes the machine's reply, whose body is JSON already.
func writeResponse(out http.ResponseWriter, answer registry.OperatorResponse) {
	setCodeHeaders(out, answer.Code)
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(answer.Code.Status())
	out.Write(answer.Body)
}
