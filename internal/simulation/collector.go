package simulation

import (
	"time"

	"beaconvane/internal/checker"
	"beaconvane/internal/registry"
	"beaconvane/internal/statemachine"
)

// collectUsage records a usage report and acknowledges it to the node that sent it, unless the node has
// restarted by then. While the collector is faulty, two thirds of the acknowledgements are lost and the
// others arrive up to two seconds late.
func (w *World) collectUsage(from *Node, incarnation int, report registry.UsageReport) {
	if w.now < w.collectorDownUntil {
		return
	}
	windowLength := from.settings.UsageWindow()
	w.traceEvent("report %d from %s %v", report.Window, from.machine, len(report.Counts))
	w.record.Reported = append(w.record.Reported, checker.Reported{
		Window: report.Window,
		From:   from.machine,
		Counts: report.Counts,
		At:     w.now,
		End:    time.Duration(report.Window+1)*windowLength - epoch,
	})
	wait := w.randomTransitDelay()
	if w.now < w.collectorFaultyUntil {
		w.dangers["reports taken and not answered rightly"]++
		if w.random.IntN(3) > 0 {
			return
		}
		wait += time.Duration(w.random.Int64N(int64(2 * time.Second)))
	}
	w.after(wait, func() {
		from.run(incarnation, func() { from.apply(statemachine.LocalRequest{Request: registry.UsageDelivered{Window: report.Window}}) })
	})
}
