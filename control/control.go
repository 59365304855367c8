// Package control carries calls between the processes of the system: net/rpc
// over mutual TLS on TCP, with length-framed CBOR messages.
//
// A call has one of four ends, and its caller can tell them apart: an answer, a
// RemoteError of the method itself, a NotSentError (the method has certainly
// not run) or an AnswerLostError (it may have run). A caller that may not run
// something twice relies on that difference.
//
// Client keeps one connection for each address and uses it for all calls there,
// so that the steady state costs no handshakes. A connection that has gone
// silent is told from a slow method by its reads: when a call times out and the
// connection has brought nothing since the call began, the connection is closed
// and the next call dials anew.
//
// Messages come from outside. A frame is bounded in length before it is read,
// CBOR is decoded with bounds on depth and counts, and a decoded message that
// has a Validate method is checked by it. A frame that fails any of these closes
// its connection and is counted.
package control

import (
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

const (
	// _defaultMaxMessage bounds one message in octets: one value of the
	// platform's store and what is wrapped around it.
	_defaultMaxMessage = 1<<20 + 1<<16
	// _defaultTimeout bounds a call whose context has no deadline.
	_defaultTimeout = 2 * time.Second
	// _maxInFlight bounds the calls that one connection runs at once.
	_maxInFlight = 64
	// _maxConnections bounds the connections of one server.
	_maxConnections = 4096
	// _clientIdleTimeout is how long a client keeps a connection that no call uses.
	_clientIdleTimeout = 3 * time.Minute
	// _idleCheckInterval is between two looks for such connections.
	_idleCheckInterval = _clientIdleTimeout / 4
	// _serverIdleTimeout is how long a server keeps a silent connection. It is longer
	// than _clientIdleTimeout, so that it is the client that closes.
	_serverIdleTimeout = 5 * time.Minute
)

// Validator is a message that checks itself once it is decoded.
type Validator interface {
	// Validate returns an error unless the message is whole.
	Validate() error
}

// Option configures a Server or a Client.
type Option func(*options)

type options struct {
	maxMessage int
	timeout    time.Duration
	meter      metric.Meter
}

func newOptions(opts []Option) options {
	o := options{
		maxMessage: _defaultMaxMessage,
		timeout:    _defaultTimeout,
		meter:      noop.NewMeterProvider().Meter("control"),
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// WithMaxMessage bounds one message in octets, in both directions.
func WithMaxMessage(octets int) Option {
	return func(o *options) { o.maxMessage = octets }
}

// WithTimeout bounds calls whose context has no deadline, and handshakes and writes.
func WithTimeout(timeout time.Duration) Option {
	return func(o *options) { o.timeout = timeout }
}

// WithMeter reports the counters as metrics.
func WithMeter(meter metric.Meter) Option {
	return func(o *options) { o.meter = meter }
}
