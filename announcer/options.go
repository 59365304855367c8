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
	onHigherRevision func(settings.Revision, netip.AddrPort)
	onNewIncarnation func(service.Incarnation)
	revision         func() settings.Revision
	store            platform.Store
	logger           *zap.Logger
	meter            metric.Meter
	seed             uint64
}

func newOptions(opts []Option) options {
	o := options{
		onHigherRevision: func(settings.Revision, netip.AddrPort) {},
		onNewIncarnation: func(service.Incarnation) {},
		revision:         func() settings.Revision { return 0 },
		logger:           zap.NewNop(),
		meter:            noop.NewMeterProvider().Meter("announcer"),
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// WithHigherRevisionHandler sets a function that is called when a balancer reports a
// higher settings revision than WithRevision's, with that revision and the
// balancer's control address. It is called without locks held and must not block.
func WithHigherRevisionHandler(f func(settings.Revision, netip.AddrPort)) Option {
	return func(o *options) { o.onHigherRevision = f }
}

// WithRevision sets the function that returns the settings revision in force at
// this agent. It is called for each heartbeat with the announcer's lock held, so
// it must neither block nor call the announcer.
func WithRevision(revision func() settings.Revision) Option {
	return func(o *options) { o.revision = revision }
}

// WithNewIncarnationHandler sets a function that is called, without locks held, after
// the announcer has adopted a higher incarnation because a keeper has recorded,
// at the agent's address, one that is at least as high as the agent's own.
// Connection IDs issued from then on must carry the new incarnation.
func WithNewIncarnationHandler(f func(service.Incarnation)) Option {
	return func(o *options) { o.onNewIncarnation = f }
}

// WithStore sets the platform store, where the announcer looks for the leases of
// members while it can reach none of the members that it knows. Without a store
// it retries the known members only.
func WithStore(store platform.Store) Option { return func(o *options) { o.store = store } }

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option { return func(o *options) { o.logger = logger } }

// WithMeter sets the meter that exports the announcer's counters.
func WithMeter(meter metric.Meter) Option { return func(o *options) { o.meter = meter } }

// WithSeed seeds the generator for jitter and seed order, so that tests are
// reproducible. A zero seed stands for a random one.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }
