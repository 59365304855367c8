package main

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"
)

// _callTimeout bounds how long a caller of an HTTP endpoint may take to ask.
const _requestHeaderTimeout = 3 * time.Second

// httpServer runs one HTTP server of a process.
type httpServer struct {
	tomb     tomb.Tomb
	name     string
	listener net.Listener
	server   *http.Server
}

// serveHTTP serves at the listener, with TLS if the server has a configuration of
// it. name says in errors what is served.
func serveHTTP(name string, listener net.Listener, server *http.Server) *httpServer {
	s := &httpServer{name: name, listener: listener, server: server}
	s.tomb.Go(s.run)
	return s
}

// newHTTPServer serves a handler at an address.
func newHTTPServer(name string, address netip.AddrPort, handler http.Handler) (*httpServer, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, trace.Wrap(err, "listen for %s at %s", name, address)
	}
	return serveHTTP(name, listener, &http.Server{Handler: handler, ReadHeaderTimeout: _requestHeaderTimeout}), nil
}

func (s *httpServer) run() error {
	serve := s.server.Serve
	if s.server.TLSConfig != nil {
		serve = func(l net.Listener) error { return s.server.ServeTLS(l, "", "") }
	}
	if err := serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err, "serve %s", s.name)
	}
	return nil
}

// Close cuts the requests in progress and waits.
func (s *httpServer) Close() error {
	return trace.NewAggregate(s.server.Close(), s.tomb.Wait())
}
