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

// Self is what a dispatcher's own agent is called by others.
type Self struct {
	Service service.ID
	// Address is the agent's address in the roster and in tickets.
	Address netip.AddrPort
	// Incarnation is this run of the agent.
	Incarnation service.Incarnation
}

// Peer is another agent of the same service.
type Peer struct {
	// Address is the agent's address in the roster and in tickets.
	Address netip.AddrPort
	// Incarnation is the run of the agent that is known to be serving.
	Incarnation service.Incarnation
	// Load is the agent's last known Dispatcher.Load, 0 to 7.
	Load int
}

// Peers knows the other agents of the service.
type Peers interface {
	// Peers returns a few other agents that are serving, with their last known load.
	Peers() []Peer
	// Endpoint returns where the PeerHandler of the agent with the given
	// address listens, or false if that cannot be known.
	Endpoint(agent netip.AddrPort) (netip.AddrPort, bool)
}

// Option sets something that a Dispatcher does not need to begin.
type Option interface {
	apply(*options)
}

type options struct {
	self          Self
	keys          *ticket.Keys
	peers         Peers
	peerTransport http.RoundTripper
	transport     http.RoundTripper
	logger        *zap.Logger
	meter         metric.Meter
	random        func() float64
	ticketBounds        ticket.Bounds
}

// _ticketBounds bound the memory of tickets: at 300 bytes for a ticket and its
// key, 16,384 of them hold 5 MB, and the bodies 8 MB more.
var _defaultTicketBounds = ticket.Bounds{Tickets: 16384, BodyBytes: 8 << 20, Lifetime: 15 * time.Minute}

// defaultOptions are in force where no option says otherwise.
func defaultOptions() options {
	return options{
		logger: zap.NewNop(),
		meter:  noop.NewMeterProvider().Meter(""),
		random: rand.Float64,
		ticketBounds: _defaultTicketBounds,
	}
}

type optionFunc func(*options)

func (f optionFunc) apply(o *options) { f(o) }

// WithSelf names the agent. Tickets and hand-over need it.
func WithSelf(self Self) Option {
	return optionFunc(func(o *options) { o.self = self })
}

// WithTicketKeys gives the keys shared by the agents of the service. Without
// them a dispatcher makes its own, and no other agent can pass its tickets on.
func WithTicketKeys(keys *ticket.Keys) Option {
	return optionFunc(func(o *options) { o.keys = keys })
}

// WithPeers lets requests be passed to other agents. The transport speaks
// HTTP/2 over mutual TLS; requests to it have the scheme https and the
// endpoint as host.
func WithPeers(peers Peers, transport http.RoundTripper) Option {
	return optionFunc(func(o *options) { o.peers, o.peerTransport = peers, transport })
}

// WithTransport replaces the transport to the upstream.
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

// WithRandom replaces the source of randomness for jitter and the choice of
// peers; it returns numbers in [0, 1) and must be safe for concurrent use.
func WithRandom(random func() float64) Option {
	return optionFunc(func(o *options) { o.random = random })
}

// WithTicketBounds replaces the bounds of the memory for tickets. The memory
// for requests taken over from other agents has the same bounds.
func WithTicketBounds(bounds ticket.Bounds) Option {
	return optionFunc(func(o *options) { o.ticketBounds = bounds })
}
