package relay

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/fleet"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/placement"
)

// A sidecar reports from which priority on its upstream has no capacity for new flows. With
// WithPriorityAdmission, a relay does not offer a flow of a service whose routes differ in
// priority to an upstream without capacity for its priority. If no eligible upstream has
// capacity, it resets the flow at once: every offer would be refused, and the caller may try
// again while an answer is still of use.

// _openingsPerProbe is the mean number of openings to one that is offered although every
// upstream reports that it has no capacity, so that a wrong report is noticed. Which one is
// drawn at random: a fixed count could coincide with a pattern in the arrivals and leave
// out a route.
const _openingsPerProbe = 20

// _maxBusyAhead is the load per slot that is assumed to precede an important opening while
// upstreams have no capacity for less important ones: what an opening can't overtake, which is
// the work in the slots and in the queue of the upstream itself (on the known deployments 8
// requests for 2 slots). The rest waits at the sidecar behind the opening. Without the limit,
// all relays would send their important openings to the upstream that last reported the
// lowest load.
const _maxBusyAhead = 5

// _freshDivisor is the ratio of a route's target latency to the time in which a flow counts as
// new. It covers the answers to several offers and a retry.
const _freshDivisor = 8

const (
	// _reasonNoRoom is the reason for a reset because no upstream has capacity for the
	// flow's priority.
	_reasonNoRoom = "no_room"
	// _reasonProbe is the reason for an offer that probes reports of no capacity.
	_reasonProbe = "no_room_probe"
)

// roomDecision is what happens to an opening in view of the reported capacity.
type roomDecision uint8

const (
	// roomOffer means that the opening is offered.
	roomOffer roomDecision = iota
	// roomProbe means that the opening is offered although no upstream has capacity.
	roomProbe
	// roomRefuse means that the flow is reset without an offer.
	roomRefuse
)

// room summarizes what the eligible upstreams of a service have reported about their
// capacity for one priority.
type room struct {
	// eligible is the number of eligible upstreams. without is the number of those that have
	// no capacity, and partial that of those that have none for less important openings only.
	eligible, without, partial int
	// reported is the number of upstreams that have reported no capacity within a second.
	reported int
	// busy and slots are sums over the eligible upstreams, and oldest is the age of the
	// oldest report of no capacity.
	busy, slots int
	oldest      time.Duration
}

// add adds an eligible upstream to the summary and reports whether it has capacity.
func (r *room) add(now time.Duration, u *fleet.Upstream, priority int) bool {
	r.eligible++
	r.busy += u.Busy
	r.slots += u.Slots
	if u.ReportedNoRoom(now, priority) {
		r.reported++
	}
	if !u.LacksRoom(now, priority) {
		if u.HasPartialRoom(now, priority) {
			r.partial++
		}
		return true
	}
	r.without++
	r.oldest = max(r.oldest, now-u.NoRoomUpdatedAt)
	return false
}

// mostlyWithout reports whether at least half of the eligible upstreams have reported no
// capacity.
func (r room) mostlyWithout() bool { return r.reported > 0 && 2*r.reported >= r.eligible }

// none reports whether there are eligible upstreams and none of them has capacity.
func (r room) none() bool { return r.eligible > 0 && r.without == r.eligible }

// decide returns what happens to an opening that was not offered yet. mayReset is set if a
// reset is safe.
func (r room) decide(mayReset bool, random *rand.Rand) roomDecision {
	switch {
	case !mayReset || !r.none():
		return roomOffer
	case random.IntN(_openingsPerProbe) == 0:
		return roomProbe
	default:
		return roomRefuse
	}
}

// decideRoom returns what happens to an opening that was not offered yet.
func (c *Core) decideRoom(now time.Duration, o *offer) roomDecision {
	o.throttle = nil
	if o.prioritized {
		o.throttle = c.throttles.get(o.choice.service, o.priority)
	}
	mayReset := c.mayResetUnoffered(now, o)
	decided := o.room.decide(mayReset, c.random)
	if decided == roomOffer && mayReset && o.throttle.refuses(now, o.room, c.random) {
		c.counts.Throttled++
		decided = roomRefuse
	}
	if decided == roomRefuse && o.throttle != nil {
		o.throttle.noteRefused(now)
	}
	return decided
}

// keepWithRoom removes the upstreams without capacity for the opening from the eligible
// ones, unless that would leave none, sets o.room, and limits the loads of the candidates.
func (c *Core) keepWithRoom(now time.Duration, o *offer) {
	o.room = room{}
	if !o.prioritized {
		return
	}
	kept := 0
	for i, u := range c.eligible {
		if o.room.add(now, u, o.priority) {
			c.eligible[kept], c.eligible[i] = u, c.eligible[kept]
			c.candidates[kept], c.candidates[i] = c.candidates[i], c.candidates[kept]
			kept++
		}
	}
	if kept > 0 {
		c.eligible, c.candidates = c.eligible[:kept], c.candidates[:kept]
	}
	if o.room.partial > 0 {
		limitLoads(c.candidates)
	}
}

