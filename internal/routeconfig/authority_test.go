package routeconfig

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// portConfiguration has routes of authorities that differ by port or by case only.
const portConfiguration = `{"services":["plain","port","alone","ipv6"],"routes":[
{"name":"plain","host":"h.example","prefix":"/","service":"plain","timeout_ms":1},
{"name":"port","host":"H.example:8443","prefix":"/","service":"port","timeout_ms":1},
{"name":"alone","host":"alone.example:8443","prefix":"/","service":"alone","timeout_ms":1},
{"name":"ipv6","host":"[2001:DB8::1]:8443","prefix":"/","service":"ipv6","timeout_ms":1}]}`

// Guards against requests for an authority with a port that run at the service of the authority without it.
func TestPortIsPartOfTheAuthority(t *testing.T) {
	c := qt.New(t)
	configuration := mustParse(c, portConfiguration)
	for host, expected := range map[string]string{
		"h.example":          "plain",
		"H.EXAMPLE":          "plain",
		"h.example:8443":     "port",
		"h.eXample:8443":     "port",
		"h.example:80":       "",
		"h.example:8444":     "",
		"h.example:":         "",
		"h.example.":         "",
		"alone.example":      "",
		"alone.example:8443": "alone",
		"[2001:db8::1]:8443": "ipv6",
		"[2001:db8::1]":      "",
		"[2001":              "",
		":8443":              "",
		"":                   "",
	} {
		route, found := configuration.MatchHost(host, "GET", "/x")
		c.Check(route.Service, qt.Equals, expected, qt.Commentf("host %q", host))
		c.Check(found, qt.Equals, expected != "", qt.Commentf("host %q", host))
	}
}

// Guards against a check and an index that take different authorities for the same one: each pair is either refused
// as a duplicate, or each of the two gets its own requests.
func TestCheckAndMatchAgreeOnAuthorities(t *testing.T) {
	c := qt.New(t)
	hosts := []string{
		"h", "H", "h:80", "H:80", "h:", "h.", "h:8443", ":8443", "[::1]", "[::1]:80", "[::AB]", "[::ab]",
		"\u212a", "k", "K", "\u0130", "i", "h:80:80",
	}
	for _, first := range hosts {
		for _, second := range hosts {
			body := fmt.Sprintf(`{"services":["first","second"],"routes":[`+
				`{"name":"first","host":%q,"prefix":"/","service":"first","timeout_ms":1},`+
				`{"name":"second","host":%q,"prefix":"/","service":"second","timeout_ms":1}]}`, first, second)
			faults, _ := Check([]byte(body), limits)
			if ParseAuthority(first) == ParseAuthority(second) {
				c.Check(strings.Join(faults, "\n"), qt.Contains, "stands at the place of", qt.Commentf("%q, %q", first, second))
				continue
			}
			c.Assert(faults, qt.HasLen, 0, qt.Commentf("%q, %q", first, second))
			configuration := Parse("main", 1, []byte(body), limits)
			for host, expected := range map[string]string{first: "first", second: "second"} {
				route, _ := configuration.MatchHost(host, "GET", "/x")
				c.Check(route.Service, qt.Equals, expected, qt.Commentf("%q of %q, %q", host, first, second))
			}
		}
	}
}
