package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/fx"

	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/node"
	"beaconvane/internal/settings"
)

const (
	// startLimit is how long a program may take to start.
	startLimit = time.Minute
	// stopSlack is added to the stopping time of the settings.
	stopSlack = 2 * time.Second
)

// serve runs a program until SIGTERM or SIGINT; a second signal ends it at once.
func serve(program Program, cfg settings.Settings, protocols Protocols, load loader, hangups <-chan os.Signal) error {
	limitMemory(cfg)
	group := goroutine.New()
	process := node.New(cfg, program.Role, group)
	process.SetReportHeaders(protocols.SetReportHeaders)
	app := fx.New(fx.NopLogger, fx.Supply(cfg, group, process, protocols), program.Module)
	if err := app.Err(); err != nil {
		return errcode.Wrap("cli.build", errcode.Internal, err)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	starting, cancelStart := context.WithTimeout(context.Background(), startLimit)
	defer cancelStart()
	if err := app.Start(starting); err != nil {
		return errcode.Wrap("cli.start", errcode.Internal, err)
	}
	group.Go("cli.reload", func(ctx context.Context) { reload(ctx, cfg, process, load, hangups) })
	for _, warning := range cfg.Warnings {
		process.Log.Info("warning: a bound can't be kept", "bound", warning.Path, "cause", warning.Text)
	}
	process.Log.Info("started", "address", cfg.Address, "outside", cfg.HTTPAddress, "version", Version)
	<-signals
	process.Log.Info("stopping")
	group.Go("cli.second-signal", func(context.Context) {
		<-signals
		os.Exit(1)
	})
	stopping, cancelStop := context.WithTimeout(context.Background(), cfg.Grace()+stopSlack)
	defer cancelStop()
	if err := app.Stop(stopping); err != nil {
		process.Log.Info("stopped late", "cause", err.Error())
	}
	return nil
}

const (
	// collectPercent is the growth of the heap, in percent, at which garbage is collected where
	// memory is limited: processor time is cheaper there.
	collectPercent = 30
	// heapPercent is the part of the memory limit that the Go runtime keeps to, in percent.
	heapPercent = 60
	mebibyte    = 1 << 20
)

// limitMemory keeps the process well below the memory limit of its settings, in MiB.
func limitMemory(cfg settings.Settings) {
	if cfg.Limits.Memory <= 0 {
		return
	}
	debug.SetMemoryLimit(cfg.Limits.Memory * mebibyte * heapPercent / 100)
	debug.SetGCPercent(collectPercent)
}