// limitLoads limits the loads of candidates to what may precede an important opening.
func limitLoads(candidates []placement.Candidate) {
	for i := range candidates {
		c := &candidates[i]
		c.Busy = min(c.Busy, _maxBusyAhead*c.Slots)
	}
}

// countOverloaded takes the verdict Overloaded of a sidecar into account for other openings.
func (c *Core) countOverloaded(now time.Duration, sidecar netip.Addr, o *offer) {
	if !o.overloaded && o.throttle != nil {
		o.throttle.noteRefused(now)
	}
	o.overloaded = true
	if o.showsNoRoom(now) {
		c.view.Overloaded(now, sidecar, o.priority)
	}
}

// showsNoRoom reports whether the verdict Overloaded for the opening shows that the upstream has
// no capacity for other flows of its priority either. A flow that has waited for long may be
// refused where a new one would be accepted.
func (o *offer) showsNoRoom(now time.Duration) bool {
	return o.prioritized && !o.lastResort && now-o.arrival.first <= o.freshFor
}

// setPriority sets what the decisions by priority need to know of an opening.
func (c *Core) setPriority(key flow.Key, o *offer) {
	route, _ := c.table.Route(key.Address)
	o.freshFor = route.TargetLatency / _freshDivisor
	o.priority, o.prioritized = route.Priority, c.priorityAdmission && c.table.Prioritized(o.choice.service)
}

// isFirstCopy reports whether no copy of an opening packet can have reached an upstream: the
// caller has sent it for the first time, this relay has not offered it, and it has not waited
// in the socket for so long that the caller may have repeated it through another relay. f is
// what is known of a flow with the same key, or nil.
func (c *Core) isFirstCopy(now time.Duration, key flow.Key, f *flowState, p flow.Packet) bool {
	if _, offered := c.offers[key]; offered || p.Age > 0 || p.Ack > 0 || c.stalled(now) {
		return false
	}
	// A caller may use its port again for another flow. A state without firstOffered belongs to
	// a flow that was opened through another relay, possibly with this packet.
	return f == nil || f.firstOffered > 0 && f.openingSeq != p.Seq && now-f.firstOffered >= _callerOpenTimeout
}

// mayResetUnoffered reports whether a flow can be reset for lack of capacity without a further
// offer: no copy of its opening packet can have been delivered. During the startup period this relay may not know all upstreams.
func (c *Core) mayResetUnoffered(now time.Duration, o *offer) bool {
	return o.firstCopy && len(o.unanswered) == 0 && now >= _startupPeriod
}

// refuseNoRoom resets a flow for whose priority no upstream has capacity. The other relays of
// the zone are not told: the caller's next try gets the same answer at each of them.
func (c *Core) refuseNoRoom(now time.Duration, key flow.Key, o *offer) {
	c.counts.NoRoom++
	c.out.LogDecision(decision.Record{
		Flow: key, Action: decision.Reset, Reason: _reasonNoRoom, Service: o.choice.service, Version: c.table.Version(),
		Busy: clampUint16(o.room.busy), Slots: clampUint16(o.room.slots), Age: o.room.oldest,
	})
	c.resetUnoffered(now, key, o)
}

// resetUnoffered sends the reset for a flow that was offered to no upstream, and remembers its
// caller, who may return.
func (c *Core) resetUnoffered(now time.Duration, key flow.Key, o *offer) {
	c.writeReset(key, 0)
	c.flows.Delete(key)
	c.returning.add(now, key.Caller.Addr(), o.arrival)
}

// endsWithoutRoom reports whether an offer that was refused ends at once: all other eligible
// upstreams have refused it too or have no capacity for its priority, and at least one is
// known to have none.
func (c *Core) endsWithoutRoom(now time.Duration, o *offer) bool {
	if !o.prioritized || !c.mayResetUnoffered(now, o) {
		return false
	}
	if o.throttle.limits(now, o.room) {
		return true
	}
	var r room
	for _, u := range c.view.Service(o.choice.service) {
		if !c.view.Eligible(now, u) || c.evacuations.Contains(u.Zone) {
			continue
		}
		if r.add(now, u, o.priority) && !slices.Contains(o.tried, u.Sidecar) {
			return false
		}
	}
	return r.without > 0
}

func clampUint16(n int) uint16 { return uint16(min(n, 1<<16-1)) }
