package sidecar

import (
	"cmp"
	"slices"
	"time"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/placement"
)

// The load that admission answers is a service whose upstreams are all busy for
// a while: a crest of calls, a crash, or callers that come back after an outage.
// An upstream that is given everything works on requests whose callers no longer
// need the answer in time, and turns others away late. So a sidecar gives its
// upstream little more than its slots can hold and keeps the rest. What can still
// be answered in time goes first, in the order of priority and age; then what is
// late, since a late answer is better than none. Who would wait until the answer
// is of no use is refused as soon as that is known and may come back. An upstream that gets room
// asks the fullest peers for what waits there.
const (
	// _timeoutMargin is the part of a route's timeout that is left for an answer at
	// least.
	_timeoutMargin = 0.1
	// _maxWait bounds any wait: callers repeat an opening packet for 1.4 s.
	_maxWait = 1200 * time.Millisecond
	// _defaultInTime is for routes without target, and those not known yet. Without
	// a timeout a flow waits for _maxWait.
	_defaultTargetWait = 100 * time.Millisecond
	// _maxShares bounds how often a flow moves in all, to sidecars that report room.
	_maxTransfers = 8
	// _askedPeers is how many of the fullest peers hear that this one has room.
	_maxNotifiedPeers = 2
)

// room returns how many flows the upstream may have in progress: one for each
// slot, and as many more as are in their handshake meanwhile.
func (c *Core) capacity() int {
	if c.upstream.failures.onTrial {
		return 1
	}
	slots := c.totalSlots()
	return slots + max(1, slots/2)
}

// load returns the upstream's load with what waits for it and goes before a new
// flow. What is late is not counted: it waits for slots that nobody else needs.
func (c *Core) load() int {
	load := c.busy
	for _, f := range c.waiting {
		if c.now < f.targetStart {
			load++
		}
	}
	return load
}

// own returns the own upstream as a candidate.
func (c *Core) ownCandidate() placement.Candidate {
	if c.upstream.failures.onTrial {
		return placement.Candidate{Busy: c.load(), Slots: 1, SameZone: true}
	}
	return placement.Candidate{Busy: c.load(), Slots: c.effectiveSlots(c.now), SameZone: true}
}

// soonEnough reports whether the upstream would get an opening packet soon
// enough. A relay that can try others wants an answer in time; one that has tried
// them takes a late one.
func (c *Core) startsInTime(f *flowState, last bool) bool {
	if c.now+c.expectedWait(c.load()) <= f.targetStart {
		return true
	}
	return last && c.expectedLateStart(c.lateCount()) <= f.latestStart
}

// wait returns how long it takes until the upstream has room behind a load.
func (c *Core) expectedWait(load int) time.Duration {
	excess := load - c.capacity() + 1
	return time.Duration(max(excess, 0)) * c.timings.departureInterval(c.totalSlots())
}

// lateStart returns when the upstream would get a flow that is late and has so
// many other late ones before it. New ones in time go on going before it.
func (c *Core) expectedLateStart(before int) time.Duration {
	return c.now + c.expectedWait(c.load()) + time.Duration(before)*c.timings.lateStartInterval(c.totalSlots())
}

// lateWaiting returns how many of those that wait are late.
func (c *Core) lateCount() int { return c.busy + len(c.waiting) - c.load() }

// limits sets how long an opening packet may wait.
func (c *Core) setWaitLimits(f *flowState) {
	route, _ := c.table.Route(f.key.Address)
	answer := c.timings.answerTime()
	targetWait, maxWait := _defaultTargetWait, _maxWait
	if route.Target > 0 {
		targetWait = max(route.Target-answer, 0)
	}
	if route.Timeout > 0 {
		margin := time.Duration(_timeoutMargin * float64(route.Timeout))
		maxWait = min(max(route.Timeout-max(answer, margin), 0), _maxWait)
	}
	f.priority, f.targetStart, f.latestStart = route.Priority, f.arrived+targetWait, f.arrived+maxWait
}

// enqueue makes an opening packet wait.
func (c *Core) enqueue(f *flowState) {
	f.queued = true
	c.waiting = append(c.waiting, f)
	c.counts.Waited++
}

// nextWaiting returns what the upstream should get next.
func (c *Core) nextWaiting() *flowState {
	best := c.waiting[0]
	for _, f := range c.waiting[1:] {
		if c.precedes(f, best) {
			best = f
		}
	}
	return best
}

// before reports whether a goes before b, which came earlier.
func (c *Core) precedes(a, b *flowState) bool {
	if late := c.now >= b.targetStart; late != (c.now >= a.targetStart) {
		return late
	}
	return a.priority < b.priority
}

