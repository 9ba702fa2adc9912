package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"beaconvane/internal/errcode"
	"beaconvane/internal/message"
)

// Headers that the mesh sets in requests to an upstream.
const (
	TenantHeader     = "X-Tenant"
	CallerHeader     = "X-Calling-Service"
	DelegationHeader = "X-Beacon-Pass"
	RequestHeader    = "X-Request-Id"
)

// largeRequest is the size of a body from which on it is not copied.
const largeRequest = 64 << 10

// endOfHead is the empty line that ends the head of a request.
var endOfHead = []byte("\r\n\r\n")

// exchange sends a request once and reads one complete response. It does not use http.Transport, which
// resends some requests on its own. reusable reports whether the connection may carry another request.
func (c *UpstreamClient) exchange(
	connection *upstreamConnection,
	decision Decision,
	deadline time.Time,
) (outcome message.Outcome, reusable bool, err error) {
	request, head, code := c.encodeHead(decision, deadline)
	if code != errcode.OK {
		return notStarted(code), false, nil
	}
	// SetDeadline fails only on a closed connection, on which the write below fails too.
	_ = connection.conn.SetDeadline(deadline)
	if err := writeRequest(connection.conn, head, decision.Forward.Body); err != nil {
		return message.Outcome{}, false, errcode.Wrap("backend.write", errcode.UnknownOutcome, err)
	}
	matcher := ResponseMatcher{
		Protocol:       c.protocol,
		Forward:        decision.Forward,
		Target:         decision.Target,
		NamedResponses: c.settings.ProofByTarget(),
		request:        request,
		memory:         c.responses,
		deadline:       deadline,
	}
	matched, err := matcher.Read(connection.responses)
	connection.keepAlive = matched.Metadata.KeepAlive
	return matched.Outcome, matched.Keep, err
}

// writeRequest writes a request. A large body is not copied to be written together with the head.
func writeRequest(conn net.Conn, head, body []byte) error {
	if len(body) < largeRequest {
		_, err := conn.Write(append(head, body...))
		return err
	}
	parts := net.Buffers{head, body}
	_, err := parts.WriteTo(conn)
	return err
}

// encodeHead encodes the head of a request, and checks that its body can be encoded, before any byte is sent, so that
// a request that fails here is known not to have run. The body is not copied.
func (c *UpstreamClient) encodeHead(decision Decision, deadline time.Time) (*http.Request, []byte, errcode.Code) {
	request, err := c.newRequest(decision.Forward, decision.Target, deadline)
	if err != nil {
		return nil, nil, errcode.RequestBadPath
	}
	encoded := headWriter{}
	if err := request.Write(&encoded); err != nil {
		return nil, nil, errcode.RequestUnreadable
	}
	head, complete := replaceTarget(encoded.head, request.Method, decision.Forward.Target())
	if !complete {
		return nil, nil, errcode.RequestBadPath
	}
	return request, head, errcode.OK
}

// replaceTarget replaces the first line of a head, so that the target arrives byte for byte as it was received; net/http
// encodes some targets anew. It returns false for a target that would not be one.
func replaceTarget(head []byte, method, target string) (replaced []byte, valid bool) {
	_, fields, found := bytes.Cut(head, []byte("\r\n"))
	if !found || strings.ContainsAny(target, " \r\n") {
		return nil, false
	}
	replaced = make([]byte, 0, len(method)+len(target)+len(head))
	replaced = append(replaced, method+" "+target+" HTTP/1.1\r\n"...)
	return append(replaced, fields...), true
}

// headWriter keeps what is written to it up to the empty line that ends the head of a request.
type headWriter struct {
	head     []byte
	complete bool
}

// Write implements io.Writer.
func (w *headWriter) Write(part []byte) (int, error) {
	if w.complete {
		return len(part), nil
	}
	begin := max(0, len(w.head)-len(endOfHead)+1)
	w.head = append(w.head, part...)
	if end := bytes.Index(w.head[begin:], endOfHead); end >= 0 {
		w.head, w.complete = w.head[:begin+end+len(endOfHead)], true
	}
	return len(part), nil
}

// newRequest returns the HTTP request to an upstream for a forwarded request.
func (c *UpstreamClient) newRequest(forward message.Forward, target Target, deadline time.Time) (*http.Request, error) {
	if _, err := url.PathUnescape(forward.RoutingPath()); err != nil {
		return nil, err
	}
	request := &http.Request{
		Method:        forward.Method,
		URL:           &url.URL{Scheme: "http", Host: target.Address, Path: "/"}, // replaceTarget sets the target
		Host:          target.Address,
		Header:        http.Header{},
		ProtoMajor:    1,
		ProtoMinor:    1,
		Body:          http.NoBody,
		ContentLength: int64(len(forward.Body)),
	}
	for _, line := range forward.Headers {
		request.Header.Add(line.Name, line.Value)
	}
	if _, present := request.Header["User-Agent"]; !present {
		// Keeps net/http from adding its default User-Agent.
		request.Header.Set("User-Agent", "")
	}
	if forward.Host != "" {
		request.Host = forward.Host
	}
	c.protocol.SetHeaders(request.Header, forward, target, time.Until(deadline))
	if len(forward.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(forward.Body))
	}
	return request.WithContext(context.Background()), nil
}

// HopByHopHeaders returns the canonical names of the headers that must not be forwarded: the standard
// hop-by-hop headers and those that the Connection header lists.
func HopByHopHeaders(header http.Header) map[string]bool {
	names := map[string]bool{
		"Connection":          true,
		"Content-Length":      true,
		"Keep-Alive":          true,
		"Proxy-Authenticate":  true,
		"Proxy-Authorization": true,
		"Proxy-Connection":    true,
		"Te":                  true,
		"Trailer":             true,
		"Transfer-Encoding":   true,
		"Upgrade":             true,
	}
	for _, value := range header["Connection"] {
		for _, name := range bytes.Split([]byte(value), []byte(",")) {
			names[http.CanonicalHeaderKey(string(bytes.TrimSpace(name)))] = true
		}
	}
	return names
}
