// Tests of saturated upstreams, and of calls that upstreams make while they run a request.
package frontend

import (
	"math/rand/v2"
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

// nestedRoutes is a configuration with a route that requires a key, and an open one for nested calls.
const nestedRoutes = `{"services":["pay"],"tenants":[{"name":"t","keys":["secret"],"priority":1}],"routes":[
{"name":"pay","host":"shop.example","prefix":"/pay/","service":"pay","kind":"repeatable","timeout_ms":3000,
"attempts":2,"aim_ms":500,"priority":4},
{"name":"check","host":"shop.example","prefix":"/check/","service":"pay","kind":"repeatable","timeout_ms":3000,"aim_ms":250,"open":true}]}`

// newFrontendWithProxies returns a frontend in a fleet with a number of proxies and eight upstreams.
func newFrontendWithProxies(proxies int) *Frontend {
	cfg := settings.Default()
	cfg.Zone, cfg.TargetProof, cfg.Service = "here", settings.ProofTarget, "clinic"
	upstreams := []message.Registration{}
	for _, name := range strings.Split("abcdefgh", "") {
		upstreams = append(upstreams, readyUpstream(name, "here"))
	}
	f := New(cfg, func(string) (backend.Delegation, bool) { return backend.Delegation{}, false })
	f.UpdateSnapshot(0, &proxy.Snapshot{
		Configurations:      []*routeconfig.Configuration{routeconfig.Parse("main", 1, []byte(nestedRoutes), cfg.ConfigurationLimits())},
		ConfigurationsKnown: true,
		RosterKnown:         true,
		Joined:              true,
		ProxyCount:          proxies,
		Upstreams:           map[string][]message.Registration{"pay": upstreams},
	})
	return f
}

// countForwards processes one request to its end while all upstreams refuse it as full, and returns
// the number of attempts sent.
func countForwards(c *qt.C, f *Frontend, now time.Duration, random *rand.Rand, path, key string) int {
	request := newHostRequest(path, key)
	request.Deadline = now + 3*time.Second
	c.Assert(f.admit(now, time.Now(), request), qt.IsNil)
	for sent := 0; ; sent++ {
		if response := f.selectUpstream(now, request, random); response != nil {
			c.Assert(response.Code, qt.Equals, errcode.BusySlotsFull)
			return sent
		}
		if response := f.evaluateOutcome(now, request, message.Outcome{
			Kind: message.NotStarted,
			Code: int64(errcode.BusySlotsFull),
		}); response != nil {
			return sent + 1
		}
	}
}

// With many proxies, the backoff of a full upstream grows: without it, four seconds with twenty
// requests each would send 320 frames that are only refused. A single proxy keeps trying, since
// otherwise a slot that becomes free would stay unused.
func TestFullUpstreamsAreAskedSeldom(t *testing.T) {
	c := qt.New(t)
	sent := map[int]int{}
	for _, proxies := range []int{1, 77} {
		f := newFrontendWithProxies(proxies)
		random := rand.New(rand.NewPCG(1, 2))
		for now := pastRetryWindow; now < pastRetryWindow+4*time.Second; now += 50 * time.Millisecond {
			sent[proxies] += countForwards(c, f, now, random, "/pay/x", "secret")
		}
	}
	c.Assert(sent[77] < 100, qt.IsTrue, qt.Commentf("%d sent", sent[77]))
	c.Assert(sent[1] > 250, qt.IsTrue, qt.Commentf("%d sent", sent[1]))
}

// An answer from an upstream ends its saturation backoff.
func TestAnswerClearsSaturation(t *testing.T) {
	c := qt.New(t)
	f := newFrontendWithProxies(77)
	random := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		countForwards(c, f, pastRetryWindow, random, "/pay/x", "secret")
	}
	c.Assert(countForwards(c, f, pastRetryWindow, random, "/pay/x", "secret"), qt.Equals, 0)
	for _, stats := range f.upstreams {
		c.Assert(stats.saturatedUntil > pastRetryWindow, qt.IsTrue)
	}
	request := newHostRequest("/check/x", "")
	c.Assert(f.admit(pastRetryWindow, time.Now(), request), qt.IsNil)
	c.Assert(f.selectUpstream(pastRetryWindow, request, random), qt.IsNil)
	f.evaluateOutcome(pastRetryWindow, request, message.Outcome{Kind: message.Completed, Status: 200, ServiceTime: int64(time.Millisecond)})
	c.Assert(countForwards(c, f, pastRetryWindow, random, "/pay/x", "secret") > 0, qt.IsTrue)
}

// The call of a running request is sent to saturated upstreams too, where it displaces a queued
// request. It carries no latency target, so that no serving proxy refuses it for missing its own.
func TestCallsOfRunningRequestsAreNotGivenUp(t *testing.T) {
	c := qt.New(t)
	f := newFrontendWithProxies(77)
	random := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		countForwards(c, f, pastRetryWindow, random, "/pay/x", "secret")
	}
	c.Assert(countForwards(c, f, pastRetryWindow, random, "/pay/x", "secret"), qt.Equals, 0)
	c.Assert(countForwards(c, f, pastRetryWindow, random, "/check/x", "") > 0, qt.IsTrue)

	nested, direct := newHostRequest("/check/x", ""), newHostRequest("/pay/x", "secret")
	f = newFrontendWithProxies(77)
	for _, request := range []*Request{nested, direct} {
		c.Assert(f.admit(pastRetryWindow, time.Now(), request), qt.IsNil)
		c.Assert(f.selectUpstream(pastRetryWindow, request, random), qt.IsNil)
	}
	c.Assert(f.forwardFrame(pastRetryWindow, nested, "proxy/me", "1").LatencyTargetRemaining, qt.Equals, int64(0))
	c.Assert(f.forwardFrame(pastRetryWindow, direct, "proxy/me", "1").LatencyTargetRemaining > 0, qt.IsTrue)
}
