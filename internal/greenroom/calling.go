// This file calls upstreams: one HTTP/1.1 exchange on a wire of its own keeping, read
// and written by net/http's own functions. The standard Transport is not used, since
// it sends some requests a second time by itself; here a request goes out at most
// once, by construction. An idle wire belongs to one incarnation at one address, is
// looked at before it is used again, and is closed long before the beat bound. An
// answer counts only when it is whole: a length or chunks that end, a head that
// parses, no bytes behind it.
//
// A query goes out only on a wire that is proven: made within a moment (a thirtieth of
// beat_ms) of a sign of life of that very incarnation, an announcement or an answer.
// No other machine can have taken the address over so fast, be it that the old one
// ended or that it vanished without a word; and a wire to a vanished machine is reset
// by the new owner of its address, it lands nowhere. Some proven wires are kept ready
// after each announcement, for the time in which no sign comes. Each announcement also
// renews a guard, a wire that carries nothing: when it breaks, nothing is dialled until
// a newer beat, at once.
//
// Where the settings say that upstreams prove themselves (proof "target"), each query
// names its upstream, and any other at that address refuses it; then no wire needs
// proof, no guard is kept, and wires are made when they are wanted. An answer is then
// known by the query's name: one that belongs to another is passed over.
package greenroom

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

	"beaconvane/internal/crew"
	"beaconvane/internal/notice"
	"beaconvane/internal/playbill"
	"beaconvane/internal/script"
)

const headCap = 64 << 10

// Headers that the mesh sets itself towards an upstream.
const (
	TenantHeader = "X-Tenant"
	CallerHeader = "X-Calling-Service"
	PassHeader   = "X-Beacon-Pass"
	QueryHeader  = "X-Query-Id"
)

type heldWire struct {
	conn   net.Conn
	reader *bufio.Reader
	limit  *io.LimitedReader
	idleAt time.Duration

	idleFor time.Duration // as the upstream told; 0: it did not
}

// Caller carries out start orders.
type Caller struct {
	config playbill.Config
	manner Manner
	room   *Greenroom
	crew   *crew.Crew
	lock   sync.Mutex
	idle   map[Target][]*heldWire
	guards map[Target]*heldWire
}

// NewCaller makes a caller for a greenroom.
func NewCaller(config playbill.Config, room *Greenroom, members *crew.Crew) *Caller {
	return &Caller{config: config, manner: House{}, room: room, crew: members, idle: map[Target][]*heldWire{}, guards: map[Target]*heldWire{}}
}

// Speak sets the upstreams' manner; before it is used.
func (c *Caller) Speak(manner Manner) { c.manner = manner }

func bare(target Target) Target {
	target.Pass = ""
	return target
}

// Call starts the query at the upstream and gives the verdict.
func (c *Caller) Call(order Order) script.Verdict {
	limit := time.Duration(order.Carry.Remaining)
	limit -= min(limit/20, 20*time.Millisecond)
	until := time.Now().Add(limit)
	wire, verdict := c.take(order.Target, until)
	if wire == nil {
		return verdict
	}
	answer, keep, err := c.exchange(wire, order, until)
	if err == nil {
		// Bytes on a proven wire: for a moment nobody else can be at that address.
		c.room.Alive(c.crew.Now(), order.Target)
	}
	if err == nil && keep {
		c.give(order.Target, wire)
	} else {
		wire.conn.Close()
	}
	if err == nil {
		if !keep && !c.config.ByTarget() {
			c.crew.Go("greenroom.refill", func(context.Context) { c.fill(bare(order.Target)) })
		}
		return answer
	}
	code := notice.CodeOf(err)
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		code = notice.UnknownTimeout
	case code == notice.UnknownOutcome:
		c.room.Doubt(order.Target)
	}
	return script.Verdict{Kind: script.StartedNoWhole, Code: int64(code)}
}

func (c *Caller) take(target Target, until time.Time) (*heldWire, script.Verdict) {
	if wire := c.takeIdle(bare(target)); wire != nil {
		return wire, script.Verdict{}
	}
	gone := script.Verdict{Kind: script.NotStarted, Code: int64(notice.BusyUpstreamGone)}
	if c.config.ByTarget() {
		wire, err := c.dial(target, until)
		if err != nil {
			c.room.Broke(c.crew.Now(), target)
			return nil, gone
		}
		return wire, script.Verdict{}
	}
	if !c.room.Usable(c.crew.Now(), target) || !c.guarded(target) {
		return nil, gone
	}
	wire, code := c.dialProven(target, until)
	if code == notice.BusyUpstreamGone {
		c.room.Broke(c.crew.Now(), target)
	}
	return wire, script.Verdict{Kind: script.NotStarted, Code: int64(code)}
}

// dialProven makes a wire between two looks at its proof; without that there is none.
func (c *Caller) dialProven(target Target, until time.Time) (*heldWire, notice.Code) {
	if !c.room.Dialable(c.crew.Now(), target) {
		return nil, notice.BusyUnproven
	}
	wire, err := c.dial(target, until)
	if err != nil {
		return nil, notice.BusyUpstreamGone
	}
	if !c.room.Dialable(c.crew.Now(), target) || !c.guarded(target) {
		// Ended, moved or no longer proven while the wire was being made: nothing is
		// sent on it.
		wire.conn.Close()
		return nil, notice.BusyUnproven
	}
	return wire, notice.OK
}

