package routeconfig

import (
	"slices"

	"github.com/tidwall/gjson"
)

var (
	routeFieldNames = []string{
		"name", "service", "path", "match", "methods", "callers", "tenants", "once", "timeout_ms", "body_bytes",
		"calendar", "host", "prefix", "kind", "split", "attempts", "aim_ms", "priority", "open",
	}
	allMatches = []string{matchExact, matchPrefix}
	allKinds   = []string{kindRepeatable, kindOnce, kindUpload}
)

// checkRoute checks a route. The services and tenants must have been checked before.
func (c *checker) checkRoute(path string, route gjson.Result) {
	c.checkFields(path, route, routeFieldNames)
	if name := route.Get("name"); name.Exists() || !c.lenient {
		c.checkUnique(c.routeNames, path+".name", c.checkString(path+".name", name), "route stands twice")
	}
	c.checkTargets(path, route)
	if route.Get("host").Exists() {
		c.checkHostMatch(path, route)
	} else {
		c.checkPathMatch(path, route)
	}
	c.checkChoice(path+".match", route.Get("match"), allMatches, "want exact or prefix")
	c.checkMethods(path+".methods", route.Get("methods"))
	c.checkStringSet(path+".callers", route.Get("callers"))
	c.checkTenants(path+".tenants", route.Get("tenants"))
	c.checkBool(path+".once", route.Get("once"))
	c.checkChoice(path+".kind", route.Get("kind"), allKinds, "want repeatable, once or upload")
	c.checkRouteNumbers(path, route)
	if calendar := route.Get("calendar"); calendar.Exists() {
		for _, problem := range checkCalendar(calendar) {
			c.add(path+".calendar", problem)
		}
	}
}

// checkMethods checks that a list holds known methods only.
func (c *checker) checkMethods(path string, value gjson.Result) {
	for method := range c.checkStringSet(path, value) {
		if !slices.Contains(allMethods, method) {
			c.add(path, "unknown method "+method)
		}
	}
}

// checkTenants checks that a list holds only tenants of the configuration, or the wildcard.
func (c *checker) checkTenants(path string, value gjson.Result) {
	for tenant := range c.checkStringSet(path, value) {
		if tenant != wildcard && !c.tenants[tenant] {
			c.add(path, "unknown tenant "+tenant)
		}
	}
}

// checkRouteNumbers checks the durations, counts and sizes of a route.
func (c *checker) checkRouteNumbers(path string, route gjson.Result) {
	c.checkCount(path+".attempts", route.Get("attempts"))
	c.checkCount(path+".aim_ms", route.Get("aim_ms"))
	c.checkNonNegativeInteger(path+".priority", route.Get("priority"))
	c.checkCount(path+".body_bytes", route.Get("body_bytes"))
	if c.lenient {
		c.checkPositiveNumber(path+".timeout_ms", route.Get("timeout_ms"))
		return
	}
	c.checkPositiveInteger(path+".timeout_ms", route.Get("timeout_ms"), c.maxTimeoutMilli)
}

// checkTargets checks that a route has a service, or a split with at least one weight above 0.
func (c *checker) checkTargets(path string, route gjson.Result) {
	split := route.Get("split")
	if !split.Exists() {
		c.checkServiceName(path+".service", route.Get("service"))
		return
	}
	total := 0.0
	c.checkList(path+".split", split, func(sharePath string, share gjson.Result) {
		c.checkServiceName(sharePath+".service", share.Get("service"))
		total += c.checkWeight(sharePath+".weight", share.Get("weight"))
	})
	if total <= 0 {
		c.add(path+".split", "want a weight above 0")
	}
}

// checkWeight checks and returns a weight. It may be a fraction in a lenient configuration.
func (c *checker) checkWeight(path string, weight gjson.Result) float64 {
	if c.lenient && weight.Type == gjson.Number && weight.Num >= 0 {
		return weight.Num
	}
	c.checkNonNegativeInteger(path, weight)
	return float64(weight.Int())
}

// checkServiceName checks that a value names a service of the configuration.
func (c *checker) checkServiceName(path string, value gjson.Result) {
	if service := c.checkString(path, value); service != "" && !c.services[service] {
		c.add(path, "unknown service "+service)
	}
}

// checkHostMatch checks the host and prefix of a route that is bound to a host. A route for all methods
// must not repeat the prefix of an earlier route of the same host.
func (c *checker) checkHostMatch(path string, route gjson.Result) {
	c.checkString(path+".host", route.Get("host"))
	if prefix := c.checkString(path+".prefix", route.Get("prefix")); prefix != "" && prefix[0] != '/' {
		c.add(path+".prefix", "must begin with /")
	}
	if timeout := route.Get("timeout_ms"); !timeout.Exists() {
		c.add(path+".timeout_ms", "missing")
	}
	matchKey := string(ParseAuthority(route.Get("host").String())) + " " + route.Get("prefix").String()
	other, duplicate := c.routesByMatch[matchKey]
	if duplicate && !route.Get("methods").Exists() {
		c.add(path, "stands at the place of "+other)
	}
	c.routesByMatch[matchKey] = path
}

// checkPathMatch checks the path, methods and callers of a route that is not bound to a host. No two such
// routes may have the same match, method and path.
func (c *checker) checkPathMatch(path string, route gjson.Result) {
	routePath := c.checkString(path+".path", route.Get("path"))
	if normalized, err := NormalizePath(routePath); routePath != "" && (err != nil || normalized != routePath) {
		c.add(path+".path", "want a normalised path that begins with /")
	}
	methods := route.Get("methods")
	if countItems(methods) == 0 {
		c.add(path+".methods", "want at least one method")
	}
	if countItems(route.Get("callers")) == 0 {
		c.add(path+".callers", `want at least one caller, or "*"`)
	}
	match := route.Get("match").String()
	if match == "" {
		match = matchExact
	}
	forEachItem(methods, func(_ int, method gjson.Result) bool {
		matchKey := match + " " + method.String() + " " + routePath
		if other, duplicate := c.routesByMatch[matchKey]; duplicate && other != path {
			c.add(path, "ambiguous with "+other+" for "+method.String())
		}
		c.routesByMatch[matchKey] = path
		return !c.isFull()
	})
}
