package cli

import (
	"context"
	"errors"
	"time"

	"go.uber.org/fx"

	"beaconvane/internal/api"
	"beaconvane/internal/backend"
	"beaconvane/internal/errcode"
	"beaconvane/internal/frontend"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/node"
	"beaconvane/internal/proxy"
	"beaconvane/internal/settings"
	"beaconvane/internal/transport"
)

// ProxyModule builds the proxy.
var ProxyModule = fx.Module("proxy", fx.Invoke(startProxy))

// proxyProgram is a running proxy: its control machine, its traffic side and its HTTP servers.
type proxyProgram struct {
	settings   settings.Settings
	process    *node.Node
	machine    *proxy.Machine
	goroutines *goroutine.Group
	frontend   *frontend.Frontend
	stages     *frontend.Pipeline
	api        *api.Proxy
	server     *api.Server
	callers    *api.Server // callers' own address; nil where they share the proxy's
}

func startProxy(life fx.Lifecycle, cfg settings.Settings, group *goroutine.Group, process *node.Node, protocols Protocols) {
	program := newProxyProgram(cfg, group, process, protocols)
	life.Append(fx.Hook{
		OnStart: func(context.Context) error { return program.start() },
		OnStop:  program.stop,
	})
}

func newProxyProgram(cfg settings.Settings, group *goroutine.Group, process *node.Node, protocols Protocols) *proxyProgram {
	p := &proxyProgram{settings: cfg, process: process, goroutines: group}
	upstreams := backend.New(cfg, func(forward message.Forward) errcode.Code { return p.frontend.AuthorizeForward(forward) })
	p.frontend = frontend.New(cfg, upstreams.LookupDelegation)
	p.frontend.UseProtocol(protocols.Callers)
	p.frontend.UseRetryMonitor(upstreams)
	caller := backend.NewUpstreamClient(cfg, upstreams, group)
	caller.UseProtocol(protocols.Upstreams)
	self := node.Self(cfg, message.RoleProxy)
	p.machine = proxy.New(cfg, self)
	p.stages = frontend.NewPipeline(cfg, p.frontend, upstreams, caller, group, self, process.Notify)
	process.OnTraffic(p.stages.HandlePeerFrame)
	process.OnPublish(func(snapshot any) { p.stages.UpdateSnapshot(snapshot.(*proxy.Snapshot)) })
	p.api = api.NewProxy(cfg, process, group, p.frontend, upstreams, p.stages)
	limits := limitsInForce{p.frontend, group}
	if p.callersApart() {
		p.server = api.NewServer(p.api.Handler())
		p.callers = api.NewServer(p.stages)
		p.callers.ServeCallersBy(limits)
		if most := cfg.CallerConnections(); most > 0 {
			p.callers.Bound(most)
		}
	} else {
		p.server = api.NewServer(p.api.HandlerWithCallers(p.stages))
		p.server.ServeCallersBy(limits)
	}
	return p
}

// limitsInForce are the frontend's limits for callers, by the process's clock.
type limitsInForce struct {
	frontend   *frontend.Frontend
	goroutines *goroutine.Group
}

// IdleTime is how long a caller's connection may rest now.
func (l limitsInForce) IdleTime() time.Duration { return l.frontend.IdleTime(l.goroutines.Now()) }

// HeadTime is how long a request's head may take now.
func (l limitsInForce) HeadTime() time.Duration { return l.frontend.HeadTime() }

// callersApart says whether callers have an address of their own, where every path is theirs.
func (p *proxyProgram) callersApart() bool { return len(p.settings.Beacon) > 0 }

func (p *proxyProgram) start() error {
	if err := p.process.Run(p.machine, func(network *transport.Transport) { p.stages.Start(network) }); err != nil {
		return err
	}
	p.goroutines.Go("proxy.count-usage", p.countUsage)
	p.goroutines.Go("proxy.log-answers", p.logAnswers)
	serveMetrics(p.settings, p.goroutines, p.process, p.api.Metrics)
	if !p.callersApart() {
		return p.server.Serve(p.goroutines, p.settings.Outside)
	}
	if err := p.callers.Serve(p.goroutines, p.settings.Outside); err != nil {
		return err
	}
	return p.server.Serve(p.goroutines, p.settings.Beacon...)
}

// stop says that the proxy is not ready, tells the others, takes requests for the linger time of
// the settings, refuses what has not started by then, and finishes the rest.
func (p *proxyProgram) stop(ctx context.Context) error {
	p.api.BeginStop()
	p.process.Notify(proxy.Stop{})
	limited, cancel := context.WithTimeout(ctx, p.settings.Grace())
	defer cancel()
	linger := time.NewTimer(max(p.settings.Linger(), p.settings.UpdatesEvery()))
	defer linger.Stop()
	if p.settings.Linger() == 0 {
		p.stages.Drain()
	}
	<-linger.C
	p.api.Close()
	p.stages.Drain()
	err := p.shutdownServers(limited)
	p.awaitRequests(limited)
	p.process.Transport.Close()
	p.goroutines.Stop(p.settings.UpdatesEvery())
	return err
}

func (p *proxyProgram) shutdownServers(ctx context.Context) error {
	if p.callers == nil {
		return p.server.Shutdown(ctx)
	}
	return errors.Join(p.callers.Shutdown(ctx), p.server.Shutdown(ctx))
}

// awaitRequests waits until no request is inside, and one tick more: the last outcomes are on their
// connections, and have to leave before those close.
func (p *proxyProgram) awaitRequests(ctx context.Context) {
	ticker := time.NewTicker(p.settings.TickEvery())
	defer ticker.Stop()
	for p.stages.InFlight() > 0 && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	<-ticker.C
}

// countUsage hands the usage counts to the control machine, once a count interval.
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

// sealedBelow asks the control machine below which window all usage is sealed.
func (p *proxyProgram) sealedBelow(ctx context.Context) (int64, error) {
	limited, cancel := context.WithTimeout(ctx, p.settings.HeartbeatEvery())
	defer cancel()
	answer, err := p.process.Request(limited, proxy.ReadSealed{})
	if err != nil {
		return 0, err
	}
	return answer.(int64), nil
}

// logAnswers logs how requests ended since the last line, where any was refused.
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

// refusedSince returns how many answers of each code came since the last counts; it is empty when
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
