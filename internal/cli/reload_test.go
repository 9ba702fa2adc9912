// Settings that change while the process runs, with a signal or without one.
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

// seedRecorder is a machine that passes on the seeds that it is notified of.
type seedRecorder struct{ received chan []string }

func (l *seedRecorder) Handle(*statemachine.Env, string, any)  {}
func (l *seedRecorder) Tick(*statemachine.Env)                 {}
func (l *seedRecorder) Synced(*statemachine.Env, int64, error) {}
func (l *seedRecorder) HandleRequest(_ *statemachine.Env, _ int64, it any) {
	l.received <- it.(statemachine.SeedsChanged).Seeds
}

func runProcess(c *qt.C, restore int64) (settings.Settings, *node.Node, *seedRecorder) {
	cfg := settings.Default()
	cfg.Node, cfg.Address, cfg.Bounds.Restore = "one", "127.0.0.1:0", restore
	cfg.Seeds = []string{"10.0.0.1:1"}
	members := goroutine.New()
	process := node.New(cfg, message.RoleProxy, members)
	received := &seedRecorder{received: make(chan []string, 16)}
	c.Assert(process.Run(received, nil), qt.IsNil)
	c.Cleanup(func() {
		process.Transport.Close()
		members.Stop(time.Second)
	})
	return cfg, process, received
}

// SIGHUP comes before reload has begun, while it runs, and while the file is broken:
// the process lives, and takes the seeds that the file names.
func TestHangupIsNoticedAndEndsNothing(t *testing.T) {
	c := qt.New(t)
	cfg, process, received := runProcess(c, 3_600_000)
	response := make(chan any)
	load := func() (settings.Settings, error) {
		switch next := (<-response).(type) {
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
	response <- []string{"10.0.0.2:1"}
	c.Assert(<-received.received, qt.DeepEquals, []string{"10.0.0.2:1"})
	hangUp()
	response <- errors.New("half written")
	hangUp()
	response <- []string{"10.0.0.2:1"}
	hangUp()
	response <- []string{"10.0.0.3:1"}
	c.Assert(<-received.received, qt.DeepEquals, []string{"10.0.0.3:1"})
}

// The file may change without a signal.
func TestSettingsAreLookedAtAgain(t *testing.T) {
	c := qt.New(t)
	cfg, process, received := runProcess(c, 60)
	load := func() (settings.Settings, error) {
		changed := cfg
		changed.Seeds = []string{"10.0.0.9:1"}
		return changed, nil
	}
	process.Group.Go("reload", func(ctx context.Context) { reload(ctx, cfg, process, load, nil) })
	c.Assert(<-received.received, qt.DeepEquals, []string{"10.0.0.9:1"})
}
