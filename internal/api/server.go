// Package api is the HTTP interface of the programs: the registry's towards operators and
// platforms, and the proxy's towards upstreams and whoever watches it. Handlers read the request,
// put a question to the control machine through package node, and write its answer; they decide
// nothing themselves. Callers' requests are served by package frontend.
package api

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"beaconvane/internal/errcode"
	"beaconvane/internal/goroutine"
)

// Limits of the HTTP servers.
const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// Server is one HTTP server of a process.
type Server struct {
	server *http.Server
	wrap   func(listener net.Listener) net.Listener // nil: as it is
}

// NewServer returns a server that serves one handler for every path.
func NewServer(handler http.Handler) *Server {
	return &Server{server: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}}
}

// Bound lets at most so many connections be open at once, so that callers that come back
// on new ones leave descriptors for the connections between processes; before Serve.
func (s *Server) Bound(most int) { s.server.ConnState = newConnectionBound(most).changed }

// newRouter returns a router that takes paths as they come, without cleaning or decoding.
func newRouter() *mux.Router {
	return mux.NewRouter().SkipClean(true).UseEncodedPath()
}

// Serve listens at each address and serves in goroutines of the group. An address that can't be
// bound is an error with the code ConnectionLost.
func (s *Server) Serve(group *goroutine.Group, addresses ...string) error {
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errcode.Wrap("api.listen", errcode.ConnectionLost, err)
		}
		if s.wrap != nil {
			listener = s.wrap(listener)
		}
		group.Go("api.serve", func(context.Context) { s.server.Serve(listener) })
	}
	return nil
}

// Shutdown stops listening and waits for the requests that are being served.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }
