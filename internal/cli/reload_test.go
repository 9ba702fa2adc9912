// Tests of settings that change while the process runs, with or without a signal.
package cli

import (
	"context"
	"errors"
	"os/signal"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/node"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// seedRecorder is a machine that sends the seeds of each SeedsChanged notification to a channel.
type seedRecorder struct{ received chan []string }

func (r *seedRecorder) Handle(*statemachine.Env, string, any)  {}
func (r *seedRecorder) Tick(*statemachine.Env)                 {}
func (r *seedRecorder) Synced(*statemachine.Env, int64, error) {}
func (r *seedRecorder) HandleRequest(_ *statemachine.Env, _ int64, request any) {
	r.received <- request.(statemachine.SeedsChanged).Seeds
}

// runProcess starts a process with a seedRecorder. A small restoreBound, in milliseconds, gives a short
// reload interval.
func runProcess(c *qt.C, restoreBound int64) (settings.Settings, *node.Node, *seedRecorder) {
	cfg := settings.Default()
	cfg.Node, cfg.Address, cfg.Bounds.Restore = "one", "127.0.0.1:0", restoreBound
	cfg.Seeds = []string{"10.0.0.1:1"}
	group := goroutine.New()
	process := node.New(cfg, message.RoleProxy, group)
	recorder := &seedRecorder{received: make(chan []string, 16)}
	c.Assert(process.Run(recorder, nil), qt.IsNil)
	c.Cleanup(func() {
		process.Transport.Close()
		group.Stop(time.Second)
	})
	return cfg, process, recorder
}

// SIGHUP arrives before reload has started, while it runs, and while the file is invalid. The process
// survives each signal and applies the seeds of the file.
func TestHangupIsNoticedAndEndsNothing(t *testing.T) {
	c := qt.New(t)
	cfg, process, recorder := runProcess(c, 3_600_000)
	loadResults := make(chan any)
	load := func() (settings.Settings, error) {
		switch next := (<-loadResults).(type) {
		case error:
			return settings.Settings{}, next
		default:
			changed := cfg
			changed.Seeds = next.([]string)
			return changed, nil
		}
	}
	hangups := notifyHangups()
	defer signal.Stop(hangups)
	hangUp := func() { c.Assert(syscall.Kill(syscall.Getpid(), syscall.SIGHUP), qt.IsNil) }
	hangUp()
	process.Group.Go("reload", func(ctx context.Context) { reload(ctx, cfg, process, load, hangups) })
	loadResults <- []string{"10.0.0.2:1"}
	c.Assert(<-recorder.received, qt.DeepEquals, []string{"10.0.0.2:1"})
	hangUp()
	loadResults <- errors.New("half written")
	hangUp()
	loadResults <- []string{"10.0.0.2:1"}
	hangUp()
	loadResults <- []string{"10.0.0.3:1"}
	c.Assert(<-recorder.received, qt.DeepEquals, []string{"10.0.0.3:1"})
}

// A change of the file is detected without a signal, after at most a reload interval.
func TestSettingsAreLookedAtAgain(t *testing.T) {
	c := qt.New(t)
	cfg, process, recorder := runProcess(c, 60)
	load := func() (settings.Settings, error) {
		changed := cfg
		changed.Seeds = []string{"10.0.0.9:1"}
		return changed, nil
	}
	process.Group.Go("reload", func(ctx context.Context) { reload(ctx, cfg, process, load, nil) })
	c.Assert(<-recorder.received, qt.DeepEquals, []string{"10.0.0.9:1"})
}
