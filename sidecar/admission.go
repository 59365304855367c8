package sidecar

import (
	"slices"
	"time"

	"dandelionhitch.example/admission"
	"dandelionhitch.example/decision"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/placement"
)

// Package admission decides which opening packets the upstream gets at once, which wait and
// which are refused. A sidecar whose upstream has free slots reports to overloaded peers,
// which then pass on flows that they have queued.
const (
	// _maxTransfers bounds how often an opening packet is passed on in all, including
	// transfers from the queue to peers that report free slots.
	_maxTransfers = 8
	// _maxNotifiedPeers is the number of overloaded peers to which a sidecar sends a
	// report when its upstream has free slots.
	_maxNotifiedPeers = 2
)

// limits returns what the upstream can do now. An upstream on trial (see failing.go) gets one
// flow at a time.
func (c *Core) limits(time.Duration) admission.Limits {
	return admission.Limits{
		Slots: c.totalSlots(), OnTrial: c.upstream.failures.onTrial, ColdRoom: c.coldRoom(), ColdInterval: c.coldInterval(),
		Prioritized: c.prioritized(),
	}
}

// load returns the number of flows that precede a new one: those in progress and those
// that wait and are not late.
func (c *Core) load() int { return c.admission.Load(c.now) }

// ownCandidate returns the local upstream as a candidate for placement.
func (c *Core) ownCandidate() placement.Candidate {
	if c.upstream.failures.onTrial {
		return placement.Candidate{Busy: c.reportedLoad(), Slots: 1, SameZone: true}
	}
	return placement.Candidate{Busy: c.reportedLoad(), Slots: c.effectiveSlots(c.now), SameZone: true}
}

// setClass sets a flow's priority and the deadlines of its wait from its route.
func (c *Core) setClass(f *flowState) {
	route, _ := c.table.Route(f.key.Address)
	f.classified = c.table.Version()
	c.admission.SetDeadlines(c.now, &f.work, admission.Class{
		Route: f.key.Address, Priority: route.Priority, TargetLatency: route.TargetLatency, Timeout: route.Timeout,
	})
}

// enqueue adds a flow to the queue of waiting flows.
func (c *Core) enqueue(f *flowState) {
	c.admission.Enqueue(c.now, &f.work)
	c.counts.Waited++
}

// dequeue removes a flow from the queue of waiting flows, if it is queued.
func (c *Core) dequeue(f *flowState) { c.admission.Dequeue(c.now, &f.work) }

// admitWaiting delivers waiting flows to the upstream while it has capacity. If slots
// remain free, it notifies overloaded peers.
func (c *Core) admitWaiting() {
	if c.reportedState() != peer.Ready || !c.confirmed(c.now) {
		return
	}
	for w := c.admission.Next(c.now); w != nil; w = c.admission.Next(c.now) {
		c.deliver(w.Flow)
	}
	if c.admission.Busy() < c.effectiveSlots(c.now) && c.Waiting() == 0 {
		c.announceFreeSlots()
	}
}

// deliver sends a flow's opening packet to the upstream.
func (c *Core) deliver(f *flowState) {
	f.deliveredAt = c.now
	if !f.awaitsRequest {
		f.awaitsRequest = true
		c.awaitingRequest = append(c.awaitingRequest, f)
	}
	c.admission.Reserve(&f.work)
	f.opened = c.sendOpening(f.packet)
}

// refuseTooLate refuses waiting flows that the upstream is not expected to get by their
// latest start.
func (c *Core) refuseTooLate() {
	for _, w := range c.admission.TooLate(c.now) {
		c.flows.Delete(w.Flow.key)
		c.refuseOverloaded(w.Flow)
	}
}

