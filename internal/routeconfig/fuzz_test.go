package routeconfig

import (
	"fmt"
	"strings"
	"testing"
)

// Any bytes are either refused with faults or give a configuration whose methods don't panic. Check is
// deterministic: each voter checks a configuration on its own, and all must decide alike.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(pathConfiguration), "host", "/x/y")
	f.Add([]byte(strings.Replace(pathConfiguration, "[", "{", 1)), "", "/")
	f.Add([]byte(`{"version":1,"services":[{"name":"a","weight":1e400}],`+
		`"routes":[{"name":"r","host":"h","prefix":"/p","split":{"a":9223372036854775807}}]}`), "h", "/p/..")
	f.Add([]byte(`{"services":["a"],"routes":[{"name":"r","service":"a","path":"/%2e","open":{"zone":"UTC"}}]}`), "", "/%2E")
	f.Add([]byte(`null`), "", "")
	f.Fuzz(func(t *testing.T, body []byte, host, path string) {
		for _, lenient := range []bool{false, true} {
			checked := limits
			checked.Lenient = lenient
			faults, tooLarge := Check(body, checked)
			repeatedFaults, repeatedTooLarge := Check(body, checked)
			if fmt.Sprint(faults) != fmt.Sprint(repeatedFaults) || tooLarge != repeatedTooLarge {
				t.Fatalf("Check is not deterministic: it returned %v and then %v", faults, repeatedFaults)
			}
			if len(faults) > 0 || tooLarge {
				continue
			}
			configuration := Parse("main", 1, body, checked)
			configuration.Keyless()
			configuration.Tenant(path)
			if route, found := configuration.Match("GET", path); found {
				route.Allows(host, path)
			}
			if route, found := configuration.MatchHost(host, "GET", path); found {
				configuration.Priority("t", route)
				configuration.Service(route.PickService(0.5))
			}
		}
	})
}

// A path that NormalizePath accepts is normalised by it in one step.
func FuzzNormalPath(f *testing.F) {
	f.Add("/x/y")
	f.Add("/%7e/%2f")
	f.Add("/a/../b")
	f.Fuzz(func(t *testing.T, raw string) {
		normalized, err := NormalizePath(raw)
		if err != nil {
			return
		}
		again, err := NormalizePath(normalized)
		if err != nil || again != normalized {
			t.Fatalf("%q becomes %q, and that becomes %q (%v)", raw, normalized, again, err)
		}
	})
}
