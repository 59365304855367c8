// Package control implements remote procedure calls between processes: net/rpc
// over mutual TLS on TCP, with length-prefixed CBOR messages.
//
// A call has one of four outcomes: a reply; a RemoteError, which the method or the
// server returned; a NotSentError, after which the method has certainly not run;
// or an AnswerLostError, after which it may have run. Code that must not run a
// method twice relies on the difference between the last two.
//
// Client keeps one connection per address and shares it among all calls to that
// address, so that the steady state needs no handshakes. If a call times out and
// its connection has received no frame since the call began, the client takes the
// connection for dead, closes it, and dials again for the next call. If frames
// have arrived, it takes the method for slow and keeps the connection.
//
// Messages are untrusted input. The length of a frame is checked before the frame
// is read, CBOR is decoded with limits on nesting and element counts, and a
// decoded message that implements Validator is validated. A frame that fails any
// of these checks is counted, and its connection is closed.
package control

import (
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

const (
	// _defaultMaxMessage is the default size limit of a message in bytes: 1 MiB
	// for one value of the platform's store, and 64 KiB for the rest of the message.
	_defaultMaxMessage = 1<<20 + 1<<16
	// _defaultTimeout bounds a call whose context has no deadline.
	_defaultTimeout = 2 * time.Second
	// _maxInFlight bounds the calls that a server runs concurrently for one connection.
	_maxInFlight = 64
	// _maxConnections bounds the open connections of one server.
	_maxConnections = 4096
	// _clientIdleTimeout is how long a client keeps a connection that no call uses.
	_clientIdleTimeout = 3 * time.Minute
	// _idleCheckInterval is the time between two checks for idle connections.
	_idleCheckInterval = _clientIdleTimeout / 4
	// _serverIdleTimeout is how long a server waits for the next request on a
	// connection. It is longer than _clientIdleTimeout, so that the client closes
	// first.
	_serverIdleTimeout = 5 * time.Minute
)

// Validator is implemented by messages that are to be validated after decoding.
type Validator interface {
	// Validate returns an error if the message is invalid.
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

// WithMaxMessage sets the size limit of a message in bytes, in both directions.
// The default is 1 MiB + 64 KiB.
func WithMaxMessage(bytes int) Option {
	return func(o *options) { o.maxMessage = bytes }
}

// WithTimeout sets the timeout of calls whose context has no deadline, of dials
// and handshakes, and of writes. The default is 2 s.
func WithTimeout(timeout time.Duration) Option {
	return func(o *options) { o.timeout = timeout }
}

// WithMeter sets the meter that exports the counters.
func WithMeter(meter metric.Meter) Option {
	return func(o *options) { o.meter = meter }
}
