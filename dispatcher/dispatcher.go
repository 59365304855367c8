// Package dispatcher takes the requests that reach one upstream's agent and
// sees each to its one answer.
package dispatcher

import (
	"context"
	"net/http"
	"net/url"

	"dandelionhitch.example/settings"
)

// Dispatcher is the http.Handler in front of one upstream. It is safe for
// concurrent use.
type Dispatcher struct {
	options
	upstream *url.URL
	policy   func() settings.Service
}

// New returns a Dispatcher that forwards to upstream, such as
// http://127.0.0.1:8080, under the settings that policy returns. It is ready
// at once; Close ends it.
func New(upstream *url.URL, policy func() settings.Service, opts ...Option) (*Dispatcher, error) {
	d := &Dispatcher{upstream: upstream, policy: policy}
	for _, opt := range opts {
		opt.apply(&d.options)
	}
	return d, nil
}

// ServeHTTP answers a caller's request.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	http.Error(w, "not ready", http.StatusServiceUnavailable)
}

// PeerHandler answers the other agents of the service. It is to be mounted on
// a listener with mutual TLS, at the root.
func (d *Dispatcher) PeerHandler() http.Handler {
	return http.NotFoundHandler()
}

// Load returns how loaded the upstream is, from 0 (idle) to 7 (refusing).
func (d *Dispatcher) Load() int { return 0 }

// Drain stops the issue of tickets and the start of unticketed requests that
// another agent can take, and waits until no request is in progress or ctx ends.
func (d *Dispatcher) Drain(ctx context.Context) error { return nil }

// Close refuses new requests, ends those in progress and waits for them.
func (d *Dispatcher) Close() error { return nil }
