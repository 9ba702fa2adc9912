package cli

import (
	"context"
	"time"

	"go.uber.org/fx"

	"beaconvane/internal/api"
	"beaconvane/internal/configstore"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/node"
	"beaconvane/internal/registry"
	"beaconvane/internal/settings"
)

// RegistryModule is the fx module that runs the registry.
var RegistryModule = fx.Module("registry", fx.Invoke(startRegistry))

// ConfigStoreModule is the fx module that runs the configuration store.
var ConfigStoreModule = fx.Module("configstore", fx.Invoke(startConfigStore))

// startRegistry registers the hooks that start and stop the registry.
func startRegistry(lifecycle fx.Lifecycle, cfg settings.Settings, group *goroutine.Group, process *node.Node) {
	server := api.NewServer(api.NewRegistryHandler(cfg, process))
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			build := func(snapshot []byte, records [][]byte) (node.DiskMachine, error) {
				return registry.New(cfg, node.Self(cfg, message.RoleRegistry), snapshot, records)
			}
			if err := process.RunFromDisk(build); err != nil {
				return err
			}
			serveMetrics(cfg, group, process, nil)
			return server.Serve(group, cfg.HTTPAddress)
		},
		OnStop: func(ctx context.Context) error {
			return stopCore(ctx, cfg, group, process, registry.Stop{}, server)
		},
	})
}

// startConfigStore registers the hooks that start and stop the configuration store.
func startConfigStore(lifecycle fx.Lifecycle, cfg settings.Settings, group *goroutine.Group, process *node.Node) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			build := func(snapshot []byte, records [][]byte) (node.DiskMachine, error) {
				return configstore.New(cfg, node.Self(cfg, message.RoleConfigStore), snapshot, records)
			}
			if err := process.RunFromDisk(build); err != nil {
				return err
			}
			serveMetrics(cfg, group, process, nil)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			return stopCore(ctx, cfg, group, process, configstore.Stop{}, nil)
		},
	})
}

// stopCore asks the machine to hand over its leases, shuts the server down, waits one update interval so
// that the machine's messages are sent, and stops the process. The server may be nil.
func stopCore(ctx context.Context, cfg settings.Settings, group *goroutine.Group, process *node.Node, stop any, server *api.Server) error {
	stopCtx, cancel := context.WithTimeout(ctx, cfg.Grace()/2)
	defer cancel()
	_, err := process.Request(stopCtx, stop)
	if server != nil {
		err = server.Shutdown(stopCtx)
	}
	linger := time.NewTimer(cfg.UpdatesEvery())
	defer linger.Stop()
	<-linger.C
	process.Transport.Close()
	group.Stop(cfg.UpdatesEvery())
	return err
}
