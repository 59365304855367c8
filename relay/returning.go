package relay

import (
	"net/netip"
	"time"
)

// A caller whose flow was refused because it could not be answered in time retries at
// once, on another flow, which looks like a new call. If retries were treated as new
// flows, they would delay callers that can still be answered in time, and after an outage
// no caller would be answered in time. So a relay remembers refused callers for a short
// time, and lets the next flow of such a caller inherit the arrival time of the refused
// one. Several users may share a caller's address. Then a new flow of one user may be
// taken for the retry of another, and the retry for a new flow.
const (
	// _retryWindow is the time after a refusal within which a new flow of the same caller
	// counts as a retry. Callers retry at once, and the window is many times the round
	// trip to a caller. If a caller does not retry, a new flow within the window is
	// wrongly taken for a retry.
	_retryWindow = 100 * time.Millisecond
	// _maxCallerRetries is how often callers retry, as specified by the users.
	_maxCallerRetries = 2
	// _maxReturningCallers bounds the remembered callers, of some 100 bytes each.
	_maxReturningCallers = 4096
)

// returningCallers are the refused callers that are expected to retry, each with its
// refusals that no retry has followed yet, the oldest first.
type returningCallers map[netip.Addr][]refusal

// arrival holds when the opening packet of a caller's first attempt arrived, and how
// often the caller has retried since, each time on another flow.
type arrival struct {
	first   time.Duration
	retries int
}

// refusal records when a caller's flow was refused, and the arrival of that flow.
type refusal struct {
	arrival
	at time.Duration
}

// add records that a caller's flow with the given arrival was refused.
func (r returningCallers) add(now time.Duration, caller netip.Addr, a arrival) {
	if _, known := r[caller]; a.retries >= _maxCallerRetries || !known && len(r) >= _maxReturningCallers {
		return
	}
	r[caller] = append(r[caller], refusal{arrival: a, at: now})
}

// takeArrival returns the arrival of a caller's new flow. If the flow is the retry of a
// refused one, it inherits the arrival time of the refused flow, and the refusal is
// removed.
func (r returningCallers) takeArrival(now time.Duration, caller netip.Addr) arrival {
	refusals := r[caller]
	for len(refusals) > 0 {
		oldest := refusals[0]
		refusals = refusals[1:]
		r.set(caller, refusals)
		if now-oldest.at <= _retryWindow {
			return arrival{first: oldest.first, retries: oldest.retries + 1}
		}
	}
	return arrival{first: now}
}

// expire removes refusals whose caller has not retried within _retryWindow.
func (r returningCallers) expire(now time.Duration) {
	for caller, refusals := range r {
		for len(refusals) > 0 && now-refusals[0].at > _retryWindow {
			refusals = refusals[1:]
		}
		r.set(caller, refusals)
	}
}

// set replaces the refusals of a caller, and removes the caller if there are none.
func (r returningCallers) set(caller netip.Addr, refusals []refusal) {
	if len(refusals) == 0 {
		delete(r, caller)
		return
	}
	r[caller] = refusals
}
