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
const _callTimeout = 3 * time.Second

// httpServer serves one handler at one address.
type httpServer struct {
	tomb     tomb.Tomb
	listener net.Listener
	server   *http.Server
}

func newHTTPServer(name string, address netip.AddrPort, handler http.Handler) (*httpServer, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, trace.Wrap(err, "listen for %s at %s", name, address)
	}
	s := &httpServer{listener: listener, server: &http.Server{Handler: handler, ReadHeaderTimeout: _callTimeout}}
	s.tomb.Go(s.run)
	return s, nil
}

func (s *httpServer) run() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

// Close stops serving and waits.
func (s *httpServer) Close() error {
	s.server.Close()
	return s.tomb.Wait()
}
