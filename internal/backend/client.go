package backend

import (
	"context"
	"errors"
	"net"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/settings"
)

// The outcome of a call is due a little before its request's time is up, so that it gets back in
// time: by a part of that time, and by maxAnswerReserve at most.
const (
	answerReserveDivisor = 20
	maxAnswerReserve     = 20 * time.Millisecond
)

// UpstreamClient carries out the backend's decisions to start.
//
// A request goes out only on a connection that is proven to reach its upstream: one made within a
// moment (a thirtieth of heartbeat_ms) of a sign of life of that very incarnation, which is an
// announcement or an answer. No other machine can have taken the address over so fast. Some proven
// connections are kept ready after each announcement, for the time in which no sign comes, and
// each announcement renews a guard connection.
//
// Where the settings say that upstreams prove themselves (proof "target"), each request names its
// upstream, and any other at that address refuses it. Then no connection needs proof, no guard is
// kept, and connections are made when they are wanted.
type UpstreamClient struct {
	settings   settings.Settings
	protocol   Protocol
	serving    *Backend
	goroutines *goroutine.Group
	dialer     Dialer

	pool   *connectionPool
	guards *guardConnections
	calls  *callRegistry
}

// NewUpstreamClient makes a client for the upstreams of a backend.
func NewUpstreamClient(cfg settings.Settings, serving *Backend, goroutines *goroutine.Group) *UpstreamClient {
	c := &UpstreamClient{
		settings:   cfg,
		protocol:   NativeProtocol{},
		serving:    serving,
		goroutines: goroutines,
		pool:       newConnectionPool(cfg, serving, goroutines),
		guards:     newGuardConnections(serving, goroutines),
		calls:      newCallRegistry(),
	}
	c.dialer = c.dialTCP
	return c
}

// UseDialer replaces the dialer, for models of what upstreams do to connections.
func (c *UpstreamClient) UseDialer(dialer Dialer) { c.dialer = dialer }

// UseProtocol sets how upstreams speak. It is called before the first request.
func (c *UpstreamClient) UseProtocol(protocol Protocol) { c.protocol = protocol }

// Call starts a request at its upstream and returns the outcome.
func (c *UpstreamClient) Call(decision Decision) message.Outcome {
	limit := time.Duration(decision.Forward.Remaining)
	limit -= min(limit/answerReserveDivisor, maxAnswerReserve)
	deadline := time.Now().Add(limit)
	underway := c.calls.begin(decision.Forward.ID)
	connection, code := c.connect(decision.Target, deadline)
	if connection == nil {
		c.calls.end(underway)
		return notStarted(code)
	}
	if !c.calls.attach(underway, connection) {
		// Its caller left before anything was sent.
		c.calls.end(underway)
		c.pool.release(decision.Target, connection)
		return notStarted(errcode.BusyDeadline)
	}
	outcome, reusable, err := c.exchange(connection, decision, deadline)
	// Ended before the connection may serve another call.
	cancelled := c.calls.end(underway)
	if err != nil {
		connection.close()
		return c.failedCall(decision.Target, err, cancelled)
	}
	// Bytes on a proven connection: for a moment nobody else can be at that address.
	c.serving.RecordActivity(c.goroutines.Now(), decision.Target)
	if reusable && !cancelled {
		c.pool.release(decision.Target, connection)
		return outcome
	}
	connection.close()
	if !c.settings.ProofByTarget() {
		c.goroutines.Go("backend.refill", func(context.Context) { c.warmUp(poolKey(decision.Target)) })
	}
	return outcome
}

// failedCall is the outcome of an exchange that ended without the upstream's answer. The request
// may have run.
func (c *UpstreamClient) failedCall(target Target, err error, cancelled bool) message.Outcome {
	code := errcode.CodeOf(err)
	var networkError net.Error
	switch {
	case errors.As(err, &networkError) && networkError.Timeout():
		code = errcode.UnknownTimeout
	case code == errcode.UnknownOutcome && !cancelled:
		c.serving.InvalidateProof(target)
	}
	return message.Outcome{Kind: message.OutcomeUnknown, Code: int64(code)}
}

// notStarted is the outcome of a request that was never sent.
func notStarted(code errcode.Code) message.Outcome {
	return message.Outcome{Kind: message.NotStarted, Code: int64(code)}
}

// Cancel breaks off the call of an attempt whose caller has left. An attempt that isn't under way
// is passed over.
func (c *UpstreamClient) Cancel(attemptID string) { c.calls.cancel(attemptID) }

// connect returns a connection on which a request may go out to the target, or nil and why there
// is none.
func (c *UpstreamClient) connect(target Target, deadline time.Time) (*upstreamConnection, errcode.Code) {
	if connection := c.pool.acquire(target); connection != nil {
		return connection, errcode.OK
	}
	if c.settings.ProofByTarget() {
		return c.connectUnproven(target, deadline)
	}
	if !c.serving.ConnectionsUsable(c.goroutines.Now(), target) || !c.guards.stands(target) {
		return nil, errcode.BusyUpstreamGone
	}
	connection, code := c.dialProven(target, deadline)
	if code == errcode.BusyUpstreamGone {
		c.serving.RecordConnectionLoss(c.goroutines.Now(), target)
	}
	return connection, code
}

// connectUnproven dials without proof, where upstreams prove themselves.
func (c *UpstreamClient) connectUnproven(target Target, deadline time.Time) (*upstreamConnection, errcode.Code) {
	connection, err := c.dial(target, deadline)
	if err != nil {
		c.serving.RecordConnectionLoss(c.goroutines.Now(), target)
		return nil, errcode.BusyUpstreamGone
	}
	return connection, errcode.OK
}

// Guard renews the guard connection of an upstream that has just announced itself, and then the
// connections kept ready for it.
func (c *UpstreamClient) Guard(announcement Announcement) {
	target := announcement.target()
	connection, err := c.dial(target, time.Now().Add(c.settings.DialTimeout()))
	if err != nil {
		c.serving.RecordConnectionLoss(c.goroutines.Now(), target)
		return
	}
	c.guards.replace(target, connection)
	c.warmUp(target)
}

// warmUp keeps proven connections ready, made while a sign of life is fresh.
func (c *UpstreamClient) warmUp(target Target) {
	wanted := c.serving.WarmConnections(target)
	for range wanted {
		if c.pool.size(target) >= wanted {
			return
		}
		connection, code := c.dialProven(target, time.Now().Add(c.settings.AddressProofTTL()))
		if code != errcode.OK {
			return
		}
		c.pool.release(target, connection)
	}
}

// Sweep closes connections that idled too long or whose target has ended, and looks at every guard.
func (c *UpstreamClient) Sweep() {
	now := c.goroutines.Now()
	c.guards.sweep(now)
	c.pool.sweep(now)
}
