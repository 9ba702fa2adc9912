package frontend

import (
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/proxy"
	"beaconvane/internal/routeconfig"
)

// admission holds the state of one request's admission. Each check reads the results of the
// earlier checks.
type admission struct {
	frontend *Frontend
	snapshot *proxy.Snapshot
	now      time.Duration
	wall     time.Time
	request  *Request

	metadata      Metadata
	delegation    backend.Delegation
	delegated     bool // the request carries the delegation token of a running request
	configuration *routeconfig.Configuration
	route         routeconfig.Route
	tenant        string
	caller        string
}

// admissionChecks lists the checks in the order in which they run. The first refusal is the
// caller's answer. The order is part of the interface: it determines which fault is reported when
// a request has several.
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

// admit authenticates a request, finds its route and authorizes its caller. It returns the refusal,
// or nil if the request is admitted.
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

// checkSnapshot refuses requests while the configurations are unknown, or older than the configured
// limit.
func (a *admission) checkSnapshot() *refusal {
	if a.snapshot == nil || !a.snapshot.ConfigurationsKnown {
		return refuseWith(errcode.BusyNotReady)
	}
	if limit := a.frontend.settings.MaxAgeAdmit(); limit > 0 && a.now-a.snapshot.ConfigurationsFreshAt > limit {
		return refuseWith(errcode.BusyStale)
	}
	return nil
}

// checkPath determines the routing path and reads the caller metadata. A path that contains an API
// key is refused, since a key can't be removed from a path as it can from headers.
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

// checkDelegation resolves the request's delegation token, if it has one.
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

// checkKey refuses a request that has neither a delegation nor a valid API key, unless its route
// requires no key.
func (a *admission) checkKey() *refusal {
	switch {
	case a.delegated || a.isOpen() || a.isKeyKnown():
		return nil
	case a.key() == "":
		return refuseWith(errcode.RequestNoKey)
	}
	return refuseWith(errcode.RequestKeyUnknown)
}

// key returns the request's first API key, which is the one that authenticates it, or "".
func (a *admission) key() string {
	if len(a.metadata.APIKeys) == 0 {
		return ""
	}
	return a.metadata.APIKeys[0]
}

// isOpen reports whether some configuration has a route for the request that requires no key.
func (a *admission) isOpen() bool {
	for _, configuration := range a.snapshot.Configurations {
		route, found := a.matchRoute(configuration)
		if found && (route.Public || a.request.Host != "" && configuration.Keyless()) {
			return true
		}
	}
	return false
}

// isKeyKnown reports whether the request's key is valid in some configuration.
func (a *admission) isKeyKnown() bool {
	key := a.key()
	for _, configuration := range a.snapshot.Configurations {
		if _, known := configuration.Tenant(key); known {
			return true
		}
	}
	return false
}

// matchRoute returns a configuration's route for the request.
func (a *admission) matchRoute(configuration *routeconfig.Configuration) (routeconfig.Route, bool) {
	return configuration.MatchHost(a.request.Host, a.request.Method, a.request.Path)
}

// checkRoute selects the route from the first configuration that has one for the request.
func (a *admission) checkRoute() *refusal {
	for _, configuration := range a.snapshot.Configurations {
		if route, found := a.matchRoute(configuration); found {
			a.configuration, a.route = configuration, route
			return nil
		}
	}
	return refuseWith(errcode.RequestNoRoute)
}

// checkCaller determines the tenant and the calling service, and refuses those that the route does
// not allow. A delegation is valid only while its tenant has at least one valid key.
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

// checkCalendar refuses requests outside the route's opening hours.
func (a *admission) checkCalendar() *refusal {
	if a.route.Calendar == nil || a.route.Calendar.IsOpen(a.wall) {
		return nil
	}
	return &refusal{code: errcode.RequestRouteClosed, retryAfter: a.route.Calendar.UntilOpen(a.wall)}
}

// checkBodySize refuses bodies larger than the route allows.
func (a *admission) checkBodySize() *refusal {
	if a.route.MaxBodyBytes > 0 && int64(len(a.request.Body)) > a.route.MaxBodyBytes {
		return refuseWith(errcode.RequestTooLarge)
	}
	return nil
}

// accept stores the results of the checks in the request, and removes keys and mesh headers from
// it.
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
