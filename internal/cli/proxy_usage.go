package cli

import (
	"context"
	"time"

	"beaconvane/internal/node"
	"beaconvane/internal/proxy"
)

// countUsage sends the usage counts to the control machine once per count interval.
func (p *proxyProgram) countUsage(ctx context.Context) {
	ticker := time.NewTicker(p.settings.CountEvery())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		sealed, err := p.sealedBelow(ctx)
		if err != nil {
			continue
		}
		usage, closed := p.frontend.Usage(p.process.Group.Wall(), sealed)
		p.process.Notify(proxy.UsageCounted{Usage: usage, Closed: closed})
	}
}

// sealedBelow asks the control machine for the window below which all usage is sealed.
func (p *proxyProgram) sealedBelow(ctx context.Context) (int64, error) {
	requestCtx, cancel := context.WithTimeout(ctx, p.settings.HeartbeatEvery())
	defer cancel()
	return node.RequestAs[int64](requestCtx, p.process, proxy.ReadSealed{})
}
