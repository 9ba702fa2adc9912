package routeconfig

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/tidwall/gjson"
)

// Parse reads a configuration that Check has passed.
func Parse(configName string, version int64, body []byte, limits Limits) *Configuration {
	return parse(configName, version, body, limits, nil)
}

// Next reads a later version of the configuration, as Parse does, and takes over every route whose
// text is the same: operators change a few of many, and each proxy reads every version on the
// goroutine that also answers probes and follows updates. The receiver may be nil.
func (c *Configuration) Next(configName string, version int64, body []byte, limits Limits) *Configuration {
	if c == nil {
		return Parse(configName, version, body, limits)
	}
	return parse(configName, version, body, limits, c.routesByJSON)
}

func parse(configName string, version int64, body []byte, limits Limits, previous map[string]*Route) *Configuration {
	configuration := &Configuration{
		ConfigName:     configName,
		Version:        version,
		tenantByKey:    map[keyDigest]string{},
		tenantsWithKey: map[string]bool{},
		priorities:     map[string]int64{},
		routesByHost:   map[string]routesByPrefix{},
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

// parseServices reads services, which are names, or objects that say more.
func (c *Configuration) parseServices(services gjson.Result) {
	for _, item := range services.Array() {
		service := Service{Name: item.String()}
		if item.IsObject() {
			service = Service{
				Name:        item.Get("name").String(),
				Health:      item.Get("health").String(),
				Connections: item.Get("connections").Int(),
			}
		}
		c.services[service.Name] = service
	}
}

func (c *Configuration) parseTenants(tenants gjson.Result) {
	for _, tenant := range tenants.Array() {
		name := tenant.Get("name").String()
		if priority := tenant.Get("priority"); priority.Exists() {
			c.priorities[name] = priority.Int()
		}
		for _, key := range tenant.Get("keys").Array() {
			c.tenantByKey[sha256.Sum256([]byte(key.String()))] = name
			c.tenantsWithKey[name] = true
		}
	}
}

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

// indexHosts notes where the routes of each host stand, by their prefixes.
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
		// Most prefixes have one route: these share one array.
		byPrefix[route.Path] = indexes[index : index+1 : index+1]
	}
}

// maxMilliseconds bounds what a figure of milliseconds may come to: a year.
const maxMilliseconds = float64(365 * 24 * time.Hour / time.Millisecond)

// milliseconds reads a time, fractions included; 0 if there is none.
func milliseconds(value gjson.Result) time.Duration {
	bounded := min(max(value.Float(), 0), maxMilliseconds)
	return time.Duration(bounded * float64(time.Millisecond))
}
