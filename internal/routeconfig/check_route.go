package routeconfig

import (
	"slices"
	"strings"

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

func (c *checker) checkRoute(path string, route gjson.Result) {
	c.checkFields(path, route, routeFieldNames)
	if name := route.Get("name"); name.Exists() || !c.lenient {
		c.checkUnique(c.routeNames, path+".name", c.checkText(path+".name", name), "route stands twice")
	}
	c.checkTargets(path, route)
	if route.Get("host").Exists() {
		c.checkHostMatch(path, route)
	} else {
		c.checkPathMatch(path, route)
	}
	c.checkChoice(path+".match", route.Get("match"), allMatches, "want exact or prefix")
	c.checkMethods(path+".methods", route.Get("methods"))
	c.checkTextSet(path+".callers", route.Get("callers"))
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

func (c *checker) checkMethods(path string, value gjson.Result) {
	for method := range c.checkTextSet(path, value) {
		if !slices.Contains(allMethods, method) {
			c.add(path, "unknown method "+method)
		}
	}
}

func (c *checker) checkTenants(path string, value gjson.Result) {
	for tenant := range c.checkTextSet(path, value) {
		if tenant != anyName && !c.tenants[tenant] {
			c.add(path, "unknown tenant "+tenant)
		}
	}
}

// checkRouteNumbers checks the times, counts and sizes of a route.
func (c *checker) checkRouteNumbers(path string, route gjson.Result) {
	c.checkCount(path+".attempts", route.Get("attempts"))
	c.checkCount(path+".aim_ms", route.Get("aim_ms"))
	c.checkPriority(path+".priority", route.Get("priority"))
	c.checkCount(path+".body_bytes", route.Get("body_bytes"))
	if c.lenient {
		c.checkPositive(path+".timeout_ms", route.Get("timeout_ms"))
		return
	}
	c.checkWholeNumber(path+".timeout_ms", route.Get("timeout_ms"), c.maxTimeoutMilli)
}

// checkTargets wants a service, or a split of services with weights of which one is above 0.
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

// checkWeight returns a weight, which may be a fraction in a lenient configuration.
func (c *checker) checkWeight(path string, weight gjson.Result) float64 {
	if c.lenient && weight.Type == gjson.Number && weight.Num >= 0 {
		return weight.Num
	}
	c.checkPriority(path, weight)
	return float64(weight.Int())
}

func (c *checker) checkServiceName(path string, value gjson.Result) {
	if service := c.checkText(path, value); service != "" && !c.services[service] {
		c.add(path, "unknown service "+service)
	}
}

// checkHostMatch checks what a route matches that is bound to a host: a prefix that no other route of
// the host has for all methods.
func (c *checker) checkHostMatch(path string, route gjson.Result) {
	c.checkText(path+".host", route.Get("host"))
	if prefix := c.checkText(path+".prefix", route.Get("prefix")); prefix != "" && prefix[0] != '/' {
		c.add(path+".prefix", "must begin with /")
	}
	if timeout := route.Get("timeout_ms"); !timeout.Exists() {
		c.add(path+".timeout_ms", "missing")
	}
	place := strings.ToLower(route.Get("host").String()) + " " + route.Get("prefix").String()
	first, taken := c.routePlaces[place]
	if taken && len(route.Get("methods").Array()) == 0 {
		c.add(path, "stands at the place of "+first)
	}
	c.routePlaces[place] = path
}

// checkPathMatch checks what a route matches that is bound to no host: it names methods and callers,
// and no two such routes could both win.
func (c *checker) checkPathMatch(path string, route gjson.Result) {
	routePath := c.checkText(path+".path", route.Get("path"))
	if normal, err := NormalizePath(routePath); routePath != "" && (err != nil || normal != routePath) {
		c.add(path+".path", "want a normalised path that begins with /")
	}
	methods := route.Get("methods").Array()
	if len(methods) == 0 {
		c.add(path+".methods", "want at least one method")
	}
	if len(route.Get("callers").Array()) == 0 {
		c.add(path+".callers", `want at least one caller, or "*"`)
	}
	match := route.Get("match").String()
	if match == "" {
		match = matchExact
	}
	for _, method := range methods {
		place := match + " " + method.String() + " " + routePath
		if first, taken := c.routePlaces[place]; taken && first != path {
			c.add(path, "ambiguous with "+first+" for "+method.String())
		}
		c.routePlaces[place] = path
	}
}
