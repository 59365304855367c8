package agent

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// _pathFresh is how long a path is taken to work since a packet came on it.
	_pathFresh = 100 * time.Millisecond
	// _relayFresh is how long a balancer is taken to live since a packet came from it.
	_relayFresh = 5 * time.Second
	// _relaySlot is how long the packets of a silent path go through one
	// balancer before the next is tried. It is shorter than the time between
	// QUIC's probes and longer than a burst, which should keep its order.
	_relaySlot = 20 * time.Millisecond
	// _relayForget is when a silent balancer is forgotten.
	_relayForget = time.Minute
	// _relayCapacity bounds the balancers that are remembered.
	_relayCapacity = 4096
)

// relay is a balancer as the agent sees it.
type relay struct {
	addr netip.AddrPort
	// heard is when a packet last came from it, since the agent's start.
	heard atomic.Int64
}

// relays are the balancers that replies may go through: those heard lately and
// those that the roster lists.
type relays struct {
	listed func() []netip.AddrPort

	mu     sync.Mutex
	byAddr map[netip.AddrPort]*relay
	// usable is replaced whole by refresh.
	usable atomic.Pointer[[]*relay]
}

func newRelays(listed func() []netip.AddrPort) *relays {
	s := &relays{listed: listed, byAddr: make(map[netip.AddrPort]*relay)}
	s.usable.Store(new([]*relay))
	return s
}

// hear notes a packet from the balancer at addr and returns it.
func (s *relays) hear(addr netip.AddrPort, now time.Duration) *relay {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.byAddr[addr]
	if r == nil {
		r = &relay{addr: addr}
		if len(s.byAddr) < _relayCapacity {
			s.byAddr[addr] = r
		}
	}
	r.heard.Store(int64(now))
	return r
}

// refresh forgets silent balancers and makes the list of usable ones anew.
func (s *relays) refresh(now time.Duration) {
	listed := s.listed()
	s.mu.Lock()
	defer s.mu.Unlock()
	usable := make([]*relay, 0, len(s.byAddr)+len(listed))
	for addr, r := range s.byAddr {
		silence := now - time.Duration(r.heard.Load())
		if silence <= _relayFresh {
			usable = append(usable, r)
		}
		if silence > _relayForget {
			delete(s.byAddr, addr)
		}
	}
	for _, addr := range listed {
		r := s.byAddr[addr]
		if r == nil {
			usable = append(usable, &relay{addr: addr})
		} else if now-time.Duration(r.heard.Load()) > _relayFresh {
			usable = append(usable, r)
		}
	}
	slices.SortFunc(usable, func(x, y *relay) int { return x.addr.Compare(y.addr) })
	s.usable.Store(&usable)
}

// choose returns the balancer for a packet to a caller. While packets come on
// the path it is the one that brought the last. On a silent path that balancer
// may be dead, and QUIC's probes would die with it, so each turn of the path,
// from 1, takes another usable balancer: all others first, then the last one.
func choose(last *relay, usable []*relay, silence time.Duration, turn uint32, start uint16) *relay {
	n := len(usable)
	if silence <= _pathFresh || n == 0 {
		return last
	}
	step := int(turn-1) % n
	at := slices.IndexFunc(usable, func(r *relay) bool { return r.addr == last.addr })
	if at < 0 {
		return usable[(int(start)+step)%n]
	}
	if step == n-1 {
		return last
	}
	return usable[(at+1+(int(start)+step)%(n-1))%n]
}
