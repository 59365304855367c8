// Package agent is the data path of the process beside an upstream: it ends
// the callers' QUIC connections and hands their requests to an http.Handler.
//
// Wrapped packets come from balancers. The agent alone decides whether it takes
// a new flow, passes it to the next candidate, or refuses it: it knows its own
// state and limits now, while a balancer's view lags.
//
//	balancer -> conn.ReadFrom: unwrap, decide -> QUIC -> HTTP/3 -> http.Handler
//	balancer <- conn.WriteTo: wrap            <- QUIC <- HTTP/3 <-
package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/service"
)

const (
	// _packetSize is the length of QUIC's packets in octets. Wrapped they fit
	// the MTU between agent and balancer, and unwrapped the paths of callers on
	// phones, so no path is probed for a larger size.
	_packetSize = 1280
	// _resetRate bounds the stateless resets that an agent sends in one second.
	_resetRate = 1000
	// _refusalRate bounds the refusals that an agent sends in one second.
	_refusalRate = 5000
)

var errRefused = errors.New("agent: flow refused")

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

// Agent serves flows until it is closed.
type Agent struct {
	addr        netip.AddrPort
	service     service.ID
	incarnation service.Incarnation
	gate        Gate
	options     options

	state      atomic.Uint32
	keys       atomic.Pointer[packet.Keys]
	start      time.Time
	relays     *relays
	admissions *admissions
	paths      *paths
	resets     *rate.Limiter
	refusals   *rate.Limiter
	notices    *rate.Limiter

	counters     counters
	registration metric.Registration
	flows        atomic.Int64
	// handshakes counts the flows whose handshake has not ended.
	handshakes atomic.Int64
	// ended has room for one signal that a flow has ended.
	ended chan struct{}
	// open waits at the end for the release of every flow.
	open sync.WaitGroup

	freshMu   sync.Mutex
	freshness freshness

	conn      *conn
	transport *quic.Transport
	listener  *quic.Listener
	// server serves until the drain. late serves the flows that were admitted
	// before it and ended their handshake after it.
	server *http3.Server
	late   *http3.Server
	// drain is closed when the drain begins.
	drain    chan struct{}
	draining sync.Once
	tomb     tomb.Tomb
}

// New opens the socket and listens. The agent is Starting: it refuses new flows until Serve.
func New(cfg Config, opts ...Option) (*Agent, error) {
	if err := cfg.check(); err != nil {
		return nil, trace.Wrap(err, "starting an agent")
	}
	a := &Agent{
		service:     cfg.Service,
		incarnation: cfg.Incarnation,
		gate:        cfg.Gate,
		options:     newOptions(opts),
		paths:       newPaths(),
		resets:      rate.NewLimiter(_resetRate, _resetRate),
		refusals:    rate.NewLimiter(_refusalRate, _refusalRate),
		notices:     rate.NewLimiter(_noticeRate, _noticeRate),
		ended:       make(chan struct{}, 1),
		drain:       make(chan struct{}),
	}
	a.start = a.options.now()
	a.relays = newRelays(a.options.balancers)
	a.admissions = newAdmissions(a.start)
	a.state.Store(uint32(service.Starting))
	a.keys.Store(cfg.Keys)
	a.relays.refresh(0)
	if err := a.listen(cfg); err != nil {
		return nil, trace.Wrap(err, "starting an agent")
	}
	a.tomb.Go(a.loop)
	a.tomb.Go(a.runServer)
	a.tomb.Go(a.runShutdown)
	return a, nil
}

func (c *Config) check() error {
	var findings []error
	require := func(ok bool, what string) {
		if !ok {
			findings = append(findings, trace.BadParameter("%s is missing", what))
		}
	}
	require(c.Service != 0, "service")
	require(c.Incarnation != 0, "incarnation")
	require(c.Keys != nil, "keys")
	require(c.TLS != nil, "TLS")
	require(c.Gate != nil, "gate")
	require(c.Handler != nil, "handler")
	require(c.Addr.Addr().Unmap().Is4() && !c.Addr.Addr().IsUnspecified(), "an IPv4 address of this agent")
	return trace.NewAggregate(findings...)
}

func (a *Agent) listen(cfg Config) error {
	var err error
	if a.conn, err = listen(a, cfg.Addr); err != nil {
		return err
	}
	addr, err := netip.ParseAddrPort(a.conn.LocalAddr().String())
	if err != nil {
		a.conn.Close()
		return trace.Wrap(err)
	}
	a.addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	if a.transport, err = a.newTransport(cfg.Keys); err != nil {
		a.conn.Close()
		return err
	}
	a.server = &http3.Server{Handler: cfg.Handler}
	a.late = &http3.Server{Handler: cfg.Handler}
	a.listener, err = a.transport.Listen(http3.ConfigureTLSConfig(cfg.TLS), a.quicConfig())
	if err != nil {
		a.conn.Close()
		return trace.Wrap(err, "listening for QUIC")
	}
	if a.registration, err = a.register(a.options.meter); err != nil {
		a.closeTransport()
		return err
	}
	return nil
}

