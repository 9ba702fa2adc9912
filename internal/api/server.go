// Package api is the HTTP interface of the programs: the registry's for operators and platforms, and
// the proxy's for upstreams and monitoring. Handlers parse the HTTP request, send a request to the
// control machine through package node, and write its reply; they contain no decision logic. Callers'
// requests are served by package frontend.
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

// Timeouts and the header size limit of the HTTP servers.
const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// Server is an HTTP server of a process, which may listen at several addresses.
type Server struct {
	server       *http.Server
	wrapListener func(listener net.Listener) net.Listener // nil: the listener is used unwrapped
}

// NewServer returns a server that passes every request to handler.
func NewServer(handler http.Handler) *Server {
	return &Server{server: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// The server would answer "OPTIONS *" with an empty 200 of its own.
		DisableGeneralOptionsHandler: true,
	}}
}

// LimitConnections limits the number of open connections to maxOpen, so that callers can't exhaust the
// file descriptors needed for connections between processes. It must be called before Serve.
func (s *Server) LimitConnections(maxOpen int) {
	s.server.ConnState = newConnectionLimit(maxOpen).stateChanged
}

// newRouter returns a router that matches paths as received, without cleaning or decoding them.
func newRouter() *mux.Router {
	return mux.NewRouter().SkipClean(true).UseEncodedPath()
}

// Serve listens at each address and serves in goroutines of the group. It returns an error with the
// code ConnectionLost if an address can't be bound.
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
			_ = s.server.Serve(listener) // returns http.ErrServerClosed after Shutdown
		})
	}
	return nil
}

// Shutdown stops listening and waits until the requests in flight have finished or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }
