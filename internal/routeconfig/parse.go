package routeconfig

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/tidwall/gjson"
)

// Parse parses a configuration in which Check found no faults under the same limits.
func Parse(configName string, version int64, body []byte, limits Limits) *Configuration {
	return parse(configName, version, body, limits, nil)
}

// Next parses a later version of the configuration, as Parse does, and reuses every route whose text is
// unchanged. Operators usually change a few routes of many, and each proxy parses every version on the
// goroutine that also answers probes and applies updates. The receiver may be nil.
func (c *Configuration) Next(configName string, version int64, body []byte, limits Limits) *Configuration {
	if c == nil {
		return Parse(configName, version, body, limits)
	}
	return parse(configName, version, body, limits, c.routesByJSON)
}

// parse parses a configuration. It reuses the routes of previous, which are indexed by their JSON text.
func parse(configName string, version int64, body []byte, limits Limits, previous map[string]*Route) *Configuration {
	configuration := &Configuration{
		ConfigName:     configName,
		Version:        version,
		tenantByKey:    map[keyDigest]string{},
		tenantsWithKey: map[string]bool{},
		priorities:     map[string]int64{},
		routesByHost:   map[Authority]routesByPrefix{},
		services:       map[string]Service{},
	}
	root := gjson.ParseBytes(body)
	configuration.CallerLimits = parseCallerLimits(root.Get("limits"))
	configuration.parseServices(root.Get("services"))
	configuration.parseTenants(root.Get("tenants"))
	configuration.parseRoutes(root.Get("routes"), limits, previous)
	configuration.indexHosts()
	return configuration
}

// parseServices parses services, each of which is a name or an object with further fields.
func (c *Configuration) parseServices(services gjson.Result) {
	forEachItem(services, func(_ int, item gjson.Result) bool {
		service := Service{Name: item.String()}
		if item.IsObject() {
			service = Service{
				Name:        item.Get("name").String(),
				Health:      item.Get("health").String(),
				Connections: item.Get("connections").Int(),
			}
		}
		c.services[service.Name] = service
		return true
	})
}

// parseTenants parses the tenants' priorities and keys.
func (c *Configuration) parseTenants(tenants gjson.Result) {
	c.hasTenants = tenants.Exists()
	forEachItem(tenants, func(_ int, tenant gjson.Result) bool {
		name := tenant.Get("name").String()
		if priority := tenant.Get("priority"); priority.Exists() {
			c.priorities[name] = priority.Int()
		}
		forEachItem(tenant.Get("keys"), func(_ int, key gjson.Result) bool {
			c.tenantByKey[sha256.Sum256([]byte(key.String()))] = name
			c.tenantsWithKey[name] = true
			return true
		})
		return true
	})
}

// parseRoutes parses the routes that are not in previous, reuses the others, and sorts all of them.
func (c *Configuration) parseRoutes(routes gjson.Result, limits Limits, previous map[string]*Route) {
	c.Routes = make([]*Route, 0, len(previous))
	c.routesByJSON = make(map[string]*Route, len(previous))
	fields := routeFields{}
	routes.ForEach(func(_, item gjson.Result) bool {
		route, unchanged := previous[item.Raw]
		if !unchanged {
			fields.read(item)
			route = parseRoute(fields, limits)
		}
		c.routesByJSON[item.Raw] = route
		c.Routes = append(c.Routes, route)
		return true
	})
	slices.SortStableFunc(c.Routes, (*Route).compare)
}

// indexHosts indexes the routes that are bound to a host by host and prefix.
func (c *Configuration) indexHosts() {
	indexes := make([]int, len(c.Routes))
	for index, route := range c.Routes {
		if route.Host == "" {
			continue
		}
		if c.routesByHost[route.Host] == nil {
			c.routesByHost[route.Host] = routesByPrefix{}
		}
		indexes[index] = index
		byPrefix := c.routesByHost[route.Host]
		if others, exists := byPrefix[route.Path]; exists {
			byPrefix[route.Path] = append(others, index)
			continue
		}
		// Most prefixes have one route. Their slices share one array, which saves an allocation for each.
		byPrefix[route.Path] = indexes[index : index+1 : index+1]
	}
}

// maxMilliseconds is the maximum duration that milliseconds returns: a year.
const maxMilliseconds = float64(365 * 24 * time.Hour / time.Millisecond)

// milliseconds parses a duration in milliseconds, which may be a fraction; 0 if there is none.
func milliseconds(value gjson.Result) time.Duration {
	bounded := min(max(value.Float(), 0), maxMilliseconds)
	return time.Duration(bounded * float64(time.Millisecond))
}
