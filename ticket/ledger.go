package ticket

import (
	"time"

	"github.com/gravitational/trace"
)

// Bounds bound a ledger's memory.
type Bounds struct {
	// Tickets is the most tickets held; 1 or more.
	Tickets int
	// BodyBytes is the most octets of bodies held for all tickets together.
	BodyBytes int
	// Lifetime is how long a ticket and its outcome are held.
	Lifetime time.Duration
}

// Ledger remembers the tickets of one issuer and what became of them. K names
// a ticket. A ticket that is not in the ledger is never run, so that what the
// ledger forgets, or loses with its process, cannot run twice.
//
// A ledger that is full issues nothing more: it never forgets early. It is not
// safe for concurrent use. Times are monotonic, on one clock.
type Ledger[K comparable] struct {
	bounds Bounds
	byKey  map[K]*record
	// order holds the keys in the order of their expiry.
	order     []expiring[K]
	bodyBytes int
}

// record is what is known of one ticket.
type record struct {
	state       state
	fingerprint uint64
	outcome     Outcome
}

type state uint8

const (
	_issued state = iota + 1
	_running
	_settled
)

// expiring is a ticket's place in the order of expiry.
type expiring[K comparable] struct {
	key K
	at  time.Duration
}

// NewLedger returns an empty ledger.
func NewLedger[K comparable](bounds Bounds) *Ledger[K] {
	return &Ledger[K]{bounds: bounds, byKey: make(map[K]*record)}
}

// Issue enters a new ticket. It returns a LimitExceeded error if the ledger is
// full, and AlreadyExists for a key that it holds.
func (l *Ledger[K]) Issue(now time.Duration, key K) error {
	l.Sweep(now)
	if _, ok := l.byKey[key]; ok {
		return trace.AlreadyExists("issue ticket: the key is in use")
	}
	if len(l.byKey) >= l.bounds.Tickets {
		return trace.LimitExceeded("issue ticket: %d tickets are held", len(l.byKey))
	}
	l.byKey[key] = &record{state: _issued}
	l.order = append(l.order, expiring[K]{key: key, at: now + l.bounds.Lifetime})
	return nil
}

// Begin claims a ticket for a request with the given fingerprint. Only the
// first claim gets Run; it must be followed by Settle.
func (l *Ledger[K]) Begin(now time.Duration, key K, fingerprint uint64) Verdict {
	l.Sweep(now)
	r, ok := l.byKey[key]
	if !ok {
		return Forgotten{}
	}
	if r.state == _issued {
		r.state, r.fingerprint = _running, fingerprint
		return Run{}
	}
	if r.fingerprint != fingerprint && r.fingerprint != 0 {
		return Mismatch{}
	}
	return r.verdict()
}

// Void makes sure that a ticket that has not been claimed never runs, and
// returns Settled, InProgress or Forgotten.
func (l *Ledger[K]) Void(now time.Duration, key K) Verdict {
	l.Sweep(now)
	r, ok := l.byKey[key]
	if !ok {
		return Forgotten{}
	}
	if r.state == _issued {
		r.state, r.outcome = _settled, NotRun{}
	}
	return r.verdict()
}

// Settle records the outcome of a claimed ticket. It returns the outcome as it
// is remembered: a body that finds no place is not kept.
func (l *Ledger[K]) Settle(now time.Duration, key K, outcome Outcome) Outcome {
	r, ok := l.byKey[key]
	if !ok || r.state != _running {
		return outcome
	}
	r.state, r.outcome = _settled, l.bounded(outcome)
	l.Sweep(now)
	return r.outcome
}

// Sweep forgets the tickets that have expired. One that is claimed and not
// settled is held for another lifetime.
func (l *Ledger[K]) Sweep(now time.Duration) {
	for len(l.order) > 0 && l.order[0].at <= now {
		first := l.order[0]
		l.order = l.order[1:]
		if l.byKey[first.key].state == _running {
			l.order = append(l.order, expiring[K]{key: first.key, at: now + l.bounds.Lifetime})
			continue
		}
		l.forget(first.key)
	}
}

// Len returns how many tickets are held.
func (l *Ledger[K]) Len() int { return len(l.byKey) }

// BodyBytes returns how many octets of bodies are held.
func (l *Ledger[K]) BodyBytes() int { return l.bodyBytes }

func (l *Ledger[K]) forget(key K) {
	if done, ok := l.byKey[key].outcome.(Done); ok {
		l.bodyBytes -= len(done.Body)
	}
	delete(l.byKey, key)
}

// bounded returns the outcome without its body if that finds no place.
func (l *Ledger[K]) bounded(outcome Outcome) Outcome {
	done, ok := outcome.(Done)
	if !ok {
		return outcome
	}
	if !done.Kept || l.bodyBytes+len(done.Body) > l.bounds.BodyBytes {
		done.Body, done.Kept = nil, false
	}
	l.bodyBytes += len(done.Body)
	return done
}

// verdict is the verdict on a ticket that has been claimed or voided.
func (r *record) verdict() Verdict {
	if r.state == _running {
		return InProgress{}
	}
	return Settled{Outcome: r.outcome}
}
