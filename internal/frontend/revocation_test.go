package frontend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/routeconfig"
)

// revokedRoutes is hostRoutes without any key.
const revokedRoutes = `{"services":["pay"],"tenants":[{"name":"t","keys":[]},{"name":"plain"}],"routes":[
{"name":"pay","host":"shop.example","prefix":"/pay/","service":"pay","kind":"once","timeout_ms":3000},
{"name":"free","host":"shop.example","prefix":"/free/","service":"pay","kind":"repeatable","timeout_ms":3000,"open":true}]}`

// Once the last key of all tenants is taken away, no request of a key-bound route runs, neither where it is
// admitted nor where its upstream is served: requests ran with removed keys and with any key.
func TestLastKeyTakenAwayClosesRoutes(t *testing.T) {
	c := qt.New(t)
	f := newHostFrontend(c, readyUpstream("one", "here"))
	snapshot := *f.currentSnapshot()
	revoked := routeconfig.Parse("main", 2, []byte(revokedRoutes), f.settings.ConfigurationLimits())
	snapshot.Configurations = []*routeconfig.Configuration{revoked}
	f.UpdateSnapshot(time.Second, &snapshot)
	for key, expected := range map[string]errcode.Code{
		"secret": errcode.RequestKeyUnknown, // removed
		"wrong":  errcode.RequestKeyUnknown, // never held
		"":       errcode.RequestNoKey,
	} {
		code := responseCode(f.admit(time.Second, time.Now(), newHostRequest("/pay/x", key)))
		c.Check(code, qt.Equals, expected, qt.Commentf("key %q", key))
		c.Check(f.admit(time.Second, time.Now(), newHostRequest("/free/x", key)), qt.IsNil)
	}
	for path, expected := range map[string]errcode.Code{
		"/pay/x":  errcode.BusyConfigurationDiffers,
		"/free/x": errcode.OK,
	} {
		// Admitted by a proxy that still has the version before.
		forward := message.Forward{
			ConfigName: "main", Version: 1, Service: "pay", Host: "shop.example", Method: "POST", Path: path, Tenant: "t",
		}
		c.Check(f.AuthorizeForward(forward), qt.Equals, expected, qt.Commentf(path))
	}
}
