// Tests of admission, the removal of keys, selection, the retry budget, and the evaluation of
// outcomes.
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

// testRoutes is a configuration with an at-most-once route /pay and a repeatable route /look.
const testRoutes = `{"services":["pay"],"tenants":[{"name":"t","keys":["secret"]},{"name":"u","keys":["second"]}],"routes":[
{"name":"pay","service":"pay","path":"/pay","methods":["POST"],"callers":["shop","pay"]},
{"name":"look","service":"pay","path":"/look","methods":["GET"],"callers":["shop"],"body_bytes":4}]}`

// newReadyFrontend returns a frontend with testRoutes, in a fleet of 10 proxies.
// keyWithdrawalMillis bounds the time until a withdrawn key is refused; 0 for no bound.
func newReadyFrontend(c *qt.C, keyWithdrawalMillis int64, upstreams ...message.Registration) *Frontend {
	cfg := settings.Default()
	cfg.Zone, cfg.Bounds.KeyWithdrawal = "here", keyWithdrawalMillis
	faults, _ := routeconfig.Check([]byte(testRoutes), cfg.ConfigurationLimits())
	c.Assert(faults, qt.HasLen, 0)
	f := New(cfg, func(token string) (backend.Delegation, bool) {
		return backend.Delegation{Tenant: "t", Service: "pay"}, token == "good"
	})
	f.UpdateSnapshot(0, &proxy.Snapshot{
		Configurations:      []*routeconfig.Configuration{routeconfig.Parse("main", 1, []byte(testRoutes), cfg.ConfigurationLimits())},
		ConfigurationsKnown: true,
		RosterKnown:         true,
		Joined:              true,
		ProxyCount:          10,
		Upstreams:           map[string][]message.Registration{"pay": upstreams},
	})
	return f
}

// newTestRequest returns a request with a path that may have a query, and with headers given as
// alternating names and values.
func newTestRequest(method, path string, headers ...string) *Request {
	header := http.Header{}
	for index := 0; index < len(headers); index += 2 {
		header.Add(headers[index], headers[index+1])
	}
	rawPath, rawQuery, _ := strings.Cut(path, "?")
	return &Request{ID: "q", Method: method, RawPath: rawPath, RawQuery: rawQuery, Header: header, Deadline: 5 * time.Second}
}

// responseCode returns a response's code, or errcode.OK for nil.
func responseCode(response *Response) errcode.Code {
	if response == nil {
		return errcode.OK
	}
	return response.Code
}

// Each admission check refuses with its code.
func TestAdmit(t *testing.T) {
	c := qt.New(t)
	f := newReadyFrontend(c, 0)
	for _, test := range []struct {
		request *Request
		code    errcode.Code
	}{
		{newTestRequest("POST", "/pay", APIKeyHeader, "secret", backend.CallerHeader, "shop"), errcode.OK},
		{newTestRequest("POST", "/pay", "Authorization", "Bearer secret", backend.CallerHeader, "shop"), errcode.OK},
		{newTestRequest("POST", "/pay?api_key=secret", backend.CallerHeader, "shop"), errcode.OK},
		{newTestRequest("POST", "/pay", backend.DelegationHeader, "good"), errcode.OK},
		{newTestRequest("POST", "/pay", backend.DelegationHeader, "old", APIKeyHeader, "secret"), errcode.RequestPassInvalid},
		{newTestRequest("GET", "/look", backend.DelegationHeader, "good"), errcode.RequestCallerRefused},
		{newTestRequest("POST", "/pay", backend.CallerHeader, "shop"), errcode.RequestNoKey},
		{newTestRequest("POST", "/pay", APIKeyHeader, "wrong", backend.CallerHeader, "shop"), errcode.RequestKeyUnknown},
		{newTestRequest("POST", "/pay", APIKeyHeader, "secret", backend.CallerHeader, "unlisted"), errcode.RequestCallerRefused},
		{newTestRequest("POST", "/other", APIKeyHeader, "secret", backend.CallerHeader, "shop"), errcode.RequestNoRoute},
		{newTestRequest("POST", "/pay/%2e%2e/x", APIKeyHeader, "secret", backend.CallerHeader, "shop"), errcode.RequestBadPath},
	} {
		c.Check(responseCode(f.admit(time.Second, time.Now(), test.request)), qt.Equals, test.code, qt.Commentf("%v", test.request.Header))
	}
	large := newTestRequest("GET", "/look", APIKeyHeader, "secret", backend.CallerHeader, "shop")
	large.Body = []byte("12345")
	c.Assert(responseCode(f.admit(time.Second, time.Now(), large)), qt.Equals, errcode.RequestTooLarge)
}

// If the time for key withdrawal is bounded, a proxy whose configurations are too old to include
// a withdrawal refuses requests within that bound.
func TestStaleAdmit(t *testing.T) {
	c := qt.New(t)
	for keyWithdrawalMillis, expected := range map[int64]errcode.Code{0: errcode.OK, 5000: errcode.BusyStale} {
		f := newReadyFrontend(c, keyWithdrawalMillis)
		admitAt := func(now time.Duration) errcode.Code {
			request := newTestRequest("POST", "/pay", APIKeyHeader, "secret", backend.CallerHeader, "shop")
			return responseCode(f.admit(now, time.Now(), request))
		}
		c.Assert(admitAt(4400*time.Millisecond), qt.Equals, errcode.OK)
		c.Assert(admitAt(4600*time.Millisecond), qt.Equals, expected)
	}
}

