package cli

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"slices"
	"syscall"
	"time"

	"beaconvane/internal/node"
	"beaconvane/internal/settings"
	"beaconvane/internal/statemachine"
)

// notifyHangups handles SIGHUP from the start: by default it ends a process, also one that
// is still reading its disk.
func notifyHangups() chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// reload reads the settings again, on SIGHUP and once a reload interval, since the file may change
// without a signal. New seeds are taken at once; any other change is logged and taken at the next
// start.
func reload(ctx context.Context, cfg settings.Settings, process *node.Node, load loader, hangups <-chan os.Signal) {
	ticker := time.NewTicker(cfg.ReloadEvery())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		changed, err := load()
		if err != nil {
			process.Log.Info("settings not read again", "cause", err.Error())
			continue
		}
		if !slices.Equal(changed.Seeds, cfg.Seeds) {
			process.Log.Info("seeds changed", "seeds", changed.Seeds)
			process.Notify(statemachine.SeedsChanged{Seeds: changed.Seeds})
		}
		cfg.Seeds = changed.Seeds
		if !reflect.DeepEqual(changed, cfg) {
			process.Log.Info("settings changed: taken at the next start")
		}
		cfg = changed
	}
}
