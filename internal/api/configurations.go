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

// readBody reads a configuration from the request body. If the body exceeds the size limit or can't be
// read, it responds with ConfigurationTooLarge and returns false.
func (h *registryHandler) readBody(out http.ResponseWriter, in *http.Request) (body []byte, complete bool) {
	body, err := io.ReadAll(http.MaxBytesReader(out, in.Body, h.settings.Limits.Configuration+1))
	if err != nil {
		WriteCode(out, errcode.ConfigurationTooLarge, "")
		return nil, false
	}
	return body, true
}

// write commits a configuration. Checking and compressing it here keeps this work off the control
// goroutine.
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

// awaitInForce responds once a version is in force on every proxy or the caller's wait time (wait_ms)
// has passed. In the latter case the response names the proxies that lack the version.
func (h *registryHandler) awaitInForce(out http.ResponseWriter, in *http.Request) {
	waitCtx, cancel := context.WithTimeout(in.Context(), h.inForceTimeout(in))
	defer cancel()
	ticker := time.NewTicker(h.settings.TickEvery())
	defer ticker.Stop()
	request := registry.ReadConfigurationStatus{ConfigName: configName(in), Version: pathNumber(in, "version")}
	for {
		response, err := node.RequestAs[registry.OperatorResponse](in.Context(), h.process, request)
		if err != nil {
			WriteCode(out, errcode.Internal, noReplyDetail)
			return
		}
		everywhere := gjson.GetBytes(response.Body, "everywhere").Bool()
		if everywhere || waitCtx.Err() != nil {
			if !everywhere && response.Code == errcode.OK {
				response.Code = errcode.ConfigurationLacking
			}
			writeResponse(out, response)
			return
		}
		select {
		case <-waitCtx.Done():
		case <-ticker.C:
		}
	}
}

// inForceTimeout returns the caller's wait time (wait_ms), at most the grace period of the process. It
// returns the default of the settings if wait_ms is absent or invalid.
func (h *registryHandler) inForceTimeout(in *http.Request) time.Duration {
	milliseconds, err := strconv.ParseInt(in.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || milliseconds < 0 {
		return h.settings.InForceWait()
	}
	return min(time.Duration(milliseconds)*time.Millisecond, h.settings.Grace())
}

// checkResponse is the response body of a configuration check.
type checkResponse struct {
	Code   errcode.Code `json:"code"`
	Faults []string     `json:"faults"`
	Result string       `json:"result"`
}

// check responds with the faults of a configuration without storing it.
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
