// Package api is the HTTP interface of the programs: the registry's towards operators and
// platforms, and the proxy's towards upstreams and whoever watches it. Handlers read the HTTP request,
// hand a request to the control machine through package node, and write its reply; they decide
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
	server       *http.Server
	wrapListener func(listener net.Listener) net.Listener // nil: as it is
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

// LimitConnections lets at most so many connections be open at once, so that callers that open one
// after the other leave file descriptors for the connections between processes. It is called before
// Serve.
func (s *Server) LimitConnections(most int) {
	s.server.ConnState = newConnectionLimit(most).stateChanged
}

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
		if s.wrapListener != nil {
			listener = s.wrapListener(listener)
		}
		group.Go("api.serve", func(context.Context) {
			_ = s.server.Serve(listener) // returns when Shutdown is called, with http.ErrServerClosed
		})
	}
	return nil
}

// Shutdown stops listening and waits for the requests that are being served.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }
