// Package agent implements the data path of the process that runs beside an
// upstream. It terminates the callers' QUIC connections and passes their
// requests to an http.Handler.
//
// Balancers wrap the callers' packets and forward them to an agent. The agent
// alone decides whether to admit a new flow, pass it to the next candidate, or
// refuse it, because it knows its current state and limits, whereas a balancer's
// view of them is delayed.
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
	// _packetSize is the length of QUIC packets in octets. Wrapped packets of this
	// size fit the MTU between agent and balancer, and unwrapped ones fit the
	// network paths of callers on phones, so path MTU discovery is disabled.
	_packetSize = 1280
	// _resetRate bounds the stateless resets that an agent sends per second.
	_resetRate = 1000
	// _refusalRate bounds the refusals of new flows that an agent sends per second.
	_refusalRate = 5000
)

var errRefused = errors.New("agent: flow refused")

// Gate limits the number of open flows. Both methods may be called concurrently.
// TryAdmit is called on the packet path for each new flow, so it must not block.
type Gate interface {
	// TryAdmit admits one more flow, or returns an error if a limit forbids it.
	TryAdmit() error
	// Release frees the capacity of one admitted flow after the flow has ended.
	Release()
}

// Config holds the required parameters of an agent.
type Config struct {
	// Addr is the IPv4 address on which the agent receives wrapped packets.
	// Port 0 selects a free port.
	Addr netip.AddrPort
	// Service is the service of the upstream beside this agent.
	Service service.ID
	// Incarnation numbers this run of the agent and increases with each restart.
	// It is part of every connection ID that the agent issues.
	Incarnation service.Incarnation
	// Keys are the keys that all balancers and agents share.
	Keys *packet.Keys
	// TLS holds the service's certificate.
	TLS *tls.Config
	// Gate limits the number of open flows.
	Gate Gate
	// Handler serves the callers' requests.
	Handler http.Handler
}

// Agent terminates flows of one service: it decides what to do with the packets
// that balancers forward to it and serves the requests of the flows that it holds. A
// flow is one QUIC connection of a caller.
type Agent struct {
	addr        netip.AddrPort
	service     service.ID
	incarnation service.Incarnation
	gate        Gate
	options     options

	state          atomic.Uint32
	keys           atomic.Pointer[packet.Keys]
	start          time.Time
	balancers      *balancerSet
	admissions     *admissions
	paths          *paths
	resetLimiter   *rate.Limiter
	refusalLimiter *rate.Limiter
	noticeLimiter  *rate.Limiter

	counters     counters
	registration metric.Registration
	flows        atomic.Int64
	// handshakes counts the open flows whose handshake has not completed.
	handshakes atomic.Int64
	// flowEnded has a buffer of one. A signal means that a flow has ended or that
	// an admission has expired.
	flowEnded chan struct{}
	// openFlows lets Close wait until every flow has released its admission.
	openFlows sync.WaitGroup

	pauseMu sync.Mutex
	pauses  pauseDetector

	conn      *conn
	transport *quic.Transport
	listener  *quic.Listener
	// server accepts connections until the drain starts. lateServer accepts the
	// flows that were admitted before the drain and complete their handshake after
	// its start.
	server     *http3.Server
	lateServer *http3.Server
	// drainStarted is closed when the drain starts.
	drainStarted chan struct{}
	drainOnce    sync.Once
	tomb         tomb.Tomb
}

// New opens the agent's socket and starts to serve it. The state is Starting, in
// which the agent admits no new flow, until Serve is called.
func New(cfg Config, opts ...Option) (*Agent, error) {
	if err := cfg.check(); err != nil {
		return nil, trace.Wrap(err, "starting an agent")
	}
	a := &Agent{
		service:        cfg.Service,
		incarnation:    cfg.Incarnation,
		gate:           cfg.Gate,
		options:        newOptions(opts),
		paths:          newPaths(),
		resetLimiter:   rate.NewLimiter(_resetRate, _resetRate),
		refusalLimiter: rate.NewLimiter(_refusalRate, _refusalRate),
		noticeLimiter:  rate.NewLimiter(_noticeRate, _noticeRate),
		flowEnded:      make(chan struct{}, 1),
		drainStarted:   make(chan struct{}),
	}
	a.start = a.options.now()
	a.balancers = newBalancerSet(a.options.balancers)
	a.admissions = newAdmissions(a.start)
	a.state.Store(uint32(service.Starting))
	a.keys.Store(cfg.Keys)
	a.balancers.refresh(0)
	if err := a.listen(cfg); err != nil {
		return nil, trace.Wrap(err, "starting an agent")
	}
	a.tomb.Go(a.loop)
	a.tomb.Go(a.runServer)
	a.tomb.Go(a.runShutdown)
	return a, nil
}