// Keys, mesh headers and hop-by-hop headers do not reach an upstream, and a path with a key is
// refused.
func TestKeyAndOwnHeadersAreDropped(t *testing.T) {
	c := qt.New(t)
	f := newReadyFrontend(c, 0)
	request := newTestRequest(
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
	c.Assert(f.admit(time.Second, time.Now(), request), qt.IsNil)
	c.Assert(request.Header, qt.DeepEquals, http.Header{"X-Kept": {"yes"}})
	c.Assert(request.RawQuery, qt.Equals, "a=1&d=2")
	for _, path := range []string{"/pay/secret", "/pay/%73ecret", "/pay/SECRET/x", "/pay/second"} {
		exposing := newTestRequest("POST", path, APIKeyHeader, "secret", backend.CallerHeader, "shop")
		c.Assert(responseCode(f.admit(time.Second, time.Now(), exposing)), qt.Equals, errcode.RequestBadPath)
	}
}

// readyUpstream returns the registration of a ready upstream with 4 slots.
func readyUpstream(name, zone string) message.Registration {
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

// Selection prefers the proxy's own zone, and uses another zone only if the own one is full or
// clearly worse.
func TestSelectionSpillsToOtherZone(t *testing.T) {
	c := qt.New(t)
	f := newReadyFrontend(c, 0, readyUpstream("near", "here"), readyUpstream("far", "there"))
	random := rand.New(rand.NewPCG(1, 2))
	chosen := map[string]int{}
	for range 6 {
		request := newTestRequest("POST", "/pay", APIKeyHeader, "secret", backend.CallerHeader, "shop")
		c.Assert(f.admit(10*time.Second, time.Now(), request), qt.IsNil)
		request.Deadline = 20 * time.Second
		c.Assert(f.selectUpstream(10*time.Second, request, random), qt.IsNil)
		chosen[request.Target.Instance]++
	}
	c.Assert(chosen["near"] > chosen["far"], qt.IsTrue)
	c.Assert(chosen["far"] > 0, qt.IsTrue)
}

// Outcomes on at-most-once and repeatable routes: the caller's answer, or another attempt.
func TestOutcomes(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		path     string
		outcome  message.Outcome
		response errcode.Code
		retried  bool
	}{
		{"/pay", message.Outcome{Kind: message.Completed, Status: 200}, errcode.OK, false},
		{"/pay", message.Outcome{Kind: message.NotStarted, Code: int64(errcode.BusySlotsFull)}, errcode.OK, true},
		{"/pay", message.Outcome{Kind: message.NotStarted, Code: int64(errcode.BusyDeadline)}, errcode.BusyDeadline, false},
		{"/pay", message.Outcome{Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownOutcome)}, errcode.UnknownOutcome, false},
		{"/pay", message.Outcome{Kind: message.OutcomeUnknown, Code: int64(errcode.AnswerMalformed)}, errcode.AnswerMalformed, false},
		{"/look", message.Outcome{Kind: message.OutcomeUnknown, Code: int64(errcode.UnknownOutcome)}, errcode.OK, true},
	} {
		f := newReadyFrontend(c, 0, readyUpstream("one", "here"), readyUpstream("two", "here"))
		method := map[string]string{"/pay": "POST", "/look": "GET"}[test.path]
		request := newTestRequest(method, test.path, APIKeyHeader, "secret", backend.CallerHeader, "shop")
		start := 10 * time.Second // past the retry window, so that the retry allowance applies
		request.Deadline += start
		c.Assert(f.admit(start, time.Now(), request), qt.IsNil)
		c.Assert(f.selectUpstream(start, request, rand.New(rand.NewPCG(1, 2))), qt.IsNil)
		response := f.evaluateOutcome(start+time.Millisecond, request, test.outcome)
		c.Check(response == nil, qt.Equals, test.retried, qt.Commentf("%+v", test))
		c.Check(responseCode(response), qt.Equals, test.response, qt.Commentf("%+v", test))
		if response != nil {
			busy := response.Status == http.StatusServiceUnavailable
			c.Check(response.RetryAfter > 0, qt.Equals, busy)
		}
		// Once an attempt may have run, no later answer states that the request did not run.
		if response == nil && test.outcome.Kind == message.OutcomeUnknown {
			c.Assert(f.selectUpstream(start+2*time.Millisecond, request, rand.New(rand.NewPCG(1, 2))), qt.IsNil)
			later := f.evaluateOutcome(start+6*time.Second, request, message.Outcome{
				Kind: message.NotStarted,
				Code: int64(errcode.BusySlotsFull),
			})
			c.Check(responseCode(later), qt.Equals, errcode.UnknownOutcome)
		}
	}
}

// Retries stay below the configured share plus this proxy's fraction of the allowance.
func TestRetryBudget(t *testing.T) {
	c := qt.New(t)
	f := newReadyFrontend(c, 0)
	granted := 0
	for index := range 1000 {
		now := time.Duration(index) * 10 * time.Millisecond
		f.lock.Lock()
		f.countFirstAttempt(now, "pay")
		if f.spendRetry(now, "pay") {
			granted++
		}
		f.lock.Unlock()
	}
	c.Assert(granted <= 201, qt.IsTrue, qt.Commentf(fmt.Sprint(granted)))
	c.Assert(granted >= 150, qt.IsTrue, qt.Commentf(fmt.Sprint(granted)))
	// A process that started less than a retry window ago has no allowance.
	recent := newReadyFrontend(c, 0)
	recent.lock.Lock()
	defer recent.lock.Unlock()
	c.Assert(recent.spendRetry(time.Second, "pay"), qt.IsFalse)
	c.Assert(recent.spendRetry(10*time.Second, "pay"), qt.IsTrue)
}
