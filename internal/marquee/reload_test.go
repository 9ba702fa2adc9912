// Settings that change under a running process, told by a signal or by nobody.
package marquee

import (
	"context"
	"errors"
	"os/signal"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/crew"
	"beaconvane/internal/cue"
	"beaconvane/internal/house"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
)

// listener is a machine that passes on what seeds it is told.
type listener struct{ heard chan []string }

func (l *listener) Hear(*cue.Stage, string, any)        {}
func (l *listener) Tick(*cue.Stage)                     {}
func (l *listener) Synced(*cue.Stage, int64, error)     {}
func (l *listener) Asked(_ *cue.Stage, _ int64, it any) { l.heard <- it.(cue.Reseeded).Seeds }

func towerOf(c *qt.C, restore int64) (playbill.Config, *house.House, *listener) {
	config := playbill.Default()
	config.Node, config.Address, config.Bounds.Restore = "one", "127.0.0.1:0", restore
	config.Seeds = []string{"10.0.0.1:1"}
	members := crew.New()
	tower := house.New(config, script.RoleUsher, members)
	heard := &listener{heard: make(chan []string, 16)}
	c.Assert(tower.Run(heard, nil), qt.IsNil)
	c.Cleanup(func() {
		tower.Wings.Close()
		members.Stop(time.Second)
	})
	return config, tower, heard
}

// SIGHUP comes before reload has begun, while it runs, and while the file is broken:
// the process lives, and takes the seeds that the file names.
func TestHangupIsHeardAndEndsNothing(t *testing.T) {
	c := qt.New(t)
	config, tower, heard := towerOf(c, 3_600_000)
	told := make(chan any)
	load := func() (playbill.Config, error) {
		switch next := (<-told).(type) {
		case error:
			return playbill.Config{}, next
		default:
			changed := config
			changed.Seeds = next.([]string)
			return changed, nil
		}
	}
	hangups := listen()
	defer signal.Stop(hangups)
	hangUp := func() { c.Assert(syscall.Kill(syscall.Getpid(), syscall.SIGHUP), qt.IsNil) }
	hangUp()
	tower.Crew.Go("reload", func(ctx context.Context) { reload(ctx, config, tower, load, hangups) })
	told <- []string{"10.0.0.2:1"}
	c.Assert(<-heard.heard, qt.DeepEquals, []string{"10.0.0.2:1"})
	hangUp()
	told <- errors.New("half written")
	hangUp()
	told <- []string{"10.0.0.2:1"}
	hangUp()
	told <- []string{"10.0.0.3:1"}
	c.Assert(<-heard.heard, qt.DeepEquals, []string{"10.0.0.3:1"})
}

// The file may change without a signal.
func TestSettingsAreLookedAtAgain(t *testing.T) {
	c := qt.New(t)
	config, tower, heard := towerOf(c, 60)
	load := func() (playbill.Config, error) {
		changed := config
		changed.Seeds = []string{"10.0.0.9:1"}
		return changed, nil
	}
	tower.Crew.Go("reload", func(ctx context.Context) { reload(ctx, config, tower, load, nil) })
	c.Assert(<-heard.heard, qt.DeepEquals, []string{"10.0.0.9:1"})
}