func (c *Caller) dial(target Target, until time.Time) (*heldWire, error) {
	dialer := net.Dialer{Deadline: until, Timeout: c.config.WireDial()}
	conn, err := dialer.DialContext(c.crew.Context, "tcp", target.Address)
	if err != nil {
		return nil, notice.Wrap("greenroom.dial", notice.BusyUpstreamGone, err)
	}
	limit := &io.LimitedReader{R: conn}
	return &heldWire{conn: conn, limit: limit, reader: bufio.NewReader(limit)}, nil
}

// Guard renews the guard of an upstream that has just announced itself.
func (c *Caller) Guard(told Announcement) {
	target := Target{Key: told.key(), Address: told.Address, Incarnation: told.Incarnation}
	wire, err := c.dial(target, time.Now().Add(c.config.WireDial()))
	if err != nil {
		c.room.Broke(c.crew.Now(), target)
		return
	}
	c.lock.Lock()
	old := c.guards[target]
	c.guards[target] = wire
	c.lock.Unlock()
	if old != nil {
		old.conn.Close()
	}
	c.fill(target)
}

// fill keeps proven wires ready, made while a sign of life is fresh.
func (c *Caller) fill(target Target) {
	ready := c.room.WiresReady(target)
	for range ready {
		c.lock.Lock()
		enough := len(c.idle[target]) >= ready
		c.lock.Unlock()
		if enough {
			return
		}
		wire, code := c.dialProven(target, time.Now().Add(c.config.DialFresh()))
		if code != notice.OK {
			return
		}
		c.give(target, wire)
	}
}

// guarded looks at the guard; a broken one bars dials until a newer beat.
func (c *Caller) guarded(target Target) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	key := bare(target)
	guard, known := c.guards[key]
	if !known || quiet(guard) {
		return known
	}
	guard.conn.Close()
	delete(c.guards, key)
	c.room.Broke(c.crew.Now(), target)
	return false
}

func (c *Caller) takeIdle(target Target) *heldWire {
	c.lock.Lock()
	defer c.lock.Unlock()
	for list := c.idle[target]; len(list) > 0; list = c.idle[target] {
		wire := list[len(list)-1]
		c.idle[target] = list[:len(list)-1]
		if c.crew.Now()-wire.idleAt < c.idleLimit(wire) && quiet(wire) {
			return wire
		}
		wire.conn.Close()
	}
	delete(c.idle, target)
	return nil
}

// idleLimit is how long a wire may idle: less than the upstream allows.
func (c *Caller) idleLimit(wire *heldWire) time.Duration {
	if wire.idleFor > 0 {
		return min(c.config.WireIdle(), wire.idleFor/2)
	}
	return c.config.WireIdle()
}

