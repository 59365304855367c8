package agent

import (
	"net/netip"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
)

const (
	_defaultIdleTimeout      = 30 * time.Second
	_defaultHandshakeTimeout = 5 * time.Second
	// _defaultMaxHandshakes is several times the number of concurrent handshakes at
	// the busiest agent under peak load.
	_defaultMaxHandshakes = 256
)

// Option adjusts an Agent.
type Option interface{ apply(*options) }

// options holds the optional parameters of an Agent, which the With functions describe.
type options struct {
	logger           *zap.Logger
	meter            metric.Meter
	answeredSince    func(since time.Time) bool
	balancers        func() []netip.AddrPort
	idleTimeout      time.Duration
	handshakeTimeout time.Duration
	weight           uint16
	// maxHandshakes is the number of concurrent handshakes from which on addresses are validated.
	maxHandshakes int
	now           func() time.Time
}

type optionFunc func(*options)

func (f optionFunc) apply(o *options) { f(o) }

// WithLogger sets the logger. The default logs nothing.
func WithLogger(logger *zap.Logger) Option {
	return optionFunc(func(o *options) { o.logger = logger })
}

// WithMeter sets the meter through which the agent's counters are exported. By
// default only Counts returns them.
func WithMeter(meter metric.Meter) Option {
	return optionFunc(func(o *options) { o.meter = meter })
}

// WithAnsweredSince sets the check that an agent makes after its process was paused.
// It admits no flow until answeredSince reports that a keeper has answered a heartbeat
// that was sent after the time at which the agent detected the pause. That time is the
// argument of answeredSince. By default there is no check.
func WithAnsweredSince(answeredSince func(since time.Time) bool) Option {
	return optionFunc(func(o *options) { o.answeredSince = answeredSince })
}

// WithBalancers sets the function that returns the addresses of the live
// balancers. If no packet of a caller has arrived recently, replies to that caller
// may go through any of them.
func WithBalancers(balancers func() []netip.AddrPort) Option {
	return optionFunc(func(o *options) { o.balancers = balancers })
}

// WithIdleTimeout sets how long a flow stays open without a packet from its
// caller. The default is 30 s.
func WithIdleTimeout(timeout time.Duration) Option {
	return optionFunc(func(o *options) { o.idleTimeout = timeout })
}

// WithWeight sets the agent's capacity relative to the other agents of its
// service, at least 1. Agents compare their loads in flows divided by weight.
func WithWeight(weight uint16) Option {
	return optionFunc(func(o *options) { o.weight = weight })
}

// WithMaxHandshakes sets how many flows may be in their handshake before the agent
// validates the address of each new caller with a Retry. Validation costs the
// caller one round trip, but keeps a flood of Initials from forged addresses from
// occupying flows. The default is 256.
func WithMaxHandshakes(n int) Option {
	return optionFunc(func(o *options) { o.maxHandshakes = n })
}

// withClock sets the clock. Tests use it to simulate pauses and timeouts.
func withClock(now func() time.Time) Option {
	return optionFunc(func(o *options) { o.now = now })
}

func newOptions(opts []Option) options {
	o := options{
		logger:           zap.NewNop(),
		meter:            noop.Meter{},
		answeredSince:    func(time.Time) bool { return true },
		balancers:        func() []netip.AddrPort { return nil },
		idleTimeout:      _defaultIdleTimeout,
		handshakeTimeout: _defaultHandshakeTimeout,
		maxHandshakes:    _defaultMaxHandshakes,
		now:              time.Now,
	}
	for _, opt := range opts {
		opt.apply(&o)
	}
	return o
}