func (a *Agent) newTransport(keys *packet.Keys) (*quic.Transport, error) {
	number := keys.Current()
	resetKey, err := keys.ResetKey(number)
	if err != nil {
		return nil, trace.Wrap(err, "stateless reset key")
	}
	tokenKey, err := keys.TokenKey(number)
	if err != nil {
		return nil, trace.Wrap(err, "address validation key")
	}
	base := packet.CID{Service: a.service, Agent: a.addr, Incarnation: a.incarnation}
	return &quic.Transport{
		Conn:                  a.conn,
		ConnectionIDGenerator: &cids{keys: keys, number: number, base: base},
		StatelessResetKey:     (*quic.StatelessResetKey)(&resetKey),
		TokenGeneratorKey:     (*quic.TokenGeneratorKey)(&tokenKey),
		ConnContext:           a.openFlow,
		VerifySourceAddress:   a.isUnproved,
	}, nil
}

// quicConfig leaves 0-RTT off: early data can be replayed, and two agents that
// answer one Initial could run a request twice.
func (a *Agent) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:    a.options.handshake,
		MaxIdleTimeout:          a.options.idle,
		InitialPacketSize:       _packetSize,
		DisablePathMTUDiscovery: true,
	}
}

// Addr is where wrapped packets reach this agent.
func (a *Agent) Addr() netip.AddrPort { return a.addr }

// Serve makes a starting agent take new flows. It has no effect on a draining one.
func (a *Agent) Serve() {
	a.state.CompareAndSwap(uint32(service.Starting), uint32(service.Serving))
}

// State is what the agent does with new flows.
func (a *Agent) State() service.State { return service.State(a.state.Load()) }

// Flows is the number of open flows.
func (a *Agent) Flows() int { return int(a.flows.Load()) }

// Counts returns the counters.
func (a *Agent) Counts() Counts { return a.counters.snapshot() }

// SetKeys replaces the keys that are accepted and those that sign wrapped
// packets. Connection IDs keep the key of the start, so it must stay listed.
func (a *Agent) SetKeys(keys *packet.Keys) { a.keys.Store(keys) }

// Drain refuses new flows at once, tells callers by GOAWAY to make no further
// requests, and returns when all flows have ended, or with the context's error
// when ctx ends first. It cuts nothing.
func (a *Agent) Drain(ctx context.Context) error {
	a.draining.Do(a.startDraining)
	for a.Flows() > 0 || a.admissions.waiting() > 0 {
		select {
		case <-a.ended:
		case <-a.tomb.Dying():
			return nil
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "draining an agent with %d flows open", a.Flows())
		}
	}
	return nil
}

func (a *Agent) startDraining() {
	a.state.Store(uint32(service.Draining))
	close(a.drain)
}

// Close closes all flows and waits until all goroutines have ended and the gate
// has every admitted flow back.
func (a *Agent) Close() error {
	a.state.Store(uint32(service.Draining))
	a.tomb.Kill(nil)
	err := a.tomb.Wait()
	a.open.Wait()
	for range a.admissions.expireRest() {
		a.gate.Release()
	}
	return trace.Wrap(err, "closing an agent")
}

// runServer serves accepted connections until the agent ends.
func (a *Agent) runServer() error {
	err := a.server.ServeListener(listener{a.listener})
	if a.tomb.Alive() && errors.Is(err, http.ErrServerClosed) {
		err = a.late.ServeListener(listener{a.listener})
	}
	if a.tomb.Alive() {
		return trace.Wrap(err, "serving HTTP/3")
	}
	return nil
}

// runShutdown sends GOAWAY on all connections when the drain begins. The server
// cuts what is open when its context ends, so that is when the agent ends.
func (a *Agent) runShutdown() error {
	select {
	case <-a.drain:
	case <-a.tomb.Dying():
		return nil
	}
	if err := a.server.Shutdown(a.tomb.Context(context.Background())); err != nil && a.tomb.Alive() {
		a.options.logger.Warn("graceful shutdown of HTTP/3 failed", zap.Error(err))
	}
	return nil
}

// loop keeps the agent's own clock, and closes all when the agent ends.
func (a *Agent) loop() error {
	ticker := time.NewTicker(_tick)
	defer ticker.Stop()
	for {
		select {
		case <-a.tomb.Dying():
			a.closeTransport()
			return nil
		case <-ticker.C:
			a.tick()
		}
	}
}

func (a *Agent) tick() {
	now := a.options.now()
	a.isFresh(now)
	a.relays.refresh(now.Sub(a.start))
	for range a.admissions.expire(now) {
		a.counters.unopened.Add(1)
		a.gate.Release()
		a.signalEnded()
	}
}

func (a *Agent) closeTransport() {
	if a.registration != nil {
		if err := a.registration.Unregister(); err != nil {
			a.options.logger.Warn("counters stay registered", zap.Error(err))
		}
	}
	a.server.Close()
	a.late.Close()
	a.listener.Close()
	a.transport.Close()
	a.conn.Close()
}

// age is the time since the agent's start.
func (a *Agent) age() time.Duration { return a.options.now().Sub(a.start) }

func (a *Agent) isFresh(now time.Time) bool {
	a.freshMu.Lock()
	defer a.freshMu.Unlock()
	return a.freshness.observe(now, a.options.fresh)
}
