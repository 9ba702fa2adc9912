// Tests with proof by target and routes that belong to a host: admission, and how a serving proxy's
// refusals affect retries.
package frontend

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
	"beaconvane/internal/proxy"
	"beaconvane/internal/routeconfig"
	"beaconvane/internal/settings"
)

// hostRoutes is a configuration with a route that requires a key and an open one, both of one host.
const hostRoutes = `{"services":["pay"],"tenants":[{"name":"t","keys":["secret"],"priority":1},{"name":"plain","keys":["other"]}],"routes":[
{"name":"pay","host":"shop.example","prefix":"/pay/","service":"pay","kind":"once","timeout_ms":3000,
"attempts":2,"aim_ms":500,"priority":4},
{"name":"free","host":"shop.example","prefix":"/free/","service":"pay","kind":"repeatable","timeout_ms":3000,"open":true}]}`

// newHostFrontend returns a frontend with hostRoutes and proof by target, in a fleet of one proxy.
func newHostFrontend(c *qt.C, upstreams ...message.Registration) *Frontend {
	cfg := settings.Default()
	cfg.Zone, cfg.TargetProof, cfg.Service = "here", settings.ProofTarget, "clinic"
	faults, _ := routeconfig.Check([]byte(hostRoutes), cfg.ConfigurationLimits())
	c.Assert(faults, qt.HasLen, 0)
	f := New(cfg, func(string) (backend.Delegation, bool) { return backend.Delegation{}, false })
	f.UpdateSnapshot(0, &proxy.Snapshot{
		Configurations:      []*routeconfig.Configuration{routeconfig.Parse("main", 1, []byte(hostRoutes), cfg.ConfigurationLimits())},
		ConfigurationsKnown: true,
		RosterKnown:         true,
		Joined:              true,
		ProxyCount:          1,
		Upstreams:           map[string][]message.Registration{"pay": upstreams},
	})
	return f
}

// newHostRequest returns a request to the host of hostRoutes. An empty key is not sent.
func newHostRequest(path, key string) *Request {
	request := newTestRequest("POST", path, APIKeyHeader, key)
	if key == "" {
		request = newTestRequest("POST", path)
	}
	request.Host, request.Deadline = "shop.example", 30*time.Second
	return request
}

// pastRetryWindow is a process time at which the retry allowance applies.
const pastRetryWindow = 20 * time.Second

// A request that reached the wrong upstream is retried on another one, up to the route's maximum.
// Both upstreams are then excluded from selection for two heartbeat intervals.
func TestMisdirectedGoesToAnotherUpstream(t *testing.T) {
	c := qt.New(t)
	f := newHostFrontend(c, readyUpstream("one", "here"), readyUpstream("two", "here"))
	random := rand.New(rand.NewPCG(1, 2))
	request := newHostRequest("/pay/x", "secret")
	c.Assert(f.admit(pastRetryWindow, time.Now(), request), qt.IsNil)
	c.Assert(f.selectUpstream(pastRetryWindow, request, random), qt.IsNil)
	firstInstance := request.Target.Instance
	misdirected := message.Outcome{Kind: message.NotStarted, Code: int64(errcode.BusyUpstreamGone), ReachedUpstream: true}
	c.Assert(f.evaluateOutcome(pastRetryWindow, request, misdirected), qt.IsNil)
	c.Assert(f.selectUpstream(pastRetryWindow, request, random), qt.IsNil)
	c.Assert(request.Target.Instance, qt.Not(qt.Equals), firstInstance)
	// The route allows two attempts; after them, the request is refused with Retry-After.
	response := f.evaluateOutcome(pastRetryWindow, request, misdirected)
	c.Assert(responseCode(response), qt.Equals, errcode.BusyUpstreamGone)
	c.Assert(response.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.RetryAfter > 0, qt.IsTrue)
	// Neither upstream is selected until two heartbeat intervals have passed.
	laterRequest := newHostRequest("/pay/x", "secret")
	c.Assert(f.admit(pastRetryWindow, time.Now(), laterRequest), qt.IsNil)
	c.Assert(responseCode(f.selectUpstream(pastRetryWindow, laterRequest, random)), qt.Equals, errcode.BusySlotsFull)
	c.Assert(f.selectUpstream(pastRetryWindow+f.settings.HeartbeatEvery()*2, laterRequest, random), qt.IsNil)
}

// Attempts refused by serving proxies before they reach an upstream do not spend the retry budget,
// up to budgetFreeAttempts. Attempts that reached an upstream do.
func TestLooksCostNothing(t *testing.T) {
	c := qt.New(t)
	for reached, expected := range map[bool]int{false: budgetFreeAttempts, true: 1} {
		upstreams := []message.Registration{}
		for _, name := range strings.Split("abcdefgh", "") {
			upstreams = append(upstreams, readyUpstream(name, "here"))
		}
		f := newHostFrontend(c, upstreams...)
		random := rand.New(rand.NewPCG(1, 2))
		now := time.Second // within the retry window, so without an allowance
		request := newHostRequest("/free/x", "")
		c.Assert(f.admit(now, time.Now(), request), qt.IsNil)
		attempts := 0
		for {
			c.Assert(f.selectUpstream(now, request, random), qt.IsNil)
			attempts++
			if response := f.evaluateOutcome(now, request, message.Outcome{
				Kind:            message.NotStarted,
				Code:            int64(errcode.BusySlotsFull),
				ReachedUpstream: reached,
			}); response != nil {
				c.Assert(response.Code, qt.Equals, errcode.BusyBudget)
				break
			}
		}
		c.Assert(attempts, qt.Equals, expected)
	}
}

// On routes of a host, the caller is the service of the process settings, whatever the caller's
// header says. An open route requires no key and accepts an unknown one; the other routes require a
// valid key; a path without a route is refused.
func TestAdmitOfAHost(t *testing.T) {
	c := qt.New(t)
	f := newHostFrontend(c)
	for _, test := range []struct {
		path, key, caller string
		code              errcode.Code
		tenant            string
	}{
		{"/pay/x", "secret", "", errcode.OK, "t"},
		{"/pay/x", "secret", "unlisted", errcode.OK, "t"},
		{"/pay/x", "", "", errcode.RequestNoKey, ""},
		{"/pay/x", "wrong", "", errcode.RequestKeyUnknown, ""},
		{"/free/x", "", "", errcode.OK, ""},
		{"/free/x", "wrong", "", errcode.OK, ""},
		{"/free/x", "other", "", errcode.OK, "plain"},
		{"/paying", "secret", "", errcode.RequestNoRoute, ""},
	} {
		request := newHostRequest(test.path, test.key)
		request.Header.Set(backend.CallerHeader, test.caller)
		c.Check(responseCode(f.admit(time.Second, time.Now(), request)), qt.Equals, test.code, qt.Commentf("%+v", test))
		if test.code == errcode.OK {
			c.Check(request.Caller, qt.Equals, "clinic")
			c.Check(request.Tenant, qt.Equals, test.tenant)
		}
	}
}
