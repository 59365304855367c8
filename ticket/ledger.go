package ticket

import (
	"time"

	"github.com/gravitational/trace"
)

// Bounds limits a ledger's memory.
type Bounds struct {
	// Tickets is the maximum number of tickets; 1 or more.
	Tickets int
	// BodyBytes is the maximum total size of the stored bodies, in bytes.
	BodyBytes int
	// Lifetime is how long a ticket and its outcome are stored.
	Lifetime time.Duration
}

// Ledger stores the tickets of one issuer and their outcomes, by keys of type K. A request
// whose ticket is not in the ledger is never run. Therefore a request cannot run twice
// even if its ticket has expired or was lost with the process.
//
// A full ledger issues no tickets: it never deletes one before it expires. A Ledger is not
// safe for concurrent use. Times are those of one monotonic clock.
type Ledger[K comparable] struct {
	bounds Bounds
	byKey  map[K]*record
	// expiryQueue holds the tickets in the order of their expiry.
	expiryQueue []expiryEntry[K]
	bodyBytes   int
}

// record is the stored state of one ticket.
type record struct {
	state state
	// fingerprint identifies the request that claimed the ticket.
	fingerprint uint64
	outcome     Outcome
}

type state uint8

const (
	_issued state = iota + 1
	_running
	_settled
)

// expiryEntry is the time at which a ticket expires.
type expiryEntry[K comparable] struct {
	key K
	at  time.Duration
}

// NewLedger returns an empty ledger.
func NewLedger[K comparable](bounds Bounds) *Ledger[K] {
	return &Ledger[K]{bounds: bounds, byKey: make(map[K]*record)}
}

// Issue stores a new ticket. It returns a LimitExceeded error if the ledger is full, and
// AlreadyExists if it holds a ticket with this key.
func (l *Ledger[K]) Issue(now time.Duration, key K) error {
	l.Sweep(now)
	if _, ok := l.byKey[key]; ok {
		return trace.AlreadyExists("issue ticket: the ledger holds a ticket with this key")
	}
	if len(l.byKey) >= l.bounds.Tickets {
		return trace.LimitExceeded("issue ticket: the ledger is full with %d tickets", len(l.byKey))
	}
	l.byKey[key] = &record{state: _issued}
	l.expiryQueue = append(l.expiryQueue, expiryEntry[K]{key: key, at: now + l.bounds.Lifetime})
	return nil
}

// Begin claims a ticket for the request with the given fingerprint. Only the first claim
// returns Run; the caller must then call Settle once the request has ended.
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

// Void settles a ticket that has not been claimed as NotRun, so that its request never
// runs. It returns Settled, InProgress or Forgotten.
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

// Settle records the outcome of a claimed ticket. It returns the outcome as stored, which
// lacks the body if that would exceed the bounds.
func (l *Ledger[K]) Settle(now time.Duration, key K, outcome Outcome) Outcome {
	r, ok := l.byKey[key]
	if !ok || r.state != _running {
		return outcome
	}
	r.state, r.outcome = _settled, l.limitBody(outcome)
	l.Sweep(now)
	return r.outcome
}

// Sweep deletes the tickets that have expired. The lifetime of a ticket that is claimed
// but not settled is extended by another Bounds.Lifetime.
func (l *Ledger[K]) Sweep(now time.Duration) {
	for len(l.expiryQueue) > 0 && l.expiryQueue[0].at <= now {
		first := l.expiryQueue[0]
		l.expiryQueue = l.expiryQueue[1:]
		if l.byKey[first.key].state == _running {
			l.expiryQueue = append(l.expiryQueue, expiryEntry[K]{key: first.key, at: now + l.bounds.Lifetime})
			continue
		}
		l.forget(first.key)
	}
}

// Len returns the number of stored tickets.
func (l *Ledger[K]) Len() int { return len(l.byKey) }

// BodyBytes returns the total size of the stored bodies, in bytes.
func (l *Ledger[K]) BodyBytes() int { return l.bodyBytes }

func (l *Ledger[K]) forget(key K) {
	if done, ok := l.byKey[key].outcome.(Done); ok {
		l.bodyBytes -= len(done.Body)
	}
	delete(l.byKey, key)
}

// limitBody returns the outcome as it is to be stored: without the body if that is
// incomplete or would exceed the bounds. It accounts for the body's size.
func (l *Ledger[K]) limitBody(outcome Outcome) Outcome {
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

// verdict returns the verdict on a ticket that has been claimed or voided.
func (r *record) verdict() Verdict {
	if r.state == _running {
		return InProgress{}
	}
	return Settled{Outcome: r.outcome}
}
