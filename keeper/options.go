package keeper

import (
	"net/netip"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"dandelionhitch.example/platform"
	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// Option configures a Keeper.
type Option func(*options)

type options struct {
	store          platform.Store
	peers          []netip.AddrPort
	revision       func() settings.Revision
	higherRevision func(settings.Revision, netip.AddrPort)
	newIncarnation func(service.Incarnation)
	prober         roster.Prober
	logger         *zap.Logger
	meter          metric.Meter
}

// WithStore registers the balancer in the platform and learns the others there.
func WithStore(store platform.Store) Option { return func(o *options) { o.store = store } }

// WithPeers names control addresses of members to learn the others from.
func WithPeers(peers ...netip.AddrPort) Option { return func(o *options) { o.peers = peers } }

// WithRevision gives the settings revision in force at this balancer.
func WithRevision(revision func() settings.Revision) Option {
	return func(o *options) { o.revision = revision }
}

// WithHigherRevision is called, outside of any lock, with the control address
// of a member that has a higher revision in force.
func WithHigherRevision(f func(settings.Revision, netip.AddrPort)) Option {
	return func(o *options) { o.higherRevision = f }
}

// WithProber replaces the TCP probe of silent agents.
func WithProber(prober roster.Prober) Option { return func(o *options) { o.prober = prober } }

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option { return func(o *options) { o.logger = logger } }

// WithMeter reports metrics.
func WithMeter(meter metric.Meter) Option { return func(o *options) { o.meter = meter } }
