package keeper

import (
	"net/netip"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"dandelionhitch.example/platform"
	"dandelionhitch.example/roster"
	"dandelionhitch.example/settings"
)

// Option configures a Keeper.
type Option func(*options)

type options struct {
	store            platform.Store
	peers            []netip.AddrPort
	revision         func() settings.Revision
	hosts            func() int
	onHigherRevision func(settings.Revision, netip.AddrPort)
	prober           roster.Prober
	logger           *zap.Logger
	meter            metric.Meter
	seed             uint64
}

func newOptions(opts []Option) options {
	o := options{
		revision:         func() settings.Revision { return 0 },
		onHigherRevision: func(settings.Revision, netip.AddrPort) {},
		hosts:            func() int { return 0 },
		prober:           tcpProber{},
		logger:           zap.NewNop(),
		meter:            noop.NewMeterProvider().Meter("keeper"),
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// WithStore sets the platform's store, in which the balancer registers itself by a lease
// and finds the other members.
func WithStore(store platform.Store) Option { return func(o *options) { o.store = store } }

// WithPeers sets the control addresses of members to join by.
func WithPeers(peers ...netip.AddrPort) Option { return func(o *options) { o.peers = peers } }

// WithRevision sets the function that returns the settings revision in force at this
// balancer. It is called often and must not block.
func WithRevision(revision func() settings.Revision) Option {
	return func(o *options) { o.revision = revision }
}

// WithHosts sets the function that returns the expected number of hosts of the fleet,
// or zero if it is unknown. Heartbeat replies carry the number to agents, which derive
// from it a limit on the rate of their calls to the platform.
func WithHosts(hosts func() int) Option {
	return func(o *options) { o.hosts = hosts }
}

// WithHigherRevisionHandler sets a function that is called when a member has a higher settings
// revision in force than this balancer, with that revision and the member's control
// address. It is called without locks held and must not block.
func WithHigherRevisionHandler(f func(settings.Revision, netip.AddrPort)) Option {
	return func(o *options) { o.onHigherRevision = f }
}

// WithProber sets the prober of processes that have timed out. The default opens a TCP
// connection.
func WithProber(prober roster.Prober) Option { return func(o *options) { o.prober = prober } }

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option { return func(o *options) { o.logger = logger } }

// WithMeter sets the meter that metrics are reported to.
func WithMeter(meter metric.Meter) Option { return func(o *options) { o.meter = meter } }

// WithSeed sets the seed of the random jitter, for tests.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }
