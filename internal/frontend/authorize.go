package frontend

import (
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/routeconfig"
)

// AuthorizeForward checks a forwarded request against the configurations of the serving proxy,
// which may be older or newer than those of the proxy that admitted the request.
func (f *Frontend) AuthorizeForward(forward message.Forward) errcode.Code {
	snapshot := f.currentSnapshot()
	if snapshot == nil || !snapshot.ConfigurationsKnown {
		return errcode.BusyNotReady
	}
	for _, configuration := range snapshot.Configurations {
		if configuration.ConfigName == forward.ConfigName && f.permits(configuration, forward) {
			return errcode.OK
		}
	}
	return errcode.BusyConfigurationDiffers
}

// permits reports whether a configuration allows a forwarded request to reach its upstream.
func (f *Frontend) permits(configuration *routeconfig.Configuration, forward message.Forward) bool {
	if f.settings.ProofByTarget() && configuration.Version <= forward.Version {
		// The request was admitted under this version or a newer one.
		return true
	}
	route, found := configuration.MatchHost(forward.Host, forward.Method, forward.RoutingPath())
	if !found || !route.RoutesTo(forward.Service) || !route.Allows(forward.Tenant, forward.Caller) {
		return false
	}
	return route.Public || configuration.TenantHasKey(forward.Tenant) || route.Host != "" && configuration.Keyless()
}
