// Package agent is the data path of the process beside an upstream: it ends
// the callers' QUIC connections and hands their requests to an http.Handler.
//
// Wrapped packets come from balancers. The agent alone decides whether it takes
// a new flow, passes it to the next candidate, or refuses it; see Decide.
package agent

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/service"
)

// Gate admits flows. TryAdmit is called for each new flow on the packet path,
// so it must answer at once; Release is called when an admitted flow has ended.
type Gate interface {
	// TryAdmit returns nil if one more flow is within the limits.
	TryAdmit() error
	// Release gives one admitted flow back.
	Release()
}

// Config is what an agent needs to start.
type Config struct {
	// Addr is where wrapped packets reach this agent. Port 0 takes a free port.
	Addr netip.AddrPort
	// Service is the service of the upstream beside this agent.
	Service service.ID
	// Incarnation numbers this run; it is part of every connection ID.
	Incarnation service.Incarnation
	// Keys are the keys shared with balancers and agents.
	Keys *packet.Keys
	// TLS holds the service's certificate.
	TLS *tls.Config
	// Gate admits flows.
	Gate Gate
	// Handler answers the requests.
	Handler http.Handler
}

// Option adjusts an Agent.
type Option interface{ apply(*options) }

type options struct {
	logger    *zap.Logger
	meter     metric.Meter
	fresh     func(since time.Time) bool
	balancers func() []netip.AddrPort
}

type optionFunc func(*options)

func (f optionFunc) apply(o *options) { f(o) }

// WithLogger sets the logger. The default logs nothing.
func WithLogger(logger *zap.Logger) Option {
	return optionFunc(func(o *options) { o.logger = logger })
}

// WithMeter sets the meter of the agent's counters. The default counts only for Counts.
func WithMeter(meter metric.Meter) Option {
	return optionFunc(func(o *options) { o.meter = meter })
}

// WithFresh sets the check that an agent makes after its process was paused:
// it admits no flow until fresh reports that its peers were heard after since,
// the time at which it noticed the pause. The default is fresh at once.
func WithFresh(fresh func(since time.Time) bool) Option {
	return optionFunc(func(o *options) { o.fresh = fresh })
}

// WithBalancers sets the list of live balancers. A reply whose flow was last
// carried by a balancer outside a non-empty list goes through one in it.
func WithBalancers(balancers func() []netip.AddrPort) Option {
	return optionFunc(func(o *options) { o.balancers = balancers })
}

// Counts are the agent's counters since its start.
type Counts struct {
	// Admitted and Refused are new flows.
	Admitted uint64 `json:"admitted"`
	Refused  uint64 `json:"refused"`
	// Passed are packets of new flows passed to the next candidate.
	Passed uint64 `json:"passed"`
	// Resets are stateless resets sent for flows of an earlier incarnation.
	Resets uint64 `json:"resets"`
	// Forged are wrapped packets with a wrong MAC or malformed header.
	Forged uint64 `json:"forged"`
	// Dropped are genuine wrapped packets that are not for this agent.
	Dropped uint64 `json:"dropped"`
}

// Agent serves flows until it is closed.
type Agent struct{}

// New opens the socket and listens. The agent is Starting: it refuses new flows until Serve.
func New(cfg Config, opts ...Option) (*Agent, error) { return &Agent{}, nil }

// Addr is where wrapped packets reach this agent.
func (a *Agent) Addr() netip.AddrPort { return netip.AddrPort{} }

// Serve makes a starting agent take new flows.
func (a *Agent) Serve() {}

// State is what the agent does with new flows.
func (a *Agent) State() service.State { return service.Starting }

// Flows is the number of open flows.
func (a *Agent) Flows() int { return 0 }

// Counts returns the counters.
func (a *Agent) Counts() Counts { return Counts{} }

// SetKeys replaces the keys that are accepted. Connection IDs keep the key of the start.
func (a *Agent) SetKeys(keys *packet.Keys) {}

// Drain refuses new flows at once, tells callers to go away, and returns when
// all flows have ended, or with the context's error when ctx ends first. It cuts nothing.
func (a *Agent) Drain(ctx context.Context) error { return nil }

// Close closes all flows and waits until all goroutines have ended.
func (a *Agent) Close() error { return nil }
