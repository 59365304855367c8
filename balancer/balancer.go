// Package balancer implements the process on an entry VM. It receives callers'
// datagrams, wraps each and forwards it to an agent, and unwraps the agents'
// replies and sends them to the callers.
//
// A balancer keeps no state of flows. Package route decides how to handle each datagram,
// on the basis of an immutable routing table that SetTable replaces as a whole. A
// balancer has one or more sockets for callers and one socket for agents:
//
//	caller -> callerSocket.loop: decide, wrap -> agentSocket -> agent
//	agent -> agentSocket.loop: verify, unwrap -> callerSocket -> caller
package balancer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/route"
)

// Listener describes a UDP socket on which callers' datagrams arrive.
type Listener struct {
	// Bind is the local address of the socket. With an unspecified IP (0.0.0.0) it
	// is a wildcard socket, which serves all service addresses with its port.
	Bind netip.AddrPort
	// Address is the service address that is assumed as the destination of all
	// datagrams on this socket, for networks that rewrite destinations. If it is
	// zero, the destination is the address of the socket, or on a wildcard socket
	// the destination address of the datagram.
	Address netip.AddrPort
}

// Config holds the parameters of a balancer.
type Config struct {
	// Addr is the address on which agents reach this balancer. Port 0 selects a free
	// port.
	Addr netip.AddrPort
	// Keys are the keys that all balancers and agents share.
	Keys *packet.Keys
	// Listeners are the sockets for callers to open at the start.
	Listeners []Listener
	// Wildcard makes SetTable open a wildcard socket for the port of each service
	// address in the table that no open socket serves.
	Wildcard bool
}

// Balancer forwards datagrams between callers and agents until it is closed.
type Balancer struct {
	wildcard     bool
	options      options
	agentSocket  *agentSocket
	keys         atomic.Pointer[packet.Keys]
	table        atomic.Pointer[route.Table]
	counters     counters
	registration metric.Registration
	resetLimiter *rate.Limiter
	tomb         tomb.Tomb
	closeOnce    sync.Once
	// sourceMessages caches the control messages that set the source address of
	// replies. It has at most one for each service address that was ever in a table.
	sourceMessages sync.Map // from netip.Addr to []byte

	// callerSockets is replaced as a whole while mu is held, so that the packet path
	// reads it without a lock.
	mu            sync.Mutex
	callerSockets atomic.Pointer[callerSockets]
	// failedPorts holds the ports whose wildcard socket could not be opened; guarded
	// by mu.
	failedPorts map[uint16]struct{}
}

// New opens the sockets and starts forwarding. The balancer drops all datagrams
// until SetTable gives it a routing table.
func New(cfg Config, opts ...Option) (*Balancer, error) {
	if cfg.Keys == nil {
		return nil, trace.BadParameter("starting a balancer: no keys")
	}
	b := &Balancer{wildcard: cfg.Wildcard, options: newOptions(opts), failedPorts: make(map[uint16]struct{})}
	b.resetLimiter = rate.NewLimiter(rate.Limit(b.options.resetRate), b.options.resetRate)
	b.keys.Store(cfg.Keys)
	empty, err := route.New(nil)
	if err != nil {
		return nil, trace.Wrap(err, "starting a balancer")
	}
	b.table.Store(empty)
	b.callerSockets.Store(&callerSockets{})
	if err := b.open(cfg); err != nil {
		b.closeSockets()
		return nil, trace.Wrap(err, "starting a balancer")
	}
	b.tomb.Go(b.loop)
	b.tomb.Go(b.agentSocket.loop)
	for _, s := range b.callerSockets.Load().list {
		b.tomb.Go(s.loop)
	}
	return b, nil
}

func (b *Balancer) open(cfg Config) error {
	var err error
	if b.registration, err = b.counters.register(b.options.meter); err != nil {
		return err
	}
	if b.agentSocket, err = openAgentSocket(b, cfg.Addr); err != nil {
		return err
	}
	for _, l := range cfg.Listeners {
		s, err := openCallerSocket(b, l)
		if err != nil {
			return err
		}
		b.callerSockets.Store(b.callerSockets.Load().with(s))
	}
	return nil
}

