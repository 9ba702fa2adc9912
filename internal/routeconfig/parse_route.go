package routeconfig

import (
	"slices"
	"time"

	"github.com/tidwall/gjson"
)

// Values of a route's fields "match" and "kind".
const (
	matchExact  = "exact" // the default
	matchPrefix = "prefix"

	kindRepeatable = "repeatable"
	kindOnce       = "once" // the default
	kindUpload     = "upload"
)

// allMethods are the methods that a route may name. Requests with one of the safeMethods may be repeated.
var (
	allMethods  = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
	safeMethods = []string{"GET", "HEAD"}
)

// weightScale converts weights, which may be fractions, to whole numbers.
const weightScale = 1000

// routeFields holds the fields of a route's JSON object. Of a repeated field it holds the first.
type routeFields map[string]gjson.Result

// read replaces the fields by those of an object, in one pass.
func (f routeFields) read(object gjson.Result) {
	clear(f)
	object.ForEach(func(name, value gjson.Result) bool {
		if _, repeated := f[name.Str]; !repeated {
			f[name.Str] = value
		}
		return true
	})
}

// parseRoute builds a route from its fields.
func parseRoute(fields routeFields, limits Limits) *Route {
	route := &Route{
		Name:          fields["name"].String(),
		Host:          ParseAuthority(fields["host"].String()),
		Path:          fields["path"].String(),
		Prefix:        fields["match"].String() == matchPrefix,
		Methods:       nameSet(fields["methods"]),
		Callers:       nameSet(fields["callers"]),
		Tenants:       nameSet(fields["tenants"]),
		Public:        fields["open"].Bool(),
		Service:       fields["service"].String(),
		Split:         parseSplit(fields["split"]),
		Timeout:       parseTimeout(fields["timeout_ms"], limits),
		LatencyTarget: milliseconds(fields["aim_ms"]),
		MaxAttempts:   fields["attempts"].Int(),
		MaxBodyBytes:  fields["body_bytes"].Int(),
		Priority:      LowestPriority,
	}
	if route.Host != "" {
		route.Path, route.Prefix = fields["prefix"].String(), true
	}
	if priority := fields["priority"]; priority.Exists() {
		route.Priority = priority.Int()
	}
	route.AtMostOnce = atMostOnce(fields, route.Methods)
	if calendar := fields["calendar"]; calendar.Exists() {
		route.Calendar = parseCalendar(calendar)
	}
	return route
}

// parseTimeout parses a route's timeout. It returns the limit if there is none or if it exceeds the limit.
func parseTimeout(value gjson.Result, limits Limits) time.Duration {
	timeout := milliseconds(value)
	if timeout <= 0 || timeout > limits.MaxTimeout {
		return limits.MaxTimeout
	}
	return timeout
}

// parseSplit parses a route's split; nil if there is none.
func parseSplit(value gjson.Result) []WeightedService {
	var split []WeightedService
	forEachItem(value, func(_ int, share gjson.Result) bool {
		weight := int64(share.Get("weight").Float() * weightScale)
		split = append(split, WeightedService{share.Get("service").String(), weight})
		return true
	})
	return split
}

// atMostOnce reports whether a route's requests must not run more than once. Without a field "once" or
// "kind" the methods decide: only requests with safe methods may run again.
func atMostOnce(fields routeFields, methods map[string]bool) bool {
	if once := fields["once"]; once.Exists() {
		return once.Bool()
	}
	if kind := fields["kind"]; kind.Exists() {
		return kind.String() != kindRepeatable
	}
	for method := range methods {
		if !slices.Contains(safeMethods, method) {
			return true
		}
	}
	return len(methods) == 0
}

// nameSet parses a list of names; nil if there is none. An empty list is a set without names.
func nameSet(value gjson.Result) map[string]bool {
	if !value.Exists() {
		return nil
	}
	names := make(map[string]bool, countItems(value))
	forEachItem(value, func(_ int, item gjson.Result) bool {
		names[item.String()] = true
		return true
	})
	return names
}
