package routeconfig

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Only a configuration without a list of tenants needs no keys. Where the last key of the last tenant was
// taken away, every request ran, with removed keys and with any key.
func TestOnlyAMissingTenantListNeedsNoKeys(t *testing.T) {
	c := qt.New(t)
	for tenants, keyless := range map[string]bool{
		``:                                    true,
		`"tenants":[],`:                       false,
		`"tenants":[{"name":"t"}],`:           false,
		`"tenants":[{"name":"t","keys":[]}],`: false,
		`"tenants":[{"name":"t","keys":[]},{"name":"u","keys":[]}],`: false,
		`"tenants":[{"name":"t","keys":["k"]}],`:                     false,
	} {
		configuration := mustParse(c, `{"services":["a"],`+tenants+
			`"routes":[{"name":"r","host":"h","prefix":"/","service":"a","timeout_ms":1}]}`)
		c.Check(configuration.Keyless(), qt.Equals, keyless, qt.Commentf(tenants))
		_, known := configuration.Tenant("any")
		c.Check(known, qt.IsFalse)
		next := configuration.Next("main", 8, []byte(`{"services":["a"],`+tenants+`"routes":[]}`), limits)
		c.Check(next.Keyless(), qt.Equals, keyless, qt.Commentf(tenants))
	}
}

// A list of tenants, callers or methods that is empty allows none; only a list that is left out allows all.
func TestEmptyListsOfARouteAllowNone(t *testing.T) {
	c := qt.New(t)
	for lists, allowed := range map[string]bool{
		``:                                    true,
		`,"tenants":["*"]`:                    true,
		`,"tenants":["t"]`:                    true,
		`,"tenants":[]`:                       false,
		`,"callers":["*"]`:                    true,
		`,"callers":[]`:                       false,
		`,"methods":["GET"]`:                  true,
		`,"methods":[]`:                       false,
		`,"tenants":[],"callers":[]`:          false,
		`,"tenants":["t"],"callers":["shop"]`: true,
	} {
		configuration := mustParse(c, `{"services":["a"],"tenants":[{"name":"t","keys":["k"]}],"routes":[`+
			`{"name":"r","host":"h","prefix":"/","service":"a","timeout_ms":1`+lists+`}]}`)
		route, found := configuration.MatchHost("h", "GET", "/")
		c.Check(found && route.Allows("t", "shop"), qt.Equals, allowed, qt.Commentf(lists))
	}
}
