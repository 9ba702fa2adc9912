package api

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/metrics"
	"beaconvane/internal/node"
	"beaconvane/internal/settings"
)

// The metrics page of a process whose control machine doesn't reply has the process's own metrics and
// control_answers 0.
func TestMetricsWithUnresponsiveControlThread(t *testing.T) {
	c := qt.New(t)
	group := goroutine.New()
	process := node.New(settings.Default(), message.RoleRegistry, group)
	group.Stop(0)
	page := httptest.NewRecorder()
	extraSamples := func() []metrics.Sample { return []metrics.Sample{metrics.Flag("ready", true)} }
	handler := NewMetricsHandler(process, group, extraSamples)
	handler.ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	c.Assert(page.Code, qt.Equals, http.StatusOK)
	c.Assert(page.Header().Get("Content-Type"), qt.Contains, "text/plain")
	wantLines := []string{"beaconvane_control_answers 0\n", "beaconvane_ready 1\n", "beaconvane_control_queue ", "beaconvane_heap_bytes "}
	for _, line := range wantLines {
		c.Check(page.Body.String(), qt.Contains, line)
	}
}
