// Admission, the removal of keys, the retry budget, and what outcomes mean.
package frontend

import (
	"fmt"
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

const configName = `{"services":["pay"],"tenants":[{"name":"t","keys":["secret"]},{"name":"u","keys":["second"]}],"routes":[
{"name":"pay","service":"pay","path":"/pay","methods":["POST"],"callers":["shop","pay"]},
{"name":"look","service":"pay","path":"/look","methods":["GET"],"callers":["shop"],"body_bytes":4}]}`

func ready(c *qt.C, withdrawal int64, upstreams ...message.Registration) *Frontend {
	cfg := settings.Default()
	cfg.Zone, cfg.Bounds.KeyWithdrawal = "here", withdrawal
	faults, _ := routeconfig.Check([]byte(configName), cfg.ConfigurationLimits())
	c.Assert(faults, qt.HasLen, 0)
	f := New(cfg, func(pass string) (backend.Delegation, bool) {
		return backend.Delegation{Tenant: "t", Service: "pay"}, pass == "good"
	})
	f.UpdateSnapshot(0, &proxy.Snapshot{
		Configurations:      []*routeconfig.Configuration{routeconfig.Parse("main", 1, []byte(configName), cfg.ConfigurationLimits())},
		ConfigurationsKnown: true,
		RosterKnown:         true,
		Joined:              true,
		ProxyCount:          10,
		Upstreams:           map[string][]message.Registration{"pay": upstreams},
	})
	return f
}

func request(method, path string, headers ...string) *Request {
	header := http.Header{}
	for index := 0; index < len(headers); index += 2 {
		header.Add(headers[index], headers[index+1])
	}
	raw, params, _ := strings.Cut(path, "?")
	return &Request{ID: "q", Method: method, RawPath: raw, RawQuery: params, Header: header, Deadline: 5 * time.Second}
}

func code(response *Response) errcode.Code {
	if response == nil {
		return errcode.OK
	}
	return response.Code
}

func TestAdmit(t *testing.T) {
	c := qt.New(t)
	f := ready(c, 0)
	for _, tried := range []struct {
		request *Request
		code    errcode.Code
	}{
		{request("POST", "/pay", APIKeyHeader, "secret", backend.CallerHeader, "shop"), errcode.OK},
		{request("POST", "/pay", "Authorization", "Bearer secret", backend.CallerHeader, "shop"), errcode.OK},
		{request("POST", "/pay?api_key=secret", backend.CallerHeader, "shop"), errcode.OK},
		{request("POST", "/pay", backend.DelegationHeader, "good"), errcode.OK},
		{request("POST", "/pay", backend.DelegationHeader, "old", APIKeyHeader, "secret"), errcode.RequestPassInvalid},
		{request("GET", "/look", backend.DelegationHeader, "good"), errcode.RequestCallerRefused},
		{request("POST", "/pay", backend.CallerHeader, "shop"), errcode.RequestNoKey},
		{request("POST", "/pay", APIKeyHeader, "wrong", backend.CallerHeader, "shop"), errcode.RequestKeyUnknown},
		{request("POST", "/pay", APIKeyHeader, "secret", backend.CallerHeader, "thief"), errcode.RequestCallerRefused},
		{request("POST", "/other", APIKeyHeader, "secret", backend.CallerHeader, "shop"), errcode.RequestNoRoute},
		{request("POST", "/pay/%2e%2e/x", APIKeyHeader, "secret", backend.CallerHeader, "shop"), errcode.RequestBadPath},
	} {
		c.Check(code(f.admit(time.Second, time.Now(), tried.request)), qt.Equals, tried.code, qt.Commentf("%v", tried.request.Header))
	}
	large := request("GET", "/look", APIKeyHeader, "secret", backend.CallerHeader, "shop")
	large.Body = []byte("12345")
	c.Assert(code(f.admit(time.Second, time.Now(), large)), qt.Equals, errcode.RequestTooLarge)
}

// Where key withdrawal is bound, a node that can't know refuses in time by itself.
func TestStaleAdmit(t *testing.T) {
	c := qt.New(t)
	for withdrawal, wanted := range map[int64]errcode.Code{0: errcode.OK, 5000: errcode.BusyStale} {
		f := ready(c, withdrawal)
		asked := func(now time.Duration) errcode.Code {
			return code(f.admit(now, time.Now(), request("POST", "/pay", APIKeyHeader, "secret", backend.CallerHeader, "shop")))
		}
		c.Assert(asked(4400*time.Millisecond), qt.Equals, errcode.OK)
		c.Assert(asked(4600*time.Millisecond), qt.Equals, wanted)
	}
}

func TestKeyAndOwnHeadersAreDropped(t *testing.T) {
	c := qt.New(t)
	f := ready(c, 0)
	asked := request(
		"POST",
		"/pay?a=1&api_key=secret&b=secret&c=%73ecret&e=%2573ecret&d=2&api_key=extra",
		APIKeyHeader,
		"secret",
		"Authorization",
		"bearer other",
		"Cookie",
		"x=secret",
		"Cookie",
		"y=SECRET",
		"Referer",
		"/x?k=%53ecret",
		"X-Note",
		"an other one",
		"X-More",
		"extra",
		"X-Second",
		"a=second",
		"X-Tenant",
		"other",
		"X_tenant",
		"other",
		backend.CallerHeader,
		"shop",
		"X-Request-Id",
		"mine",
		"Connection",
		"X-Hop",
		"X-Hop",
		"1",
		"X-Kept",
		"yes",
	)
	c.Assert(f.admit(time.Second, time.Now(), asked), qt.IsNil)
	c.Assert(asked.Header, qt.DeepEquals, http.Header{"X-Kept": {"yes"}})
	c.Assert(asked.RawQuery, qt.Equals, "a=1&d=2")
	for _, path := range []string{"/pay/secret", "/pay/%73ecret", "/pay/SECRET/x", "/pay/second"} {
		c.Assert(
			code(f.admit(time.Second, time.Now(), request("POST", path, APIKeyHeader, "secret", backend.CallerHeader, "shop"))),
			qt.Equals,
			errcode.RequestBadPath,
		)
	}
}

func upstream(name, zone string) message.Registration {
	return message.Registration{
		Service:             "pay",
		Instance:            name,
		Incarnation:         1,
		Address:             name,
		Zone:                zone,
		Slots:               4,
		State:               message.StateReady,
		ServingProxyAddress: "serving-" + name,
	}
}

// Own zone first; the other only when that one is full or clearly worse.
func TestChoiceSpills(t *testing.T) {
	c := qt.New(t)
	f := ready(c, 0, upstream("near", "here"), upstream("far", "there"))
	random := rand.New(rand.NewPCG(1, 2))
	chosen := map[string]int{}
	for range 6 {
		asked := request("POST", "/pay", APIKeyHeader, "secret", backend.CallerHeader, "shop")
		c.Assert(f.admit(10*time.Second, time.Now(), asked), qt.IsNil)
		asked.Deadline = 20 * time.Second
		c.Assert(f.selectUpstream(10*time.Second, asked, random), qt.IsNil)
		chosen[asked.Target.Instance]++
	}
	c.Assert(chosen["near"] > chosen["far"], qt.IsTrue)
	c.Assert(chosen["far"] > 0, qt.IsTrue)
}

// Each outcome with each kind of route: who is told what, and who tries again.
func TestOutcomes(t *testing.T) {
	c := qt.New(t)
	for _, tried := range []struct {
		path     string
		outcome  message.Outcome
		response errcode.Code
		again    bool
	}{
		{"/pay", message.Outcome{Kind: message.Completed, Status: 200}, errcode.OK, false},
		{"/pay", message.Outcome{Kind: message.NotStarted, Code: int64(errcode.BusySlotsFull)}, errcode.OK, true},
		{"/pay", message.Outcome{Kind: message.NotStarted, Code: int64(errcode.BusyDeadline)}, errcode.BusyDeadline, false},
		{"/pay", message.Outcome{Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownOutcome)}, errcode.UnknownOutcome, false},
		{"/pay", message.Outcome{Kind: message.OutcomeUnknown, Code: int64(errcode.AnswerMalformed)}, errcode.AnswerMalformed, false},
		{"/look", message.Outcome{Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownOutcome)}, errcode.OK, true},
	} {
		f := ready(c, 0, upstream("one", "here"), upstream("two", "here"))
		method := map[string]string{"/pay": "POST", "/look": "GET"}[tried.path]
		asked := request(method, tried.path, APIKeyHeader, "secret", backend.CallerHeader, "shop")
		begin := 10 * time.Second // a process as old as the retry window has its allowance
		asked.Deadline += begin
		c.Assert(f.admit(begin, time.Now(), asked), qt.IsNil)
		c.Assert(f.selectUpstream(begin, asked, rand.New(rand.NewPCG(1, 2))), qt.IsNil)
		response := f.evaluateOutcome(begin+time.Millisecond, asked, tried.outcome)
		c.Check(response == nil, qt.Equals, tried.again, qt.Commentf("%+v", tried))
		c.Check(code(response), qt.Equals, tried.response, qt.Commentf("%+v", tried))
		if response != nil {
			busy := response.Status == http.StatusServiceUnavailable
			c.Check(response.RetryAfter > 0, qt.Equals, busy)
		}
		// Once something may have run, no later refusal says that nothing did.
		if response == nil && tried.outcome.Kind == message.OutcomeUnknown {
			c.Assert(f.selectUpstream(begin+2*time.Millisecond, asked, rand.New(rand.NewPCG(1, 2))), qt.IsNil)
			last := f.evaluateOutcome(begin+6*time.Second, asked, message.Outcome{
				Kind: message.NotStarted,
				Code: int64(errcode.BusySlotsFull),
			})
			c.Check(code(last), qt.Equals, errcode.UnknownOutcome)
		}
	}
}

// Retries stay below the share plus this proxy's part of the allowance.
func TestRetryBudget(t *testing.T) {
	c := qt.New(t)
	f := ready(c, 0)
	granted := 0
	for number := range 1000 {
		now := time.Duration(number) * 10 * time.Millisecond
		f.lock.Lock()
		f.countFirstAttempt(now, "pay")
		if f.spendRetry(now, "pay") {
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
	c.Assert(young.spendRetry(time.Second, "pay"), qt.IsFalse)
	c.Assert(young.spendRetry(10*time.Second, "pay"), qt.IsTrue)
}