// quiet: nothing to read and not closed by the other side.
func quiet(wire *heldWire) bool {
	if wire.reader.Buffered() > 0 {
		return false
	}
	raw, err := wire.conn.(*net.TCPConn).SyscallConn()
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

func (c *Caller) give(target Target, wire *heldWire) {
	c.lock.Lock()
	defer c.lock.Unlock()
	wire.idleAt = c.crew.Now()
	key := bare(target)
	if len(c.idle[key]) >= 32 || !c.room.Usable(wire.idleAt, target) && !c.config.ByTarget() {
		wire.conn.Close()
		return
	}
	c.idle[key] = append(c.idle[key], wire)
}

// Sweep closes wires that idled too long or whose target has ended, and looks at
// every guard.
func (c *Caller) Sweep() {
	c.lock.Lock()
	defer c.lock.Unlock()
	now := c.crew.Now()
	for target, guard := range c.guards {
		if stands := quiet(guard); !stands || !c.room.Here(target) {
			guard.conn.Close()
			delete(c.guards, target)
			if !stands {
				c.room.Broke(now, target)
			}
		}
	}
	for target, list := range c.idle {
		kept := list[:0]
		for _, wire := range list {
			if now-wire.idleAt < c.idleLimit(wire) && (c.room.Usable(now, target) || c.config.ByTarget() && c.room.Here(target)) {
				kept = append(kept, wire)
			} else {
				wire.conn.Close()
			}
		}
		c.idle[target] = kept
		if len(kept) == 0 {
			delete(c.idle, target)
		}
	}
}

// exchange sends once and reads one whole answer.
func (c *Caller) exchange(wire *heldWire, order Order, until time.Time) (script.Verdict, bool, error) {
	carry := order.Carry
	request, err := c.requestOf(carry, order.Target, until)
	if err != nil {
		return script.Verdict{Kind: script.NotStarted, Code: int64(notice.QueryBadPath)}, false, nil
	}
	wire.conn.SetDeadline(until)
	// The whole request is built first, so that what fails here never went out.
	text := bytes.Buffer{}
	if err := request.Write(&text); err != nil {
		return script.Verdict{Kind: script.NotStarted, Code: int64(notice.QueryUnreadable)}, false, nil
	}
	if _, err := wire.conn.Write(text.Bytes()); err != nil {
		return script.Verdict{}, false, notice.Wrap("greenroom.write", notice.UnknownOutcome, err)
	}
	for range othersPassed {
		wire.limit.N = carry.AnswerCap + headCap
		verdict, heard, keep, err := c.answer(wire, request, order)
		if err != nil || !heard.Other {
			return verdict, keep, err
		}
	}
	return script.Verdict{}, false, notice.Wrap("greenroom.head", notice.AnswerMalformed, errors.New("answers to other queries only"))
}

// othersPassed is how many answers to other queries are passed over on a wire.
const othersPassed = 3

// answer reads one whole answer.
func (c *Caller) answer(wire *heldWire, request *http.Request, order Order) (script.Verdict, Heard, bool, error) {
	carry := order.Carry
	fail := func(step string, code notice.Code, cause error) (script.Verdict, Heard, bool, error) {
		return script.Verdict{}, Heard{}, false, notice.Wrap(step, code, cause)
	}
	response, err := readHead(wire.reader, request)
	if err != nil {
		if broken(err) {
			return fail("greenroom.head", notice.UnknownOutcome, err)
		}
		return fail("greenroom.head", notice.AnswerMalformed, err)
	}
	defer response.Body.Close()
	if !framed(response, carry.Method) {
		return fail("greenroom.body", notice.AnswerMalformed, errors.New("neither length nor chunks"))
	}
	if response.ContentLength > carry.AnswerCap {
		return fail("greenroom.body", notice.AnswerTooLarge, nil)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, carry.AnswerCap+1))
	if err != nil {
		return fail("greenroom.body", notice.AnswerMalformed, err)
	}
	if int64(len(body)) > carry.AnswerCap {
		return fail("greenroom.body", notice.AnswerTooLarge, nil)
	}
	heard := c.manner.Heed(response, carry, order.Target)
	if heard.Other {
		return script.Verdict{}, heard, false, nil
	}
	behind := wire.reader.Buffered() > 0
	if behind && !c.config.ByTarget() {
		// Without a name in the answer nobody can say which of the two is this one's.
		return fail("greenroom.body", notice.AnswerMalformed, errors.New("bytes behind the answer"))
	}
	keep := !response.Close && !behind
	wire.idleFor = heard.Idle
	switch {
	case heard.Refuse != notice.OK:
		return script.Verdict{Kind: script.NotStarted, Code: int64(heard.Refuse), Sent: true}, heard, keep, nil
	case heard.Spoilt || heard.Hides:
		return fail("greenroom.head", notice.AnswerMalformed, errors.New("not the upstream's own whole answer"))
	}
	verdict := script.Verdict{Kind: script.StartedWhole, Status: int64(response.StatusCode), Headers: []script.HeaderLine{}, Body: body}
	if heard.Loaded && heard.Load[2] > 0 {
		verdict.Load = float64(heard.Load[0]+heard.Load[1]) / float64(heard.Load[2])
	}
	dropped := HopHeaders(response.Header)
	for name, values := range response.Header {
		if dropped[name] {
			continue
		}
		for _, value := range values {
			verdict.Headers = append(verdict.Headers, script.HeaderLine{Name: name, Value: value})
		}
	}
	return verdict, heard, keep, nil
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

// framed: the end of the body can be told from a broken wire.
func framed(response *http.Response, method string) bool {
	bodiless := method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
	chunked := len(response.TransferEncoding) == 1 && response.TransferEncoding[0] == "chunked"
	return bodiless || chunked || response.ContentLength >= 0
}

func (c *Caller) requestOf(carry script.Carry, target Target, until time.Time) (*http.Request, error) {
	path, err := url.PathUnescape(carry.Path)
	if err != nil {
		return nil, err
	}
	request := &http.Request{Method: carry.Method, Host: target.Address, Header: http.Header{}, ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: target.Address, Path: path, RawPath: carry.Path, RawQuery: carry.RawQuery}}
	for _, line := range carry.Headers {
		request.Header.Add(line.Name, line.Value)
	}
	if _, given := request.Header["User-Agent"]; !given {
		request.Header.Set("User-Agent", "")
	}
	if carry.Host != "" {
		request.Host = carry.Host
	}
	if c.config.ByTarget() && len(carry.Path) > 1 && carry.Path[1] != '/' {
		// As it came, to the byte.
		request.URL.Opaque = carry.Path
	}
	c.manner.Dress(request.Header, carry, target, time.Until(until))
	request.ContentLength = int64(len(carry.Body))
	request.Body = http.NoBody
	if len(carry.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(carry.Body))
	}
	return request.WithContext(context.Background()), nil
}

// HopHeaders lists the headers that end at this hop.
func HopHeaders(header http.Header) map[string]bool {
	dropped := map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
		"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true}
	for _, value := range header["Connection"] {
		for _, name := range bytes.Split([]byte(value), []byte(",")) {
			dropped[http.CanonicalHeaderKey(string(bytes.TrimSpace(name)))] = true
		}
	}
	return dropped
}
