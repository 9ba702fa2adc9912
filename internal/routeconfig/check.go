package routeconfig

// This file checks configurations: every fault is listed by its path.

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

var (
	configurationKeys = []string{"version", "services", "tenants", "routes", "limits", "note"}
	tenantKeys        = []string{"name", "keys", "priority"}
	serviceKeys       = []string{"name", "health", "connections", "protocol", "tls"}
	routeKeys         = []string{"name", "service", "path", "match", "methods", "callers", "tenants", "once", "timeout_ms", "body_bytes", "calendar",
		"host", "prefix", "kind", "split", "attempts", "aim_ms", "priority", "open"}
	limitKeys  = []string{"head_bytes", "body_bytes", "head_ms", "idle_ms"}
	kindList   = []string{"repeatable", "once", "upload"}
	methodList = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

// Check lists the faults of a configuration's bytes; tooLarge tells 413 from 422.
func Check(body []byte, limits Limits) (faults []string, tooLarge bool) {
	if int64(len(body)) > limits.MaxBytes {
		return []string{fmt.Sprintf("$: %d bytes, the limit is %d", len(body), limits.MaxBytes)}, true
	}
	if !gjson.ValidBytes(body) {
		return []string{"$: not JSON"}, false
	}
	root := gjson.ParseBytes(body)
	if !root.IsObject() {
		return []string{"$: want an object"}, false
	}
	if entries := countEntries(root); entries > limits.MaxEntries {
		return []string{fmt.Sprintf("$: %d entries, the limit is %d", entries, limits.MaxEntries)}, true
	}
	check := &checker{lenient: limits.Lenient, longest: int64(limits.MaxTimeout / time.Millisecond),
		tenants: map[string]bool{}, keyHolders: map[string]keyHolder{}, places: map[string]string{}, names: map[string]bool{}}
	check.knownFields("", root, configurationKeys)
	check.number("version", root.Get("version"), 0)
	if bounds := root.Get("limits"); bounds.Exists() {
		check.knownFields("limits.", bounds, limitKeys)
	}
	check.checkServices(root.Get("services"))
	check.list("tenants", root.Get("tenants"), check.tenant)
	check.list("routes", root.Get("routes"), check.route)
	sort.Strings(check.faults)
	return check.faults, false
}

func countEntries(root gjson.Result) int64 {
	count := 0
	for _, path := range []string{"services", "tenants", "tenants.#.keys|@flatten", "routes"} {
		count += len(root.Get(path).Array())
	}
	return int64(count)
}

// checker collects faults, and what was seen so far.
type checker struct {
	faults     []string
	lenient    bool
	longest    int64 // milliseconds that a route may hold a request
	services   map[string]bool
	tenants    map[string]bool
	keyHolders map[string]keyHolder // by key
	places     map[string]string    // path of the route that stands at a place
	names      map[string]bool      // of routes
}

// keyHolder is the tenant that has a key, and where the key stands.
type keyHolder struct{ tenant, path string }

// checkServices takes names, or objects that say more.
func (c *checker) checkServices(value gjson.Result) {
	c.services = map[string]bool{}
	c.list("services", value, func(path string, item gjson.Result) {
		name := item
		if item.IsObject() {
			c.knownFields(path+".", item, serviceKeys)
			name = item.Get("name")
			c.figure(path+".connections", item.Get("connections"))
			path += ".name"
		}
		text := c.text(path, name)
		c.once(c.services, path, text, "stands twice")
	})
	if len(c.services) == 0 && !c.lenient {
		c.add("services", "want at least one name")
	}
}

func (c *checker) tenant(path string, tenant gjson.Result) {
	c.knownFields(path+".", tenant, tenantKeys)
	name := c.text(path+".name", tenant.Get("name"))
	c.once(c.tenants, path+".name", name, "tenant stands twice")
	c.rank(path+".priority", tenant.Get("priority"))
	c.list(path+".keys", tenant.Get("keys"), func(keyPath string, key gjson.Result) {
		text := c.text(keyPath, key)
		holder, held := c.keyHolders[text]
		if held && text != "" && !(c.lenient && holder.tenant == name) {
			c.add(keyPath, "key stands already at "+holder.path)
		}
		if strings.ContainsAny(text, " \t\r\n") && !c.lenient {
			c.add(keyPath, "a key holds no white space")
		}
		c.keyHolders[text] = keyHolder{name, keyPath}
	})
}

func (c *checker) route(path string, route gjson.Result) {
	c.knownFields(path+".", route, routeKeys)
	if route.Get("name").Exists() || !c.lenient {
		c.once(c.names, path+".name", c.text(path+".name", route.Get("name")), "route stands twice")
	}
	c.targets(path, route)
	if route.Get("host").Exists() {
		c.hosted(path, route)
	} else {
		c.unhosted(path, route)
	}
	if match := route.Get("match"); match.Exists() && match.String() != "exact" && match.String() != "prefix" {
		c.add(path+".match", "want exact or prefix")
	}
	for method := range c.textSet(path+".methods", route.Get("methods")) {
		if !slices.Contains(methodList, method) {
			c.add(path+".methods", "unknown method "+method)
		}
	}
	c.textSet(path+".callers", route.Get("callers"))
	for tenant := range c.textSet(path+".tenants", route.Get("tenants")) {
		if tenant != "*" && !c.tenants[tenant] {
			c.add(path+".tenants", "unknown tenant "+tenant)
		}
	}
	if once := route.Get("once"); once.Exists() && !once.IsBool() {
		c.add(path+".once", "want true or false")
	}
	if kind := route.Get("kind"); kind.Exists() && !slices.Contains(kindList, kind.String()) {
		c.add(path+".kind", "want repeatable, once or upload")
	}
	c.figures(path, route)
	if calendar := route.Get("calendar"); calendar.Exists() {
		for _, text := range checkCalendar(calendar) {
			c.add(path+".calendar", text)
		}
	}
}

// figures are the times and counts of a route.
func (c *checker) figures(path string, route gjson.Result) {
	c.figure(path+".attempts", route.Get("attempts"))
	c.figure(path+".aim_ms", route.Get("aim_ms"))
	c.rank(path+".priority", route.Get("priority"))
	c.figure(path+".body_bytes", route.Get("body_bytes"))
	if c.lenient {
		c.positive(path+".timeout_ms", route.Get("timeout_ms"))
		return
	}
	c.number(path+".timeout_ms", route.Get("timeout_ms"), c.longest)
}

// targets: a service, or a split of services with weights of which one is above 0.
func (c *checker) targets(path string, route gjson.Result) {
	if !route.Get("split").Exists() {
		c.knownService(path+".service", route.Get("service"))
		return
	}
	total := 0.0
	c.list(path+".split", route.Get("split"), func(sharePath string, share gjson.Result) {
		c.knownService(sharePath+".service", share.Get("service"))
		weight := share.Get("weight")
		if c.lenient && weight.Type == gjson.Number && weight.Num >= 0 {
			total += weight.Num
			return
		}
		c.rank(sharePath+".weight", weight)
		total += float64(weight.Int())
	})
	if total <= 0 {
		c.add(path+".split", "want a weight above 0")
	}
}

func (c *checker) knownService(path string, value gjson.Result) {
	if service := c.text(path, value); service != "" && !c.services[service] {
		c.add(path, "unknown service "+service)
	}
}

// hosted checks the place of a route that is bound to a host.
func (c *checker) hosted(path string, route gjson.Result) {
	c.text(path+".host", route.Get("host"))
	if prefix := c.text(path+".prefix", route.Get("prefix")); prefix != "" && prefix[0] != '/' {
		c.add(path+".prefix", "must begin with /")
	}
	if timeout := route.Get("timeout_ms"); !timeout.Exists() {
		c.add(path+".timeout_ms", "missing")
	}
	place := strings.ToLower(route.Get("host").String()) + " " + route.Get("prefix").String()
	if first, twice := c.places[place]; twice && len(route.Get("methods").Array()) == 0 {
		c.add(path, "stands at the place of "+first)
	}
	c.places[place] = path
}

// unhosted checks the place of a route that every host has: it names methods and callers,
// and no two of them could both win.
func (c *checker) unhosted(path string, route gjson.Result) {
	wanted := c.text(path+".path", route.Get("path"))
	if normal, err := NormalizePath(wanted); wanted != "" && (err != nil || normal != wanted) {
		c.add(path+".path", "want a normalised path that begins with /")
	}
	if len(route.Get("methods").Array()) == 0 {
		c.add(path+".methods", "want at least one method")
	}
	if len(route.Get("callers").Array()) == 0 {
		c.add(path+".callers", `want at least one caller, or "*"`)
	}
	match := route.Get("match").String()
	if match == "" {
		match = "exact"
	}
	for _, method := range route.Get("methods").Array() {
		place := match + " " + method.String() + " " + wanted
		if first, twice := c.places[place]; twice && first != path {
			c.add(path, "ambiguous with "+first+" for "+method.String())
		}
		c.places[place] = path
	}
}

// once says so where a name stands twice.
func (c *checker) once(names map[string]bool, path, name, text string) {
	if names[name] && !c.lenient {
		c.add(path, text)
	}
	names[name] = true
}

// figure is a whole number above 0; 0 is as if it weren't told, where that is allowed.
func (c *checker) figure(path string, value gjson.Result) {
	if !c.lenient {
		c.number(path, value, 0)
		return
	}
	if value.Exists() && (value.Type != gjson.Number || value.Num < 0) {
		c.add(path, "want a number of 0 or more")
	}
}

// positive is a number above 0, fractions included.
func (c *checker) positive(path string, value gjson.Result) {
	if value.Exists() && (value.Type != gjson.Number || value.Num <= 0) {
		c.add(path, "want a whole number above 0, or a fraction of one")
	}
}

// rank is a whole number of 0 or more.
func (c *checker) rank(path string, value gjson.Result) {
	if value.Exists() && (value.Type != gjson.Number || value.Num != float64(value.Int()) || value.Int() < 0) {
		c.add(path, "want a whole number of 0 or more")
	}
}

func (c *checker) add(path, text string) { c.faults = append(c.faults, path+": "+text) }

func (c *checker) knownFields(prefix string, value gjson.Result, known []string) {
	if !value.IsObject() {
		c.add(strings.TrimSuffix(prefix, "."), "want an object")
		return
	}
	seen := map[string]bool{}
	value.ForEach(func(key, _ gjson.Result) bool {
		switch {
		case seen[key.String()]:
			c.add(prefix+key.String(), "key stands twice")
		case !slices.Contains(known, key.String()) && !c.lenient:
			c.add(prefix+key.String(), "unknown field")
		}
		seen[key.String()] = true
		return true
	})
}

func (c *checker) list(path string, value gjson.Result, each func(path string, item gjson.Result)) {
	if !value.Exists() {
		return
	}
	if !value.IsArray() {
		c.add(path, "want a list")
		return
	}
	for index, item := range value.Array() {
		each(fmt.Sprintf("%s.%d", path, index), item)
	}
}

func (c *checker) text(path string, value gjson.Result) string {
	if value.Type != gjson.String || value.String() == "" {
		c.add(path, "want a text that is not empty")
		return ""
	}
	return value.String()
}

func (c *checker) textSet(path string, value gjson.Result) map[string]bool {
	names := map[string]bool{}
	c.list(path, value, func(itemPath string, item gjson.Result) {
		name := c.text(itemPath, item)
		if names[name] {
			c.add(itemPath, "stands twice")
		}
		names[name] = true
	})
	return names
}

func (c *checker) number(path string, value gjson.Result, most int64) {
	if !value.Exists() {
		return
	}
	if value.Type != gjson.Number || value.Num != float64(value.Int()) || value.Int() <= 0 {
		c.add(path, "want a whole number above 0")
	} else if most > 0 && value.Int() > most {
		c.add(path, fmt.Sprintf("the settings allow at most %d", most))
	}
}
