package frontend

// This file decides who asks for what: key to tenant, caller, route, size.

import (
	"time"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// Patience is how long the read stage waits before the gate has said until when.
func (f *Frontend) Patience(request *Request) time.Duration {
	limit := f.settings.RequestLimit()
	if wait := f.protocol.Metadata(request).Timeout; wait > 0 {
		limit = min(limit, wait)
	}
	return limit
}

// Moment is how long a request may wait at a proxy that has only just begun.
func (f *Frontend) Moment(request *Request) time.Duration {
	if f.settings.ByTarget() {
		return min(f.settings.UpdatesEvery()*4, f.Patience(request)/2)
	}
	return f.settings.UpdatesEvery() * 2
}

// Admit decides who asks for what: key to tenant, caller, route, size.
func (f *Frontend) Admit(now time.Duration, wall time.Time, request *Request) *Response {
	f.lock.Lock()
	snapshot := f.snapshot
	f.lock.Unlock()
	if snapshot == nil || !snapshot.ConfigurationsKnown {
		return NewRefusal(errcode.BusyNotReady)
	}
	if limit := f.settings.MaxAgeAdmit(); limit > 0 && now-snapshot.ConfigurationsFreshAt > limit {
		return NewRefusal(errcode.BusyStale)
	}
	path, code := f.protocol.RoutingPath(request)
	if code != errcode.OK {
		return NewRefusal(code)
	}
	request.Path = path
	claims := f.protocol.Metadata(request)
	key := ""
	if len(claims.APIKeys) > 0 {
		key = claims.APIKeys[0]
	}
	if f.protocol.PathExposesKey(request, claims.APIKeys, snapshot.Configurations) {
		return NewRefusal(errcode.RequestBadPath)
	}
	passed, byPass := backend.Delegation{}, false
	if claims.DelegationToken != "" {
		if passed, byPass = f.passOf(claims.DelegationToken); !byPass {
			return NewRefusal(errcode.RequestPassInvalid)
		}
	}
	known, open, anyRoute := byPass, false, false
	for _, configuration := range snapshot.Configurations {
		route, found := configuration.MatchHost(request.Host, request.Method, path)
		_, held := configuration.Tenant(key)
		anyRoute = anyRoute || found
		open = open || found && (route.Public || request.Host != "" && configuration.Keyless())
		known = known || held
	}
	switch {
	case byPass || open || known:
	case key == "":
		return NewRefusal(errcode.RequestNoKey)
	default:
		return NewRefusal(errcode.RequestKeyUnknown)
	}
	if !anyRoute {
		return NewRefusal(errcode.RequestNoRoute)
	}
	for _, configuration := range snapshot.Configurations {
		route, found := configuration.MatchHost(request.Host, request.Method, path)
		if !found {
			continue
		}
		tenant, held := configuration.Tenant(key)
		claimed := claims.CallingService
		if byPass {
			// A pass is worth what its tenant's keys are: nothing once all are withdrawn.
			tenant, claimed, held = passed.Tenant, passed.Service, configuration.TenantHasKey(passed.Tenant)
		}
		if f.settings.Service != "" {
			claimed = f.settings.Service
		}
		if !held && !route.Public && !(route.Host != "" && configuration.Keyless()) || !route.Allows(tenant, claimed) {
			return NewRefusal(errcode.RequestCallerRefused)
		}
		if route.Calendar != nil && !route.Calendar.IsOpen(wall) {
			final := NewRefusal(errcode.RequestRouteClosed)
			final.RetryAfter = route.Calendar.UntilOpen(wall)
			return final
		}
		if route.MaxBodyBytes > 0 && int64(len(request.Body)) > route.MaxBodyBytes {
			return NewRefusal(errcode.RequestTooLarge)
		}
		request.Configuration, request.Route, request.Tenant, request.Caller, request.Name = configuration, route, tenant, claimed, claims.AttemptName
		request.Priority = configuration.Priority(tenant, route)
		request.Deadline = min(request.Deadline, request.since(now)+route.Timeout)
		if claims.Timeout > 0 {
			request.Deadline = min(request.Deadline, request.ArrivedAt+claims.Timeout)
		}
		request.Tried = map[string]bool{}
		f.protocol.Sanitize(request, claims.APIKeys, snapshot.Configurations)
		f.begin(request)
		return nil
	}
	return NewRefusal(errcode.RequestNoRoute)
}

// AuthorizeForward is the serving proxy's check of a carried request against its own configurations.
func (f *Frontend) AuthorizeForward(forward message.Forward) errcode.Code {
	f.lock.Lock()
	snapshot := f.snapshot
	f.lock.Unlock()
	if snapshot == nil || !snapshot.ConfigurationsKnown {
		return errcode.BusyNotReady
	}
	for _, configuration := range snapshot.Configurations {
		if configuration.ConfigName != forward.ConfigName {
			continue
		}
		if f.settings.ByTarget() && configuration.Version <= forward.Version {
			// The configuration that let it in is no older than this one.
			return errcode.OK
		}
		if route, found := configuration.MatchHost(forward.Host, forward.Method, forward.Path); found && route.RoutesTo(forward.Service) && route.Allows(forward.Tenant, forward.Caller) &&
			(route.Public || configuration.TenantHasKey(forward.Tenant) || route.Host != "" && configuration.Keyless()) {
			return errcode.OK
		}
	}
	return errcode.BusyConfigurationDiffers
}
