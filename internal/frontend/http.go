package frontend

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"beaconvane/internal/errcode"
)

// CodeHeader bears the result code of answers that are the mesh's own.
const CodeHeader = "X-Beacon-Code"

// requestIDBytes is the length of a request's id, drawn at random.
const requestIDBytes = 16

// Arrival tells when the first byte of a connection's present request came. The HTTP server puts
// it into the contexts of requests.
type Arrival interface {
	ArrivedAt() time.Time
}

// ArrivalKey is the key of the Arrival in a request's context.
type ArrivalKey struct{}

// ServeHTTP reads a caller's request whole, submits it, and writes its one final answer.
func (p *Pipeline) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if p.inFlight.Inc() > p.settings.Limits.Queue {
		p.inFlight.Dec()
		p.refuse(out, errcode.BusyQueueFull)
		return
	}
	defer p.inFlight.Dec()
	request := p.newRequest(in)
	if code := p.checkHead(in); code != errcode.OK {
		p.refuse(out, code)
		return
	}
	reserved, code := p.readBody(out, in, request)
	defer p.bodies.release(reserved)
	if code != errcode.OK {
		p.refuse(out, code)
		return
	}
	if response := p.await(in.Context(), request); response != nil {
		p.writeResponse(out, response)
	}
}

// newRequest starts the record of a request, before its body is read.
func (p *Pipeline) newRequest(in *http.Request) *Request {
	arrivedAt := p.arrivedAt(in)
	return &Request{
		ID:        newRequestID(),
		Method:    in.Method,
		RawPath:   rawPath(in),
		RawQuery:  in.URL.RawQuery,
		Header:    in.Header,
		Host:      in.Host,
		ArrivedAt: arrivedAt,
		Deadline:  arrivedAt + p.settings.RequestTimeout(),
	}
}

// checkHead refuses requests to be proxied elsewhere, and heads that are too large.
func (p *Pipeline) checkHead(in *http.Request) errcode.Code {
	if in.URL.Opaque != "" || in.Method == http.MethodConnect {
		return errcode.RequestBadPath
	}
	if headerBytes(in) > p.frontend.callerLimits.headBytes() {
		return errcode.RequestHeadTooLarge
	}
	return errcode.OK
}

// await submits a request and waits for its answer. When its time is up the request is abandoned,
// which answers it at once; when its caller hangs up there is nobody to answer, and await returns
// nil.
func (p *Pipeline) await(caller context.Context, request *Request) *Response {
	answered := make(chan *Response, 1)
	admitted := make(chan time.Duration, 1)
	timer := time.NewTimer(p.frontend.callerTimeout(request))
	defer timer.Stop()
	pending := p.Submit(request,
		func(deadline time.Duration) { admitted <- deadline },
		func(response *Response) { answered <- response })
	for {
		select {
		case response := <-answered:
			return response
		case deadline := <-admitted:
			timer.Reset(deadline - p.goroutines.Now())
		case <-timer.C:
			p.Abandon(pending)
			return <-answered
		case <-caller.Done():
			p.Abandon(pending)
			return nil
		}
	}
}

// readBody reads the body within its bounds of size and time. The caller releases what was
// reserved of the body quota.
func (p *Pipeline) readBody(out http.ResponseWriter, in *http.Request, request *Request) (reserved int64, code errcode.Code) {
	if in.ContentLength == 0 {
		return 0, errcode.OK
	}
	// A body that is slower than its request's own deadline is of no use.
	limit := min(request.ArrivedAt+p.frontend.callerTimeout(request)-p.goroutines.Now(), maxBodyTime)
	connection := http.NewResponseController(out)
	// A writer without deadlines, as in tests, reads without a bound of time.
	_ = connection.SetReadDeadline(time.Now().Add(limit))
	request.Body, reserved, code = p.bodies.readBody(in, p.frontend.callerLimits.bodyBytes(p.settings))
	if code == errcode.OK {
		_ = connection.SetReadDeadline(time.Time{})
	}
	return reserved, code
}

// arrivedAt is when a request's first byte came, on the process clock: a pipelined request has
// waited since. It is never 0, which stands for "not known".
func (p *Pipeline) arrivedAt(in *http.Request) time.Duration {
	now := p.goroutines.Now()
	arrival, known := in.Context().Value(ArrivalKey{}).(Arrival)
	if !known {
		return now
	}
	return max(now-max(0, time.Since(arrival.ArrivedAt())), 1)
}

// refuse answers a request that has not been submitted.
func (p *Pipeline) refuse(out http.ResponseWriter, code errcode.Code) {
	response := NewRefusal(code)
	p.frontend.countResponse(0, &Request{}, response)
	p.writeResponse(out, response)
}

// writeResponse writes a final answer: the upstream's as it is, the mesh's own in the way of the
// callers' protocol.
func (p *Pipeline) writeResponse(out http.ResponseWriter, response *Response) {
	if response.Code != errcode.OK {
		p.frontend.protocol.WriteResponse(out, response)
		return
	}
	header := out.Header()
	for _, line := range response.Headers {
		header.Add(line.Name, line.Value)
	}
	if _, typed := header["Content-Type"]; !typed {
		// Keeps net/http from guessing a type.
		header["Content-Type"] = nil
	}
	if response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	out.WriteHeader(response.Status)
	// A caller that has gone sees its connection end; there is nobody else to tell.
	_, _ = out.Write(response.Body)
}

// rawPath is the path as it came, to the byte.
func rawPath(in *http.Request) string {
	if path, _, _ := strings.Cut(in.RequestURI, "?"); strings.HasPrefix(path, "/") {
		return path
	}
	return in.URL.EscapedPath()
}

// newRequestID draws an id that no other request has.
func newRequestID() string {
	var id [requestIDBytes]byte
	// Never fails: crypto/rand ends the program where the system has no randomness.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
