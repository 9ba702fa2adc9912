// This file calls upstreams: one HTTP/1.1 exchange on a connection of its own keeping, read
// and written by net/http's own functions. The standard Transport is not used, since
// it sends some requests a second time by itself; here a request goes out at most
// once, by construction. An idle connection belongs to one incarnation at one address, is
// looked at before it is used again, and is closed long before the heartbeat bound. An
// answer counts only when it is whole: a length or chunks that end, a head that
// parses, no bytes behind it.
//
// A request goes out only on a connection that is proven: made within a moment (a thirtieth of
// heartbeat_ms) of a sign of life of that very incarnation, an announcement or an answer.
// No other machine can have taken the address over so fast, be it that the old one
// ended or that it vanished without a word; and a connection to a vanished machine is reset
// by the new owner of its address, it lands nowhere. Some proven connections are kept ready
// after each announcement, for the time in which no sign comes. Each announcement also
// renews a guard, a connection that carries nothing: when it breaks, nothing is dialled until
// a newer heartbeat, at once.
//
// Where the settings say that upstreams prove themselves (proof "target"), each request
// names its upstream, and any other at that address refuses it; then no connection needs
// proof, no guard is kept, and connections are made when they are wanted. An answer is then
// known by the request's name: one that belongs to another is passed over.

package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
	"beaconvane/internal/message"
	"beaconvane/internal/safeguard"
	"beaconvane/internal/settings"
)

const headCap = 64 << 10

// Headers that the mesh sets itself towards an upstream.
const (
	TenantHeader     = "X-Tenant"
	CallerHeader     = "X-Calling-Service"
	DelegationHeader = "X-Beacon-Pass"
	RequestHeader    = "X-Request-Id"
)

type heldConnection struct {
	conn    net.Conn
	answers *ResponseReader
	idleAt  time.Duration

	idleFor time.Duration // as the upstream told; 0: it did not
}

// UpstreamClient carries out start orders.
type UpstreamClient struct {
	settings   settings.Settings
	protocol   Protocol
	serving    *Backend
	goroutines *goroutine.Group
	lock       sync.Mutex
	idle       map[Target][]*heldConnection
	guards     map[Target]*heldConnection
	calls      map[string]*call // under way, by attempt
	dialer     Dialer
}

// call is one exchange under way.
type call struct {
	id         string          // of the attempt
	connection *heldConnection // nil until there is one
	cancelled  bool
}

// Dialer makes a connection to an address, until a time at the latest.
type Dialer func(address string, until time.Time) (net.Conn, error)

// UseDialer replaces the dialer, for models of what upstreams do to connections.
func (c *UpstreamClient) UseDialer(dialer Dialer) { c.dialer = dialer }

// NewUpstreamClient makes a caller for a backend.
func NewUpstreamClient(cfg settings.Settings, serving *Backend, members *goroutine.Group) *UpstreamClient {
	c := &UpstreamClient{settings: cfg, protocol: NativeProtocol{}, serving: serving, goroutines: members, idle: map[Target][]*heldConnection{}, guards: map[Target]*heldConnection{}, calls: map[string]*call{}}
	c.dialer = c.dialTCP
	return c
}

func (c *UpstreamClient) dialTCP(address string, until time.Time) (net.Conn, error) {
	dialer := net.Dialer{Deadline: until, Timeout: c.settings.ConnectionDial()}
	return dialer.DialContext(c.goroutines.Context, "tcp", address)
}

// UseProtocol sets the upstreams' manner; before it is used.
func (c *UpstreamClient) UseProtocol(protocol Protocol) { c.protocol = protocol }

func bare(target Target) Target {
	target.DelegationToken = ""
	return target
}

