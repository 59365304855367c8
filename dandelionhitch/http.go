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

// _requestHeaderTimeout bounds the time for reading the headers of a request.
const _requestHeaderTimeout = 3 * time.Second

// httpServer runs one HTTP server of a process.
type httpServer struct {
	tomb     tomb.Tomb
	name     string
	listener net.Listener
	server   *http.Server
}

// serveHTTP starts serving at the listener, with TLS if server.TLSConfig is set. name
// identifies the server in errors.
func serveHTTP(name string, listener net.Listener, server *http.Server) *httpServer {
	s := &httpServer{name: name, listener: listener, server: server}
	s.tomb.Go(s.run)
	return s
}

// newHTTPServer listens at an IPv4 address and starts serving handler there.
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

// Close closes the server, including connections with requests in progress, and waits.
func (s *httpServer) Close() error {
	return trace.NewAggregate(s.server.Close(), s.tomb.Wait())
}
