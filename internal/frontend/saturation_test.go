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

// crowded is a frontend among so many proxies, with eight upstreams.
func crowded(proxies int) *Frontend {
	cfg := settings.Default()
	cfg.Zone, cfg.TargetProof, cfg.Service = "here", settings.ProofTarget, "clinic"
	list := []message.Registration{}
	for _, name := range strings.Split("abcdefgh", "") {
		list = append(list, upstream(name, "here"))
	}
	f := New(cfg, func(string) (backend.Delegation, bool) { return backend.Delegation{}, false })
	f.UpdateSnapshot(0, &proxy.Snapshot{
		Configurations:      []*routeconfig.Configuration{routeconfig.Parse("main", 1, []byte(nestedRoutes), cfg.ConfigurationLimits())},
		ConfigurationsKnown: true,
		RosterKnown:         true,
		Joined:              true,
		ProxyCount:          proxies,
		Upstreams:           map[string][]message.Registration{"pay": list},
	})
	return f
}

// forwards plays one request to its end among upstreams that are all full, and counts
// how often it is sent out.
func forwards(c *qt.C, f *Frontend, now time.Duration, random *rand.Rand, path, key string) int {
	request := asked(path, key)
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
func TestFullUpstreamsAreAskedSeldom(t *testing.T) {
	c := qt.New(t)
	sent := map[int]int{}
	for _, proxies := range []int{1, 77} {
		f := crowded(proxies)
		random := rand.New(rand.NewPCG(1, 2))
		for now := old; now < old+4*time.Second; now += 50 * time.Millisecond {
			sent[proxies] += forwards(c, f, now, random, "/pay/x", "secret")
		}
	}
	c.Assert(sent[77] < 100, qt.IsTrue, qt.Commentf("%d sent", sent[77]))
	c.Assert(sent[1] > 250, qt.IsTrue, qt.Commentf("%d sent", sent[1]))
}

// An upstream that has begun a request is no longer full.
func TestFullEndsWithTheNextAnswer(t *testing.T) {
	c := qt.New(t)
	f := crowded(77)
	random := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		forwards(c, f, old, random, "/pay/x", "secret")
	}
	c.Assert(forwards(c, f, old, random, "/pay/x", "secret"), qt.Equals, 0)
	for _, held := range f.upstreams {
		c.Assert(held.saturatedUntil > old, qt.IsTrue)
	}
	request := asked("/check/x", "")
	c.Assert(f.admit(old, time.Now(), request), qt.IsNil)
	c.Assert(f.selectUpstream(old, request, random), qt.IsNil)
	f.evaluateOutcome(old, request, message.Outcome{Kind: message.Completed, Status: 200, ServiceTime: int64(time.Millisecond)})
	c.Assert(forwards(c, f, old, random, "/pay/x", "secret") > 0, qt.IsTrue)
}

// The call of a running request goes to a full upstream too, where it takes the place of
// one that has not begun; and no serving proxy refuses it for its own aim.
func TestCallsOfRunningRequestsAreNotGivenUp(t *testing.T) {
	c := qt.New(t)
	f := crowded(77)
	random := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		forwards(c, f, old, random, "/pay/x", "secret")
	}
	c.Assert(forwards(c, f, old, random, "/pay/x", "secret"), qt.Equals, 0)
	c.Assert(forwards(c, f, old, random, "/check/x", "") > 0, qt.IsTrue)

	nested, own := asked("/check/x", ""), asked("/pay/x", "secret")
	f = crowded(77)
	for _, request := range []*Request{nested, own} {
		c.Assert(f.admit(old, time.Now(), request), qt.IsNil)
		c.Assert(f.selectUpstream(old, request, random), qt.IsNil)
	}
	c.Assert(f.forwardFrame(old, nested, "proxy/me", "1").LatencyTargetRemaining, qt.Equals, int64(0))
	c.Assert(f.forwardFrame(old, own, "proxy/me", "1").LatencyTargetRemaining > 0, qt.IsTrue)
}
