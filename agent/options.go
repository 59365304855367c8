package agent

import (
	"net/netip"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
)

const (
	_defaultIdle      = 30 * time.Second
	_defaultHandshake = 5 * time.Second
	// _defaultHandshakes is several times what the busiest agent sees at a crest.
	_defaultHandshakes = 256
)

// Option adjusts an Agent.
type Option interface{ apply(*options) }

type options struct {
	logger    *zap.Logger
	meter     metric.Meter
	fresh     func(since time.Time) bool
	balancers func() []netip.AddrPort
	idle      time.Duration
	handshake time.Duration
	weight    uint16
	// handshakes is how many may be open before callers prove their addresses.
	handshakes int
	now        func() time.Time
}

type optionFunc func(*options)

func (f optionFunc) apply(o *options) { f(o) }

// WithLogger sets the logger. The default logs nothing.
func WithLogger(logger *zap.Logger) Option {
	return optionFunc(func(o *options) { o.logger = logger })
}

// WithMeter sets the meter of the agent's counters. The default counts only for Counts.
func WithMeter(meter metric.Meter) Option {
	return optionFunc(func(o *options) { o.meter = meter })
}

// WithFresh sets the check that an agent makes after its process was paused:
// it admits no flow until fresh reports that its peers were heard after since,
// the time at which it noticed the pause. The default is fresh at once.
func WithFresh(fresh func(since time.Time) bool) Option {
	return optionFunc(func(o *options) { o.fresh = fresh })
}

// WithBalancers sets the source of the list of live balancers. A reply to a
// caller that has been silent may go through any of them.
func WithBalancers(balancers func() []netip.AddrPort) Option {
	return optionFunc(func(o *options) { o.balancers = balancers })
}

// WithIdleTimeout sets how long a flow lives without any packet from its caller.
func WithIdleTimeout(span time.Duration) Option {
	return optionFunc(func(o *options) { o.idle = span })
}

// WithWeight sets the agent's capacity relative to others of its service, from 1.
// Agents compare their flows in proportion to their weights.
func WithWeight(weight uint16) Option {
	return optionFunc(func(o *options) { o.weight = weight })
}

// WithHandshakes sets how many flows may be in their handshake before each new
// caller must first prove its address by answering a Retry. It costs the caller
// one round trip, and a flood of Initials from forged addresses holds no flows.
func WithHandshakes(n int) Option {
	return optionFunc(func(o *options) { o.handshakes = n })
}

// withClock sets the clock, for tests of pauses.
func withClock(now func() time.Time) Option {
	return optionFunc(func(o *options) { o.now = now })
}

func newOptions(opts []Option) options {
	o := options{
		logger:     zap.NewNop(),
		meter:      noop.Meter{},
		fresh:      func(time.Time) bool { return true },
		balancers:  func() []netip.AddrPort { return nil },
		idle:       _defaultIdle,
		handshake:  _defaultHandshake,
		handshakes: _defaultHandshakes,
		now:        time.Now,
	}
	for _, opt := range opts {
		opt.apply(&o)
	}
	return o
}
