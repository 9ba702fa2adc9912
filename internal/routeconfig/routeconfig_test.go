// Tests of refused configurations, of matching by path, of path normalisation and of calendars.
package routeconfig

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var limits = Limits{MaxBytes: 4000, MaxEntries: 20, MaxValues: 1 << 22, MaxDepth: 32, MaxTimeout: 5 * time.Second}

const pathConfiguration = `{"services":["a","b"],"tenants":[{"name":"t","keys":["k1"]},{"name":"u","keys":["k2"]}],
"routes":[{"name":"all","service":"a","path":"/x","match":"prefix","methods":["GET","POST"],"callers":["*"]},
{"name":"deep","service":"b","path":"/x/y","match":"prefix","methods":["GET"],"callers":["c"],"tenants":["t"]},
{"name":"one","service":"b","path":"/x/y","methods":["POST"],"callers":["c"],"once":false,"timeout_ms":700}]}`

func TestFaultsAreAllListedByPath(t *testing.T) {
	c := qt.New(t)
	faults, tooLarge := Check([]byte(pathConfiguration), limits)
	c.Assert(faults, qt.HasLen, 0)
	c.Assert(tooLarge, qt.IsFalse)
	replaced := func(old, replacement string) string { return strings.Replace(pathConfiguration, old, replacement, 1) }
	ambiguous := replaced(`"path":"/x/y","methods":["POST"]`, `"path":"/x","match":"prefix","methods":["POST"]`)
	for body, expected := range map[string]string{
		`{"services":`:                        "$: not JSON",
		`[]`:                                  "$: want an object",
		`{"services":["a"],"colour":1}`:       "colour: unknown field",
		`{"services":["a"],"services":["a"]}`: "services: key stands twice",
		replaced(`"service":"b"`, `"service":"z"`):     "routes.1.service: unknown service z",
		replaced(`"k2"`, `"k1"`):                       "tenants.1.keys.0: key stands already at tenants.0.keys.0",
		replaced(`"/x/y"`, `"/x/../y"`):                "routes.1.path: want a normalised path that begins with /",
		replaced(`"tenants":["t"]`, `"tenants":["w"]`): "routes.1.tenants: unknown tenant w",
		replaced(`700`, `70000`):                       "routes.2.timeout_ms: the settings allow at most 5000",
		replaced(`"once":false`, `"once":"no"`):        "routes.2.once: want true or false",
		ambiguous:                                      "routes.2: ambiguous with routes.0 for POST",
	} {
		faults, tooLarge := Check([]byte(body), limits)
		c.Check(tooLarge, qt.IsFalse)
		c.Check(strings.Join(faults, "\n"), qt.Contains, expected)
	}
	twoFaults := strings.Replace(strings.Replace(pathConfiguration, `700`, `-1`, 1), `"service":"b"`, `"service":"z"`, 1)
	faults, _ = Check([]byte(twoFaults), limits)
	c.Assert(faults, qt.HasLen, 2)
	_, tooLarge = Check([]byte(strings.Repeat(" ", 4001)), limits)
	c.Assert(tooLarge, qt.IsTrue)
	_, tooLarge = Check([]byte(`{"services":["`+strings.Repeat(`a","`, 30)+`b"]}`), limits)
	c.Assert(tooLarge, qt.IsTrue)
}

