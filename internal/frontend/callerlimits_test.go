// Tests of the limits on callers: sizes of heads and bodies, idle times after a configuration
// change, the body quota, and the start of a request's deadline.
package frontend

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/proxy"
	"beaconvane/internal/routeconfig"
	"beaconvane/internal/settings"
)

// configurationWithLimits returns a configuration with the given JSON as its "limits".
func configurationWithLimits(limits string) *routeconfig.Configuration {
	return routeconfig.Parse(
		"main",
		1,
		fmt.Appendf(nil, `{"services":["pay"],"limits":%s}`, limits),
		settings.Default().ConfigurationLimits(),
	)
}

// newLimitedPipeline returns a pipeline without workers: a request that is submitted stays in the
// admission queue.
func newLimitedPipeline(limits string, adjust func(cfg *settings.Settings)) *Pipeline {
	cfg := settings.Default()
	cfg.Limits.Body = 16 << 20
	adjust(&cfg)
	front := New(cfg, func(string) (backend.Delegation, bool) { return backend.Delegation{}, false })
	group := goroutine.New()
	serving := backend.New(cfg, nil)
	pipeline := NewPipeline(cfg, front, serving, backend.NewUpstreamClient(cfg, serving, group), group, message.Member{}, func(any) {})
	front.UpdateSnapshot(0, &proxy.Snapshot{Configurations: []*routeconfig.Configuration{configurationWithLimits(limits)}})
	return pipeline
}

// statusOf returns the status of the pipeline's refusal, or 0 if the request was submitted.
func statusOf(pipeline *Pipeline, request *http.Request) int {
	recorder := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		pipeline.ServeHTTP(recorder, request)
		close(done)
	}()
	select {
	case <-done:
		return recorder.Code
	case <-pipeline.admitQueue:
		return 0
	}
}

// Guards against a fixed limit of 4 MiB: bodies above it were refused even if the configuration
// allowed them, and bodies below it were accepted even if the configuration forbade them.
func TestBodySizeFollowsConfiguration(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		limits  string
		size    int
		chunked bool
		status  int
	}{
		{`{"body_bytes":8388608}`, 6 << 20, false, 0},
		{`{"body_bytes":8388608}`, 6 << 20, true, 0},
		{`{"body_bytes":8388608}`, 9 << 20, false, http.StatusRequestEntityTooLarge},
		{`{"body_bytes":8388608}`, 9 << 20, true, http.StatusRequestEntityTooLarge},
		{`{"body_bytes":1000}`, 1000, false, 0},
		{`{"body_bytes":1000}`, 1001, false, http.StatusRequestEntityTooLarge},
		{`{"body_bytes":1000}`, 1001, true, http.StatusRequestEntityTooLarge},
		{`{}`, 15 << 20, false, 0},
		{`{"body_bytes":67108864}`, 17 << 20, false, http.StatusRequestEntityTooLarge}, // exceeds the process limit
	} {
		pipeline := newLimitedPipeline(test.limits, func(*settings.Settings) {})
		request := httptest.NewRequest(http.MethodPost, "/x", bytes.NewReader(make([]byte, test.size)))
		if test.chunked {
			request.ContentLength = -1
		}
		c.Check(statusOf(pipeline, request), qt.Equals, test.status, qt.Commentf("%+v", test))
	}
}

// Request heads larger than the configured limit are refused.
func TestHeadSizeFollowsConfiguration(t *testing.T) {
	c := qt.New(t)
	for size, status := range map[int]int{3000: 0, 4200: http.StatusRequestHeaderFieldsTooLarge} {
		request := httptest.NewRequest(http.MethodGet, "/x", nil)
		request.Header.Set("Long", strings.Repeat("x", size))
		c.Check(statusOf(newLimitedPipeline(`{"head_bytes":4096}`, func(*settings.Settings) {}), request), qt.Equals, status)
	}
}

