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

// notifyHangups subscribes to SIGHUP. It must be called early, since the default action of SIGHUP would
// end a process that is still reading its disk.
func notifyHangups() chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// reload reloads the settings on SIGHUP and once per reload interval, since the file may change without
// a signal. Changed seeds take effect at once. Any other change is logged and takes effect at the next
// start.
func reload(ctx context.Context, cfg settings.Settings, process *node.Node, load settingsLoader, hangups <-chan os.Signal) {
	ticker := time.NewTicker(cfg.ReloadEvery())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		reloaded, err := load()
		if err != nil {
			process.Log.Info("reloading the settings failed", "cause", err.Error())
			continue
		}
		if !slices.Equal(reloaded.Seeds, cfg.Seeds) {
			process.Log.Info("seeds changed", "seeds", reloaded.Seeds)
			process.Notify(statemachine.SeedsChanged{Seeds: reloaded.Seeds})
		}
		cfg.Seeds = reloaded.Seeds
		if !reflect.DeepEqual(reloaded, cfg) {
			process.Log.Info("settings changed; the change takes effect at the next start")
		}
		cfg = reloaded
	}
}