// Call starts the request at the upstream and gives the outcome.
func (c *UpstreamClient) Call(order Decision) message.Outcome {
	limit := time.Duration(order.Forward.Remaining)
	limit -= min(limit/20, 20*time.Millisecond)
	until := time.Now().Add(limit)
	underway := c.begin(order.Forward.ID)
	connection, outcome := c.take(order.Target, until)
	if connection == nil {
		c.end(underway)
		return outcome
	}
	if !c.attach(underway, connection) {
		// Its caller left before anything was sent.
		c.end(underway)
		c.give(order.Target, connection)
		return message.Outcome{Kind: message.NotStarted, Code: int64(errcode.BusyDeadline)}
	}
	answer, keep, err := c.exchange(connection, order, until)
	// Ended before the connection may serve another call.
	cancelled := c.end(underway)
	keep = keep && !cancelled
	if err == nil {
		// Bytes on a proven connection: for a moment nobody else can be at that address.
		c.serving.MarkAlive(c.goroutines.Now(), order.Target)
	}
	if err == nil && keep {
		c.give(order.Target, connection)
	} else {
		connection.conn.Close()
	}
	if err == nil {
		if !keep && !c.settings.ByTarget() {
			c.goroutines.Go("backend.refill", func(context.Context) { c.fill(bare(order.Target)) })
		}
		return answer
	}
	code := errcode.CodeOf(err)
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		code = errcode.UnknownTimeout
	case code == errcode.UnknownOutcome && !cancelled:
		c.serving.MarkDoubtful(order.Target)
	}
	return message.Outcome{Kind: message.OutcomeUnknown, Code: int64(code)}
}

// begin notes a call that may be cancelled from now on.
func (c *UpstreamClient) begin(id string) *call {
	c.lock.Lock()
	defer c.lock.Unlock()
	underway := &call{id: id}
	c.calls[id] = underway
	return underway
}

// end says whether the call was cancelled; from now on it can't be.
func (c *UpstreamClient) end(underway *call) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	delete(c.calls, underway.id)
	return underway.cancelled
}

// attach gives a call its connection; false where the call was cancelled before.
func (c *UpstreamClient) attach(underway *call, connection *heldConnection) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	underway.connection = connection
	return !underway.cancelled
}

// Cancel breaks an exchange off whose caller has left: the connection is closed, at which
// most upstreams drop the request. An attempt that isn't under way is passed over.
func (c *UpstreamClient) Cancel(id string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	underway, known := c.calls[id]
	if !known {
		return
	}
	underway.cancelled = true
	if underway.connection != nil {
		underway.connection.conn.Close()
	}
}

func (c *UpstreamClient) take(target Target, until time.Time) (*heldConnection, message.Outcome) {
	if connection := c.takeIdle(bare(target)); connection != nil {
		return connection, message.Outcome{}
	}
	gone := message.Outcome{Kind: message.NotStarted, Code: int64(errcode.BusyUpstreamGone)}
	if c.settings.ByTarget() {
		connection, err := c.dial(target, until)
		if err != nil {
			c.serving.MarkBroken(c.goroutines.Now(), target)
			return nil, gone
		}
		return connection, message.Outcome{}
	}
	if !c.serving.ConnectionsUsable(c.goroutines.Now(), target) || !c.guarded(target) {
		return nil, gone
	}
	connection, code := c.dialProven(target, until)
	if code == errcode.BusyUpstreamGone {
		c.serving.MarkBroken(c.goroutines.Now(), target)
	}
	return connection, message.Outcome{Kind: message.NotStarted, Code: int64(code)}
}

// dialProven makes a connection between two looks at its proof; without that there is none.
func (c *UpstreamClient) dialProven(target Target, until time.Time) (*heldConnection, errcode.Code) {
	if !c.serving.Dialable(c.goroutines.Now(), target) {
		return nil, errcode.BusyUnproven
	}
	connection, err := c.dial(target, until)
	if err != nil {
		return nil, errcode.BusyUpstreamGone
	}
	if !c.serving.Dialable(c.goroutines.Now(), target) || !c.guarded(target) {
		// Ended, moved or no longer proven while the connection was being made: nothing is
		// sent on it.
		connection.conn.Close()
		return nil, errcode.BusyUnproven
	}
	return connection, errcode.OK
}

