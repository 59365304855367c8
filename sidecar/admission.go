package sidecar

import (
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
// upstream little more than its slots can hold and keeps the rest, in the order
// of priority and age, for as long as an answer in time is still possible. Who
// would wait longer is refused at once and may come back. An upstream that gets
// room asks the fullest peers for what waits there.
const (
	// _waitShare is the part of a route's target that an opening packet may wait.
	_waitShare = 0.6
	// _defaultWait is how long one may wait if the route has no target.
	_defaultWait = 100 * time.Millisecond
	// _runTimeWeight is the weight of a new run time in their average.
	_runTimeWeight = 0.05
	// _firstRunTime is the average before any is known.
	_firstRunTime = 20 * time.Millisecond
	// _askedPeers is how many of the fullest peers hear that this one has room.
	_askedPeers = 2
)

// room returns how many flows the upstream may have in progress: one for each
// slot, and as many more as are in their handshake meanwhile.
func (c *Core) room() int {
	slots := c.slots(c.now)
	return slots + max(1, slots/2)
}

// load returns the upstream's load with what waits for it.
func (c *Core) load() int { return c.busy + len(c.waiting) }

// own returns the own upstream as a candidate.
func (c *Core) own() placement.Candidate {
	return placement.Candidate{Busy: c.load(), Slots: c.slots(c.now), SameZone: true}
}

// expectedWait returns how long an opening packet that comes now would wait.
func (c *Core) expectedWait() time.Duration {
	excess := c.load() - c.room() + 1
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess) * c.averageRunTime() / time.Duration(c.slots(c.now))
}

func (c *Core) averageRunTime() time.Duration {
	if c.runTime == 0 {
		return _firstRunTime
	}
	return c.runTime
}

// ran notes the run time of a request.
func (c *Core) ran(took time.Duration) {
	c.runTime = c.averageRunTime() + time.Duration(_runTimeWeight*float64(took-c.averageRunTime()))
}

// waitLimit returns how long an opening packet of a flow may wait, and its priority.
func (c *Core) waitLimit(h *held) (time.Duration, int) {
	route, ok := c.table.Route(h.key.Address)
	if !ok || route.Target == 0 {
		return _defaultWait, route.Priority
	}
	return time.Duration(_waitShare * float64(route.Target)), route.Priority
}

// enqueue makes an opening packet wait. Those of a lower number of priority go
// first, then those that came first.
func (c *Core) enqueue(h *held) {
	limit, priority := c.waitLimit(h)
	h.waits, h.priority, h.since, h.deadline = true, priority, c.now, c.now+limit
	at := len(c.waiting)
	for at > 0 && c.waiting[at-1].priority > priority {
		at--
	}
	c.waiting = slices.Insert(c.waiting, at, h)
	c.counts.Waited++
}

// admitWaiting gives the upstream what waits, as far as it has room.
func (c *Core) admitWaiting() {
	for len(c.waiting) > 0 && c.busy < c.room() && c.upstream.state == peer.Ready {
		h := c.waiting[0]
		c.dropWaiting(h)
		c.give(h)
	}
	if c.busy < c.slots(c.now) && len(c.waiting) == 0 {
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

// refuseLate refuses what has waited for as long as it may.
func (c *Core) refuseLate() {
	for _, h := range slices.Clone(c.waiting) {
		if c.now >= h.deadline {
			c.dropWaiting(h)
			c.flows.Delete(h.key)
			c.refuseOverload(h)
		}
	}
}

// refuseOverload ends a flow that the upstream would get too late. The relay
// hears that it has ended, so that it does not offer it elsewhere.
func (c *Core) refuseOverload(h *held) {
	c.counts.Refused++
	c.reset(c.now, h.key, 0, "overloaded")
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
		h := c.waiting[0]
		if h.hops >= _maxHops {
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
		Kind: peer.KindOffer, Hops: h.hops, Origin: h.origin, Service: c.id, Version: c.table.Version(), Packet: h.packet,
	}
}

// askForWork tells the fullest peers that the upstream has room.
func (c *Core) askForWork() {
	c.eligible = c.eligible[:0]
	for _, u := range c.view.Service(c.self.Service) {
		if u.Sidecar != c.self.Addr && u.Busy > u.Slots+max(1, u.Slots/2) && c.view.Takes(c.now, u) {
			c.eligible = append(c.eligible, u)
		}
	}
	for range min(_askedPeers, len(c.eligible)) {
		i := c.random.IntN(len(c.eligible))
		u := c.eligible[i]
		c.eligible = slices.Delete(c.eligible, i, i+1)
		u.Busy -= 1 // it will pass one on
		c.reportTo(u.Sidecar)
	}
}

// noteWaiting logs that a flow waits.
func (c *Core) noteWaiting(h *held) {
	c.out.Decide(decision.Record{
		Flow: h.key, Action: decision.Waits, Service: c.self.Service, Version: c.table.Version(),
		Busy: uint16(c.busy), Slots: uint16(c.slots(c.now)), Age: c.expectedWait(), Attempt: len(c.waiting), Routine: true,
	})
}
