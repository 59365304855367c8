package agent

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// _pathCapacity bounds each of the two generations of paths without a flow.
const _pathCapacity = 1 << 13

// pathKey is the two ends of a path: a caller and the service address that it uses.
type pathKey struct {
	caller  netip.AddrPort
	address netip.AddrPort
}

// path is how packets reach a caller. It is the caller's net.Addr for QUIC.
type path struct {
	pathKey
	name string
	// relay is the balancer that brought the last packet, and heard is when,
	// since the agent's start.
	relay atomic.Pointer[relay]
	heard atomic.Int64
	// slot is the last slot of time in which the silent path sent a packet, and
	// turn counts these slots since the last packet came.
	slot atomic.Int64
	turn atomic.Uint32
	// flows counts the connections opened on this path; guarded by paths.mu.
	flows int
	// pinned says that the path stays in the table while it has flows.
	pinned atomic.Bool
}

var _ net.Addr = (*path)(nil)

// Network names the network of the caller's address.
func (p *path) Network() string { return "udp" }

// String is the caller's address; QUIC compares it to find out that a caller has moved.
func (p *path) String() string { return p.name }

// opening is the net.Addr of a packet that may open a flow. It carries the
// outcome of the decision about the flow to where QUIC opens the connection.
type opening struct {
	*path
	// admission is the flow's, unless it is unproved.
	admission *admission
	// unproved says that the caller must prove its address first.
	unproved bool
}

// paths remembers how packets of callers came. Paths of open
// flows are kept until these end; the rest, such as those that callers have
// moved to, are bounded in two generations.
type paths struct {
	mu     sync.Mutex
	pinned map[pathKey]*path
	young  map[pathKey]*path
	old    map[pathKey]*path
}

func newPaths() *paths {
	return &paths{pinned: make(map[pathKey]*path), young: make(map[pathKey]*path)}
}

// newPath returns a path that is in no table.
func newPath(key pathKey, from *relay, now time.Duration) *path {
	p := &path{pathKey: key, name: key.caller.String()}
	p.hear(from, now)
	return p
}

// nextTurn returns the turn for a packet at now.
func (p *path) nextTurn(now time.Duration) uint32 {
	slot := int64(now / _relaySlot)
	if p.slot.Swap(slot) == slot {
		return max(p.turn.Load(), 1)
	}
	return p.turn.Add(1)
}

func (p *path) hear(from *relay, now time.Duration) {
	p.relay.Store(from)
	p.heard.Store(int64(now))
	p.turn.Store(0)
}

// note notes that a balancer has brought a packet on the path.
func (s *paths) note(key pathKey, from *relay, now time.Duration) *path {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.find(key)
	if p == nil {
		p = newPath(key, from, now)
		s.keep(p)
		return p
	}
	p.hear(from, now)
	return p
}

// current returns the path in the table with the ends of p, or p. A path that
// QUIC holds without a flow of its own can have left the table and been made anew.
func (s *paths) current(p *path) *path {
	if p.pinned.Load() {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if found := s.find(p.pathKey); found != nil {
		return found
	}
	return p
}

// pin keeps the path of a flow that opens.
func (s *paths) pin(p *path) *path {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found := s.find(p.pathKey); found != nil {
		p = found
	}
	delete(s.young, p.pathKey)
	delete(s.old, p.pathKey)
	s.pinned[p.pathKey] = p
	p.flows++
	p.pinned.Store(true)
	return p
}

// unpin lets the path of a flow that has ended go.
func (s *paths) unpin(p *path) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.flows--
	if p.flows > 0 {
		return
	}
	delete(s.pinned, p.pathKey)
	p.pinned.Store(false)
	// The connection may still send its last packets.
	s.keep(p)
}

func (s *paths) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pinned) + len(s.young) + len(s.old)
}

func (s *paths) find(key pathKey) *path {
	if p := s.pinned[key]; p != nil {
		return p
	}
	if p := s.young[key]; p != nil {
		return p
	}
	p := s.old[key]
	if p != nil {
		delete(s.old, key)
		s.keep(p)
	}
	return p
}

func (s *paths) keep(p *path) {
	if len(s.young) >= _pathCapacity {
		s.old, s.young = s.young, make(map[pathKey]*path)
	}
	s.young[p.pathKey] = p
}
