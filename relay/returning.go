package relay

import (
	"net/netip"
	"time"

	"dandelionhitch.example/peer"
)

// A caller whose flow was refused because it could not be answered in time retries at
// once, on another flow, which looks like a new call. If retries were treated as new
// flows, they would delay callers that can still be answered in time, and after an outage
// no caller would be answered in time. So a relay remembers refused callers for a short
// time, and lets the next flow of such a caller inherit the arrival time of the refused
// one. Routers choose a relay for each flow anew, so a relay shares each refusal with the
// other relays of its zone.
//
// Several users may share a caller's address. Then a new flow of one user may be taken
// for the retry of another, and the retry for a new flow. The time for which a refusal is
// remembered therefore follows the round trips to callers that the relay observes.
const (
	// _initialRetryWindow is the time after a refusal within which a new flow of the same
	// caller counts as a retry, until a round trip to a caller was observed.
	// _minRetryWindow and _maxRetryWindow bound this time afterwards. The lower bound
	// covers the scheduling delays of a slow process.
	_initialRetryWindow = 50 * time.Millisecond
	_minRetryWindow     = 20 * time.Millisecond
	_maxRetryWindow     = 150 * time.Millisecond
	// _maxCallerRetries is how often callers retry, as specified by the users.
	_maxCallerRetries = 2
	// _maxReturningCallers bounds the remembered callers, of some 100 bytes each.
	_maxReturningCallers = 4096
)

// returningCallers are the refused callers that are expected to retry.
type returningCallers struct {
	// refusals holds the refusals of each caller that no retry has followed yet, the oldest
	// first.
	refusals map[netip.Addr][]refusal
	// roundTrip estimates the time from an upstream's consent to the caller's next packet.
	roundTrip rttEstimator
}

func newReturningCallers() returningCallers {
	return returningCallers{refusals: make(map[netip.Addr][]refusal)}
}

// window returns the time after a refusal within which a new flow counts as a retry.
func (r *returningCallers) window() time.Duration {
	return r.roundTrip.bounded(_initialRetryWindow, _minRetryWindow, _maxRetryWindow)
}

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
func (r *returningCallers) add(now time.Duration, caller netip.Addr, a arrival) {
	if _, known := r.refusals[caller]; a.retries >= _maxCallerRetries || !known && len(r.refusals) >= _maxReturningCallers {
		return
	}
	r.refusals[caller] = append(r.refusals[caller], refusal{arrival: a, at: now})
}

// takeArrival returns the arrival of a caller's new flow. If the flow is the retry of a
// refused one, it inherits the arrival time of the refused flow, and the refusal is
// removed.
func (r *returningCallers) takeArrival(now time.Duration, caller netip.Addr) arrival {
	refusals := r.refusals[caller]
	for len(refusals) > 0 {
		oldest := refusals[0]
		refusals = refusals[1:]
		r.set(caller, refusals)
		if now-oldest.at <= r.window() {
			return arrival{first: oldest.first, retries: oldest.retries + 1}
		}
	}
	return arrival{first: now}
}

// expire removes refusals whose caller has not retried within the window.
func (r *returningCallers) expire(now time.Duration) {
	window := r.window()
	for caller, refusals := range r.refusals {
		for len(refusals) > 0 && now-refusals[0].at > window {
			refusals = refusals[1:]
		}
		r.set(caller, refusals)
	}
}

// set replaces the refusals of a caller, and removes the caller if there are none.
func (r *returningCallers) set(caller netip.Addr, refusals []refusal) {
	if len(refusals) == 0 {
		delete(r.refusals, caller)
		return
	}
	r.refusals[caller] = refusals
}

// noteRefused records that a caller's flow was refused, and tells the other relays of
// this relay's zone, since routers choose the relay of each flow anew.
func (c *Core) noteRefused(now time.Duration, caller netip.Addr, a arrival) {
	if a.retries >= _maxCallerRetries {
		return
	}
	c.returning.add(now, caller, a)
	for _, r := range c.view.Relays() {
		if r.Zone == c.self.Zone && r.LastReportAt > 0 && !r.Leaving {
			c.buffer = peer.Refusal{Caller: caller, Waited: now - a.first, Retries: uint8(a.retries)}.Append(c.buffer[:0])
			c.out.ToPeer(r.Addr, c.buffer)
		}
	}
}
