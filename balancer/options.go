package balancer

import (
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
)

const (
	_defaultQuiet  = 5 * time.Second
	_defaultResets = 1000 // per second
)

// Option adjusts a Balancer.
type Option interface{ apply(*options) }

type options struct {
	logger *zap.Logger
	meter  metric.Meter
	quiet  time.Duration
	resets int
}

type optionFunc func(*options)

func (f optionFunc) apply(o *options) { f(o) }

// WithLogger sets the logger. The default logs nothing.
func WithLogger(logger *zap.Logger) Option {
	return optionFunc(func(o *options) { o.logger = logger })
}

// WithMeter sets the meter of the balancer's counters. The default counts only for Counts.
func WithMeter(meter metric.Meter) Option {
	return optionFunc(func(o *options) { o.meter = meter })
}

// WithQuiet sets how long a draining balancer sees no datagram before it stops.
func WithQuiet(span time.Duration) Option {
	return optionFunc(func(o *options) { o.quiet = span })
}

// WithResetRate bounds the stateless resets sent in one second.
func WithResetRate(perSecond int) Option {
	return optionFunc(func(o *options) { o.resets = perSecond })
}

func newOptions(opts []Option) options {
	o := options{
		logger: zap.NewNop(),
		meter:  noop.Meter{},
		quiet:  _defaultQuiet,
		resets: _defaultResets,
	}
	for _, opt := range opts {
		opt.apply(&o)
	}
	return o
}