// A body that exceeds the memory left for bodies is refused immediately, with a code that states
// that the request did not run, and with Retry-After. Released memory is available again.
func TestBodyQuotaBoundsConcurrentBodies(t *testing.T) {
	c := qt.New(t)
	pipeline := newLimitedPipeline(`{}`, func(cfg *settings.Settings) { cfg.Limits.Memory, cfg.Limits.Body = 64, 4<<20 })
	c.Assert(pipeline.settings.BodyMemory(), qt.Equals, int64(8<<20))
	post := func(size int) *http.Request {
		return httptest.NewRequest(http.MethodPost, "/x", bytes.NewReader(make([]byte, size)))
	}
	c.Assert(statusOf(pipeline, post(4<<20)), qt.Equals, 0)
	c.Assert(statusOf(pipeline, post(3<<20)), qt.Equals, 0)
	recorder := httptest.NewRecorder()
	pipeline.ServeHTTP(recorder, post(2<<20))
	c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(recorder.Header().Get(CodeHeader), qt.Equals, fmt.Sprint(int(errcode.BusyBodies)))
	c.Assert(recorder.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
	pipeline.bodies.Release(4 << 20)
	c.Assert(statusOf(pipeline, post(2<<20)), qt.Equals, 0)
}

// timedOutBody is a body whose reads exceed the read deadline.
type timedOutBody struct{}

func (timedOutBody) Read([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// A body that is too slow is refused with 408 and Retry-After, and its reservation is released.
func TestSlowBodyIsRefusedAndReleased(t *testing.T) {
	c := qt.New(t)
	pipeline := newLimitedPipeline(`{}`, func(*settings.Settings) {})
	available := pipeline.bodies.Available()
	for _, length := range []int64{10, -1} {
		request := httptest.NewRequest(http.MethodPost, "/x", io.NopCloser(timedOutBody{}))
		request.ContentLength = length
		recorder := httptest.NewRecorder()
		pipeline.ServeHTTP(recorder, request)
		c.Check(recorder.Code, qt.Equals, http.StatusRequestTimeout)
		c.Check(recorder.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
		c.Check(pipeline.bodies.Available(), qt.Equals, available)
	}
}

// After the idle time is lowered, the old one stays in force for its own duration, since connections
// may have become idle before the change. A raised idle time applies immediately.
func TestIdleTimeAfterConfigurationChange(t *testing.T) {
	c := qt.New(t)
	limits := callerLimits{}
	update := func(now time.Duration, idleMillis int) {
		limits.update(now, []*routeconfig.Configuration{configurationWithLimits(fmt.Sprintf(`{"idle_ms":%d}`, idleMillis))})
	}
	c.Assert(limits.idleTime(0), qt.Equals, defaultIdleTime+idleGrace)
	update(0, 15000)
	c.Assert(limits.idleTime(defaultIdleTime), qt.Equals, defaultIdleTime+idleGrace)
	now := 1000 * time.Second
	c.Assert(limits.idleTime(now), qt.Equals, 15*time.Second+idleGrace)
	update(now, 5000)
	c.Assert(limits.idleTime(now), qt.Equals, 15*time.Second+idleGrace)
	update(now+time.Second, 3000)
	c.Assert(limits.idleTime(now+15*time.Second), qt.Equals, 15*time.Second+idleGrace)
	c.Assert(limits.idleTime(now+17*time.Second), qt.Equals, 3*time.Second+idleGrace)
	update(now+20*time.Second, 30000)
	c.Assert(limits.idleTime(now+20*time.Second), qt.Equals, 30*time.Second+idleGrace)
}

// The route's timeout counts from a request's first byte, so that a pipelined request that waited
// behind another does not exceed it.
func TestDeadlineCountsFromFirstByte(t *testing.T) {
	c := qt.New(t)
	f := newHostFrontend(c, readyUpstream("one", "here"))
	request := newHostRequest("/pay/x", "secret")
	request.ArrivedAt = pastRetryWindow - time.Second
	c.Assert(f.admit(pastRetryWindow, time.Now(), request), qt.IsNil)
	c.Assert(request.Deadline, qt.Equals, pastRetryWindow+2*time.Second)
}
