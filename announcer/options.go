package announcer

import (
	"net/netip"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"dandelionhitch.example/platform"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// Option configures an Announcer.
type Option func(*options)

type options struct {
	higherRevision func(settings.Revision, netip.AddrPort)
	newIncarnation func(service.Incarnation)
	revision       func() settings.Revision
	store          platform.Store
	logger         *zap.Logger
	meter          metric.Meter
	seed           uint64
}

func newOptions(opts []Option) options {
	o := options{
		higherRevision: func(settings.Revision, netip.AddrPort) {},
		newIncarnation: func(service.Incarnation) {},
		revision:       func() settings.Revision { return 0 },
		logger:         zap.NewNop(),
		meter:          noop.NewMeterProvider().Meter("announcer"),
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// WithHigherRevision is called, outside of any lock, with the control address
// of a balancer that has a higher settings revision in force. It must not block.
func WithHigherRevision(f func(settings.Revision, netip.AddrPort)) Option {
	return func(o *options) { o.higherRevision = f }
}

// WithRevision gives the settings revision in force at this agent. It is called
// often and must not block.
func WithRevision(revision func() settings.Revision) Option {
	return func(o *options) { o.revision = revision }
}

// WithNewIncarnation is called, outside of any lock, when the announcer has
// adopted a higher incarnation because the fleet remembers one as high as its
// own. Connection IDs issued from then on must carry it.
func WithNewIncarnation(f func(service.Incarnation)) Option {
	return func(o *options) { o.newIncarnation = f }
}

// WithStore has the announcer look for members' leases in the platform while
// it can reach none of the members that it knows. Nothing else needs it.
func WithStore(store platform.Store) Option { return func(o *options) { o.store = store } }

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option { return func(o *options) { o.logger = logger } }

// WithMeter reports metrics.
func WithMeter(meter metric.Meter) Option { return func(o *options) { o.meter = meter } }

// WithSeed fixes the jitter, for tests.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }
