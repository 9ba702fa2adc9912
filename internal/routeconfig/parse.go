package routeconfig

// This file reads configurations. A version takes over from the version before it every
// route whose text is the same: operators change a few of many, and each proxy reads every
// version on the thread that also answers probes and follows updates.

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// Parse reads a configuration that Check has passed.
func Parse(configName string, version int64, body []byte, limits Limits) *Configuration {
	return parse(configName, version, body, limits, nil)
}

// Next reads a later version of the configuration, as Parse does, and reuses what did not
// change. The receiver may be nil.
func (l *Configuration) Next(configName string, version int64, body []byte, limits Limits) *Configuration {
	if l == nil {
		return Parse(configName, version, body, limits)
	}
	return parse(configName, version, body, limits, l.texts)
}

func parse(configName string, version int64, body []byte, limits Limits, known map[string]*Route) *Configuration {
	configuration := &Configuration{ConfigName: configName, Version: version, keys: map[[sha256.Size]byte]string{}, tenants: map[string]bool{},
		ranks: map[string]int64{}, hosts: map[string]map[string][]int{}, kinds: map[string]Service{}}
	root := gjson.ParseBytes(body)
	configuration.CallerLimits = parseCallerLimits(root.Get("limits"))
	configuration.takeServices(root.Get("services"))
	configuration.takeTenants(root.Get("tenants"))
	configuration.takeRoutes(root.Get("routes"), limits, known)
	configuration.indexHosts()
	return configuration
}

func (l *Configuration) takeServices(services gjson.Result) {
	for _, item := range services.Array() {
		service := Service{Name: item.String()}
		if item.IsObject() {
			service = Service{Name: item.Get("name").String(), Health: item.Get("health").String(), Connections: item.Get("connections").Int()}
		}
		l.kinds[service.Name] = service
	}
}

func (l *Configuration) takeTenants(tenants gjson.Result) {
	for _, tenant := range tenants.Array() {
		name := tenant.Get("name").String()
		if rank := tenant.Get("priority"); rank.Exists() {
			l.ranks[name] = rank.Int()
		}
		for _, key := range tenant.Get("keys").Array() {
			l.keys[sha256.Sum256([]byte(key.String()))] = name
			l.tenants[name] = true
		}
	}
}

func (l *Configuration) takeRoutes(routes gjson.Result, limits Limits, known map[string]*Route) {
	l.Routes = make([]*Route, 0, len(known))
	l.texts = make(map[string]*Route, len(known))
	fields := routeFields{}
	routes.ForEach(func(_, item gjson.Result) bool {
		route, unchanged := known[item.Raw]
		if !unchanged {
			fieldsOf(item, fields)
			route = parseRoute(fields, limits)
		}
		l.texts[item.Raw] = route
		l.Routes = append(l.Routes, route)
		return true
	})
	slices.SortStableFunc(l.Routes, (*Route).compare)
}

// compare orders exact routes before prefixes, and longer paths before shorter ones.
func (r *Route) compare(other *Route) int {
	switch {
	case r.Prefix == other.Prefix:
		return len(other.Path) - len(r.Path)
	case r.Prefix:
		return 1
	}
	return -1
}

// indexHosts notes where the routes of each host stand, by their prefixes.
func (l *Configuration) indexHosts() {
	places := make([]int, len(l.Routes))
	for index, route := range l.Routes {
		if route.Host == "" {
			continue
		}
		if l.hosts[route.Host] == nil {
			l.hosts[route.Host] = map[string][]int{}
		}
		places[index] = index
		prefixes := l.hosts[route.Host]
		if held, more := prefixes[route.Path]; more {
			prefixes[route.Path] = append(held, index)
			continue
		}
		// Most prefixes have one route: they share one array.
		prefixes[route.Path] = places[index : index+1 : index+1]
	}
}

// routeFields are the fields of a route's text, each as it stands first.
type routeFields map[string]gjson.Result

// fieldsOf reads the fields of an object in one pass.
func fieldsOf(item gjson.Result, fields routeFields) {
	clear(fields)
	item.ForEach(func(name, value gjson.Result) bool {
		if _, twice := fields[name.Str]; !twice {
			fields[name.Str] = value
		}
		return true
	})
}

func parseRoute(item routeFields, limits Limits) *Route {
	route := &Route{Name: item["name"].String(), Service: item["service"].String(), Path: item["path"].String(),
		Prefix: item["match"].String() == "prefix", Methods: nameSet(item["methods"]), Callers: nameSet(item["callers"]),
		Tenants: nameSet(item["tenants"]), Timeout: milliseconds(item["timeout_ms"]), MaxBodyBytes: item["body_bytes"].Int(),
		Host: strings.ToLower(item["host"].String()), MaxAttempts: item["attempts"].Int(), LatencyTarget: milliseconds(item["aim_ms"]),
		Priority: LowestPriority, Public: item["open"].Bool()}
	if route.Host != "" {
		route.Path, route.Prefix = item["prefix"].String(), true
	}
	if rank := item["priority"]; rank.Exists() {
		route.Priority = rank.Int()
	}
	for _, share := range item["split"].Array() {
		route.Split = append(route.Split, WeightedService{share.Get("service").String(), weightOf(share)})
	}
	if route.Timeout <= 0 || route.Timeout > limits.MaxTimeout {
		route.Timeout = limits.MaxTimeout
	}
	route.AtMostOnce = runsOnce(item, route.Methods)
	if calendar := item["calendar"]; calendar.Exists() {
		route.Calendar = parseCalendar(calendar)
	}
	return route
}

// runsOnce says whether a route's requests may run once only; where the route does not say,
// its methods do.
func runsOnce(item routeFields, methods map[string]bool) bool {
	if once := item["once"]; once.Exists() {
		return once.Bool()
	}
	if kind := item["kind"]; kind.Exists() {
		return kind.String() != "repeatable"
	}
	for method := range methods {
		if method != "GET" && method != "HEAD" {
			return true
		}
	}
	return len(methods) == 0
}

// nameSet reads a list of names; an empty one is nil.
func nameSet(value gjson.Result) map[string]bool {
	list := value.Array()
	if len(list) == 0 {
		return nil
	}
	names := make(map[string]bool, len(list))
	for _, item := range list {
		names[item.String()] = true
	}
	return names
}

// weightScale makes whole numbers of weights, which may be fractions.
const weightScale = 1000

func weightOf(share gjson.Result) int64 {
	return int64(share.Get("weight").Float() * weightScale)
}

// longestTime bounds what a figure of milliseconds may come to.
const longestTime = 365 * 24 * time.Hour

// milliseconds reads a time, fractions included.
func milliseconds(value gjson.Result) time.Duration {
	return time.Duration(min(max(value.Float(), 0), float64(longestTime/time.Millisecond)) * float64(time.Millisecond))
}
