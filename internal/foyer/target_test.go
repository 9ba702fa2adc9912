// What a home's word means where a query names its upstream.
package foyer

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/blocking"
	"beaconvane/internal/greenroom"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
	"beaconvane/internal/usher"
)

const hosted = `{"services":["pay"],"tenants":[{"name":"t","keys":["secret"],"priority":1},{"name":"plain","keys":["other"]}],"routes":[
{"name":"pay","host":"shop.example","prefix":"/pay/","service":"pay","kind":"once","timeout_ms":3000,"attempts":2,"aim_ms":500,"priority":4},
{"name":"free","host":"shop.example","prefix":"/free/","service":"pay","kind":"repeatable","timeout_ms":3000,"open":true}]}`

func hostedFoyer(c *qt.C, upstreams ...script.Registration) *Foyer {
	config := playbill.Default()
	config.District, config.Proof, config.Service = "here", playbill.ProofTarget, "clinic"
	faults, _ := blocking.Check([]byte(hosted), config.SheetLimits())
	c.Assert(faults, qt.HasLen, 0)
	f := New(config, func(string) (greenroom.Pass, bool) { return greenroom.Pass{}, false })
	f.Show(0, &usher.View{Layouts: []*blocking.Layout{blocking.Parse("main", 1, []byte(hosted), config.SheetLimits())}, Known: true, RosterHere: true, Joined: true,
		Ushers: 1, Upstreams: map[string][]script.Registration{"pay": upstreams}})
	return f
}

func asked(path, key string) *Query {
	made := query("POST", path, KeyHeader, key)
	if key == "" {
		made = query("POST", path)
	}
	made.Host, made.Deadline = "shop.example", 30*time.Second
	return made
}

const old = 20 * time.Second // a life as old as the retry window has its allowance

func TestMisdirectedGoesToAnotherUpstream(t *testing.T) {
	c := qt.New(t)
	f := hostedFoyer(c, upstream("one", "here"), upstream("two", "here"))
	dice := rand.New(rand.NewPCG(1, 2))
	going := asked("/pay/x", "secret")
	c.Assert(f.Gate(old, time.Now(), going), qt.IsNil)
	c.Assert(f.Choose(old, going, dice), qt.IsNil)
	first := going.Target.Instance
	misdirected := script.Verdict{Kind: script.NotStarted, Code: int64(notice.BusyUpstreamGone), Sent: true}
	c.Assert(f.Judge(old, going, misdirected), qt.IsNil)
	c.Assert(f.Choose(old, going, dice), qt.IsNil)
	c.Assert(going.Target.Instance, qt.Not(qt.Equals), first)
	// The sheet allows two upstreams: then it is refused, and may be asked again.
	final := f.Judge(old, going, misdirected)
	c.Assert(code(final), qt.Equals, notice.BusyUpstreamGone)
	c.Assert(final.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(final.RetryAfter > 0, qt.IsTrue)
	// Neither is chosen again for a moment; then both are.
	later := asked("/pay/x", "secret")
	c.Assert(f.Gate(old, time.Now(), later), qt.IsNil)
	c.Assert(code(f.Choose(old, later, dice)), qt.Equals, notice.BusySlotsFull)
	c.Assert(f.Choose(old+f.config.BeatEvery()*2, later, dice), qt.IsNil)
}

// Homes that turn a query away which no upstream has seen cost no retries, up to a
// number of looks; what an upstream has seen does.
func TestLooksCostNothing(t *testing.T) {
	c := qt.New(t)
	for sent, wanted := range map[bool]int{false: looks, true: 1} {
		list := []script.Registration{}
		for _, name := range strings.Split("abcdefgh", "") {
			list = append(list, upstream(name, "here"))
		}
		f := hostedFoyer(c, list...)
		dice := rand.New(rand.NewPCG(1, 2))
		now := time.Second // too young for an allowance
		going := asked("/free/x", "")
		c.Assert(f.Gate(now, time.Now(), going), qt.IsNil)
		tries := 0
		for {
			c.Assert(f.Choose(now, going, dice), qt.IsNil)
			tries++
			if final := f.Judge(now, going, script.Verdict{Kind: script.NotStarted, Code: int64(notice.BusySlotsFull), Sent: sent}); final != nil {
				c.Assert(final.Code, qt.Equals, notice.BusyBudget)
				break
			}
		}
		c.Assert(tries, qt.Equals, wanted)
	}
}

// Who asks is the machine's own service; an open route wants no key and shows none that
// is unknown; a host's routes want one, and there is no route beside them.
func TestGateOfAHost(t *testing.T) {
	c := qt.New(t)
	f := hostedFoyer(c)
	for _, tried := range []struct {
		path, key, caller string
		code              notice.Code
		tenant            string
	}{
		{"/pay/x", "secret", "", notice.OK, "t"},
		{"/pay/x", "secret", "thief", notice.OK, "t"},
		{"/pay/x", "", "", notice.QueryNoKey, ""},
		{"/pay/x", "wrong", "", notice.QueryKeyUnknown, ""},
		{"/free/x", "", "", notice.OK, ""},
		{"/free/x", "wrong", "", notice.OK, ""},
		{"/free/x", "other", "", notice.OK, "plain"},
		{"/paying", "secret", "", notice.QueryNoRoute, ""},
	} {
		going := asked(tried.path, tried.key)
		going.Header.Set(greenroom.CallerHeader, tried.caller)
		c.Check(code(f.Gate(time.Second, time.Now(), going)), qt.Equals, tried.code, qt.Commentf("%+v", tried))
		if tried.code == notice.OK {
			c.Check(going.Caller, qt.Equals, "clinic")
			c.Check(going.Tenant, qt.Equals, tried.tenant)
		}
	}
}
