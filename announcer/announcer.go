// Package announcer is an agent's part in the membership: it announces its
// upstream to the keepers and learns from their replies.
package announcer

import (
	"context"
	"net/netip"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// Caller makes calls to other processes; *control.Client is one.
type Caller interface {
	Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error
}

// Option configures an Announcer.
type Option func(*options)

type options struct {
	higherRevision func(settings.Revision, netip.AddrPort)
	newIncarnation func(service.Incarnation)
	revision       func() settings.Revision
	logger         *zap.Logger
	meter          metric.Meter
}

// WithHigherRevision is called, outside of any lock, with the control address
// of a balancer that has a higher settings revision in force.
func WithHigherRevision(f func(settings.Revision, netip.AddrPort)) Option {
	return func(o *options) { o.higherRevision = f }
}

// WithRevision gives the settings revision in force at this agent.
func WithRevision(revision func() settings.Revision) Option {
	return func(o *options) { o.revision = revision }
}

// WithNewIncarnation is called, outside of any lock, when the announcer has
// adopted a higher incarnation because the fleet remembers a higher one.
func WithNewIncarnation(f func(service.Incarnation)) Option {
	return func(o *options) { o.newIncarnation = f }
}

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option { return func(o *options) { o.logger = logger } }

// WithMeter reports metrics.
func WithMeter(meter metric.Meter) Option { return func(o *options) { o.meter = meter } }

// Peer is an upstream of the same service.
type Peer struct {
	// Data is the peer's data address.
	Data netip.AddrPort
	// Control is the peer's control address.
	Control netip.AddrPort
	// Place is where the peer runs.
	Place service.Place
	// Incarnation is the peer's run.
	Incarnation service.Incarnation
	// Load is the peer's fine load in percent of its capacity, some seconds old.
	Load uint8
}

// Announcer announces one upstream.
type Announcer struct{}

// New starts to announce self to the members that seeds lead to. The record's
// Seq may be zero; the announcer numbers the states.
func New(self roster.Upstream, client Caller, seeds []netip.AddrPort, opts ...Option) (*Announcer, error) {
	return &Announcer{}, nil
}

// Self returns the record as announced now.
func (a *Announcer) Self() roster.Upstream { return roster.Upstream{} }

// SetState announces a state at once.
func (a *Announcer) SetState(state service.State) {}

// SetLoad sets the fine load in percent of the capacity. Keepers hear it with
// the next heartbeat; the coarse level in the record follows with hysteresis.
func (a *Announcer) SetLoad(percent uint8) {}

// Peers returns serving upstreams of the same service with their loads.
func (a *Announcer) Peers() []Peer { return nil }

// Balancers returns the data addresses of the balancers that keep this agent.
func (a *Announcer) Balancers() []netip.AddrPort { return nil }

// Drain announces that the upstream is draining and waits until a keeper has
// acknowledged it or ctx ends.
func (a *Announcer) Drain(ctx context.Context) error { return nil }

// Close says that this run is gone and waits until all is stopped.
func (a *Announcer) Close() error { return nil }
