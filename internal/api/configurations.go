package api

import (
	"context"
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

// write commits a configuration. Checking and compressing it here keeps this work off the control
// goroutine. A configuration with faults is refused here, so that it takes no memory anywhere else.
func (h *registryHandler) write(out http.ResponseWriter, in *http.Request) {
	body, release, complete := h.orders.read(out, in)
	defer release()
	if !complete {
		return
	}
	write := registry.WriteConfiguration{ConfigName: configName(in), Version: pathNumber(in, "version"), Body: body}
	ctx, cancel := context.WithTimeout(in.Context(), h.settings.OperatorTimeout(len(body)))
	defer cancel()
	checked := h.orders.check(ctx, len(body), func() {
		write.Check = registry.CheckConfiguration(h.settings, body)
		if !write.Check.Faulty() {
			write.CompressedBody = delta.Encode(nil, body)
		}
	})
	switch {
	case !checked:
		WriteCode(out, errcode.BusyBodies, "other configurations are being checked")
	case write.Check.Faulty():
		writeResponse(out, registry.RefuseConfiguration(write))
	default:
		h.serve(out, in, write)
	}
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
	body, release, complete := h.orders.read(out, in)
	defer release()
	if !complete {
		return
	}
	faults, tooLarge := []string(nil), false
	checked := h.orders.check(in.Context(), len(body), func() {
		faults, tooLarge = routeconfig.Check(body, h.settings.ConfigurationLimits())
	})
	if !checked {
		WriteCode(out, errcode.BusyBodies, "other configurations are being checked")
		return
	}
	code := errcode.OK
	switch {
	case tooLarge:
		code = errcode.ConfigurationTooLarge
	case len(faults) > 0:
		code = errcode.ConfigurationBad
	}
	writeJSON(out, code.Status(), checkResponse{Code: code, Faults: faults, Result: code.String()})
}
