package frontend

import (
	"maps"
	"slices"
	"time"

	"beaconvane/internal/message"
)

// The serving proxy gets less time than the request has left, so that its answer arrives before the
// deadline. The reserve is 1/20 of the remaining time, but at most 1/10 of the update interval.
const (
	responseReserveDivisor    = 20
	maxResponseReserveDivisor = 10
)

// forwardFrame builds the frame that forwards an attempt to the selected serving proxy.
func (f *Frontend) forwardFrame(now time.Duration, request *Request, self string, attempt string) message.Forward {
	remaining := request.Deadline - now
	reserve := min(remaining/responseReserveDivisor, f.settings.UpdatesEvery()/maxResponseReserveDivisor)
	forward := message.Forward{
		ID:                    request.ID + "." + attempt,
		Proxy:                 self,
		ServingProxyStartTime: request.Target.ServingProxyStartTime,
		ConfigName:            request.Configuration.ConfigName,
		Version:               request.Configuration.Version,
		Route:                 request.Route.Name,
		Service:               request.Service,
		Instance:              request.Target.Instance,
		Incarnation:           request.Target.Incarnation,
		Tenant:                request.Tenant,
		Caller:                request.Caller,
		Method:                request.Method,
		Headers:               headerLines(request),
		Body:                  request.Body,
		MaxResponseBytes:      f.settings.Limits.Response,
		Host:                  request.Host,
		AttemptName:           request.AttemptName,
		Priority:              request.Priority,
		AtMostOnce:            request.Route.AtMostOnce,
		Retried:               request.UpstreamAttempts > 0,
		Remaining:             int64(remaining - reserve),
	}
	forward.SetTarget(request.Path, request.RawQuery, request.HasQuery)
	if request.Route.LatencyTarget > 0 && !request.nested() {
		forward.LatencyTargetRemaining = max(int64(request.ArrivedAt+request.Route.LatencyTarget-now), 1)
	}
	if forward.Body == nil {
		forward.Body = []byte{}
	}
	return forward
}

// headerLines returns a request's headers sorted by name.
func headerLines(request *Request) []message.HeaderLine {
	lines := []message.HeaderLine{}
	for _, name := range slices.Sorted(maps.Keys(request.Header)) {
		for _, value := range request.Header[name] {
			lines = append(lines, message.HeaderLine{Name: name, Value: value})
		}
	}
	return lines
}
