package workload

import (
	"encoding/json"
	"fmt"
	"net/http"

	"beaconvane/internal/loadgen"
)

// routeTimeoutMS is the timeout of the deployments' routes.
const routeTimeoutMS = 3000

// Configuration is the JSON form of a configuration, with the fields that the tests use, in the order of
// their keys.
type Configuration struct {
	Note     string   `json:"note,omitempty"`
	Routes   []Route  `json:"routes"`
	Services []string `json:"services"`
	Tenants  []Tenant `json:"tenants"`
}

// Route is one route of a Configuration. An optional field that is nil or empty has the default.
type Route struct {
	Callers   []string `json:"callers"`
	Match     string   `json:"match,omitempty"`
	Methods   []string `json:"methods"`
	Name      string   `json:"name"`
	Once      *bool    `json:"once,omitempty"`
	Path      string   `json:"path"`
	Service   string   `json:"service"`
	TimeoutMS int      `json:"timeout_ms,omitempty"`
}

// Tenant is one tenant of a Configuration.
type Tenant struct {
	Keys []string `json:"keys"`
	Name string   `json:"name"`
}

// JSON returns the bytes of the configuration.
func (c Configuration) JSON() []byte {
	body, err := json.Marshal(c)
	if err != nil {
		panic("workload: " + err.Error()) // a programming error: every value of these types can be encoded
	}
	return body
}

// Configuration returns a configuration with the given tenants. fillerRoutes is the number of additional
// routes that enlarge it.
func (d Deployment) Configuration(tenants []loadgen.Tenant, fillerRoutes int) []byte {
	configuration := Configuration{Services: []string{}, Routes: []Route{}, Tenants: []Tenant{}}
	for _, service := range d.Services {
		configuration.Services = append(configuration.Services, service.Name)
	}
	for _, tenant := range tenants {
		configuration.Tenants = append(configuration.Tenants, Tenant{Name: tenant.Name, Keys: []string{tenant.Key}})
	}
	for _, kind := range d.Kinds {
		configuration.Routes = append(configuration.Routes, Route{
			Name:      kind.Route,
			Service:   kind.Service,
			Path:      kind.Path,
			Methods:   []string{kind.Method},
			Callers:   append(d.callersOf(kind.Route), kind.Caller),
			Once:      &kind.Once,
			TimeoutMS: routeTimeoutMS,
		})
	}
	for number := range fillerRoutes {
		configuration.Routes = append(configuration.Routes, Route{
			Name:    fmt.Sprintf("more-%d", number),
			Service: configuration.Services[0],
			Path:    fmt.Sprintf("/more/%d", number),
			Methods: []string{http.MethodGet},
			Callers: []string{"*"},
		})
	}
	return configuration.JSON()
}
