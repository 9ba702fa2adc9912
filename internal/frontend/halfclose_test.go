// Tests of callers that end their direction of the connection and read on.
package frontend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"beaconvane/internal/errcode"
	"beaconvane/internal/settings"
)

// dialPipeline serves a pipeline and sends it requests on one connection.
func dialPipeline(c *qt.C, pipeline *Pipeline, requests string) (conn *net.TCPConn, responses *bufio.Reader) {
	server := httptest.NewServer(pipeline)
	c.Cleanup(server.Close)
	dialed, err := net.Dial("tcp", server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { dialed.Close() })
	c.Assert(dialed.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	_, err = io.WriteString(dialed, requests)
	c.Assert(err, qt.IsNil)
	return dialed.(*net.TCPConn), bufio.NewReader(dialed)
}

// requireCode reads a response and checks that it is the mesh's, with the given code.
func requireCode(c *qt.C, responses *bufio.Reader, code errcode.Code) {
	response, err := http.ReadResponse(responses, nil)
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Header.Get(CodeHeader), qt.Equals, strconv.Itoa(int(code)), qt.Commentf("status %d", response.StatusCode))
	c.Assert(response.StatusCode, qt.Equals, code.Status())
}

const oneRequest = "POST /x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 2\r\n\r\nhi"

// Guards against an empty 200 of the proxy's own for a caller that ends its direction and reads on: it is told
// whether its request may have run.
func TestHalfClosedCallersAreToldWhatHappened(t *testing.T) {
	for name, test := range map[string]struct {
		prepare  func(pipeline *Pipeline, pending *PendingRequest)
		expected errcode.Code
	}{
		"before any attempt": {func(*Pipeline, *PendingRequest) {}, errcode.BusyAbandoned},
		"attempt out":        {func(_ *Pipeline, pending *PendingRequest) { pending.beginAttempt("a", nil) }, errcode.UnknownAbandoned},
		"may have run": {func(pipeline *Pipeline, pending *PendingRequest) {
			pipeline.frontend.lock.Lock() // as for the outcome of an attempt
			defer pipeline.frontend.lock.Unlock()
			pending.Request.MayHaveRun = true
		}, errcode.UnknownOutcome},
		"another attempt follows": {func(_ *Pipeline, pending *PendingRequest) {
			pending.beginAttempt("a", nil)
			pending.claimOutcome("a")
			time.AfterFunc(50*time.Millisecond, func() { pending.beginAttempt("b", nil) })
		}, errcode.UnknownAbandoned},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			pipeline := newLimitedPipeline(`{}`, func(*settings.Settings) {})
			prepared := make(chan struct{})
			go func() {
				pending := <-pipeline.admitQueue
				test.prepare(pipeline, pending)
				close(prepared)
			}()
			conn, responses := dialPipeline(c, pipeline, oneRequest)
			<-prepared
			c.Assert(conn.CloseWrite(), qt.IsNil)
			requireCode(c, responses, test.expected)
			_, err := responses.ReadByte()
			c.Assert(err, qt.Equals, io.EOF)
		})
	}
}

// Guards against empty successes for pipelined requests behind which the caller ends its direction.
func TestHalfClosedPipelinedRequestsAreAnswered(t *testing.T) {
	c := qt.New(t)
	pipeline := newLimitedPipeline(`{}`, func(*settings.Settings) {})
	conn, responses := dialPipeline(c, pipeline, oneRequest+oneRequest+oneRequest)
	c.Assert(conn.CloseWrite(), qt.IsNil)
	for range 3 {
		requireCode(c, responses, errcode.BusyAbandoned)
	}
	_, err := responses.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
}

// Guards against a success for a request whose body is cut short by the caller.
func TestHalfClosedBodyIsRefused(t *testing.T) {
	c := qt.New(t)
	pipeline := newLimitedPipeline(`{}`, func(*settings.Settings) {})
	conn, responses := dialPipeline(c, pipeline, oneRequest[:len(oneRequest)-1])
	c.Assert(conn.CloseWrite(), qt.IsNil)
	requireCode(c, responses, errcode.RequestUnreadable)
}
