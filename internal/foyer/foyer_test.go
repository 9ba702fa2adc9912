// The gate, the scrubbing of keys, the budget, and what verdicts mean.
package foyer

import (
	"fmt"
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

const sheet = `{"services":["pay"],"tenants":[{"name":"t","keys":["secret"]},{"name":"u","keys":["second"]}],"routes":[
{"name":"pay","service":"pay","path":"/pay","methods":["POST"],"callers":["shop","pay"]},
{"name":"look","service":"pay","path":"/look","methods":["GET"],"callers":["shop"],"body_bytes":4}]}`

func ready(c *qt.C, withdrawal int64, upstreams ...script.Registration) *Foyer {
	config := playbill.Default()
	config.District, config.Bounds.KeyWithdrawal = "here", withdrawal
	faults, _ := blocking.Check([]byte(sheet), config.SheetLimits())
	c.Assert(faults, qt.HasLen, 0)
	f := New(config, func(pass string) (greenroom.Pass, bool) {
		return greenroom.Pass{Tenant: "t", Service: "pay"}, pass == "good"
	})
	f.Show(0, &usher.View{Layouts: []*blocking.Layout{blocking.Parse("main", 1, []byte(sheet), config.SheetLimits())}, Known: true, RosterHere: true, Joined: true,
		Ushers: 10, Upstreams: map[string][]script.Registration{"pay": upstreams}})
	return f
}

func query(method, path string, headers ...string) *Query {
	header := http.Header{}
	for index := 0; index < len(headers); index += 2 {
		header.Add(headers[index], headers[index+1])
	}
	raw, params, _ := strings.Cut(path, "?")
	return &Query{ID: "q", Method: method, RawPath: raw, RawQuery: params, Header: header, Deadline: 5 * time.Second}
}

func code(final *Final) notice.Code {
	if final == nil {
		return notice.OK
	}
	return final.Code
}

func TestGate(t *testing.T) {
	c := qt.New(t)
	f := ready(c, 0)
	for _, tried := range []struct {
		query *Query
		code  notice.Code
	}{
		{query("POST", "/pay", KeyHeader, "secret", greenroom.CallerHeader, "shop"), notice.OK},
		{query("POST", "/pay", "Authorization", "Bearer secret", greenroom.CallerHeader, "shop"), notice.OK},
		{query("POST", "/pay?api_key=secret", greenroom.CallerHeader, "shop"), notice.OK},
		{query("POST", "/pay", greenroom.PassHeader, "good"), notice.OK},
		{query("POST", "/pay", greenroom.PassHeader, "old", KeyHeader, "secret"), notice.QueryPassInvalid},
		{query("GET", "/look", greenroom.PassHeader, "good"), notice.QueryCallerRefused},
		{query("POST", "/pay", greenroom.CallerHeader, "shop"), notice.QueryNoKey},
		{query("POST", "/pay", KeyHeader, "wrong", greenroom.CallerHeader, "shop"), notice.QueryKeyUnknown},
		{query("POST", "/pay", KeyHeader, "secret", greenroom.CallerHeader, "thief"), notice.QueryCallerRefused},
		{query("POST", "/other", KeyHeader, "secret", greenroom.CallerHeader, "shop"), notice.QueryNoRoute},
		{query("POST", "/pay/%2e%2e/x", KeyHeader, "secret", greenroom.CallerHeader, "shop"), notice.QueryBadPath},
	} {
		c.Check(code(f.Gate(time.Second, time.Now(), tried.query)), qt.Equals, tried.code, qt.Commentf("%v", tried.query.Header))
	}
	large := query("GET", "/look", KeyHeader, "secret", greenroom.CallerHeader, "shop")
	large.Body = []byte("12345")
	c.Assert(code(f.Gate(time.Second, time.Now(), large)), qt.Equals, notice.QueryTooLarge)
}

// Where key withdrawal is bound, a node that can't know refuses in time by itself.
func TestStaleGate(t *testing.T) {
	c := qt.New(t)
	for withdrawal, wanted := range map[int64]notice.Code{0: notice.OK, 5000: notice.BusyStale} {
		f := ready(c, withdrawal)
		asked := func(now time.Duration) notice.Code {
			return code(f.Gate(now, time.Now(), query("POST", "/pay", KeyHeader, "secret", greenroom.CallerHeader, "shop")))
		}
		c.Assert(asked(4400*time.Millisecond), qt.Equals, notice.OK)
		c.Assert(asked(4600*time.Millisecond), qt.Equals, wanted)
	}
}

func TestKeyAndOwnHeadersAreDropped(t *testing.T) {
	c := qt.New(t)
	f := ready(c, 0)
	asked := query("POST", "/pay?a=1&api_key=secret&b=secret&c=%73ecret&e=%2573ecret&d=2&api_key=extra", KeyHeader, "secret", "Authorization", "bearer other", "Cookie", "x=secret",
		"Cookie", "y=SECRET", "Referer", "/x?k=%53ecret", "X-Note", "an other one", "X-More", "extra", "X-Second", "a=second",
		"X-Tenant", "other", "X_tenant", "other", greenroom.CallerHeader, "shop", "X-Query-Id", "mine", "Connection", "X-Hop", "X-Hop", "1", "X-Kept", "yes")
	c.Assert(f.Gate(time.Second, time.Now(), asked), qt.IsNil)
	c.Assert(asked.Header, qt.DeepEquals, http.Header{"X-Kept": {"yes"}})
	c.Assert(asked.RawQuery, qt.Equals, "a=1&d=2")
	for _, path := range []string{"/pay/secret", "/pay/%73ecret", "/pay/SECRET/x", "/pay/second"} {
		c.Assert(code(f.Gate(time.Second, time.Now(), query("POST", path, KeyHeader, "secret", greenroom.CallerHeader, "shop"))), qt.Equals, notice.QueryBadPath)
	}
}

func upstream(name, district string) script.Registration {
	return script.Registration{Service: "pay", Instance: name, Incarnation: 1, Address: name, District: district, Slots: 4, State: script.StateReady, HomeAddress: "home-" + name}
}

// Own district first; the other only when that one is full or clearly worse.
func TestChoiceSpills(t *testing.T) {
	c := qt.New(t)
	f := ready(c, 0, upstream("near", "here"), upstream("far", "there"))
	dice := rand.New(rand.NewPCG(1, 2))
	chosen := map[string]int{}
	for range 6 {
		asked := query("POST", "/pay", KeyHeader, "secret", greenroom.CallerHeader, "shop")
		c.Assert(f.Gate(10*time.Second, time.Now(), asked), qt.IsNil)
		asked.Deadline = 20 * time.Second
		c.Assert(f.Choose(10*time.Second, asked, dice), qt.IsNil)
		chosen[asked.Target.Instance]++
	}
	c.Assert(chosen["near"] > chosen["far"], qt.IsTrue)
	c.Assert(chosen["far"] > 0, qt.IsTrue)
}

// Each verdict with each kind of route: who is told what, and who tries again.
func TestVerdicts(t *testing.T) {
	c := qt.New(t)
	for _, tried := range []struct {
		path    string
		verdict script.Verdict
		final   notice.Code
		again   bool
	}{
		{"/pay", script.Verdict{Kind: script.StartedWhole, Status: 200}, notice.OK, false},
		{"/pay", script.Verdict{Kind: script.NotStarted, Code: int64(notice.BusySlotsFull)}, notice.OK, true},
		{"/pay", script.Verdict{Kind: script.NotStarted, Code: int64(notice.BusyDeadline)}, notice.BusyDeadline, false},
		{"/pay", script.Verdict{Kind: script.StartedNoWhole, Code: int64(notice.UnknownOutcome)}, notice.UnknownOutcome, false},
		{"/pay", script.Verdict{Kind: script.StartedNoWhole, Code: int64(notice.AnswerMalformed)}, notice.AnswerMalformed, false},
		{"/look", script.Verdict{Kind: script.StartedNoWhole, Code: int64(notice.UnknownOutcome)}, notice.OK, true},
	} {
		f := ready(c, 0, upstream("one", "here"), upstream("two", "here"))
		method := map[string]string{"/pay": "POST", "/look": "GET"}[tried.path]
		asked := query(method, tried.path, KeyHeader, "secret", greenroom.CallerHeader, "shop")
		begin := 10 * time.Second // a life as old as the retry window has its allowance
		asked.Deadline += begin
		c.Assert(f.Gate(begin, time.Now(), asked), qt.IsNil)
		c.Assert(f.Choose(begin, asked, rand.New(rand.NewPCG(1, 2))), qt.IsNil)
		final := f.Judge(begin+time.Millisecond, asked, tried.verdict)
		c.Check(final == nil, qt.Equals, tried.again, qt.Commentf("%+v", tried))
		c.Check(code(final), qt.Equals, tried.final, qt.Commentf("%+v", tried))
		if final != nil {
			busy := final.Status == http.StatusServiceUnavailable
			c.Check(final.RetryAfter > 0, qt.Equals, busy)
		}
		// Once something may have run, no later refusal says that nothing did.
		if final == nil && tried.verdict.Kind == script.StartedNoWhole {
			c.Assert(f.Choose(begin+2*time.Millisecond, asked, rand.New(rand.NewPCG(1, 2))), qt.IsNil)
			last := f.Judge(begin+6*time.Second, asked, script.Verdict{Kind: script.NotStarted, Code: int64(notice.BusySlotsFull)})
			c.Check(code(last), qt.Equals, notice.UnknownOutcome)
		}
	}
}

// Retries stay below the share plus this usher's part of the allowance.
func TestRetryBudget(t *testing.T) {
	c := qt.New(t)
	f := ready(c, 0)
	granted := 0
	for number := range 1000 {
		now := time.Duration(number) * 10 * time.Millisecond
		f.lock.Lock()
		f.first(now, "pay")
		if f.mayRetry(now, "pay") {
			granted++
		}
		f.lock.Unlock()
	}
	c.Assert(granted <= 201, qt.IsTrue, qt.Commentf(fmt.Sprint(granted)))
	c.Assert(granted >= 150, qt.IsTrue, qt.Commentf(fmt.Sprint(granted)))
	// A life that has just begun has no allowance of its own yet.
	young := ready(c, 0)
	young.lock.Lock()
	defer young.lock.Unlock()
	c.Assert(young.mayRetry(time.Second, "pay"), qt.IsFalse)
	c.Assert(young.mayRetry(10*time.Second, "pay"), qt.IsTrue)
}
