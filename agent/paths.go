package agent

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// _pathCapacity bounds the entries in each of the two generations of paths without
// an open flow.
const _pathCapacity = 1 << 13

// pathKey identifies a path by its two ends: the caller's address and the service
// address that the caller sends to.
type pathKey struct {
	caller  netip.AddrPort
	address netip.AddrPort
}

// path is the state that the agent needs to send packets to one caller address
// through a balancer. QUIC uses it as the caller's net.Addr.
type path struct {
	pathKey
	// callerText is the caller's address as text.
	callerText string
	// balancer is the balancer that forwarded the caller's last packet, and
	// receivedAt the time of that packet, in nanoseconds since the agent's start.
	balancer   atomic.Pointer[balancerState]
	receivedAt atomic.Int64
	// lastSlot is the last interval of length _balancerSlot in which a packet was
	// sent on the path, and attempts counts these intervals since the caller's last
	// packet. See chooseBalancer.
	lastSlot atomic.Int64
	attempts atomic.Uint32
	// flows counts the open flows that were opened on this path; guarded by paths.mu.
	flows int
	// pinned is set while flows is not zero, so that the path cannot be evicted.
	pinned atomic.Bool
}

var _ net.Addr = (*path)(nil)

// Network returns the network of the caller's address.
func (p *path) Network() string { return "udp" }

// String returns the caller's address. QUIC detects the migration of a connection
// by a change of this text.
func (p *path) String() string { return p.callerText }

// opening is the net.Addr of a packet that may open a flow. It carries the
// decision about the flow through QUIC to the callbacks openFlow and
// needsValidation.
type opening struct {
	*path
	// admission is the admission of the flow. It is nil if needsValidation is set.
	admission *admission
	// needsValidation reports whether QUIC must validate the caller's address first.
	needsValidation bool
}

// paths is the table of paths to callers. Paths of open flows are pinned until
// their flows have ended. The others, such as those to which connections have
// migrated, are kept in two generations of bounded size: when the recent one is
// full, it replaces the previous one, whose entries are dropped.
type paths struct {
	mu       sync.Mutex
	pinned   map[pathKey]*path
	recent   map[pathKey]*path
	previous map[pathKey]*path
}

func newPaths() *paths {
	return &paths{pinned: make(map[pathKey]*path), recent: make(map[pathKey]*path)}
}

// newPath returns a path without adding it to a table. The caller's last packet
// arrived through the balancer via at now.
func newPath(key pathKey, via *balancerState, now time.Duration) *path {
	p := &path{pathKey: key, callerText: key.caller.String()}
	p.recordPacket(via, now)
	return p
}

// attempt returns the number of the attempt, from 1, to which a packet sent at now
// belongs. Each interval of length _balancerSlot with a packet is one attempt.
func (p *path) attempt(now time.Duration) uint32 {
	slot := int64(now / _balancerSlot)
	if p.lastSlot.Swap(slot) == slot {
		return max(p.attempts.Load(), 1)
	}
	return p.attempts.Add(1)
}

// recordPacket records a packet of the caller that arrived through via at now.
func (p *path) recordPacket(via *balancerState, now time.Duration) {
	p.balancer.Store(via)
	p.receivedAt.Store(int64(now))
	p.attempts.Store(0)
}

// record records a packet that arrived on a path through the balancer via, and
// returns the path.
func (s *paths) record(key pathKey, via *balancerState, now time.Duration) *path {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.lookupLocked(key)
	if p == nil {
		p = newPath(key, via, now)
		s.insertLocked(p)
		return p
	}
	p.recordPacket(via, now)
	return p
}

// current returns the path in the table with the same ends as p, or p if the table has
// no such path. The two can differ if no flow was opened on p: QUIC may still hold p
// after the table has evicted it and has then created another path with the same ends.
func (s *paths) current(p *path) *path {
	if p.pinned.Load() {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if found := s.lookupLocked(p.pathKey); found != nil {
		return found
	}
	return p
}

// pin prevents the eviction of the path of a new flow, and returns the path in the
// table, which replaces p.
func (s *paths) pin(p *path) *path {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found := s.lookupLocked(p.pathKey); found != nil {
		p = found
	}
	delete(s.recent, p.pathKey)
	delete(s.previous, p.pathKey)
	s.pinned[p.pathKey] = p
	p.flows++
	p.pinned.Store(true)
	return p
}

// unpin undoes one pin, for a flow that has ended. Without further flows the path
// may be evicted.
func (s *paths) unpin(p *path) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.flows--
	if p.flows > 0 {
		return
	}
	delete(s.pinned, p.pathKey)
	p.pinned.Store(false)
	// The path stays in the table for now: QUIC may still send packets of the closed
	// connection.
	s.insertLocked(p)
}

func (s *paths) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pinned) + len(s.recent) + len(s.previous)
}

// lookupLocked returns the path with the given ends, or nil. It moves a path of
// the previous generation to the recent one. s.mu must be held.
func (s *paths) lookupLocked(key pathKey) *path {
	if p := s.pinned[key]; p != nil {
		return p
	}
	if p := s.recent[key]; p != nil {
		return p
	}
	p := s.previous[key]
	if p != nil {
		delete(s.previous, key)
		s.insertLocked(p)
	}
	return p
}

// insertLocked adds a path to the recent generation. s.mu must be held.
func (s *paths) insertLocked(p *path) {
	if len(s.recent) >= _pathCapacity {
		s.previous, s.recent = s.recent, make(map[pathKey]*path)
	}
	s.recent[p.pathKey] = p
}
