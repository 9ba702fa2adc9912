// What the refusals of a serving proxy mean where a request names its upstream.
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

const hosted = `{"services":["pay"],"tenants":[{"name":"t","keys":["secret"],"priority":1},{"name":"plain","keys":["other"]}],"routes":[
{"name":"pay","host":"shop.example","prefix":"/pay/","service":"pay","kind":"once","timeout_ms":3000,
"attempts":2,"aim_ms":500,"priority":4},
{"name":"free","host":"shop.example","prefix":"/free/","service":"pay","kind":"repeatable","timeout_ms":3000,"open":true}]}`

func hostedFrontend(c *qt.C, upstreams ...message.Registration) *Frontend {
	cfg := settings.Default()
	cfg.Zone, cfg.TargetProof, cfg.Service = "here", settings.ProofTarget, "clinic"
	faults, _ := routeconfig.Check([]byte(hosted), cfg.ConfigurationLimits())
	c.Assert(faults, qt.HasLen, 0)
	f := New(cfg, func(string) (backend.Delegation, bool) { return backend.Delegation{}, false })
	f.UpdateSnapshot(0, &proxy.Snapshot{
		Configurations:      []*routeconfig.Configuration{routeconfig.Parse("main", 1, []byte(hosted), cfg.ConfigurationLimits())},
		ConfigurationsKnown: true,
		RosterKnown:         true,
		Joined:              true,
		ProxyCount:          1,
		Upstreams:           map[string][]message.Registration{"pay": upstreams},
	})
	return f
}

func asked(path, key string) *Request {
	made := request("POST", path, APIKeyHeader, key)
	if key == "" {
		made = request("POST", path)
	}
	made.Host, made.Deadline = "shop.example", 30*time.Second
	return made
}

const old = 20 * time.Second // a process as old as the retry window has its allowance

func TestMisdirectedGoesToAnotherUpstream(t *testing.T) {
	c := qt.New(t)
	f := hostedFrontend(c, upstream("one", "here"), upstream("two", "here"))
	random := rand.New(rand.NewPCG(1, 2))
	going := asked("/pay/x", "secret")
	c.Assert(f.admit(old, time.Now(), going), qt.IsNil)
	c.Assert(f.selectUpstream(old, going, random), qt.IsNil)
	first := going.Target.Instance
	misdirected := message.Outcome{Kind: message.NotStarted, Code: int64(errcode.BusyUpstreamGone), ReachedUpstream: true}
	c.Assert(f.evaluateOutcome(old, going, misdirected), qt.IsNil)
	c.Assert(f.selectUpstream(old, going, random), qt.IsNil)
	c.Assert(going.Target.Instance, qt.Not(qt.Equals), first)
	// The configuration allows two upstreams: then it is refused, and may be asked again.
	response := f.evaluateOutcome(old, going, misdirected)
	c.Assert(code(response), qt.Equals, errcode.BusyUpstreamGone)
	c.Assert(response.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.RetryAfter > 0, qt.IsTrue)
	// Neither is chosen again for a moment; then both are.
	later := asked("/pay/x", "secret")
	c.Assert(f.admit(old, time.Now(), later), qt.IsNil)
	c.Assert(code(f.selectUpstream(old, later, random)), qt.Equals, errcode.BusySlotsFull)
	c.Assert(f.selectUpstream(old+f.settings.HeartbeatEvery()*2, later, random), qt.IsNil)
}

// Homes that turn a request away which no upstream has seen cost no retries, up to a
// number of looks; what an upstream has seen does.
func TestLooksCostNothing(t *testing.T) {
	c := qt.New(t)
	for sent, wanted := range map[bool]int{false: freeAttempts, true: 1} {
		list := []message.Registration{}
		for _, name := range strings.Split("abcdefgh", "") {
			list = append(list, upstream(name, "here"))
		}
		f := hostedFrontend(c, list...)
		random := rand.New(rand.NewPCG(1, 2))
		now := time.Second // too young for an allowance
		going := asked("/free/x", "")
		c.Assert(f.admit(now, time.Now(), going), qt.IsNil)
		tries := 0
		for {
			c.Assert(f.selectUpstream(now, going, random), qt.IsNil)
			tries++
			if response := f.evaluateOutcome(now, going, message.Outcome{
				Kind:            message.NotStarted,
				Code:            int64(errcode.BusySlotsFull),
				ReachedUpstream: sent,
			}); response != nil {
				c.Assert(response.Code, qt.Equals, errcode.BusyBudget)
				break
			}
		}
		c.Assert(tries, qt.Equals, wanted)
	}
}

// Who asks is the machine's own service; an open route wants no key and shows none that
// is unknown; a host's routes want one, and there is no route beside them.
func TestAdmitOfAHost(t *testing.T) {
	c := qt.New(t)
	f := hostedFrontend(c)
	for _, tried := range []struct {
		path, key, caller string
		code              errcode.Code
		tenant            string
	}{
		{"/pay/x", "secret", "", errcode.OK, "t"},
		{"/pay/x", "secret", "thief", errcode.OK, "t"},
		{"/pay/x", "", "", errcode.RequestNoKey, ""},
		{"/pay/x", "wrong", "", errcode.RequestKeyUnknown, ""},
		{"/free/x", "", "", errcode.OK, ""},
		{"/free/x", "wrong", "", errcode.OK, ""},
		{"/free/x", "other", "", errcode.OK, "plain"},
		{"/paying", "secret", "", errcode.RequestNoRoute, ""},
	} {
		going := asked(tried.path, tried.key)
		going.Header.Set(backend.CallerHeader, tried.caller)
		c.Check(code(f.admit(time.Second, time.Now(), going)), qt.Equals, tried.code, qt.Commentf("%+v", tried))
		if tried.code == errcode.OK {
			c.Check(going.Caller, qt.Equals, "clinic")
			c.Check(going.Tenant, qt.Equals, tried.tenant)
		}
	}
}
