package api

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"beaconvane/internal/delta"
	"beaconvane/internal/errcode"
	"beaconvane/internal/node"
	"beaconvane/internal/registry"
	"beaconvane/internal/routeconfig"
)

// readBody reads a configuration. It answers one that is too large, and returns false.
func (h *registryHandler) readBody(out http.ResponseWriter, in *http.Request) (body []byte, complete bool) {
	body, err := io.ReadAll(http.MaxBytesReader(out, in.Body, h.settings.Limits.Configuration+1))
	if err != nil {
		WriteCode(out, errcode.ConfigurationTooLarge, "")
		return nil, false
	}
	return body, true
}

// write commits a configuration. It is checked and compressed here, off the control goroutine.
func (h *registryHandler) write(out http.ResponseWriter, in *http.Request) {
	body, complete := h.readBody(out, in)
	if !complete {
		return
	}
	h.serve(out, in, registry.WriteConfiguration{
		ConfigName:     configName(in),
		Version:        pathNumber(in, "version"),
		Body:           body,
		CompressedBody: delta.Encode(nil, body),
		Check:          registry.CheckConfiguration(h.settings, body),
	})
}

// inForce answers once a version is in force on every proxy, or when the caller's time (wait_ms) is
// up, with the names of the proxies that lack it.
func (h *registryHandler) inForce(out http.ResponseWriter, in *http.Request) {
	limited, cancel := context.WithTimeout(in.Context(), h.inForceWait(in))
	defer cancel()
	ticker := time.NewTicker(h.settings.TickEvery())
	defer ticker.Stop()
	request := registry.ReadConfigurationStatus{ConfigName: configName(in), Version: pathNumber(in, "version")}
	for {
		answer, err := node.RequestAs[registry.OperatorResponse](in.Context(), h.process, request)
		if err != nil {
			WriteCode(out, errcode.Internal, noReply)
			return
		}
		everywhere := gjson.GetBytes(answer.Body, "everywhere").Bool()
		if everywhere || limited.Err() != nil {
			if !everywhere && answer.Code == errcode.OK {
				answer.Code = errcode.ConfigurationLacking
			}
			writeResponse(out, answer)
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

// checkResponse is the body of an answer to a check.
type checkResponse struct {
	Code   errcode.Code `json:"code"`
	Faults []string     `json:"faults"`
	Result string       `json:"result"`
}

// check lists the faults of a configuration and writes nothing.
func (h *registryHandler) check(out http.ResponseWriter, in *http.Request) {
	body, complete := h.readBody(out, in)
	if !complete {
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
	writeJSON(out, code.Status(), checkResponse{Code: code, Faults: faults, Result: code.String()})
}
