package api

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/tidwall/gjson"

	"beaconvane/internal/delta"
	"beaconvane/internal/errcode"
	"beaconvane/internal/node"
	"beaconvane/internal/registry"
	"beaconvane/internal/routeconfig"
	"beaconvane/internal/settings"
)

// controlSlack is how long the control thread may be late with its answers.
const controlSlack = 100 * time.Millisecond

// noAnswer is the detail of an answer when the control machine did not reply in time.
const noAnswer = "no answer from the control thread"

// registryHandler serves the registry's paths.
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
	get := func(path string, question func(in *http.Request) any) {
		router.HandleFunc(path, h.ask(question)).Methods(http.MethodGet)
	}
	get("/ready", func(*http.Request) any { return registry.ReadReadiness{} })
	get("/v1/status", func(*http.Request) any { return registry.ReadStatus{} })
	get("/v1/roster", func(*http.Request) any { return registry.ReadRoster{} })
	get("/v1/usage/{window:[0-9]+}", func(in *http.Request) any {
		return registry.ReadUsage{Window: number(in, "window")}
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
		return registry.ReadConfiguration{ConfigName: configName(in), Version: number(in, "version")}
	})
	router.HandleFunc("/v1/configurations/{configuration}/{version:[0-9]+}", h.write).Methods(http.MethodPut)
	router.HandleFunc("/v1/configurations/{configuration}", h.write).Methods(http.MethodPut)
}

// configName returns the configuration that the path names.
func configName(in *http.Request) string { return mux.Vars(in)["configuration"] }

// number returns a number of the path; 0 when the path has none of that name.
func number(in *http.Request, name string) int64 {
	value, _ := strconv.ParseInt(mux.Vars(in)[name], 10, 64)
	return value
}

// ask returns a handler that puts a question to the machine and writes its answer.
func (h *registryHandler) ask(question func(in *http.Request) any) http.HandlerFunc {
	return func(out http.ResponseWriter, in *http.Request) { h.answer(out, in, question(in)) }
}

func (h *registryHandler) answer(out http.ResponseWriter, in *http.Request, question any) {
	write, isWrite := question.(registry.WriteConfiguration)
	_, isRead := question.(registry.ReadConfiguration)
	limited, cancel := context.WithTimeout(in.Context(), h.settings.AnswerLimit(len(write.Body))+controlSlack)
	defer cancel()
	answered, err := h.process.Request(limited, question)
	switch {
	case err == nil:
		writeAnswer(out, answered.(registry.Answer))
	case isWrite:
		WriteCode(out, errcode.ConfigurationUnsure, noAnswer)
	case isRead:
		WriteCode(out, errcode.ConfigurationNoHolder, noAnswer)
	default:
		WriteCode(out, errcode.Internal, noAnswer)
	}
}

func writeAnswer(out http.ResponseWriter, answer registry.Answer) {
	setCodeHeaders(out, answer.Code)
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(answer.Code.Status())
	out.Write(answer.Body)
}

// readBody reads a configuration; when it is too large it answers so and returns false.
func (h *registryHandler) readBody(out http.ResponseWriter, in *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(out, in.Body, h.settings.Limits.Configuration+1))
	if err != nil {
		WriteCode(out, errcode.ConfigurationTooLarge, "")
		return nil, false
	}
	return body, true
}

func (h *registryHandler) write(out http.ResponseWriter, in *http.Request) {
	body, whole := h.readBody(out, in)
	if !whole {
		return
	}
	h.answer(out, in, registry.WriteConfiguration{ConfigName: configName(in), Version: number(in, "version"), Body: body, Packed: delta.Encode(nil, body),
		Check: registry.CheckConfiguration(h.settings, body)})
}

// inForce answers once a version is in force on every proxy, or when the caller's time
// (wait_ms) is up, with the names of those that lack it.
func (h *registryHandler) inForce(out http.ResponseWriter, in *http.Request) {
	limited, cancel := context.WithTimeout(in.Context(), h.inForceWait(in))
	defer cancel()
	ticker := time.NewTicker(h.settings.TickEvery())
	defer ticker.Stop()
	question := registry.ReadConfigurationStatus{ConfigName: configName(in), Version: number(in, "version")}
	for {
		answered, err := h.process.Request(in.Context(), question)
		if err != nil {
			WriteCode(out, errcode.Internal, noAnswer)
			return
		}
		answer := answered.(registry.Answer)
		everywhere := gjson.GetBytes(answer.Body, "everywhere").Bool()
		if everywhere || limited.Err() != nil {
			if !everywhere && answer.Code == errcode.OK {
				answer.Code = errcode.ConfigurationLacking
			}
			writeAnswer(out, answer)
			return
		}
		select {
		case <-limited.Done():
		case <-ticker.C:
		}
	}
}

// inForceWait returns how long the caller wants to wait, within the stopping time of the process.
func (h *registryHandler) inForceWait(in *http.Request) time.Duration {
	milliseconds, err := strconv.ParseInt(in.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || milliseconds < 0 {
		return h.settings.InForceWait()
	}
	return min(time.Duration(milliseconds)*time.Millisecond, h.settings.Grace())
}

// checkAnswer is the body of an answer to a check.
type checkAnswer struct {
	Code   errcode.Code `json:"code"`
	Faults []string     `json:"faults"`
	Result string       `json:"result"`
}

// check checks a configuration and writes nothing.
func (h *registryHandler) check(out http.ResponseWriter, in *http.Request) {
	body, whole := h.readBody(out, in)
	if !whole {
		return
	}
	faults, tooLarge := routeconfig.Check(body, h.settings.ConfigurationLimits())
	code := errcode.OK
	switch {
	case tooLarge:
		code = errcode.ConfigurationTooLarge
	case len(faults) > 0:
		code = errcode.ConfigurationBad
	}
	writeJSON(out, code.Status(), checkAnswer{Code: code, Faults: faults, Result: code.String()})
}
