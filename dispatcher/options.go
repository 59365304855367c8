package dispatcher

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"dandelionhitch.example/service"
	"dandelionhitch.example/ticket"
)

// Identity identifies the dispatcher's own agent to other agents.
type Identity struct {
	Service service.ID
	// Address is the agent's address in the roster and in tickets.
	Address netip.AddrPort
	// Incarnation is the number of this run of the agent.
	Incarnation service.Incarnation
}

// Peer is another agent of the same service.
type Peer struct {
	// Address is the agent's address in the roster and in tickets.
	Address netip.AddrPort
	// Incarnation is the number of the agent's run that is known to be serving.
	Incarnation service.Incarnation
	// Load is the agent's last known Dispatcher.Load, from 0 to 7.
	Load int
}

// Peers lists the other agents of the service and resolves their addresses.
type Peers interface {
	// Peers returns a few other agents that are serving, with their last known load.
	Peers() []Peer
	// Endpoint returns the address at which the PeerHandler of the given agent
	// listens, or false if it is not known.
	Endpoint(agent netip.AddrPort) (netip.AddrPort, bool)
}

// Option configures an optional part of a Dispatcher.
type Option interface {
	apply(*options)
}

type options struct {
	self          Identity
	keys          *ticket.Keys
	peers         Peers
	peerTransport http.RoundTripper
	transport     http.RoundTripper
	logger        *zap.Logger
	meter         metric.Meter
	random        func() float64
	ticketBounds  ticket.Bounds
}

// _defaultTicketBounds limit the memory for tickets: 16,384 tickets of about 300
// bytes each, with their keys, take 5 MB, and the answer bodies up to 8 MB more.
var _defaultTicketBounds = ticket.Bounds{Tickets: 16384, BodyBytes: 8 << 20, Lifetime: 15 * time.Minute}

// defaultOptions returns the values of options that are not set.
func defaultOptions() options {
	return options{
		logger:       zap.NewNop(),
		meter:        noop.NewMeterProvider().Meter(""),
		random:       rand.Float64,
		ticketBounds: _defaultTicketBounds,
	}
}

type optionFunc func(*options)

func (f optionFunc) apply(o *options) { f(o) }

// WithIdentity sets the identity of the dispatcher's agent, which tickets and
// handovers carry.
func WithIdentity(self Identity) Option {
	return optionFunc(func(o *options) { o.self = self })
}

// WithTicketKeys sets the ticket keys that the agents of the service share.
// Without this option a dispatcher generates its own keys, so that other agents
// cannot open its tickets and forward requests under them.
func WithTicketKeys(keys *ticket.Keys) Option {
	return optionFunc(func(o *options) { o.keys = keys })
}

// WithPeers enables passing requests to other agents. The transport speaks
// HTTP/2 over mutual TLS; requests given to it have the scheme https and the
// endpoint of the peer as host.
func WithPeers(peers Peers, transport http.RoundTripper) Option {
	return optionFunc(func(o *options) { o.peers, o.peerTransport = peers, transport })
}

// WithTransport sets the transport to the upstream.
func WithTransport(transport http.RoundTripper) Option {
	return optionFunc(func(o *options) { o.transport = transport })
}

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option {
	return optionFunc(func(o *options) { o.logger = logger })
}

// WithMeter sets the meter for the dispatcher's metrics.
func WithMeter(meter metric.Meter) Option {
	return optionFunc(func(o *options) { o.meter = meter })
}

// WithRandom sets the source of randomness for jitter and for the choice of
// peers. It returns numbers in [0, 1) and must be safe for concurrent use.
func WithRandom(random func() float64) Option {
	return optionFunc(func(o *options) { o.random = random })
}

// WithTicketBounds sets the limits on the memory for tickets. The same limits
// apply separately to the memory for requests taken over from other agents.
func WithTicketBounds(bounds ticket.Bounds) Option {
	return optionFunc(func(o *options) { o.ticketBounds = bounds })
}
