// Package blocking reads, checks and applies layouts: the operators' route sheets.
// A sheet is JSON, read and checked by gjson paths; a check lists every fault by its
// path. Matching is by one normalised path: exact routes before prefixes, longer
// prefixes before shorter, never two that could both win. The same code serves the
// store, which refuses bad sheets, and the proxies, which only apply checked ones.
package blocking

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// Limits bound a sheet.
type Limits struct {
	Bytes   int64
	Entries int64
	Query   time.Duration
}

// Route is one rule: where a kind of query may go, who may ask it.
type Route struct {
	Name     string
	Service  string
	Path     string
	Prefix   bool
	Methods  map[string]bool
	Callers  map[string]bool
	Tenants  map[string]bool
	Once     bool
	Limit    time.Duration
	BodyCap  int64
	Calendar *Calendar
}

// Layout is one version of a sheet, ready to apply.
type Layout struct {
	Sheet   string
	Version int64
	Routes  []Route
	keys    map[[sha256.Size]byte]string
	tenants map[string]bool // those with a key
}

// Honours says that some key of a tenant is honoured.
func (l *Layout) Honours(tenant string) bool { return l.tenants[tenant] }

var (
	sheetKeys  = []string{"version", "services", "tenants", "routes", "note"}
	tenantKeys = []string{"name", "keys"}
	routeKeys  = []string{"name", "service", "path", "match", "methods", "callers", "tenants", "once", "timeout_ms", "body_bytes", "calendar"}
	methodList = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

// Check lists the faults of a sheet's bytes; tooLarge tells 413 from 422.
func Check(body []byte, limits Limits) (faults []string, tooLarge bool) {
	if int64(len(body)) > limits.Bytes {
		return []string{fmt.Sprintf("$: %d bytes, the limit is %d", len(body), limits.Bytes)}, true
	}
	if !gjson.ValidBytes(body) {
		return []string{"$: not JSON"}, false
	}
	root := gjson.ParseBytes(body)
	if !root.IsObject() {
		return []string{"$: want an object"}, false
	}
	check := &checker{}
	check.keys("", root, sheetKeys)
	check.number("version", root.Get("version"), 0)
	services := check.names("services", root.Get("services"))
	if len(services) == 0 {
		check.add("services", "want at least one name")
	}
	entries := len(root.Get("services").Array()) + len(root.Get("tenants").Array()) + len(root.Get("tenants.#.keys|@flatten").Array()) + len(root.Get("routes").Array())
	if int64(entries) > limits.Entries {
		return []string{fmt.Sprintf("$: %d entries, the limit is %d", entries, limits.Entries)}, true
	}
	tenants, keysSeen := map[string]bool{}, map[string]string{}
	check.list("tenants", root.Get("tenants"), func(path string, tenant gjson.Result) {
		check.keys(path+".", tenant, tenantKeys)
		name := check.text(path+".name", tenant.Get("name"))
		if tenants[name] {
			check.add(path+".name", "tenant stands twice")
		}
		tenants[name] = true
		check.list(path+".keys", tenant.Get("keys"), func(keyPath string, key gjson.Result) {
			text := check.text(keyPath, key)
			if first, twice := keysSeen[text]; twice && text != "" {
				check.add(keyPath, "key stands already at "+first)
			}
			if strings.ContainsAny(text, " \t\r\n") {
				check.add(keyPath, "a key holds no white space")
			}
			keysSeen[text] = keyPath
		})
	})
	type claimed struct{ path, name string }
	taken, namesSeen := map[string]claimed{}, map[string]bool{}
	check.list("routes", root.Get("routes"), func(path string, route gjson.Result) {
		check.keys(path+".", route, routeKeys)
		name := check.text(path+".name", route.Get("name"))
		if namesSeen[name] {
			check.add(path+".name", "route stands twice")
		}
		namesSeen[name] = true
		if service := check.text(path+".service", route.Get("service")); service != "" && !services[service] {
			check.add(path+".service", "unknown service "+service)
		}
		wantedPath := check.text(path+".path", route.Get("path"))
		if normal, err := NormalPath(wantedPath); wantedPath != "" && (err != nil || normal != wantedPath) {
			check.add(path+".path", "want a normalised path that begins with /")
		}
		match := route.Get("match")
		if match.Exists() && match.String() != "exact" && match.String() != "prefix" {
			check.add(path+".match", "want exact or prefix")
		}
		methods := check.names(path+".methods", route.Get("methods"))
		if len(methods) == 0 {
			check.add(path+".methods", "want at least one method")
		}
		for method := range methods {
			if !slices.Contains(methodList, method) {
				check.add(path+".methods", "unknown method "+method)
			}
			claim := match.String() + " " + method + " " + wantedPath
			if match.String() == "" {
				claim = "exact" + claim
			}
			if first, twice := taken[claim]; twice {
				check.add(path, "ambiguous with "+first.path+" for "+method)
			}
			taken[claim] = claimed{path, name}
		}
		check.names(path+".callers", route.Get("callers"))
		if len(route.Get("callers").Array()) == 0 {
			check.add(path+".callers", `want at least one caller, or "*"`)
		}
		for tenant := range check.names(path+".tenants", route.Get("tenants")) {
			if tenant != "*" && !tenants[tenant] {
				check.add(path+".tenants", "unknown tenant "+tenant)
			}
		}
		if once := route.Get("once"); once.Exists() && !once.IsBool() {
			check.add(path+".once", "want true or false")
		}
		check.number(path+".timeout_ms", route.Get("timeout_ms"), int64(limits.Query/time.Millisecond))
		check.number(path+".body_bytes", route.Get("body_bytes"), 0)
		if calendar := route.Get("calendar"); calendar.Exists() {
			for _, text := range CheckCalendar(calendar) {
				check.add(path+".calendar", text)
			}
		}
	})
	sort.Strings(check.faults)
	return check.faults, false
}

type checker struct{ faults []string }

func (c *checker) add(path, text string) { c.faults = append(c.faults, path+": "+text) }

func (c *checker) keys(prefix string, value gjson.Result, known []string) {
	if !value.IsObject() {
		c.add(strings.TrimSuffix(prefix, "."), "want an object")
		return
	}
	seen := map[string]bool{}
	value.ForEach(func(key, _ gjson.Result) bool {
		switch {
		case seen[key.String()]:
			c.add(prefix+key.String(), "key stands twice")
		case !slices.Contains(known, key.String()):
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

func (c *checker) names(path string, value gjson.Result) map[string]bool {
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

// Parse reads a sheet that Check has passed.
func Parse(sheet string, version int64, body []byte, limits Limits) *Layout {
	layout := &Layout{Sheet: sheet, Version: version, keys: map[[sha256.Size]byte]string{}, tenants: map[string]bool{}}
	root := gjson.ParseBytes(body)
	for _, tenant := range root.Get("tenants").Array() {
		for _, key := range tenant.Get("keys").Array() {
			layout.keys[sha256.Sum256([]byte(key.String()))] = tenant.Get("name").String()
			layout.tenants[tenant.Get("name").String()] = true
		}
	}
	set := func(value gjson.Result) map[string]bool {
		names := map[string]bool{}
		for _, item := range value.Array() {
			names[item.String()] = true
		}
		return names
	}
	for _, item := range root.Get("routes").Array() {
		route := Route{Name: item.Get("name").String(), Service: item.Get("service").String(), Path: item.Get("path").String(),
			Prefix: item.Get("match").String() == "prefix", Methods: set(item.Get("methods")), Callers: set(item.Get("callers")),
			Tenants: set(item.Get("tenants")), Limit: time.Duration(item.Get("timeout_ms").Int()) * time.Millisecond, BodyCap: item.Get("body_bytes").Int()}
		if route.Limit <= 0 || route.Limit > limits.Query {
			route.Limit = limits.Query
		}
		if once := item.Get("once"); once.Exists() {
			route.Once = once.Bool()
		} else {
			for method := range route.Methods {
				route.Once = route.Once || method != "GET" && method != "HEAD"
			}
		}
		if calendar := item.Get("calendar"); calendar.Exists() {
			route.Calendar = ParseCalendar(calendar)
		}
		layout.Routes = append(layout.Routes, route)
	}
	sort.SliceStable(layout.Routes, func(i, j int) bool {
		left, right := layout.Routes[i], layout.Routes[j]
		if left.Prefix != right.Prefix {
			return !left.Prefix
		}
		return len(left.Path) > len(right.Path)
	})
	return layout
}

// Tenant finds who a key belongs to.
func (l *Layout) Tenant(key string) (string, bool) {
	tenant, found := l.keys[sha256.Sum256([]byte(key))]
	return tenant, found
}

// Match finds the one route for a method and normalised path.
func (l *Layout) Match(method, path string) (Route, bool) {
	for _, route := range l.Routes {
		if route.Methods[method] && route.covers(path) {
			return route, true
		}
	}
	return Route{}, false
}

// Named finds a route by its name.
func (l *Layout) Named(name string) (Route, bool) {
	for _, route := range l.Routes {
		if route.Name == name {
			return route, true
		}
	}
	return Route{}, false
}

func (r Route) covers(path string) bool {
	if !r.Prefix {
		return path == r.Path
	}
	if !strings.HasPrefix(path, r.Path) {
		return false
	}
	return strings.HasSuffix(r.Path, "/") || len(path) == len(r.Path) || path[len(r.Path)] == '/'
}

// Allows checks tenant and caller against the route.
func (r Route) Allows(tenant, caller string) bool {
	tenantFits := len(r.Tenants) == 0 || r.Tenants["*"] || r.Tenants[tenant]
	return tenantFits && (r.Callers["*"] || r.Callers[caller])
}

// NormalPath gives the one form of a raw path that routes are matched by: escapes of
// unreserved characters undone, hex digits in capitals. Dot segments, empty segments,
// encoded slashes and backslashes, control bytes and bad escapes are refused.
func NormalPath(raw string) (string, error) {
	if raw == "" || raw[0] != '/' {
		return "", fmt.Errorf("path must begin with /")
	}
	out := strings.Builder{}
	for index := 0; index < len(raw); index++ {
		letter := raw[index]
		switch {
		case letter == '%':
			if index+2 >= len(raw) {
				return "", fmt.Errorf("bad escape")
			}
			high, low := hexOf(raw[index+1]), hexOf(raw[index+2])
			if high < 0 || low < 0 {
				return "", fmt.Errorf("bad escape")
			}
			value := byte(high<<4 | low)
			switch {
			case value == '/' || value == '\\':
				return "", fmt.Errorf("encoded slash")
			case value < 0x20 || value == 0x7f:
				return "", fmt.Errorf("control byte")
			case unreserved(value):
				out.WriteByte(value)
			default:
				fmt.Fprintf(&out, "%%%02X", value)
			}
			index += 2
		case letter < 0x21 || letter >= 0x7f || letter == '\\':
			return "", fmt.Errorf("byte that wants an escape")
		default:
			out.WriteByte(letter)
		}
	}
	normal := out.String()
	segments := strings.Split(normal[1:], "/")
	for index, segment := range segments {
		if segment == "." || segment == ".." || segment == "" && index != len(segments)-1 {
			return "", fmt.Errorf("dot or empty segment")
		}
	}
	return normal, nil
}

func hexOf(letter byte) int {
	switch {
	case letter >= '0' && letter <= '9':
		return int(letter - '0')
	case letter >= 'a' && letter <= 'f':
		return int(letter-'a') + 10
	case letter >= 'A' && letter <= 'F':
		return int(letter-'A') + 10
	}
	return -1
}

func unreserved(letter byte) bool {
	return letter >= 'a' && letter <= 'z' || letter >= 'A' && letter <= 'Z' || letter >= '0' && letter <= '9' ||
		letter == '-' || letter == '.' || letter == '_' || letter == '~'
}