// admitWaiting gives the upstream what waits, as far as it has room.
func (c *Core) admitWaiting() {
	for len(c.waiting) > 0 && c.busy < c.capacity() && c.reportedState() == peer.Ready {
		f := c.nextWaiting()
		c.dequeue(f)
		c.deliver(f)
	}
	if c.busy < c.effectiveSlots(c.now) && len(c.waiting) == 0 && !c.stopping {
		c.announceFreeSlots()
	}
}

// give gives an opening packet to the upstream.
func (c *Core) deliver(f *flowState) {
	f.deliveredAt = c.now
	if !f.awaitsRequest {
		f.awaitsRequest = true
		c.awaitingRequest = append(c.awaitingRequest, f)
	}
	c.setInProgress(f, true)
	c.out.ToUpstream(f.packet)
}

// dropWaiting takes a flow out of those that wait.
func (c *Core) dequeue(f *flowState) {
	if f.queued {
		f.queued = false
		c.waiting = slices.DeleteFunc(c.waiting, func(other *flowState) bool { return other == f })
	}
}

// refuseHopeless refuses what would get its slot when an answer is of no use any
// more. That is known long before: those in time go first, and what is late goes in
// the order of priority and age.
func (c *Core) refuseTooLate() {
	var late []*flowState
	for _, f := range c.waiting {
		if c.now >= f.targetStart {
			late = append(late, f)
		}
	}
	slices.SortStableFunc(late, func(a, b *flowState) int { return cmp.Compare(a.priority, b.priority) })
	before := 0
	for _, f := range late {
		if c.now < f.latestStart && c.expectedLateStart(before) <= f.latestStart {
			before++
			continue
		}
		c.dequeue(f)
		c.flows.Delete(f.key)
		c.refuseOverloaded(f)
	}
}

// refuseOverload ends a flow that the upstream would get too late. The relay
// hears that it has ended, so that it does not offer it elsewhere.
func (c *Core) refuseOverloaded(f *flowState) {
	c.counts.Refused++
	c.sendReset(c.now, f.key, 0, _reasonOverloaded)
	c.sendVerdict(c.now, peer.Ended, f.key, f.origin, nil)
}

// moveWaiting hands everything that waits to peers, or back to the relays, since
// the upstream will not take it.
func (c *Core) redirectWaiting(reason string) {
	for _, f := range slices.Clone(c.waiting) {
		c.redirectOpening(c.now, f.key, f, reason)
	}
}

// shareWaiting passes what waits to a peer that has room.
func (c *Core) passWaitingTo(to peer.UpstreamReport) {
	for room := int(to.Slots) - int(to.Busy); room > 0 && len(c.waiting) > 0 && to.State == peer.Ready; room-- {
		f := c.nextWaiting()
		if f.hops >= _maxTransfers {
			return
		}
		c.dequeue(f)
		c.flows.Delete(f.key)
		c.passOn(c.now, f.key, c.offerMessage(f), to.Sidecar, "peer_has_room")
	}
}

// carriedAgain returns the message that offers a flow to another sidecar.
func (c *Core) offerMessage(f *flowState) peer.Carried {
	return peer.Carried{
		Kind: peer.KindOffer, Hops: f.hops, Last: f.last, Waited: c.now - f.arrived, Origin: f.origin, Service: c.id, Version: c.table.Version(), Packet: f.packet,
	}
}

// askForWork tells the fullest peers that the upstream has room.
func (c *Core) announceFreeSlots() {
	c.eligiblePeers = c.eligiblePeers[:0]
	for _, u := range c.view.Service(c.self.Service) {
		if u.Sidecar != c.self.Addr && (u.Late > 0 || u.Busy > u.Slots+max(1, u.Slots/2)) && c.view.Takes(c.now, u) {
			c.eligiblePeers = append(c.eligiblePeers, u)
		}
	}
	for range min(_maxNotifiedPeers, len(c.eligiblePeers)) {
		i := c.random.IntN(len(c.eligiblePeers))
		u := c.eligiblePeers[i]
		c.eligiblePeers = slices.Delete(c.eligiblePeers, i, i+1)
		// It will pass one on.
		if u.Late > 0 {
			u.Late--
		} else {
			u.Busy--
		}
		c.reportTo(u.Sidecar)
	}
}

// noteWaiting logs that a flow waits.
func (c *Core) logWaiting(f *flowState) {
	c.out.Decide(decision.Record{
		Flow: f.key, Action: decision.Waits, Service: c.self.Service, Version: c.table.Version(),
		Busy: uint16(c.busy), Slots: uint16(c.effectiveSlots(c.now)), Age: c.expectedWait(c.load()), Attempt: len(c.waiting), Routine: true,
	})
}
