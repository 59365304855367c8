package agent

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// _pathTimeout is how long a path is considered to work after a packet arrived on it.
	_pathTimeout = 100 * time.Millisecond
	// _balancerTimeout is how long a balancer is considered alive after a packet
	// arrived from it.
	_balancerTimeout = 5 * time.Second
	// _balancerSlot is how long the packets of an idle path go through one balancer
	// before the next one is tried. It is shorter than the interval of QUIC's probes,
	// so that each probe uses another balancer, and longer than a burst of packets,
	// which must not be reordered.
	_balancerSlot = 20 * time.Millisecond
	// _balancerRetention is how long a balancer is recorded after its last packet.
	_balancerRetention = time.Minute
	// _balancerCapacity bounds the number of recorded balancers.
	_balancerCapacity = 4096
)

// balancerState is the agent's record of one balancer.
type balancerState struct {
	addr netip.AddrPort
	// receivedAt is the time of the last packet from the balancer, in nanoseconds
	// since the agent's start.
	receivedAt atomic.Int64
}

// balancerSet holds the balancers through which replies may be sent: those that
// forwarded a packet recently, and those on the list from WithBalancers.
type balancerSet struct {
	// listed returns the list from WithBalancers.
	listed func() []netip.AddrPort

	mu     sync.Mutex
	byAddr map[netip.AddrPort]*balancerState
	// usable is sorted by address. refresh replaces the whole slice and never
	// modifies it, so readers need no lock.
	usable atomic.Pointer[[]*balancerState]
}

func newBalancerSet(listed func() []netip.AddrPort) *balancerSet {
	s := &balancerSet{listed: listed, byAddr: make(map[netip.AddrPort]*balancerState)}
	s.usable.Store(new([]*balancerState))
	return s
}

// record records a packet that arrived from the balancer at addr, and returns the
// balancer. A balancer beyond _balancerCapacity is returned without being recorded.
func (s *balancerSet) record(addr netip.AddrPort, now time.Duration) *balancerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.byAddr[addr]
	if b == nil {
		b = &balancerState{addr: addr}
		if len(s.byAddr) < _balancerCapacity {
			s.byAddr[addr] = b
		}
	}
	b.receivedAt.Store(int64(now))
	return b
}

// refresh drops balancers without a packet for _balancerRetention and rebuilds the
// list of usable ones.
func (s *balancerSet) refresh(now time.Duration) {
	listed := s.listed()
	s.mu.Lock()
	defer s.mu.Unlock()
	usable := make([]*balancerState, 0, len(s.byAddr)+len(listed))
	for addr, b := range s.byAddr {
		idle := now - time.Duration(b.receivedAt.Load())
		if idle <= _balancerTimeout {
			usable = append(usable, b)
		}
		if idle > _balancerRetention {
			delete(s.byAddr, addr)
		}
	}
	for _, addr := range listed {
		b := s.byAddr[addr]
		if b == nil {
			usable = append(usable, &balancerState{addr: addr})
		} else if now-time.Duration(b.receivedAt.Load()) > _balancerTimeout {
			usable = append(usable, b)
		}
	}
	slices.SortFunc(usable, func(x, y *balancerState) int { return x.addr.Compare(y.addr) })
	s.usable.Store(&usable)
}

// chooseBalancer returns the balancer for a packet to a caller. The argument last is
// the balancer that forwarded the caller's latest packet. While packets arrive on the
// path, that balancer is used. After an idle time of more than _pathTimeout it may
// be dead, and all probes that QUIC sends through it would be lost. So each attempt,
// counted from 1, uses another usable balancer: first all others, starting at a
// position that depends on offset, and finally the one that forwarded the latest
// packet.
func chooseBalancer(last *balancerState, usable []*balancerState, idle time.Duration, attempt uint32, offset uint16) *balancerState {
	n := len(usable)
	if idle <= _pathTimeout || n == 0 {
		return last
	}
	step := int(attempt-1) % n
	at := slices.IndexFunc(usable, func(b *balancerState) bool { return b.addr == last.addr })
	if at < 0 {
		return usable[(int(offset)+step)%n]
	}
	if step == n-1 {
		return last
	}
	return usable[(at+1+(int(offset)+step)%(n-1))%n]
}
