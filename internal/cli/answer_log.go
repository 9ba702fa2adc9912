package cli

import (
	"context"
	"time"

	"beaconvane/internal/errcode"
)

// logAnswers logs how requests ended since the last line, if any was refused.
func (p *proxyProgram) logAnswers(ctx context.Context) {
	ticker := time.NewTicker(p.settings.ReloadEvery())
	defer ticker.Stop()
	last := map[string]int64{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		answers, _ := p.frontend.ResultCounts()
		if since := refusedSince(last, answers); len(since) > 0 {
			p.process.Log.Info("answers", "since", since)
		}
		last = answers
	}
}

// refusedSince returns how many answers of each code were given since the last counts; it is empty when
// all of them were OK.
func refusedSince(last, answers map[string]int64) map[string]int64 {
	succeeded := errcode.OK.String()
	since := map[string]int64{}
	for code, count := range answers {
		if count > last[code] && code != succeeded {
			since[code] = count - last[code]
		}
	}
	if len(since) > 0 {
		since[succeeded] = answers[succeeded] - last[succeeded]
	}
	return since
}
