package cli

import (
	"context"
	"errors"
	"fmt"
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

// ProxyModule is the fx module that runs the proxy.
var ProxyModule = fx.Module("proxy", fx.Invoke(startProxy))

// proxyProgram is a running proxy: its control machine, its data plane and its HTTP servers.
type proxyProgram struct {
	settings      settings.Settings
	process       *node.Node
	machine       *proxy.Machine
	goroutines    *goroutine.Group
	frontend      *frontend.Frontend
	pipeline      *frontend.Pipeline
	api           *api.Proxy
	server        *api.Server
	callersServer *api.Server // serves callers at a separate address; nil if they share the proxy's
}

// startProxy registers the hooks that start and stop the proxy.
func startProxy(lifecycle fx.Lifecycle, cfg settings.Settings, group *goroutine.Group, process *node.Node, protocols Protocols) {
	program := newProxyProgram(cfg, group, process, protocols)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { return program.start() },
		OnStop:  program.stop,
	})
}

// newProxyProgram creates the control machine and the data plane and connects them: the machine
// publishes snapshots to the pipeline, and the pipeline notifies the machine.
func newProxyProgram(cfg settings.Settings, group *goroutine.Group, process *node.Node, protocols Protocols) *proxyProgram {
	p := &proxyProgram{settings: cfg, process: process, goroutines: group}
	upstreams := backend.New(cfg, func(forward message.Forward) errcode.Code { return p.frontend.AuthorizeForward(forward) })
	p.frontend = frontend.New(cfg, upstreams.LookupDelegation)
	p.frontend.UseProtocol(protocols.Callers)
	p.frontend.UseRetryMonitor(upstreams)
	client := backend.NewUpstreamClient(cfg, upstreams, group)
	client.UseProtocol(protocols.Upstreams)
	self := node.Self(cfg, message.RoleProxy)
	p.machine = proxy.New(cfg, self)
	p.pipeline = frontend.NewPipeline(cfg, p.frontend, upstreams, client, group, self, process.Notify)
	process.OnTraffic(p.pipeline.HandlePeerFrame)
	process.OnPublish(p.updateSnapshot)
	p.api = api.NewProxy(cfg, process, group, p.frontend, upstreams, p.pipeline)
	p.newServers()
	return p
}

// updateSnapshot passes the machine's snapshot of the mesh to the data plane. It panics if the published
// value has another type, which is a programming error in the machine.
func (p *proxyProgram) updateSnapshot(published any) {
	snapshot, isSnapshot := published.(*proxy.Snapshot)
	if !isSnapshot {
		panic(fmt.Sprintf("cli: the proxy's machine published a %T", published))
	}
	p.pipeline.UpdateSnapshot(snapshot)
}

// newServers creates the HTTP servers: one for all paths, or two if callers have a separate address.
func (p *proxyProgram) newServers() {
	timeouts := currentCallerTimeouts{p.frontend, p.goroutines}
	if !p.hasCallersAddress() {
		p.server = api.NewServer(p.api.HandlerWithCallers(p.pipeline))
		p.server.UseCallerTimeouts(timeouts)
		return
	}
	p.server = api.NewServer(p.api.Handler())
	p.callersServer = api.NewServer(p.pipeline)
	p.callersServer.UseCallerTimeouts(timeouts)
	if maxOpen := p.settings.CallerConnections(); maxOpen > 0 {
		p.callersServer.LimitConnections(maxOpen)
	}
}

// currentCallerTimeouts implements api.CallerTimeouts by the configuration in force.
type currentCallerTimeouts struct {
	frontend   *frontend.Frontend
	goroutines *goroutine.Group
}

// IdleTime returns how long a caller's connection may be idle under the configuration in force.
func (t currentCallerTimeouts) IdleTime() time.Duration {
	return t.frontend.IdleTime(t.goroutines.Now())
}

// HeadTime returns how long receiving a request's header may take under the configuration in force.
func (t currentCallerTimeouts) HeadTime() time.Duration { return t.frontend.HeadTime() }

// hasCallersAddress reports whether callers have a separate address, at which every path is theirs.
func (p *proxyProgram) hasCallersAddress() bool { return len(p.settings.BeaconAddresses) > 0 }

// start runs the control machine, the data plane and the HTTP servers.
func (p *proxyProgram) start() error {
	if err := p.process.Run(p.machine, func(network *transport.Transport) { p.pipeline.Start(network) }); err != nil {
		return err
	}
	p.goroutines.Go("proxy.count-usage", p.countUsage)
	p.goroutines.Go("proxy.log-answers", p.logResultCounts)
	serveMetrics(p.settings, p.goroutines, p.process, p.api.Metrics)
	if !p.hasCallersAddress() {
		return p.server.Serve(p.goroutines, p.settings.HTTPAddress)
	}
	if err := p.callersServer.Serve(p.goroutines, p.settings.HTTPAddress); err != nil {
		return err
	}
	return p.server.Serve(p.goroutines, p.settings.BeaconAddresses...)
}

// stop reports that the proxy is not ready, notifies its peers, accepts requests during the linger time
// of the settings, then refuses requests that have not started and waits for those in flight.
func (p *proxyProgram) stop(ctx context.Context) error {
	p.api.BeginStop()
	p.process.Notify(proxy.Stop{})
	stopCtx, cancel := context.WithTimeout(ctx, p.settings.Grace())
	defer cancel()
	linger := time.NewTimer(max(p.settings.Linger(), p.settings.UpdatesEvery()))
	defer linger.Stop()
	if p.settings.Linger() == 0 {
		p.pipeline.Drain()
	}
	<-linger.C
	p.api.Close()
	p.pipeline.Drain()
	err := p.shutdownServers(stopCtx)
	p.awaitRequests(stopCtx)
	p.process.Transport.Close()
	p.goroutines.Stop(p.settings.UpdatesEvery())
	return err
}

// shutdownServers shuts the HTTP servers down, that of the callers first.
func (p *proxyProgram) shutdownServers(ctx context.Context) error {
	if p.callersServer == nil {
		return p.server.Shutdown(ctx)
	}
	return errors.Join(p.callersServer.Shutdown(ctx), p.server.Shutdown(ctx))
}

// awaitRequests waits until no request is in flight and for one further tick, since the last outcomes
// are still in the send queues of their connections and must be sent before these close.
func (p *proxyProgram) awaitRequests(ctx context.Context) {
	ticker := time.NewTicker(p.settings.TickEvery())
	defer ticker.Stop()
	for p.pipeline.InFlight() > 0 && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	<-ticker.C
}