func (c *Config) check() error {
	var errs []error
	require := func(ok bool, what string) {
		if !ok {
			errs = append(errs, trace.BadParameter("%s is missing", what))
		}
	}
	require(c.Service != 0, "service")
	require(c.Incarnation != 0, "incarnation")
	require(c.Keys != nil, "keys")
	require(c.TLS != nil, "TLS")
	require(c.Gate != nil, "gate")
	require(c.Handler != nil, "handler")
	require(c.Addr.Addr().Unmap().Is4() && !c.Addr.Addr().IsUnspecified(), "an IPv4 address of this agent")
	return trace.NewAggregate(errs...)
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
	a.lateServer = &http3.Server{Handler: cfg.Handler}
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
		return nil, trace.Wrap(err, "deriving the stateless reset key")
	}
	tokenKey, err := keys.TokenKey(number)
	if err != nil {
		return nil, trace.Wrap(err, "deriving the address validation key")
	}
	base := packet.CID{Service: a.service, Agent: a.addr, Incarnation: a.incarnation}
	return &quic.Transport{
		Conn:                  a.conn,
		ConnectionIDGenerator: &cidGenerator{keys: keys, keyNumber: number, base: base},
		StatelessResetKey:     (*quic.StatelessResetKey)(&resetKey),
		TokenGeneratorKey:     (*quic.TokenGeneratorKey)(&tokenKey),
		ConnContext:           a.openFlow,
		VerifySourceAddress:   a.needsValidation,
	}, nil
}

// quicConfig returns the configuration of the QUIC listener. It leaves 0-RTT
// disabled: early data can be replayed, and if two agents answered the same
// Initial, a request in early data could run twice.
func (a *Agent) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:    a.options.handshakeTimeout,
		MaxIdleTimeout:          a.options.idleTimeout,
		InitialPacketSize:       _packetSize,
		DisablePathMTUDiscovery: true,
	}
}

// Addr returns the address on which the agent receives wrapped packets.
func (a *Agent) Addr() netip.AddrPort { return a.addr }

// Serve changes the state from Starting to Serving, in which the agent admits new
// flows. It has no effect in another state.
func (a *Agent) Serve() {
	a.state.CompareAndSwap(uint32(service.Starting), uint32(service.Serving))
}

// State returns the agent's state. It admits new flows only while Serving.
func (a *Agent) State() service.State { return service.State(a.state.Load()) }

// Flows returns the number of open flows.
func (a *Agent) Flows() int { return int(a.flows.Load()) }

// Counts returns the counters.
func (a *Agent) Counts() Counts { return a.counters.snapshot() }

// SetKeys replaces the keys that open connection IDs and authenticate wrapped
// packets. The agent issues connection IDs under the key that was current at its
// start, so keys must contain that key as long as the agent runs.
func (a *Agent) SetKeys(keys *packet.Keys) { a.keys.Store(keys) }

// Drain stops admitting new flows, sends GOAWAY on all connections so that
// callers make no further requests, and waits until all flows have ended. If ctx
// ends first, it returns the context's error. It aborts neither flows nor
// requests.
func (a *Agent) Drain(ctx context.Context) error {
	a.drainOnce.Do(a.startDraining)
	for a.Flows() > 0 || a.admissions.unclaimed() > 0 {
		select {
		case <-a.flowEnded:
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
	close(a.drainStarted)
}

// Close closes all flows, waits until the agent's goroutines have ended, and
// releases every admitted flow at the gate.
func (a *Agent) Close() error {
	a.state.Store(uint32(service.Draining))
	a.tomb.Kill(nil)
	err := a.tomb.Wait()
	a.openFlows.Wait()
	for range a.admissions.expireAll() {
		a.gate.Release()
	}
	return trace.Wrap(err, "closing an agent")
}

// runServer serves accepted connections until the agent is closed. After the
// drain has shut down server, lateServer serves the remaining connections.
func (a *Agent) runServer() error {
	err := a.server.ServeListener(listener{a.listener})
	if a.tomb.Alive() && errors.Is(err, http.ErrServerClosed) {
		err = a.lateServer.ServeListener(listener{a.listener})
	}
	if a.tomb.Alive() {
		return trace.Wrap(err, "serving HTTP/3")
	}
	return nil
}

// runShutdown sends GOAWAY on all connections when the drain starts. When the
// context of Shutdown ends, the server closes the connections that are still
// open; the context must therefore live as long as the agent.
func (a *Agent) runShutdown() error {
	select {
	case <-a.drainStarted:
	case <-a.tomb.Dying():
		return nil
	}
	if err := a.server.Shutdown(a.tomb.Context(context.Background())); err != nil && a.tomb.Alive() {
		a.options.logger.Warn("graceful shutdown of HTTP/3 failed", zap.Error(err))
	}
	return nil
}

// loop runs the periodic work of the agent, and closes its servers and its socket
// when the agent is closed.
func (a *Agent) loop() error {
	ticker := time.NewTicker(_tickInterval)
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
	a.keeperAnswered(now)
	a.balancers.refresh(now.Sub(a.start))
	for range a.admissions.expire(now) {
		a.counters.unopened.Add(1)
		a.gate.Release()
		a.signalFlowEnded()
	}
}

func (a *Agent) closeTransport() {
	if a.registration != nil {
		if err := a.registration.Unregister(); err != nil {
			a.options.logger.Warn("unregistering the metrics callback failed", zap.Error(err))
		}
	}
	a.server.Close()
	a.lateServer.Close()
	a.listener.Close()
	a.transport.Close()
	a.conn.Close()
}

// age returns the time since the agent's start.
func (a *Agent) age() time.Duration { return a.options.now().Sub(a.start) }

// keeperAnswered reports whether the agent may admit flows as far as pauses are
// concerned: the process was not paused, or a keeper has answered since the pause. It
// also records that the process is running at now, which is why tick calls it.
func (a *Agent) keeperAnswered(now time.Time) bool {
	a.pauseMu.Lock()
	defer a.pauseMu.Unlock()
	return a.pauses.observe(now, a.options.answeredSince)
}
