package frontend

import (
	"context"
	mathrand "math/rand/v2"
	"time"

	"go.uber.org/atomic"

	"beaconvane/internal/backend"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/locking"
	"beaconvane/internal/message"
	"beaconvane/internal/quota"
	"beaconvane/internal/settings"
	"beaconvane/internal/transport"
)

const (
	// stageWorkers is the number of goroutines of each of the stages admit, select and outcome.
	stageWorkers = 4

	// Queue capacities as multiples of the limit on requests in flight. The outcome queue is
	// never full, since it can hold an outcome of every request in flight and some late ones.
	outcomeQueueFactor = 2
	outcomeQueueExtra  = 16
	startQueueFactor   = 4
)

// Pipeline runs the Dispatcher of a real process in stages, connected by bounded queues. ServeHTTP
// is the first stage: it limits the number of requests in flight, and waits for the answer to each.
// A request is refused immediately if a queue is full.
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
	transfers    *transferMemory
	random       *mathrand.Rand
}

// NewPipeline creates the pipeline of a frontend and a backend, with the queues and connections of a
// real process. notify receives the notices for the control state.
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
	p.bodies.Bytes = quota.New(cfg.BodyMemory())
	p.transfers = newTransferMemory(cfg)
	p.Dispatcher = NewDispatcher(cfg, front, serving, p, self)
	p.forwardEnded = p.transfers.forwards.release
	p.answerDropped = p.transfers.answers.release
	return p
}

// lockedSource is a random source that is safe for concurrent use by the workers.
type lockedSource struct {
	lock   *locking.Mutex
	source mathrand.Source
}

// newLockedSource returns a source with a random seed.
func newLockedSource() lockedSource {
	return lockedSource{&locking.Mutex{}, mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())}
}

// Uint64 returns the next random number.
func (l lockedSource) Uint64() uint64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.source.Uint64()
}

// Start starts the workers. network carries the frames to other proxies.
func (p *Pipeline) Start(network *transport.Transport) {
	p.transport = network
	network.GateLargeFrames(p.gateLargeFrame)
	for range stageWorkers {
		p.goroutines.Go("stage.admit", func(ctx context.Context) { runWorker(ctx, p.admitQueue, p.Admit) })
		p.goroutines.Go("stage.select", func(ctx context.Context) { runWorker(ctx, p.selectQueue, p.SelectUpstream) })
		p.goroutines.Go("stage.outcome", func(ctx context.Context) {
			runWorker(ctx, p.outcomeQueue, func(item *AttemptOutcome) { p.HandleOutcome(*item) })
		})
	}
	p.goroutines.Go("stage.serving", func(ctx context.Context) { runWorker(ctx, p.startQueue, p.startCall) })
	p.goroutines.Go("stage.expire", p.runExpiry)
}

// runWorker runs a stage's step on each item of its queue until ctx ends.
func runWorker[T any](ctx context.Context, queue chan T, step func(item T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-queue:
			step(item)
		}
	}
}

// startCall calls the upstream in a new goroutine.
func (p *Pipeline) startCall(decision *backend.Decision) {
	p.goroutines.Go("stage.call", func(context.Context) {
		outcome := p.client.Call(*decision)
		p.Complete(*decision, outcome)
		p.client.Release(outcome)
	})
}

// runExpiry periodically ends expired queued requests and idle connections to upstreams.
func (p *Pipeline) runExpiry(ctx context.Context) {
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

// Announce processes an upstream's heartbeat. If the proof is by connection, it also renews the
// guard connection to the upstream. It returns false if a higher incarnation is known.
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

// HandlePeerFrame processes a frame from another proxy. It returns false if the frame is not request
// traffic.
func (p *Pipeline) HandlePeerFrame(_ string, msg any, reply func(msg any) error) bool {
	return p.HandleFrame(msg, reply)
}

// InFlight returns the number of unfinished requests: those of this proxy's callers, and those
// forwarded to its upstreams.
func (p *Pipeline) InFlight() int64 {
	running, queued := p.serving.Running()
	return p.inFlight.Load() + int64(running+queued)
}
