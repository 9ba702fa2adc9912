// Tests of the counters that a process creates on the first failure of their kind.
package golden_test

import (
	"io/fs"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/atomic"

	"beaconvane/internal/message"
	"beaconvane/internal/registry"
	"beaconvane/internal/statemachine"
)

// failureCounters lists the counters that a process creates on the first failure of their kind. The
// metrics page adds the prefix "beaconvane_" to each name.
var failureCounters = []string{"control_queue_full", "datagrams_dropped", "disk_recoveries_failed", "reports_failed",
	"reports_refused", "reports_too_late", "sends_dropped"}

// TestFailureCounterNames checks that each name in failureCounters occurs as a string literal in the
// code. The golden files leave these counters out, so a renamed counter would otherwise go unnoticed.
func TestFailureCounterNames(t *testing.T) {
	c := qt.New(t)
	source := strings.Builder{}
	c.Assert(filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		source.Write(content)
		return err
	}), qt.IsNil)
	for _, name := range failureCounters {
		c.Check(strings.Contains(source.String(), strconv.Quote(name)), qt.IsTrue, qt.Commentf(name))
	}
}

// reportingMachine sends each request that it receives as a usage report.
type reportingMachine struct{ stubMachine }

func (*reportingMachine) HandleRequest(env *statemachine.Env, requestID int64, request any) {
	env.Report(request)
	env.Reply(requestID, true)
}

// TestUsageReportCounters checks that a usage report is counted as refused by the collector, as too
// late, or as failed.
func TestUsageReportCounters(t *testing.T) {
	c := qt.New(t)
	status := atomic.NewInt64(http.StatusConflict)
	collector := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter,
		_ *http.Request) {
		out.WriteHeader(int(status.Load()))
	}))
	cfg := testSettings()
	cfg.Collector = collector.URL
	process := runProcess(c, cfg, message.RoleRegistry, &reportingMachine{})
	checkReportCounter := func(expiresAt time.Duration, counter string) {
		_, err := process.Request(process.Group.Context, registry.UsageReport{Window: 1, ExpiresAt: expiresAt})
		c.Assert(err, qt.IsNil)
		for deadline := time.Now().Add(responseTimeout); process.Counters()[counter] == 0 && time.Now().Before(deadline); {
			time.Sleep(pollInterval)
		}
		c.Check(process.Counters()[counter], qt.Equals, int64(1), qt.Commentf(counter))
	}
	checkReportCounter(time.Hour, "reports_refused")
	checkReportCounter(0, "reports_too_late")
	collector.Close()
	checkReportCounter(time.Hour, "reports_failed")
}
