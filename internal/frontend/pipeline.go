package frontend

import (
	"context"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"go.uber.org/atomic"

	"beaconvane/internal/backend"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
	"beaconvane/internal/transport"
)

const (
	// stageWorkers is how many goroutines serve each stage of the pipeline.
	stageWorkers = 4

	// Queue lengths of the stages, in units of the limit on requests inside. The outcome queue
	// takes an outcome of every request inside, and some that come late, so it is never full.
	outcomeQueueFactor = 2
	outcomeQueueExtra  = 16
	startQueueFactor   = 4
)

// Pipeline runs the Dispatcher of a real process: stages of a few workers each, joined by bounded
// queues. ServeHTTP is its first stage; it bounds the number of requests inside, and waits for
// each one's answer. A full queue refuses at once.
type Pipeline struct {
	*Dispatcher
	settings   settings.Settings
	serving    *backend.Backend
	client     *backend.UpstreamClient
	goroutines *goroutine.Group
	notify     func(notice any)
	transport  *transport.Transport

	admitQueue   chan *PendingRequest
	selectQueue  chan *PendingRequest
	outcomeQueue chan *AttemptOutcome
	startQueue   chan *backend.Decision
	inFlight     atomic.Int64
	bodies       bodyQuota
	random       *mathrand.Rand
}

// NewPipeline joins a frontend and a backend to the queues and connections of a real process.
// Notices for the control state go to notify.
func NewPipeline(
	cfg settings.Settings,
	front *Frontend,
	serving *backend.Backend,
	client *backend.UpstreamClient,
	goroutines *goroutine.Group,
	self message.Member,
	notify func(notice any),
) *Pipeline {
	capacity := int(cfg.Limits.Queue)
	p := &Pipeline{
		settings:     cfg,
		serving:      serving,
		client:       client,
		goroutines:   goroutines,
		notify:       notify,
		admitQueue:   make(chan *PendingRequest, capacity),
		selectQueue:  make(chan *PendingRequest, capacity),
		outcomeQueue: make(chan *AttemptOutcome, capacity*outcomeQueueFactor+outcomeQueueExtra),
		startQueue:   make(chan *backend.Decision, capacity*startQueueFactor),
		random:       mathrand.New(newLockedSource()),
	}
	p.bodies.available = cfg.BodyMemory()
	p.Dispatcher = NewDispatcher(cfg, front, serving, p, self)
	return p
}

// lockedSource lets the workers of a stage share a random source.
type lockedSource struct {
	lock   *sync.Mutex
	source mathrand.Source
}

func newLockedSource() lockedSource {
	return lockedSource{&sync.Mutex{}, mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())}
}

// Uint64 returns the next random number.
func (l lockedSource) Uint64() uint64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.source.Uint64()
}

// Start begins the workers.
func (p *Pipeline) Start(network *transport.Transport) {
	p.transport = network
	for range stageWorkers {
		p.goroutines.Go("stage.admit", func(ctx context.Context) { work(ctx, p.admitQueue, p.Admit) })
		p.goroutines.Go("stage.select", func(ctx context.Context) { work(ctx, p.selectQueue, p.SelectUpstream) })
		p.goroutines.Go("stage.outcome", func(ctx context.Context) {
			work(ctx, p.outcomeQueue, func(item *AttemptOutcome) { p.HandleOutcome(*item) })
		})
	}
	p.goroutines.Go("stage.serving", func(ctx context.Context) { work(ctx, p.startQueue, p.startCall) })
	p.goroutines.Go("stage.expire", p.runExpire)
}

// work runs a stage's step on each item of its queue.
func work[T any](ctx context.Context, queue chan T, step func(item T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-queue:
			step(item)
		}
	}
}

// startCall calls the upstream in a goroutine of its own.
func (p *Pipeline) startCall(decision *backend.Decision) {
	p.goroutines.Go("stage.call", func(context.Context) {
		p.Complete(*decision, p.client.Call(*decision))
	})
}

// runExpire ends, in steady steps, queued requests and idle connections whose time is up.
func (p *Pipeline) runExpire(ctx context.Context) {
	ticker := time.NewTicker(p.settings.UpdatesEvery() / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.Expire()
			p.client.Sweep()
		}
	}
}

// Announce takes a heartbeat of an upstream, and renews the guard connection to it where
// upstreams do not prove themselves. It returns false when a higher incarnation is known.
func (p *Pipeline) Announce(announcement backend.Announcement) bool {
	if !p.Dispatcher.Announce(announcement) {
		return false
	}
	if p.settings.ProofByTarget() {
		return true
	}
	p.goroutines.Go("stage.guard", func(context.Context) { p.client.Guard(announcement) })
	return true
}

// HandlePeerFrame takes a frame from another proxy. It returns false for frames that are not
// part of the traffic of requests.
func (p *Pipeline) HandlePeerFrame(_ string, msg any, reply func(msg any) error) bool {
	return p.HandleFrame(msg, reply)
}

// InFlight counts the requests that are not finished: those of callers here, and those forwarded
// to upstreams here.
func (p *Pipeline) InFlight() int64 {
	running, queued := p.serving.Running()
	return p.inFlight.Load() + int64(running+queued)
}
