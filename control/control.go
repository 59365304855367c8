// Package control carries calls between the processes of the system: net/rpc
// over mutual TLS on TCP, with length-framed CBOR messages.
package control

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/metric"
)

// Option configures a Server or a Client.
type Option func(*options)

type options struct {
	maxMessage int
	timeout    time.Duration
	meter      metric.Meter
}

// WithMaxMessage bounds one message in octets, in both directions.
func WithMaxMessage(octets int) Option {
	return func(o *options) { o.maxMessage = octets }
}

// WithTimeout bounds calls whose context has no deadline, dials and writes.
func WithTimeout(timeout time.Duration) Option {
	return func(o *options) { o.timeout = timeout }
}

// WithMeter reports the counters as metrics.
func WithMeter(meter metric.Meter) Option {
	return func(o *options) { o.meter = meter }
}

// Counters is a snapshot of what has been sent and received.
type Counters struct {
	BytesIn, BytesOut       uint64
	MessagesIn, MessagesOut uint64
	Handshakes              uint64
	Malformed, Oversized    uint64
	DialFailures            uint64
}

// Server answers calls.
type Server struct{}

// NewServer returns a server that admits only callers with a certificate that
// the configuration's ClientCAs verify.
func NewServer(config *tls.Config, opts ...Option) *Server { return &Server{} }

// Register offers the receiver's methods under the name, as net/rpc does.
func (s *Server) Register(name string, receiver any) error { return trace.NotImplemented("register") }

// Serve accepts connections until the listener fails or Close is called; it
// returns nil after Close.
func (s *Server) Serve(listener net.Listener) error { return trace.NotImplemented("serve") }

// Counters returns what has been sent and received.
func (s *Server) Counters() Counters { return Counters{} }

// Close closes the listeners and connections and waits until all is stopped.
func (s *Server) Close() error { return nil }

// Client calls servers over pooled connections, one for each address.
type Client struct{}

// NewClient returns a client that presents the configuration's certificate.
func NewClient(config *tls.Config, opts ...Option) *Client { return &Client{} }

// Call calls the method of the server at addr. Errors are *NotSentError,
// *AnswerLostError or *RemoteError.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	return trace.NotImplemented("call")
}

// Counters returns what has been sent and received.
func (c *Client) Counters() Counters { return Counters{} }

// Close closes all connections and waits until all is stopped.
func (c *Client) Close() error { return nil }
