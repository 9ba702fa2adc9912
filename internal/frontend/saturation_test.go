// Upstreams that are full, and the requests that upstreams make while they run others.
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

const nestedRoutes = `{"services":["pay"],"tenants":[{"name":"t","keys":["secret"],"priority":1}],"routes":[
{"name":"pay","host":"shop.example","prefix":"/pay/","service":"pay","kind":"repeatable","timeout_ms":3000,
"attempts":2,"aim_ms":500,"priority":4},
{"name":"check","host":"shop.example","prefix":"/check/","service":"pay","kind":"repeatable","timeout_ms":3000,"aim_ms":250,"open":true}]}`

// newFrontendAmong is a frontend among so many proxies, with eight upstreams.
func newFrontendAmong(proxies int) *Frontend {
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

// countForwards plays one request to its end among upstreams that are all full, and counts
// how often it is sent out.
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

// Among many proxies a full upstream is asked more and more seldom: four seconds of
// twenty requests each would otherwise send 320 frames that are only refused. Alone, a
// proxy goes on asking, or a slot that is free again would stay empty.
func TestSaturationBackoffGrowsWithProxyCount(t *testing.T) {
	c := qt.New(t)
	sent := map[int]int{}
	for _, proxies := range []int{1, 77} {
		f := newFrontendAmong(proxies)
		random := rand.New(rand.NewPCG(1, 2))
		for now := pastRetryWindow; now < pastRetryWindow+4*time.Second; now += 50 * time.Millisecond {
			sent[proxies] += countForwards(c, f, now, random, "/pay/x", "secret")
		}
	}
	c.Assert(sent[77] < 100, qt.IsTrue, qt.Commentf("%d sent", sent[77]))
	c.Assert(sent[1] > 250, qt.IsTrue, qt.Commentf("%d sent", sent[1]))
}

// An upstream that has begun a request is no longer full.
func TestAnswerClearsSaturation(t *testing.T) {
	c := qt.New(t)
	f := newFrontendAmong(77)
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

// The call of a running request goes to a full upstream too, where it takes the place of
// one that has not begun; and no serving proxy refuses it for its own aim.
func TestNestedCallsReachSaturatedUpstreams(t *testing.T) {
	c := qt.New(t)
	f := newFrontendAmong(77)
	random := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		countForwards(c, f, pastRetryWindow, random, "/pay/x", "secret")
	}
	c.Assert(countForwards(c, f, pastRetryWindow, random, "/pay/x", "secret"), qt.Equals, 0)
	c.Assert(countForwards(c, f, pastRetryWindow, random, "/check/x", "") > 0, qt.IsTrue)

	nested, direct := newHostRequest("/check/x", ""), newHostRequest("/pay/x", "secret")
	f = newFrontendAmong(77)
	for _, request := range []*Request{nested, direct} {
		c.Assert(f.admit(pastRetryWindow, time.Now(), request), qt.IsNil)
		c.Assert(f.selectUpstream(pastRetryWindow, request, random), qt.IsNil)
	}
	c.Assert(f.forwardFrame(pastRetryWindow, nested, "proxy/me", "1").LatencyTargetRemaining, qt.Equals, int64(0))
	c.Assert(f.forwardFrame(pastRetryWindow, direct, "proxy/me", "1").LatencyTargetRemaining > 0, qt.IsTrue)
}
