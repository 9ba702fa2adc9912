package cli

import (
	"context"
	"time"

	"beaconvane/internal/errcode"
)

// logResultCounts logs, once a reload interval, how many requests ended with each result code since the
// previous check. It logs nothing for an interval without refusals.
func (p *proxyProgram) logResultCounts(ctx context.Context) {
	ticker := time.NewTicker(p.settings.ReloadEvery())
	defer ticker.Stop()
	previous := map[string]int64{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		results, _ := p.frontend.ResultCounts()
		if counts := refusedCountsSince(previous, results); len(counts) > 0 {
			p.process.Log.Info("requests were refused", "since", counts)
		}
		previous = results
	}
}

// refusedCountsSince returns how many requests ended with each result code since the previous counts. It
// returns an empty map if all of them ended with OK.
func refusedCountsSince(previous, results map[string]int64) map[string]int64 {
	succeeded := errcode.OK.String()
	increases := map[string]int64{}
	for code, count := range results {
		if count > previous[code] && code != succeeded {
			increases[code] = count - previous[code]
		}
	}
	if len(increases) > 0 {
		increases[succeeded] = results[succeeded] - previous[succeeded]
	}
	return increases
}
