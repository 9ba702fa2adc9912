// Counters that a process shows only after something was lost.
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

// rareCounters are the names of those counters; the metrics page puts "beaconvane_" before.
var rareCounters = []string{"control_queue_full", "datagrams_dropped", "disk_recoveries_failed", "reports_failed",
	"reports_refused", "reports_too_late", "sends_dropped"}

// Each name stands as it is in the code.
func TestRareCounters(t *testing.T) {
	c := qt.New(t)
	code := strings.Builder{}
	c.Assert(filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		body, err := os.ReadFile(path)
		code.Write(body)
		return err
	}), qt.IsNil)
	for _, name := range rareCounters {
		c.Check(strings.Contains(code.String(), strconv.Quote(name)), qt.IsTrue, qt.Commentf(name))
	}
}

// reportingMachine sends a usage report at each question.
type reportingMachine struct{ standIn }

func (*reportingMachine) HandleRequest(env *statemachine.Env, requestID int64, question any) {
	env.Report(question)
	env.Reply(requestID, true)
}

// What became of reports is counted.
func TestReportCounters(t *testing.T) {
	c := qt.New(t)
	status := atomic.NewInt64(http.StatusConflict)
	collector := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter,
		_ *http.Request) {
		out.WriteHeader(int(status.Load()))
	}))
	cfg := standInSettings()
	cfg.Collector = collector.URL
	process := runProcess(c, cfg, message.RoleRegistry, &reportingMachine{})
	sent := func(until time.Duration, counter string) {
		_, err := process.Request(process.Group.Context, registry.UsageReport{Window: 1, ExpiresAt: until})
		c.Assert(err, qt.IsNil)
		for deadline := time.Now().Add(answerTimeout); process.Counters()[counter] == 0 && time.Now().Before(deadline); {
			time.Sleep(pollInterval)
		}
		c.Check(process.Counters()[counter], qt.Equals, int64(1), qt.Commentf(counter))
	}
	sent(time.Hour, "reports_refused")
	sent(0, "reports_too_late")
	collector.Close()
	sent(time.Hour, "reports_failed")
}
