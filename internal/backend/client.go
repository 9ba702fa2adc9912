package backend

import (
	"context"
	"errors"
	"net"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/quota"
	"beaconvane/internal/settings"
)

// A call times out before its request's deadline, so that the outcome reaches the caller in time. The
// reserve is the remaining time divided by responseReserveDivisor, at most maxResponseReserve.
const (
	responseReserveDivisor = 20
	maxResponseReserve     = 20 * time.Millisecond
)

// UpstreamClient executes the decisions of a Backend to start requests.
//
// A request is sent only on a connection that is proven to reach its upstream: one that was
// established within AddressProofTTL (a thirtieth of heartbeat_ms) of an announcement or a response of
// the same incarnation. No other machine can take over the address in that time. After each
// announcement some proven connections are opened in advance, for use while no such evidence is
// recent, and the guard connection is renewed.
//
// With proof "target" in the settings, each request names its upstream, and any other process at the
// address refuses it. Connections then need no proof, there are no guard connections, and connections
// are opened on demand.
type UpstreamClient struct {
	settings   settings.Settings
	protocol   Protocol
	serving    *Backend
	goroutines *goroutine.Group
	dialer     Dialer

	responses responseMemory

	pool   *connectionPool
	guards *guardConnections
	calls  *callRegistry
}

// NewUpstreamClient returns a client for the upstreams of a backend.
func NewUpstreamClient(cfg settings.Settings, serving *Backend, goroutines *goroutine.Group) *UpstreamClient {
	c := &UpstreamClient{
		settings:   cfg,
		protocol:   NativeProtocol{},
		serving:    serving,
		goroutines: goroutines,
		responses:  responseMemory{quota.New(cfg.ResponseMemory())},
		pool:       newConnectionPool(cfg, serving, goroutines),
		guards:     newGuardConnections(serving, goroutines),
		calls:      newCallRegistry(),
	}
	c.dialer = c.dialTCP
	return c
}

// UseDialer replaces the dialer. Tests use it to model connection faults. It must be called before the
// first request.
func (c *UpstreamClient) UseDialer(dialer Dialer) { c.dialer = dialer }

// UseProtocol replaces the protocol towards upstreams. It must be called before the first request.
func (c *UpstreamClient) UseProtocol(protocol Protocol) { c.protocol = protocol }

// Release returns the memory that the body of an outcome of Call takes. It must be called once for each outcome,
// after the outcome was passed on.
func (c *UpstreamClient) Release(outcome message.Outcome) {
	c.responses.release(int64(len(outcome.Body)))
}

// Call sends a request to its upstream and waits for the outcome. The outcome must be passed to Release.
func (c *UpstreamClient) Call(decision Decision) message.Outcome {
	limit := time.Duration(decision.Forward.Remaining)
	limit -= min(limit/responseReserveDivisor, maxResponseReserve)
	deadline := time.Now().Add(limit)
	activeCall := c.calls.begin(decision.Forward.ID)
	connection, code := c.connect(decision.Target, deadline)
	if connection == nil {
		c.calls.end(activeCall)
		return notStarted(code)
	}
	if !c.calls.attach(activeCall, connection) {
		// The call was cancelled before anything was sent.
		c.calls.end(activeCall)
		c.pool.release(decision.Target, connection)
		return notStarted(errcode.BusyDeadline)
	}
	outcome, reusable, err := c.exchange(connection, decision, deadline)
	// The call ends before the connection is reused, so that a late cancel can't close the connection of
	// another call.
	cancelled := c.calls.end(activeCall)
	if err != nil {
		connection.close()
		return c.failedCall(decision.Target, err, cancelled)
	}
	// A response on a proven connection shows that the upstream still owns its address.
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

// failedCall returns the outcome of an exchange that ended without a valid response. The request may
// have run.
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

// notStarted returns the outcome of a request that was never sent.
func notStarted(code errcode.Code) message.Outcome {
	return message.Outcome{Kind: message.NotStarted, Code: int64(code)}
}

// Cancel aborts the call of an attempt whose caller has disconnected. It ignores an attempt that is
// not active.
func (c *UpstreamClient) Cancel(attemptID string) { c.calls.cancel(attemptID) }

// connect returns a connection on which a request may be sent to the target, or nil and the reason.
func (c *UpstreamClient) connect(target Target, deadline time.Time) (*upstreamConnection, errcode.Code) {
	if connection := c.pool.acquire(target); connection != nil {
		return connection, errcode.OK
	}
	if c.settings.ProofByTarget() {
		return c.connectUnproven(target, deadline)
	}
	if !c.serving.ConnectionsUsable(c.goroutines.Now(), target) || !c.guards.isIntact(target) {
		return nil, errcode.BusyUpstreamGone
	}
	connection, code := c.dialProven(target, deadline)
	if code == errcode.BusyUpstreamGone {
		c.serving.RecordConnectionLoss(c.goroutines.Now(), target)
	}
	return connection, code
}

// connectUnproven dials a target without proof of its address, for use with proof "target".
func (c *UpstreamClient) connectUnproven(target Target, deadline time.Time) (*upstreamConnection, errcode.Code) {
	connection, err := c.dial(target, deadline)
	if err != nil {
		c.serving.RecordConnectionLoss(c.goroutines.Now(), target)
		return nil, errcode.BusyUpstreamGone
	}
	return connection, errcode.OK
}

// Guard renews the guard connection of an upstream that has just announced itself, and then opens its
// warm connections.
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

// warmUp opens proven connections up to the number of WarmConnections, as long as the last evidence of
// liveness is recent enough.
func (c *UpstreamClient) warmUp(target Target) {
	desired := c.serving.WarmConnections(target)
	for range desired {
		if c.pool.size(target) >= desired {
			return
		}
		connection, code := c.dialProven(target, time.Now().Add(c.settings.AddressProofTTL()))
		if code != errcode.OK {
			return
		}
		c.pool.release(target, connection)
	}
}

// Sweep closes idle connections that have expired or whose target is no longer registered, and checks
// every guard connection.
func (c *UpstreamClient) Sweep() {
	now := c.goroutines.Now()
	c.guards.sweep(now)
	c.pool.sweep(now)
}
