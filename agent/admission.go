package agent

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// _claimTimeout bounds the time from a flow's admission until QUIC opens its
	// connection. QUIC opens none for a packet that is not a valid Initial.
	_claimTimeout = 2 * time.Second
	// _outcomeRetention is the least time that the outcome of a new flow is kept
	// under the connection ID that the caller chose, so that retransmitted
	// Initials are recognized. Outcomes are dropped earlier when a generation reaches
	// _outcomeCapacity.
	_outcomeRetention = 15 * time.Second
	// _outcomeCapacity bounds the entries in each of the two generations of outcomes.
	_outcomeCapacity = 1 << 15
	// _retransmitAfter separates the packets of one Initial flight from a
	// retransmission: an Initial that arrives this long after the first one was
	// passed on or refused means that the caller got no answer.
	_retransmitAfter = 100 * time.Millisecond
	// _maxDCIDLen is the length of the longest destination connection ID that a
	// caller may choose, in octets.
	_maxDCIDLen = 20
)

// The states of an admission. A connection may claim it until it expires.
const (
	_unclaimed = iota
	_claimed
	_expired
)

// admission is one unit of the gate's capacity, reserved for a new flow until
// QUIC opens its connection or _claimTimeout has passed.
type admission struct {
	state      atomic.Uint32
	admittedAt time.Time
}

// claim assigns the admission to a connection. It reports whether it did: an
// admission can be claimed once, and not after it has expired.
func (a *admission) claim() bool { return a.state.CompareAndSwap(_unclaimed, _claimed) }

// expire revokes the admission and reports whether it did: a claimed admission
// does not expire.
func (a *admission) expire() bool { return a.state.CompareAndSwap(_unclaimed, _expired) }

// initialKey identifies a new flow by its caller and the destination connection
// ID that the caller chose, while no agent has issued a connection ID for it.
type initialKey struct {
	caller netip.AddrPort
	length uint8
	dcid   [_maxDCIDLen]byte
}

func newInitialKey(caller netip.AddrPort, dcid []byte) initialKey {
	key := initialKey{caller: caller, length: uint8(len(dcid))}
	copy(key.dcid[:], dcid)
	return key
}

// outcome is the last decision about a new flow: admitted (held), refused, or
// passed to another agent if neither is set.
type outcome struct {
	at      time.Time
	held    bool
	refused bool
	// passedTo is the candidate that got the flow if it was passed on.
	passedTo pass
}

// admissions records the outcomes of recent new flows and the admissions that
// no connection has claimed yet. Outcomes are kept in two generations of bounded
// size: when the recent one is full or as old as _outcomeRetention, it replaces
// the previous one, whose entries are dropped.
type admissions struct {
	mu        sync.Mutex
	recent    map[initialKey]outcome
	previous  map[initialKey]outcome
	rotatedAt time.Time
	pending   []*admission
}

func newAdmissions(now time.Time) *admissions {
	return &admissions{recent: make(map[initialKey]outcome), rotatedAt: now}
}

// lookup returns the recorded outcome of the flow, if there is one.
func (s *admissions) lookup(key initialKey) (outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lookupLocked(key)
}

// record stores that the flow was passed on or refused. An Initial may consist
// of several packets. If one of them arrives within _retransmitAfter of the first
// and has the same outcome, the recorded time stays that of the first.
func (s *admissions) record(key initialKey, o outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(o.at)
	known, ok := s.lookupLocked(key)
	same := ok && known.refused == o.refused && known.passedTo == o.passedTo
	if same && o.at.Sub(known.at) < _retransmitAfter {
		o.at = known.at
	}
	s.recent[key] = o
}

func (s *admissions) lookupLocked(key initialKey) (outcome, bool) {
	if known, ok := s.recent[key]; ok {
		return known, true
	}
	known, ok := s.previous[key]
	return known, ok
}

// add records that the flow was admitted at now and returns its admission.
func (s *admissions) add(key initialKey, now time.Time) *admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	s.recent[key] = outcome{at: now, held: true}
	a := &admission{admittedAt: now}
	s.pending = append(s.pending, a)
	return a
}

// expire revokes the admissions that no connection has claimed within
// _claimTimeout and returns their number.
func (s *admissions) expire(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	due := 0
	for due < len(s.pending) && now.Sub(s.pending[due].admittedAt) >= _claimTimeout {
		due++
	}
	expired := expireUnclaimed(s.pending[:due])
	s.pending = append(s.pending[:0], s.pending[due:]...)
	return expired
}

// unclaimed returns the number of admissions that no connection has claimed and
// that have not expired.
func (s *admissions) unclaimed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, a := range s.pending {
		if a.state.Load() == _unclaimed {
			count++
		}
	}
	return count
}

// expireAll revokes all unclaimed admissions, whatever their age, and returns their number.
func (s *admissions) expireAll() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	expired := expireUnclaimed(s.pending)
	s.pending = nil
	return expired
}

func (s *admissions) rotate(now time.Time) {
	if len(s.recent) < _outcomeCapacity && now.Sub(s.rotatedAt) < _outcomeRetention {
		return
	}
	s.previous, s.recent, s.rotatedAt = s.recent, make(map[initialKey]outcome), now
}

func expireUnclaimed(pending []*admission) int {
	expired := 0
	for _, a := range pending {
		if a.expire() {
			expired++
		}
	}
	return expired
}
