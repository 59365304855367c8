// Package balancer is the process on an entry VM: it takes callers' datagrams,
// wraps each for the agent that should have it, and unwraps the agents' replies.
//
// A balancer keeps no flow state. What it knows is one immutable route.Table,
// replaced whole; every decision about a datagram is made by package route. A
// front is a socket towards callers, the back is the socket towards agents:
//
//	caller -> front.loop: decide, wrap -> back socket -> agent
//	agent -> back.loop: verify, unwrap -> front socket -> caller
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

// Balancer forwards datagrams until it is closed.
type Balancer struct {
	wildcard     bool
	options      options
	back         *back
	keys         atomic.Pointer[packet.Keys]
	table        atomic.Pointer[route.Table]
	counters     counters
	registration metric.Registration
	resets       *rate.Limiter
	tomb         tomb.Tomb
	closing      sync.Once
	// sources are the control messages for the service addresses that replies
	// left from: at most one for each address that was ever in a table.
	sources sync.Map // from netip.Addr to []byte

	// fronts is replaced whole under mu, so that the packet path reads it without a lock.
	mu     sync.Mutex
	fronts atomic.Pointer[fronts]
	// unopened are the ports whose socket could not be opened; guarded by mu.
	unopened map[uint16]struct{}
}

// New opens the sockets and starts forwarding. Without a table all datagrams are dropped.
func New(cfg Config, opts ...Option) (*Balancer, error) {
	if cfg.Keys == nil {
		return nil, trace.BadParameter("starting a balancer: no keys")
	}
	b := &Balancer{wildcard: cfg.Wildcard, options: newOptions(opts), unopened: make(map[uint16]struct{})}
	b.resets = rate.NewLimiter(rate.Limit(b.options.resets), b.options.resets)
	b.keys.Store(cfg.Keys)
	empty, err := route.New(nil)
	if err != nil {
		return nil, trace.Wrap(err, "starting a balancer")
	}
	b.table.Store(empty)
	b.fronts.Store(&fronts{})
	if err := b.open(cfg); err != nil {
		b.closeSockets()
		return nil, trace.Wrap(err, "starting a balancer")
	}
	b.tomb.Go(b.loop)
	b.tomb.Go(b.back.loop)
	for _, f := range b.fronts.Load().list {
		b.tomb.Go(f.loop)
	}
	return b, nil
}

func (b *Balancer) open(cfg Config) error {
	var err error
	if b.registration, err = b.counters.register(b.options.meter); err != nil {
		return err
	}
	if b.back, err = openBack(b, cfg.Addr); err != nil {
		return err
	}
	for _, l := range cfg.Listeners {
		f, err := openFront(b, l)
		if err != nil {
			return err
		}
		b.fronts.Store(b.fronts.Load().with(f))
	}
	return nil
}

// Addr is where agents reach this balancer.
func (b *Balancer) Addr() netip.AddrPort { return b.back.addr }

// Listeners are the local addresses of the sockets towards callers: first those
// of Config.Listeners in their order, then the wildcard sockets.
func (b *Balancer) Listeners() []netip.AddrPort {
	var out []netip.AddrPort
	for _, f := range b.fronts.Load().list {
		out = append(out, f.addr)
	}
	return out
}

// SetTable replaces the routing table and opens the wildcard sockets that it
// needs. A socket that cannot be opened is logged and tried again with the next
// table; the rest of the table is in force.
func (b *Balancer) SetTable(table *route.Table) {
	b.table.Store(table)
	if !b.wildcard {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, addr := range table.Addresses() {
		if b.fronts.Load().find(addr) != nil || !b.tomb.Alive() {
			continue
		}
		b.tryWildcard(addr)
	}
}

// tryWildcard opens the socket for a service address. Of failures that follow
// each other only the first is logged.
func (b *Balancer) tryWildcard(addr netip.AddrPort) {
	err := b.addWildcard(addr.Port())
	if err == nil {
		delete(b.unopened, addr.Port())
		return
	}
	if _, known := b.unopened[addr.Port()]; !known {
		b.options.logger.Error("service address not served", zap.Stringer("address", addr), zap.Error(err))
	}
	b.unopened[addr.Port()] = struct{}{}
}

func (b *Balancer) addWildcard(port uint16) error {
	f, err := openFront(b, Listener{Bind: netip.AddrPortFrom(netip.IPv4Unspecified(), port)})
	if err != nil {
		return err
	}
	b.fronts.Store(b.fronts.Load().with(f))
	b.tomb.Go(f.loop)
	return nil
}

// SetKeys replaces the keys.
func (b *Balancer) SetKeys(keys *packet.Keys) { b.keys.Store(keys) }

// Counts returns the counters.
func (b *Balancer) Counts() Counts { return b.counters.snapshot() }

// Drain keeps forwarding until no datagram has come for a while or ctx ends,
// then closes. The fabric must have been told before to send elsewhere.
func (b *Balancer) Drain(ctx context.Context) error {
	ticker := time.NewTicker(b.options.quiet)
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

// Close stops forwarding and waits until all goroutines have ended.
func (b *Balancer) Close() error {
	b.closing.Do(func() { b.tomb.Kill(nil) })
	return trace.Wrap(b.tomb.Wait(), "closing a balancer")
}

// loop closes the sockets when the balancer ends, which ends the other loops.
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
			b.options.logger.Warn("counters stay registered", zap.Error(err))
		}
	}
	if b.back != nil {
		b.back.conn.Close()
	}
	for _, f := range b.fronts.Load().list {
		f.conn.Close()
	}
}
