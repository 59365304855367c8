// Package balancer is the process on an entry VM: it takes callers' datagrams,
// wraps each for the agent that should have it, and unwraps the agents' replies.
//
// A balancer keeps no flow state. What it knows is one immutable route.Table,
// replaced whole; every decision about a datagram is made by package route.
package balancer

import (
	"context"
	"net/netip"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/route"
)

// Listener is one UDP socket on which callers' datagrams arrive.
type Listener struct {
	// Bind is the local address of the socket. An unspecified IP (0.0.0.0)
	// makes it a wildcard socket that serves every address with its port.
	Bind netip.AddrPort
	// Address is the service address that all datagrams of this socket count
	// as sent to, for a fabric that rewrites destinations. Zero means that the
	// destination is read from each datagram.
	Address netip.AddrPort
}

// Config is what a balancer needs to start.
type Config struct {
	// Addr is where agents reach this balancer. Port 0 takes a free port.
	Addr netip.AddrPort
	// Keys are the keys shared with the agents.
	Keys *packet.Keys
	// Listeners are sockets to open at the start.
	Listeners []Listener
	// Wildcard opens a wildcard socket for every port of the table's service
	// addresses that no listener covers, also for those of later tables.
	Wildcard bool
}

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

// Counts are the balancer's counters since its start, in datagrams.
type Counts struct {
	// ByCID were forwarded to the agent that their connection ID names.
	ByCID uint64 `json:"by_cid"`
	// ByHash were forwarded to candidates for a new flow.
	ByHash uint64 `json:"by_hash"`
	// Replies were unwrapped and sent to callers.
	Replies uint64 `json:"replies"`
	// Resets were answered with a stateless reset.
	Resets uint64 `json:"resets"`
	// Dropped were dropped for a reason of package route.
	Dropped uint64 `json:"dropped"`
	// TooLarge could not be wrapped under the MTU.
	TooLarge uint64 `json:"too_large"`
	// Forged were replies with a wrong MAC or malformed header.
	Forged uint64 `json:"forged"`
	// Foreign were genuine wrapped packets that are not replies through this balancer.
	Foreign uint64 `json:"foreign"`
	// Overflowed were dropped because a ring was full.
	Overflowed uint64 `json:"overflowed"`
	// Unsent could not be written to a socket.
	Unsent uint64 `json:"unsent"`
}

// Balancer forwards datagrams until it is closed.
type Balancer struct{}

// New opens the sockets and starts forwarding. Without a table all datagrams are dropped.
func New(cfg Config, opts ...Option) (*Balancer, error) { return &Balancer{}, nil }

// Addr is where agents reach this balancer.
func (b *Balancer) Addr() netip.AddrPort { return netip.AddrPort{} }

// Listeners are the local addresses of the sockets towards callers: first those
// of Config.Listeners in their order, then the wildcard sockets.
func (b *Balancer) Listeners() []netip.AddrPort { return nil }

// SetTable replaces the routing table.
func (b *Balancer) SetTable(table *route.Table) {}

// SetKeys replaces the keys.
func (b *Balancer) SetKeys(keys *packet.Keys) {}

// Counts returns the counters.
func (b *Balancer) Counts() Counts { return Counts{} }

// Drain keeps forwarding until no datagram has come for a while or ctx ends, then closes.
func (b *Balancer) Drain(ctx context.Context) error { return b.Close() }

// Close stops forwarding and waits until all goroutines have ended.
func (b *Balancer) Close() error { return nil }
