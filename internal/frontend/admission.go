package frontend

import (
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/proxy"
	"beaconvane/internal/routeconfig"
)

// admission carries one request through the admission checks. Each check reads what earlier
// ones have found.
type admission struct {
	frontend *Frontend
	snapshot *proxy.Snapshot
	now      time.Duration
	wall     time.Time
	request  *Request

	metadata      Metadata
	delegation    backend.Delegation
	delegated     bool // the request shows the token of a running request
	configuration *routeconfig.Configuration
	route         routeconfig.Route
	tenant        string
	caller        string
}

// admissionChecks run in this order, and the first refusal is the caller's answer. The order is
// part of the interface: it decides which of several faults of a request is reported.
var admissionChecks = []func(*admission) *refusal{
	(*admission).checkSnapshot,
	(*admission).checkPath,
	(*admission).checkDelegation,
	(*admission).checkKey,
	(*admission).checkRoute,
	(*admission).checkCaller,
	(*admission).checkCalendar,
	(*admission).checkBodySize,
}

// admit authenticates a request, finds its route and authorizes its caller. It returns nil when
// the request may go on to an upstream.
func (f *Frontend) admit(now time.Duration, wall time.Time, request *Request) *Response {
	a := &admission{frontend: f, snapshot: f.currentSnapshot(), now: now, wall: wall, request: request}
	for _, check := range admissionChecks {
		if refused := check(a); refused != nil {
			return refused.response()
		}
	}
	a.accept()
	return nil
}

// checkSnapshot refuses while the control state is unknown, or too old to rely on.
func (a *admission) checkSnapshot() *refusal {
	if a.snapshot == nil || !a.snapshot.ConfigurationsKnown {
		return refuseWith(errcode.BusyNotReady)
	}
	if limit := a.frontend.settings.MaxAgeAdmit(); limit > 0 && a.now-a.snapshot.ConfigurationsFreshAt > limit {
		return refuseWith(errcode.BusyStale)
	}
	return nil
}

// checkPath finds the path by which the request is routed, and reads what the request says of
// its caller. A path that exposes a key is refused, since it can't be cleaned as headers are.
func (a *admission) checkPath() *refusal {
	path, code := a.frontend.protocol.RoutingPath(a.request)
	if code != errcode.OK {
		return refuseWith(code)
	}
	a.request.Path = path
	a.metadata = a.frontend.protocol.Metadata(a.request)
	if a.frontend.protocol.PathExposesKey(a.request, a.metadata.APIKeys, a.snapshot.Configurations) {
		return refuseWith(errcode.RequestBadPath)
	}
	return nil
}

// checkDelegation resolves the token of a running request, if the request shows one.
func (a *admission) checkDelegation() *refusal {
	if a.metadata.DelegationToken == "" {
		return nil
	}
	a.delegation, a.delegated = a.frontend.lookupDelegation(a.metadata.DelegationToken)
	if !a.delegated {
		return refuseWith(errcode.RequestPassInvalid)
	}
	return nil
}

// checkKey refuses a request that nobody vouches for, unless its route is open to all.
func (a *admission) checkKey() *refusal {
	switch {
	case a.delegated || a.isOpen() || a.isKeyKnown():
		return nil
	case a.key() == "":
		return refuseWith(errcode.RequestNoKey)
	}
	return refuseWith(errcode.RequestKeyUnknown)
}

// key is the API key that counts: the first of those that the request shows.
func (a *admission) key() string {
	if len(a.metadata.APIKeys) == 0 {
		return ""
	}
	return a.metadata.APIKeys[0]
}

// isOpen reports whether some configuration lets anybody use the request's route.
func (a *admission) isOpen() bool {
	for _, configuration := range a.snapshot.Configurations {
		route, found := a.find(configuration)
		if found && (route.Public || a.request.Host != "" && configuration.Keyless()) {
			return true
		}
	}
	return false
}

// isKeyKnown reports whether some configuration honours the request's key.
func (a *admission) isKeyKnown() bool {
	key := a.key()
	for _, configuration := range a.snapshot.Configurations {
		if _, known := configuration.Tenant(key); known {
			return true
		}
	}
	return false
}

func (a *admission) find(configuration *routeconfig.Configuration) (routeconfig.Route, bool) {
	return configuration.MatchHost(a.request.Host, a.request.Method, a.request.Path)
}

// checkRoute takes the first configuration that has a route for the request.
func (a *admission) checkRoute() *refusal {
	for _, configuration := range a.snapshot.Configurations {
		if route, found := a.find(configuration); found {
			a.configuration, a.route = configuration, route
			return nil
		}
	}
	return refuseWith(errcode.RequestNoRoute)
}

// checkCaller settles the tenant and the calling service, and refuses those that the route does
// not allow. A delegation is worth what its tenant's keys are: nothing once all are withdrawn.
func (a *admission) checkCaller() *refusal {
	tenant, authenticated := a.configuration.Tenant(a.key())
	caller := a.metadata.CallingService
	if a.delegated {
		tenant, caller = a.delegation.Tenant, a.delegation.Service
		authenticated = a.configuration.TenantHasKey(tenant)
	}
	if a.frontend.settings.Service != "" {
		caller = a.frontend.settings.Service
	}
	keyless := a.route.Host != "" && a.configuration.Keyless()
	if !authenticated && !a.route.Public && !keyless || !a.route.Allows(tenant, caller) {
		return refuseWith(errcode.RequestCallerRefused)
	}
	a.tenant, a.caller = tenant, caller
	return nil
}

// checkCalendar refuses outside the route's opening hours.
func (a *admission) checkCalendar() *refusal {
	if a.route.Calendar == nil || a.route.Calendar.IsOpen(a.wall) {
		return nil
	}
	return &refusal{code: errcode.RequestRouteClosed, retryAfter: a.route.Calendar.UntilOpen(a.wall)}
}

// checkBodySize refuses a body that is larger than the route allows.
func (a *admission) checkBodySize() *refusal {
	if a.route.MaxBodyBytes > 0 && int64(len(a.request.Body)) > a.route.MaxBodyBytes {
		return refuseWith(errcode.RequestTooLarge)
	}
	return nil
}

// accept writes what the checks have found into the request, and removes from it what must not
// reach an upstream.
func (a *admission) accept() {
	request := a.request
	request.Configuration, request.Route = a.configuration, a.route
	request.Tenant, request.Caller = a.tenant, a.caller
	request.AttemptName = a.metadata.AttemptName
	request.Priority = a.configuration.Priority(a.tenant, a.route)
	request.Deadline = min(request.Deadline, request.startedAt(a.now)+a.route.Timeout)
	if a.metadata.Timeout > 0 {
		request.Deadline = min(request.Deadline, request.ArrivedAt+a.metadata.Timeout)
	}
	request.Tried = map[string]bool{}
	a.frontend.protocol.Sanitize(request, a.metadata.APIKeys, a.snapshot.Configurations)
	a.frontend.countOpen(request)
}