func (c *UpstreamClient) dial(target Target, until time.Time) (*heldConnection, error) {
	conn, err := c.dialer(target.Address, until)
	if err != nil {
		return nil, errcode.Wrap("backend.dial", errcode.BusyUpstreamGone, err)
	}
	return &heldConnection{conn: conn, answers: NewResponseReader(conn)}, nil
}

// Guard renews the guard of an upstream that has just announced itself.
func (c *UpstreamClient) Guard(response Announcement) {
	target := Target{Key: response.key(), Address: response.Address, Incarnation: response.Incarnation}
	connection, err := c.dial(target, time.Now().Add(c.settings.ConnectionDial()))
	if err != nil {
		c.serving.MarkBroken(c.goroutines.Now(), target)
		return
	}
	c.lock.Lock()
	old := c.guards[target]
	c.guards[target] = connection
	c.lock.Unlock()
	if old != nil {
		old.conn.Close()
	}
	c.fill(target)
}

// fill keeps proven connections ready, made while a sign of life is fresh.
func (c *UpstreamClient) fill(target Target) {
	ready := c.serving.WarmConnections(target)
	for range ready {
		c.lock.Lock()
		enough := len(c.idle[target]) >= ready
		c.lock.Unlock()
		if enough {
			return
		}
		connection, code := c.dialProven(target, time.Now().Add(c.settings.DialFresh()))
		if code != errcode.OK {
			return
		}
		c.give(target, connection)
	}
}

// guarded looks at the guard; a broken one bars dials until a newer heartbeat.
func (c *UpstreamClient) guarded(target Target) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	key := bare(target)
	guard, known := c.guards[key]
	if !known || quiet(guard) {
		return known
	}
	guard.conn.Close()
	delete(c.guards, key)
	c.serving.MarkBroken(c.goroutines.Now(), target)
	return false
}

func (c *UpstreamClient) takeIdle(target Target) *heldConnection {
	c.lock.Lock()
	defer c.lock.Unlock()
	for list := c.idle[target]; len(list) > 0; list = c.idle[target] {
		connection := list[len(list)-1]
		c.idle[target] = list[:len(list)-1]
		if c.goroutines.Now()-connection.idleAt < c.idleLimit(connection) && quiet(connection) {
			return connection
		}
		connection.conn.Close()
	}
	delete(c.idle, target)
	return nil
}

// idleLimit is how long a connection may idle: less than the upstream allows.
func (c *UpstreamClient) idleLimit(connection *heldConnection) time.Duration {
	if connection.idleFor > 0 {
		return min(c.settings.ConnectionIdle(), connection.idleFor/2)
	}
	return c.settings.ConnectionIdle()
}

// quiet: nothing to read and not closed by the other side.
func quiet(connection *heldConnection) bool {
	if !safeguard.QuietConnection.On() {
		return true
	}
	if connection.answers.reader.Buffered() > 0 {
		return false
	}
	if own, tells := connection.conn.(interface{ Quiet() bool }); tells {
		return own.Quiet()
	}
	raw, err := connection.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	still := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		size, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		still = size < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && still
}

func (c *UpstreamClient) give(target Target, connection *heldConnection) {
	c.lock.Lock()
	defer c.lock.Unlock()
	connection.idleAt = c.goroutines.Now()
	key := bare(target)
	if len(c.idle[key]) >= 32 || !c.serving.ConnectionsUsable(connection.idleAt, target) && !c.settings.ByTarget() {
		connection.conn.Close()
		return
	}
	c.idle[key] = append(c.idle[key], connection)
}