// Addr returns the address on which agents reach this balancer.
func (b *Balancer) Addr() netip.AddrPort { return b.agentSocket.addr }

// Listeners returns the local addresses of the sockets for callers: first those of
// Config.Listeners in the same order, then those of the sockets that SetTable opened.
func (b *Balancer) Listeners() []netip.AddrPort {
	var out []netip.AddrPort
	for _, s := range b.callerSockets.Load().list {
		out = append(out, s.addr)
	}
	return out
}

// SetTable replaces the routing table and, with Config.Wildcard, opens the wildcard
// sockets that it requires. If a socket cannot be opened, the error is logged, the
// table takes effect nevertheless, and the next SetTable tries to open the socket
// again.
func (b *Balancer) SetTable(table *route.Table) {
	b.table.Store(table)
	if !b.wildcard {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, addr := range table.Addresses() {
		if b.callerSockets.Load().find(addr) != nil || !b.tomb.Alive() {
			continue
		}
		b.openWildcard(addr)
	}
}

// openWildcard opens the wildcard socket for a service address. Of consecutive
// failures for one port it logs only the first.
func (b *Balancer) openWildcard(addr netip.AddrPort) {
	err := b.addWildcardSocket(addr.Port())
	if err == nil {
		delete(b.failedPorts, addr.Port())
		return
	}
	if _, known := b.failedPorts[addr.Port()]; !known {
		b.options.logger.Error("opening the socket for a service address failed", zap.Stringer("address", addr), zap.Error(err))
	}
	b.failedPorts[addr.Port()] = struct{}{}
}

func (b *Balancer) addWildcardSocket(port uint16) error {
	s, err := openCallerSocket(b, Listener{Bind: netip.AddrPortFrom(netip.IPv4Unspecified(), port)})
	if err != nil {
		return err
	}
	b.callerSockets.Store(b.callerSockets.Load().with(s))
	b.tomb.Go(s.loop)
	return nil
}

// SetKeys replaces the keys that the balancer shares with agents.
func (b *Balancer) SetKeys(keys *packet.Keys) { b.keys.Store(keys) }

// Counts returns the counters.
func (b *Balancer) Counts() Counts { return b.counters.snapshot() }

// Drain closes the balancer when it has forwarded or answered no datagram for the
// period of WithQuietPeriod, or when ctx ends. Until then the balancer forwards as
// before. The network must already have been reconfigured to send callers' datagrams
// to other balancers.
func (b *Balancer) Drain(ctx context.Context) error {
	ticker := time.NewTicker(b.options.quietPeriod)
	defer ticker.Stop()
	for last := b.counters.received(); ; {
		select {
		case <-ctx.Done():
			return b.Close()
		case <-b.tomb.Dying():
			return b.Close()
		case <-ticker.C:
		}
		now := b.counters.received()
		if now == last {
			return b.Close()
		}
		last = now
	}
}

// Close stops forwarding, closes the sockets and waits until the balancer's
// goroutines have ended.
func (b *Balancer) Close() error {
	b.closeOnce.Do(func() { b.tomb.Kill(nil) })
	return trace.Wrap(b.tomb.Wait(), "closing a balancer")
}

// loop closes the sockets when the balancer is closed, which ends the loops of the
// sockets.
func (b *Balancer) loop() error {
	<-b.tomb.Dying()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closeSockets()
	return nil
}

func (b *Balancer) closeSockets() {
	if b.registration != nil {
		if err := b.registration.Unregister(); err != nil {
			b.options.logger.Warn("unregistering the metrics callback failed", zap.Error(err))
		}
	}
	if b.agentSocket != nil {
		b.agentSocket.conn.Close()
	}
	for _, s := range b.callerSockets.Load().list {
		s.conn.Close()
	}
}
