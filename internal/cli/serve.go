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
	// startTimeout bounds the start of a program.
	startTimeout = time.Minute
	// stopSlack is added to the grace period of the settings.
	stopSlack = 2 * time.Second
)

// serve runs a program until SIGTERM or SIGINT. A second signal ends the process at once.
func serve(program Program, cfg settings.Settings, protocols Protocols, load settingsLoader, hangups <-chan os.Signal) error {
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
	startCtx, cancelStart := context.WithTimeout(context.Background(), startTimeout)
	defer cancelStart()
	if err := app.Start(startCtx); err != nil {
		return errcode.Wrap("cli.start", errcode.Internal, err)
	}
	group.Go("cli.reload", func(ctx context.Context) { reload(ctx, cfg, process, load, hangups) })
	for _, warning := range cfg.Warnings {
		process.Log.Info("warning: a bound of the settings can't be met", "bound", warning.Path, "cause", warning.Text)
	}
	process.Log.Info("started", "address", cfg.Address, "outside", cfg.HTTPAddress, "version", Version)
	<-signals
	process.Log.Info("stopping")
	group.Go("cli.second-signal", func(context.Context) {
		<-signals
		os.Exit(1)
	})
	stopCtx, cancelStop := context.WithTimeout(context.Background(), cfg.Grace()+stopSlack)
	defer cancelStop()
	if err := app.Stop(stopCtx); err != nil {
		process.Log.Info("shutdown was incomplete", "cause", err.Error())
	}
	return nil
}

const (
	// gcPercent is the heap growth, in percent, that triggers a garbage collection in a process with a
	// memory limit, where processor time is cheaper than memory.
	gcPercent = 30
	// heapLimitPercent is the soft memory limit of the Go runtime in percent of the process's memory limit.
	heapLimitPercent = 60
	mebibyte         = 1 << 20
)

// limitMemory configures the Go runtime to keep the process well below the memory limit of its settings,
// which is in MiB. It does nothing without a limit.
func limitMemory(cfg settings.Settings) {
	if cfg.Limits.Memory <= 0 {
		return
	}
	debug.SetMemoryLimit(cfg.Limits.Memory * mebibyte * heapLimitPercent / 100)
	debug.SetGCPercent(gcPercent)
}
