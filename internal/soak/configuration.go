package soak

import (
	"encoding/json"
	"fmt"
)

// Services of the soak. Requests to mainPath go to one of rotatingServices, by the version. Only invalid
// configurations send them to forbiddenService.
const (
	onceService      = "alpha"
	innerService     = "inner"
	forbiddenService = "gamma"
	authorityService = "inner" // of the authorities that differ from shopHost by port or case
)

var (
	rotatingServices = []string{"alpha", "beta", "delta"}
	allServices      = []string{"alpha", "beta", "delta", forbiddenService, innerService}
)

// Hosts and paths of the requests.
const (
	shopHost   = "shop.example"
	innerHost  = "inner.example"
	mainPath   = "/x/1"
	mainPrefix = "/x/"
	oncePath   = "/once/1"
	innerPath  = "/y/1"
)

// Keys of the requests. No configuration has ever unknownKey.
const (
	tenantKey  = "key-of-the-tenant-1"
	unknownKey = "key-of-nobody-1234"
)

// Time limits of the routes, in milliseconds.
const (
	routeTimeoutMS = 3000
	innerTimeoutMS = 500
)

// configuration is the JSON form of a configuration.
type configuration struct {
	Version  int64    `json:"version"`
	Services []string `json:"services"`
	Tenants  []tenant `json:"tenants"`
	Routes   []route  `json:"routes"`
}

type tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
}

type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Service   string `json:"service"`
	Kind      string `json:"kind"`
	TimeoutMS int    `json:"timeout_ms"`
	Open      bool   `json:"open,omitempty"`
}

// serviceOf returns the service that a valid version sends mainPath to.
func serviceOf(version int64) string { return rotatingServices[version%int64(len(rotatingServices))] }

// addedPath returns the path of the route that a version adds.
func addedPath(version int64) string { return fmt.Sprintf("/added-%d/1", version) }

// Authorities beside shopHost, which differ from it by port or case. No configuration has neverHost.
const (
	portHost  = shopHost + ":8443"
	casedHost = "Shop.Example:9443"
	neverHost = shopHost + ":7443"
)

// hostsOf returns the authorities beside shopHost of which a version has routes.
func hostsOf(version int64) []string {
	switch version % 3 {
	case 0:
		return []string{portHost}
	case 1:
		return []string{portHost, casedHost}
	}
	return nil
}

// newConfiguration returns a valid version.
func newConfiguration(version int64) configuration {
	content := mainConfiguration(version)
	for index, host := range hostsOf(version) {
		content.Routes = append(content.Routes, route{
			Name: fmt.Sprintf("authority-%d", index), Host: host, Prefix: mainPrefix, Service: authorityService, Kind: "repeatable",
			TimeoutMS: routeTimeoutMS,
		})
	}
	return content
}

// mainConfiguration returns a valid version with routes of one authority for callers.
func mainConfiguration(version int64) configuration {
	return configuration{
		Version:  version,
		Services: allServices,
		Tenants:  []tenant{{"tenant-1", []string{tenantKey}}, {"tenant-2", []string{"key-of-tenant-two"}}},
		Routes: []route{
			{Name: "main", Host: shopHost, Prefix: mainPrefix, Service: serviceOf(version), Kind: "repeatable", TimeoutMS: routeTimeoutMS},
			{Name: "once", Host: shopHost, Prefix: "/once/", Service: onceService, Kind: "once", TimeoutMS: routeTimeoutMS},
			{
				Name: "inner", Host: innerHost, Prefix: "/y/", Service: innerService,
				Kind: "repeatable", TimeoutMS: innerTimeoutMS, Open: true,
			},
			{
				Name: "added", Host: shopHost, Prefix: fmt.Sprintf("/added-%d/", version), Service: rotatingServices[0],
				Kind: "repeatable", TimeoutMS: routeTimeoutMS,
			},
		},
	}
}

// invalid returns the version with a route to an unknown service. Its other routes send requests to
// forbiddenService.
func (c configuration) invalid() configuration {
	c.Routes[0].Service = forbiddenService
	c.Routes = append(c.Routes, route{
		Name: "bad", Host: shopHost, Prefix: "/bad/", Service: "nobody", Kind: "repeatable", TimeoutMS: routeTimeoutMS,
	})
	return c
}

// withoutKeys returns the version with all keys taken away.
func (c configuration) withoutKeys() configuration {
	c.Tenants = []tenant{{"tenant-1", []string{}}, {"tenant-2", []string{}}}
	return c
}

// encode returns the JSON text.
func (c configuration) encode() []byte {
	body, err := json.Marshal(c)
	if err != nil {
		panic("soak: " + err.Error()) // a programming error: every value of these types can be encoded
	}
	return body
}