func TestMatching(t *testing.T) {
	c := qt.New(t)
	configuration := Parse("main", 3, []byte(pathConfiguration), limits)
	for request, expected := range map[string]string{
		"GET /x": "all", "GET /x/z": "all", "GET /x/y": "deep", "GET /x/y/z": "deep", "POST /x/y": "one",
		"POST /x/y/z": "all", "GET /xy": "", "DELETE /x": "", "GET /": "",
	} {
		method, path, _ := strings.Cut(request, " ")
		route, _ := configuration.Match(method, path)
		c.Check(route.Name, qt.Equals, expected, qt.Commentf(request))
	}
	deep, _ := configuration.RouteNamed("deep")
	c.Assert(deep.Allows("t", "c"), qt.IsTrue)
	c.Assert(deep.Allows("u", "c"), qt.IsFalse)
	c.Assert(deep.Allows("t", "d"), qt.IsFalse)
	c.Assert(deep.AtMostOnce, qt.IsFalse)
	all, _ := configuration.RouteNamed("all")
	c.Assert(all.AtMostOnce, qt.IsTrue)
	one, _ := configuration.RouteNamed("one")
	c.Assert(one.Timeout, qt.Equals, 700*time.Millisecond)
	tenant, known := configuration.Tenant("k2")
	c.Assert(known, qt.IsTrue)
	c.Assert(tenant, qt.Equals, "u")
}

func TestNormalizePath(t *testing.T) {
	c := qt.New(t)
	for raw, expected := range map[string]string{"/a/%7Eb": "/a/~b", "/a%c3%a9": "/a%C3%A9", "/": "/", "/a/": "/a/"} {
		normalized, err := NormalizePath(raw)
		c.Check(err, qt.IsNil)
		c.Check(normalized, qt.Equals, expected)
	}
	for _, raw := range []string{
		"", "a", "/a/../b", "/a/./b", "/%2e%2e/b", "/a%2fb", "/a%5cb", "/a//b", "/a%00", "/a%0a", "/a%", "/a%zz", "/a b",
	} {
		_, err := NormalizePath(raw)
		c.Check(err, qt.IsNotNil, qt.Commentf("%q", raw))
	}
}

// The time zone of Berlin has daylight saving time. Overlapping openings are merged, openings follow the local
// time, and one whose local time does not exist is skipped.
func TestCalendars(t *testing.T) {
	c := qt.New(t)
	withCalendar := func(calendar string) string {
		return strings.Replace(pathConfiguration, `"once":false`, `"once":false,"calendar":`+calendar, 1)
	}
	body := withCalendar(`{"zone":"Europe/Berlin","open":[{"at":"0 8 * * *","minutes":120},` +
		`{"at":"30 9 * * *","minutes":60},{"at":"30 2 * * *","minutes":10}]}`)
	faults, _ := Check([]byte(body), limits)
	c.Assert(faults, qt.HasLen, 0)
	configuration := Parse("main", 1, []byte(body), limits)
	one, _ := configuration.RouteNamed("one")
	for at, open := range map[string]bool{
		"2026-07-01T05:59:59Z": false, "2026-07-01T06:00:00Z": true, "2026-07-01T08:29:59Z": true, "2026-07-01T08:30:00Z": false,
		"2026-12-01T06:30:00Z": false, "2026-12-01T07:00:00Z": true, // an hour later in winter
		"2026-03-28T01:31:00Z": true, "2026-03-29T01:31:00Z": false, // 02:30 does not exist on the 29th
	} {
		when, err := time.Parse(time.RFC3339, at)
		c.Assert(err, qt.IsNil)
		c.Check(one.Calendar.IsOpen(when), qt.Equals, open, qt.Commentf(at))
	}
	when, _ := time.Parse(time.RFC3339, "2026-07-01T09:00:00Z")
	c.Assert(one.Calendar.UntilOpen(when), qt.Equals, 15*time.Hour+30*time.Minute)
	for _, bad := range []string{
		`{"zone":"Mars/Base","open":[{"at":"0 8 * * *","minutes":1}]}`,
		`{"zone":"UTC","open":[{"at":"@every 1h","minutes":1}]}`,
		`{"zone":"UTC","open":[{"at":"0 8 * * *","minutes":0}]}`,
		`{"zone":"UTC","open":[]}`,
		`{"zone":"UTC","open":[{"at":"0 8 * *","minutes":5}]}`,
	} {
		faults, _ := Check([]byte(withCalendar(bad)), limits)
		c.Check(faults, qt.Not(qt.HasLen), 0, qt.Commentf(bad))
	}
}
