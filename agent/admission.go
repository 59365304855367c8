package agent

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// _claimTimeout is how long QUIC has to open a connection for an admitted
	// flow. A packet that is no valid Initial never gets one.
	_claimTimeout = 2 * time.Second
	// _holdTime is the least time that a taken flow is remembered by the
	// connection ID that the caller chose, for Initials that are repeated.
	_holdTime = 15 * time.Second
	// _holdCapacity bounds each of the two generations of remembered flows.
	_holdCapacity = 1 << 15
	// _repeatAfter is when an Initial that was passed on and comes again is one
	// that the caller repeats for want of an answer.
	_repeatAfter = 100 * time.Millisecond
	// _maxDCID is the longest connection ID that a caller chooses, in octets.
	_maxDCID = 20
)

// The states of an admission.
const (
	_unclaimed = iota
	_claimed
	_expired
)

// admission is one flow that the gate has admitted and that QUIC has yet to open.
type admission struct {
	state    atomic.Uint32
	admitted time.Time
}

// claim takes the admission for a connection. It succeeds once.
func (a *admission) claim() bool { return a.state.CompareAndSwap(_unclaimed, _claimed) }

// expire takes the admission back if no connection has claimed it.
func (a *admission) expire() bool { return a.state.CompareAndSwap(_unclaimed, _expired) }

// initialKey names a new flow before it has a connection ID of ours.
type initialKey struct {
	caller netip.AddrPort
	length uint8
	dcid   [_maxDCID]byte
}

func newInitialKey(caller netip.AddrPort, dcid []byte) initialKey {
	key := initialKey{caller: caller, length: uint8(len(dcid))}
	copy(key.dcid[:], dcid)
	return key
}

// outcome is what became of a new flow lately.
type outcome struct {
	at time.Time
	// held, refused and passed on, as to describes, exclude each other.
	held    bool
	refused bool
	to      pass
}

// admissions remembers the outcomes of new flows. It is bounded: of two
// generations the older is dropped when the younger is full or old enough.
type admissions struct {
	mu      sync.Mutex
	young   map[initialKey]outcome
	old     map[initialKey]outcome
	turned  time.Time
	pending []*admission
}

func newAdmissions(now time.Time) *admissions {
	return &admissions{young: make(map[initialKey]outcome), turned: now}
}

// recall returns what became of the flow lately, if anything.
func (s *admissions) recall(key initialKey) (outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.find(key)
}

// note notes that the flow was passed on or refused. While the parts of one
// Initial come, the time of the first counts.
func (s *admissions) note(key initialKey, what outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(what.at)
	known, ok := s.find(key)
	same := ok && known.refused == what.refused && known.to == what.to
	if same && what.at.Sub(known.at) < _repeatAfter {
		what.at = known.at
	}
	s.young[key] = what
}

func (s *admissions) find(key initialKey) (outcome, bool) {
	if known, ok := s.young[key]; ok {
		return known, true
	}
	known, ok := s.old[key]
	return known, ok
}

// add notes that the flow was taken at now and returns its admission.
func (s *admissions) add(key initialKey, now time.Time) *admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	s.young[key] = outcome{at: now, held: true}
	a := &admission{admitted: now}
	s.pending = append(s.pending, a)
	return a
}

// expire takes back the admissions that no connection has claimed in time, and
// returns how many.
func (s *admissions) expire(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	due := 0
	for due < len(s.pending) && now.Sub(s.pending[due].admitted) >= _claimTimeout {
		due++
	}
	expired := expireAll(s.pending[:due])
	s.pending = append(s.pending[:0], s.pending[due:]...)
	return expired
}

// waiting returns how many admissions a connection may yet claim.
func (s *admissions) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := 0
	for _, a := range s.pending {
		if a.state.Load() == _unclaimed {
			waiting++
		}
	}
	return waiting
}

// expireRest takes back all admissions that no connection has claimed.
func (s *admissions) expireRest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	expired := expireAll(s.pending)
	s.pending = nil
	return expired
}

func (s *admissions) turn(now time.Time) {
	if len(s.young) < _holdCapacity && now.Sub(s.turned) < _holdTime {
		return
	}
	s.old, s.young, s.turned = s.young, make(map[initialKey]outcome), now
}

func expireAll(pending []*admission) int {
	expired := 0
	for _, a := range pending {
		if a.expire() {
			expired++
		}
	}
	return expired
}
