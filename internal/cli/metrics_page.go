package cli

import (
	"beaconvane/internal/api"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/metrics"
	"beaconvane/internal/node"
	"beaconvane/internal/settings"
)

// serveMetrics serves the metrics page if the settings give it an address. If the address can't be
// bound, it logs a warning and the process runs without the page.
func serveMetrics(cfg settings.Settings, group *goroutine.Group, process *node.Node, more func() []metrics.Sample) {
	if cfg.MetricsAddress == "" {
		return
	}
	server := api.NewServer(api.NewMetricsHandler(process, group, more))
	if err := server.Serve(group, cfg.MetricsAddress); err != nil {
		process.Log.Info("warning: metrics page is not served", "cause", err.Error())
	}
}
