package balancer

import (
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
)

const (
	_defaultQuietPeriod = 5 * time.Second
	_defaultResetRate   = 1000 // resets per second
)

// Option adjusts a Balancer.
type Option interface{ apply(*options) }

// options holds the optional parameters of a Balancer, which the With functions describe.
type options struct {
	logger      *zap.Logger
	meter       metric.Meter
	quietPeriod time.Duration
	resetRate   int
}

type optionFunc func(*options)

func (f optionFunc) apply(o *options) { f(o) }

// WithLogger sets the logger. The default logs nothing.
func WithLogger(logger *zap.Logger) Option {
	return optionFunc(func(o *options) { o.logger = logger })
}

// WithMeter sets the meter through which the balancer's counters are exported. By
// default only Counts returns them.
func WithMeter(meter metric.Meter) Option {
	return optionFunc(func(o *options) { o.meter = meter })
}

// WithQuietPeriod sets how long a draining balancer must have forwarded or answered no
// datagram before it closes. The default is 5 s.
func WithQuietPeriod(period time.Duration) Option {
	return optionFunc(func(o *options) { o.quietPeriod = period })
}

// WithResetRate bounds the stateless resets that the balancer sends per second. The
// default is 1000.
func WithResetRate(perSecond int) Option {
	return optionFunc(func(o *options) { o.resetRate = perSecond })
}

func newOptions(opts []Option) options {
	o := options{
		logger:      zap.NewNop(),
		meter:       noop.Meter{},
		quietPeriod: _defaultQuietPeriod,
		resetRate:   _defaultResetRate,
	}
	for _, opt := range opts {
		opt.apply(&o)
	}
	return o
}
