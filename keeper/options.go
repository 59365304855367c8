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
	store          platform.Store
	peers          []netip.AddrPort
	revision       func() settings.Revision
	hosts          func() int
	higherRevision func(settings.Revision, netip.AddrPort)
	prober         roster.Prober
	logger         *zap.Logger
	meter          metric.Meter
	seed           uint64
}

func newOptions(opts []Option) options {
	o := options{
		revision:       func() settings.Revision { return 0 },
		higherRevision: func(settings.Revision, netip.AddrPort) {},
		hosts:          func() int { return 0 },
		prober:         tcpProber{},
		logger:         zap.NewNop(),
		meter:          noop.NewMeterProvider().Meter("keeper"),
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// WithStore registers the balancer in the platform and learns the others there.
func WithStore(store platform.Store) Option { return func(o *options) { o.store = store } }

// WithPeers names control addresses of members to learn the others from.
func WithPeers(peers ...netip.AddrPort) Option { return func(o *options) { o.peers = peers } }

// WithRevision gives the settings revision in force at this balancer. It is
// called often and must not block.
func WithRevision(revision func() settings.Revision) Option {
	return func(o *options) { o.revision = revision }
}

// WithHosts gives how many hosts the fleet is expected to have, zero if that is
// not known. Agents learn it and bound by it what they ask of the platform.
func WithHosts(hosts func() int) Option {
	return func(o *options) { o.hosts = hosts }
}

// WithHigherRevision is called, outside of any lock, with the control address
// of a member that has a higher revision in force. It must not block.
func WithHigherRevision(f func(settings.Revision, netip.AddrPort)) Option {
	return func(o *options) { o.higherRevision = f }
}

// WithProber replaces the TCP probe of silent processes.
func WithProber(prober roster.Prober) Option { return func(o *options) { o.prober = prober } }

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option { return func(o *options) { o.logger = logger } }

// WithMeter reports metrics.
func WithMeter(meter metric.Meter) Option { return func(o *options) { o.meter = meter } }

// WithSeed fixes the jitter, for tests.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }
