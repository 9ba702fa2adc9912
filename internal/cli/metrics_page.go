package cli

import (
	"beaconvane/internal/api"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/metrics"
	"beaconvane/internal/node"
	"beaconvane/internal/settings"
)

// serveMetrics serves the page of the process's figures, where the settings give it an address.
// A process runs on without the page where the address can't be bound.
func serveMetrics(cfg settings.Settings, group *goroutine.Group, process *node.Node, more func() []metrics.Sample) {
	if cfg.MetricsAddress == "" {
		return
	}
	server := api.NewServer(api.NewMetricsHandler(process, group, more))
	if err := server.Serve(group, cfg.MetricsAddress); err != nil {
		process.Log.Info("warning: no metrics page", "cause", err.Error())
	}
}