// refuseDisplaced refuses waiting flows that cannot start any more since a more important one
// was accepted. They have not run.
func (c *Core) refuseDisplaced(by *flowState) {
	for _, w := range c.admission.DisplacedBy(c.now, &by.work) {
		c.counts.Displaced++
		c.out.LogDecision(decision.Record{
			Flow: w.Flow.key, Action: decision.Refused, Reason: "displaced", Service: c.self.Service, Version: c.table.Version(),
			Busy: uint16(c.Busy()), Slots: uint16(c.effectiveSlots(c.now)), Age: c.now - w.Arrived,
		})
		c.flows.Delete(w.Flow.key)
		c.refuseOverloaded(w.Flow)
	}
}

// refuseOverloaded resets a flow that would wait too long to be answered in time. It
// tells the relay that the flow has ended, so that the relay does not offer it to
// another sidecar.
func (c *Core) refuseOverloaded(f *flowState) {
	c.countRefused(f.work.Priority())
	c.sendReset(c.now, f.key, 0, _reasonOverloaded)
	c.sendVerdict(c.now, peer.Ended, f.key, f.origin, nil)
}

// countRefused counts the refusal of a flow of a priority.
func (c *Core) countRefused(priority int) {
	c.counts.Refused++
	c.counts.RefusedByPriority[admission.ClampPriority(priority)]++
}

// redirectWaiting passes all waiting flows to peers or returns them to their relays,
// since the local upstream will not accept them.
func (c *Core) redirectWaiting(reason string) {
	for _, w := range slices.Clone(c.admission.Waiting()) {
		c.redirectOpening(c.now, w.Flow.key, w.Flow, reason)
	}
}

// passWaitingTo passes waiting flows to a peer, at most one for each free slot in the
// peer's report.
func (c *Core) passWaitingTo(to peer.UpstreamReport) {
	if c.evacuations.Contains(to.Zone) || c.Waiting() == 0 || !c.answersSooner(to) {
		return
	}
	for free := int(to.Slots) - int(to.Busy); free > 0 && c.Waiting() > 0 && to.State == peer.Ready; free-- {
		f := c.admission.First(c.now).Flow
		if f.hops >= _maxTransfers {
			return
		}
		c.dequeue(f)
		c.flows.Delete(f.key)
		c.passOn(c.now, f.key, c.offerMessage(f), to.Sidecar, "peer_has_room")
	}
}

// offerMessage returns the message that offers a flow to another sidecar.
func (c *Core) offerMessage(f *flowState) peer.Carried {
	return peer.Carried{
		Kind: peer.KindOffer, Hops: f.hops, LastResort: f.work.LastResort, Waited: c.now - f.work.Arrived, Origin: f.origin, Service: c.serviceID, Version: f.version, Packet: f.packet,
	}
}

// announceFreeSlots sends a report to randomly chosen overloaded peers, which then pass
// waiting flows to this sidecar.
func (c *Core) announceFreeSlots() {
	c.eligible = c.eligible[:0]
	for _, u := range c.view.Service(c.self.Service) {
		if u.Sidecar != c.self.Addr && (u.Late > 0 || u.Busy > u.Slots+max(1, u.Slots/2)) && c.view.Eligible(c.now, u) {
			c.eligible = append(c.eligible, u)
		}
	}
	for range min(_maxNotifiedPeers, len(c.eligible)) {
		i := c.random.IntN(len(c.eligible))
		u := c.eligible[i]
		c.eligible = slices.Delete(c.eligible, i, i+1)
		// The peer is expected to pass on one flow.
		if u.Late > 0 {
			u.Late--
		} else {
			u.Busy--
		}
		c.reportTo(u.Sidecar)
	}
}

// logWaiting logs that a flow waits.
func (c *Core) logWaiting(f *flowState) {
	c.out.LogDecision(decision.Record{
		Flow: f.key, Action: decision.Waits, Service: c.self.Service, Version: c.table.Version(),
		Busy: uint16(c.Busy()), Slots: uint16(c.effectiveSlots(c.now)), Age: c.admission.ExpectedWait(c.now), Attempt: c.Waiting(), Routine: true,
	})
}