// Sweep closes connections that idled too long or whose target has ended, and looks at
// every guard.
func (c *UpstreamClient) Sweep() {
	c.lock.Lock()
	defer c.lock.Unlock()
	now := c.goroutines.Now()
	for target, guard := range c.guards {
		if stands := quiet(guard); !stands || !c.serving.Here(target) {
			guard.conn.Close()
			delete(c.guards, target)
			if !stands {
				c.serving.MarkBroken(now, target)
			}
		}
	}
	for target, list := range c.idle {
		kept := list[:0]
		for _, connection := range list {
			if now-connection.idleAt < c.idleLimit(connection) && (c.serving.ConnectionsUsable(now, target) || c.settings.ByTarget() && c.serving.Here(target)) {
				kept = append(kept, connection)
			} else {
				connection.conn.Close()
			}
		}
		c.idle[target] = kept
		if len(kept) == 0 {
			delete(c.idle, target)
		}
	}
}

// exchange sends once and reads one whole answer.
func (c *UpstreamClient) exchange(connection *heldConnection, order Decision, until time.Time) (message.Outcome, bool, error) {
	forward := order.Forward
	request, err := c.requestOf(forward, order.Target, until)
	if err != nil {
		return message.Outcome{Kind: message.NotStarted, Code: int64(errcode.RequestBadPath)}, false, nil
	}
	connection.conn.SetDeadline(until)
	// The whole request is built first, so that what fails here never went out.
	text := bytes.Buffer{}
	if err := request.Write(&text); err != nil {
		return message.Outcome{Kind: message.NotStarted, Code: int64(errcode.RequestUnreadable)}, false, nil
	}
	if _, err := connection.conn.Write(text.Bytes()); err != nil {
		return message.Outcome{}, false, errcode.Wrap("backend.write", errcode.UnknownOutcome, err)
	}
	pairing := ResponseMatcher{Protocol: c.protocol, Forward: forward, Target: order.Target, NamedResponses: c.settings.ByTarget(), request: request}
	found, err := pairing.Read(connection.answers)
	connection.idleFor = found.Received.KeepAlive
	return found.Outcome, found.Keep, err
}

func broken(err error) bool {
	var operation *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &operation)
}

func readHead(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for range 8 {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode == http.StatusSwitchingProtocols || response.StatusCode < 100 || response.StatusCode > 599:
			return nil, fmt.Errorf("status %d", response.StatusCode)
		case response.StatusCode >= 200:
			return response, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// framed: the end of the body can be told from a broken connection.
func framed(response *http.Response, method string) bool {
	bodiless := method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
	chunked := len(response.TransferEncoding) == 1 && response.TransferEncoding[0] == "chunked"
	return bodiless || chunked || response.ContentLength >= 0
}

func (c *UpstreamClient) requestOf(forward message.Forward, target Target, until time.Time) (*http.Request, error) {
	path, err := url.PathUnescape(forward.Path)
	if err != nil {
		return nil, err
	}
	request := &http.Request{Method: forward.Method, Host: target.Address, Header: http.Header{}, ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: target.Address, Path: path, RawPath: forward.Path, RawQuery: forward.RawQuery}}
	for _, line := range forward.Headers {
		request.Header.Add(line.Name, line.Value)
	}
	if _, given := request.Header["User-Agent"]; !given {
		request.Header.Set("User-Agent", "")
	}
	if forward.Host != "" {
		request.Host = forward.Host
	}
	if c.settings.ByTarget() && len(forward.Path) > 1 && forward.Path[1] != '/' {
		// As it came, to the byte.
		request.URL.Opaque = forward.Path
	}
	c.protocol.SetHeaders(request.Header, forward, target, time.Until(until))
	request.ContentLength = int64(len(forward.Body))
	request.Body = http.NoBody
	if len(forward.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(forward.Body))
	}
	return request.WithContext(context.Background()), nil
}

// HopByHopHeaders lists the headers that end at this hop.
func HopByHopHeaders(header http.Header) map[string]bool {
	dropped := map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
		"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true}
	for _, value := range header["Connection"] {
		for _, name := range bytes.Split([]byte(value), []byte(",")) {
			dropped[http.CanonicalHeaderKey(string(bytes.TrimSpace(name)))] = true
		}
	}
	return dropped
}
