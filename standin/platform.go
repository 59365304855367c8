package standin

import (
	"net"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"
)

// Platform is a stand-in for the platform's object API: an HTTP server that
// keeps its objects in memory, with faults to inject.
type Platform struct {
	listener net.Listener
	server   *http.Server
}

// PlatformOption changes a Platform.
type PlatformOption func(*Platform)

// NewPlatform starts a stand-in on a free port of 127.0.0.1.
func NewPlatform(opts ...PlatformOption) (*Platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err, "start stand-in platform")
	}
	p := &Platform{listener: listener, server: &http.Server{}}
	for _, opt := range opts {
		opt(p)
	}
	return p, nil
}

// Addr returns the address that the stand-in listens on.
func (p *Platform) Addr() net.Addr { return p.listener.Addr() }

// URL returns the base URL for platform.NewClient.
func (p *Platform) URL() *url.URL {
	return &url.URL{Scheme: "http", Host: p.Addr().String()}
}

// Close stops the server and waits for it.
func (p *Platform) Close() error { return p.listener.Close() }
