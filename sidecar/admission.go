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
	_defaultInTime = 100 * time.Millisecond
	// _maxShares bounds how often a flow moves in all, to sidecars that report room.
	_maxShares = 8
	// _askedPeers is how many of the fullest peers hear that this one has room.
	_askedPeers = 2
)

// room returns how many flows the upstream may have in progress: one for each
// slot, and as many more as are in their handshake meanwhile.
func (c *Core) room() int {
	if c.upstream.failing.trial {
		return 1
	}
	slots := c.allSlots()
	return slots + max(1, slots/2)
}

// load returns the upstream's load with what waits for it and goes before a new
// flow. What is late is not counted: it waits for slots that nobody else needs.
func (c *Core) load() int {
	load := c.busy
	for _, h := range c.waiting {
		if c.now < h.inTime {
			load++
		}
	}
	return load
}

// own returns the own upstream as a candidate.
func (c *Core) own() placement.Candidate {
	if c.upstream.failing.trial {
		return placement.Candidate{Busy: c.load(), Slots: 1, SameZone: true}
	}
	return placement.Candidate{Busy: c.load(), Slots: c.slots(c.now), SameZone: true}
}

// soonEnough reports whether the upstream would get an opening packet soon
// enough. A relay that can try others wants an answer in time; one that has tried
// them takes a late one.
func (c *Core) soonEnough(h *held, last bool) bool {
	if c.now+c.wait(c.load()) <= h.inTime {
		return true
	}
	return last && c.lateStart(c.lateWaiting()) <= h.giveUp
}

// wait returns how long it takes until the upstream has room behind a load.
func (c *Core) wait(load int) time.Duration {
	excess := load - c.room() + 1
	return time.Duration(max(excess, 0)) * c.pace.between(c.allSlots())
}

// lateStart returns when the upstream would get a flow that is late and has so
// many other late ones before it. New ones in time go on going before it.
func (c *Core) lateStart(before int) time.Duration {
	return c.now + c.wait(c.load()) + time.Duration(before)*c.pace.betweenLate(c.allSlots())
}

// lateWaiting returns how many of those that wait are late.
func (c *Core) lateWaiting() int { return c.busy + len(c.waiting) - c.load() }

// limits sets how long an opening packet may wait.
func (c *Core) limits(h *held) {
	route, _ := c.table.Route(h.key.Address)
	answer := c.pace.answer()
	inTime, giveUp := _defaultInTime, _maxWait
	if route.Target > 0 {
		inTime = max(route.Target-answer, 0)
	}
	if route.Timeout > 0 {
		margin := time.Duration(_timeoutMargin * float64(route.Timeout))
		giveUp = min(max(route.Timeout-max(answer, margin), 0), _maxWait)
	}
	h.priority, h.inTime, h.giveUp = route.Priority, h.came+inTime, h.came+giveUp
}

// enqueue makes an opening packet wait.
func (c *Core) enqueue(h *held) {
	h.waits = true
	c.waiting = append(c.waiting, h)
	c.counts.Waited++
}

// nextWaiting returns what the upstream should get next.
func (c *Core) nextWaiting() *held {
	best := c.waiting[0]
	for _, h := range c.waiting[1:] {
		if c.before(h, best) {
			best = h
		}
	}
	return best
}

// before reports whether a goes before b, which came earlier.
func (c *Core) before(a, b *held) bool {
	if late := c.now >= b.inTime; late != (c.now >= a.inTime) {
		return late
	}
	return a.priority < b.priority
}

// admitWaiting gives the upstream what waits, as far as it has room.
func (c *Core) admitWaiting() {
	for len(c.waiting) > 0 && c.busy < c.room() && c.state() == peer.Ready {
		h := c.nextWaiting()
		c.dropWaiting(h)
		c.give(h)
	}
	if c.busy < c.slots(c.now) && len(c.waiting) == 0 && !c.stopping {
		c.askForWork()
	}
}

// give gives an opening packet to the upstream.
func (c *Core) give(h *held) {
	h.given = c.now
	if !h.watched {
		h.watched = true
		c.opening = append(c.opening, h)
	}
	c.setWorking(h, true)
	c.out.ToUpstream(h.packet)
}

// dropWaiting takes a flow out of those that wait.
func (c *Core) dropWaiting(h *held) {
	if h.waits {
		h.waits = false
		c.waiting = slices.DeleteFunc(c.waiting, func(other *held) bool { return other == h })
	}
}

// refuseHopeless refuses what would get its slot when an answer is of no use any
// more. That is known long before: those in time go first, and what is late goes in
// the order of priority and age.
func (c *Core) refuseHopeless() {
	var late []*held
	for _, h := range c.waiting {
		if c.now >= h.inTime {
			late = append(late, h)
		}
	}
	slices.SortStableFunc(late, func(a, b *held) int { return cmp.Compare(a.priority, b.priority) })
	before := 0
	for _, h := range late {
		if c.now < h.giveUp && c.lateStart(before) <= h.giveUp {
			before++
			continue
		}
		c.dropWaiting(h)
		c.flows.Delete(h.key)
		c.refuseOverload(h)
	}
}

// refuseOverload ends a flow that the upstream would get too late. The relay
// hears that it has ended, so that it does not offer it elsewhere.
func (c *Core) refuseOverload(h *held) {
	c.counts.Refused++
	c.reset(c.now, h.key, 0, _overloaded)
	c.verdict(c.now, peer.Ended, h.key, h.origin, nil)
}

// moveWaiting hands everything that waits to peers, or back to the relays, since
// the upstream will not take it.
func (c *Core) moveWaiting(reason string) {
	for _, h := range slices.Clone(c.waiting) {
		c.giveBack(c.now, h.key, h, reason)
	}
}

// shareWaiting passes what waits to a peer that has room.
func (c *Core) shareWaiting(to peer.UpstreamReport) {
	for room := int(to.Slots) - int(to.Busy); room > 0 && len(c.waiting) > 0 && to.State == peer.Ready; room-- {
		h := c.nextWaiting()
		if h.hops >= _maxShares {
			return
		}
		c.dropWaiting(h)
		c.flows.Delete(h.key)
		c.passOn(c.now, h.key, c.carriedAgain(h), to.Sidecar, "peer_has_room")
	}
}

// carriedAgain returns the message that offers a flow to another sidecar.
func (c *Core) carriedAgain(h *held) peer.Carried {
	return peer.Carried{
		Kind: peer.KindOffer, Hops: h.hops, Last: h.last, Waited: c.now - h.came, Origin: h.origin, Service: c.id, Version: c.table.Version(), Packet: h.packet,
	}
}

// askForWork tells the fullest peers that the upstream has room.
func (c *Core) askForWork() {
	c.eligible = c.eligible[:0]
	for _, u := range c.view.Service(c.self.Service) {
		if u.Sidecar != c.self.Addr && (u.Late > 0 || u.Busy > u.Slots+max(1, u.Slots/2)) && c.view.Takes(c.now, u) {
			c.eligible = append(c.eligible, u)
		}
	}
	for range min(_askedPeers, len(c.eligible)) {
		i := c.random.IntN(len(c.eligible))
		u := c.eligible[i]
		c.eligible = slices.Delete(c.eligible, i, i+1)
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
func (c *Core) noteWaiting(h *held) {
	c.out.Decide(decision.Record{
		Flow: h.key, Action: decision.Waits, Service: c.self.Service, Version: c.table.Version(),
		Busy: uint16(c.busy), Slots: uint16(c.slots(c.now)), Age: c.wait(c.load()), Attempt: len(c.waiting), Routine: true,
	})
}
