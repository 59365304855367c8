package sidecar

import (
	"net/netip"
	"slices"
	"time"

	"dandelionhitch.example/admission"
	"dandelionhitch.example/decision"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/placement"
)

// PeerMessage handles a datagram from a relay or another sidecar.
func (c *Core) PeerMessage(now time.Duration, message []byte) {
	c.now = now
	if len(message) == 0 {
		c.counts.Malformed++
		return
	}
	var err error
	switch kind := peer.Kind(message[0]); kind {
	case peer.KindOffer, peer.KindCarry, peer.KindTry:
		var carried peer.Carried
		var p flow.Packet
		if carried, err = peer.DecodeCarried(message); err == nil {
			p, err = c.wire.Decode(carried.Packet)
		}
		if err == nil {
			c.noteVersion(now, carried.Version, carried.Origin)
			c.handleCarried(now, carried, p)
		}
	case peer.KindQuestion:
		var q peer.Question
		if q, err = peer.DecodeQuestion(message); err == nil {
			c.handleQuestion(now, q)
		}
	case peer.KindUpstream:
		var r peer.UpstreamReport
		if r, err = peer.DecodeUpstream(message); err == nil && r.Sidecar != c.self.Addr {
			c.handlePeerReport(now, r)
		}
	case peer.KindRelay:
		var r peer.RelayReport
		if r, err = peer.DecodeRelay(message); err == nil {
			c.handleRelayReport(now, r)
		}
	case peer.KindAsk, peer.KindPart, peer.KindDefer:
		if c.configs.HandleMessage(now, message) {
			c.adoptConfiguration()
		}
	default:
		c.counts.Malformed++
		return
	}
	if err != nil {
		c.counts.Malformed++
	}
}

func (c *Core) handleCarried(now time.Duration, m peer.Carried, p flow.Packet) {
	key := p.FromCaller()
	switch m.Kind {
	case peer.KindOffer:
		c.handleOffer(now, key, m, p)
	case peer.KindCarry, peer.KindTry:
		if p.Opening() {
			c.counts.Dropped++ // it must be offered
			return
		}
		c.handleCarry(now, key, m, p)
	}
}

// handleOffer accepts an opening packet, passes it on to a peer, or refuses it.
func (c *Core) handleOffer(now time.Duration, key flow.Key, m peer.Carried, p flow.Packet) {
	f := c.flows.Get(key)
	if f != nil && f.openingSeq == p.Seq && !f.probing && !f.dead {
		f.origin = m.Origin
		c.handleRepeatedOffer(now, key, m, f)
		return
	}
	if c.stalled(now) {
		c.refuseAfterStall(now, key, m)
		return
	}
	if reason := c.rejectReason(now, key, m); reason != "" {
		c.passOnOrRefuse(now, key, m, reason)
		return
	}
	if i := c.betterPeer(now, m.Origin); i >= 0 && m.Hops < _maxHops {
		c.passOn(now, key, m, c.eligible[i].Sidecar, "peer_less_loaded")
		return
	}
	c.accept(now, key, m, p)
}

// handleRepeatedOffer handles a copy of the opening packet of a flow that was accepted. If the
// upstream has consented, the copy opens nothing: the upstream repeats its consent. Otherwise
// the copy may open the flow, so it must not reach another service. For any other reason the
// flow stays where it was accepted, since the upstream may be consenting.
func (c *Core) handleRepeatedOffer(now time.Duration, key flow.Key, m peer.Carried, f *flowState) {
	atUpstream := !f.work.Waiting() && !f.ended
	if atUpstream && !f.consented && !f.established {
		switch reason := c.rejectReason(now, key, m); reason {
		case _reasonOtherService:
			c.refuse(now, key, m, reason)
			return
		case _reasonRouteChanged, _reasonUnconfirmed, _reasonStopping:
			c.redirectOpening(now, key, f, reason)
			return
		}
	}
	if atUpstream && c.coldRoom() > 0 && !c.stalled(now) {
		c.sendOpening(m.Packet)
	}
	c.sendVerdict(now, peer.Accepted, key, m.Origin, nil)
}

// stalled reports whether this process did not run for so long that an offer which it
// handles now may have waited in the socket since before.
func (c *Core) stalled(now time.Duration) bool {
	return c.lastTick > 0 && now-c.lastTick > _staleOfferGap || c.resumedAt > 0 && now-c.resumedAt < _resumePeriod
}

// refuseAfterStall refuses an offer that may be older than the caller waits. The relay has
// kept the packet if it still wants to place the flow.
func (c *Core) refuseAfterStall(now time.Duration, key flow.Key, m peer.Carried) {
	route, _ := c.table.Route(key.Address)
	c.countRefused(route.Priority)
	c.out.LogDecision(decision.Record{
		Flow: key, Action: decision.Refused, Reason: "sidecar_stalled", Service: c.self.Service, Version: c.table.Version(),
		Age: now - c.lastTick, Attempt: int(m.Hops) + 1,
	})
	c.sendVerdict(now, peer.Refused, key, m.Origin, nil)
}

// rejectReason returns why the upstream must not get a new flow, or "" if it may.
func (c *Core) rejectReason(now time.Duration, key flow.Key, m peer.Carried) string {
	switch {
	case m.Service != c.serviceID:
		return _reasonOtherService
	case c.stopping:
		return _reasonStopping
	case c.evacuated():
		c.counts.Evacuated++
		return _reasonEvacuated
	case m.Version <= c.table.Version() && !c.table.Allows(key.Address, c.self.Service):
		return _reasonRouteChanged
	case (c.upstream.state == peer.Ready || c.upstream.state == peer.Suspect) && !c.confirmed(now):
		c.counts.UnconfirmedOpenings++
		return _reasonUnconfirmed
	case c.upstream.state == peer.Suspect && c.upstream.failures.retryAt > 0 && m.LastResort:
		return "" // the relay has found no other sidecar that accepts the flow
	case c.upstream.state != peer.Ready:
		return "upstream_" + c.upstream.state.String()
	case c.upstream.lastBounce > 0 && now-c.upstream.lastBounce < _bounceBackoff:
		return "upstream_full"
	}
	return ""
}

// Reasons for rejecting flows: this process was told to stop, or the relay takes the upstream
// for one of another service.
const (
	_reasonStopping     = "sidecar_stops"
	_reasonOtherService = "other_service"
	_reasonRouteChanged = "route_changed"
)

// accept delivers an opening packet to the local upstream, or queues it if the upstream
// has no capacity. It refuses the packet if the wait would be too long.
func (c *Core) accept(now time.Duration, key flow.Key, m peer.Carried, p flow.Packet) {
	f := newFlowState(key)
	f.packet, f.hops, f.openingSeq, f.origin, f.version = slices.Clone(m.Packet), m.Hops, p.Seq, m.Origin, m.Version
	f.deliveredAt, f.carriedAt = now, now
	f.work.Arrived, f.work.LastResort = now-m.Waited, m.LastResort
	c.setClass(f)
	verdict := c.admission.Decide(now, &f.work)
	switch verdict {
	case admission.NoRoom:
		c.refuse(now, key, m, _reasonNoRoom)
		return
	case admission.Overloaded:
		c.refuse(now, key, m, _reasonOverloaded)
		return
	}
	if old := c.flows.Get(key); old != nil {
		c.dequeue(old)
		c.discardHeld(old)
		c.closeFlow(old)
	}
	c.flows.Put(key, f)
	c.counts.Accepted++
	if verdict == admission.Wait {
		c.enqueue(f)
		c.logWaiting(f)
	} else {
		c.deliver(f)
		c.out.LogDecision(decision.Record{
			Flow: key, Action: decision.Accepted, Service: c.self.Service, Version: c.table.Version(),
			Busy: uint16(c.Busy()), Slots: uint16(c.effectiveSlots(now)), Age: now - c.upstream.lastHeartbeat, Attempt: int(m.Hops) + 1, Routine: true,
		})
	}
	c.refuseDisplaced(f)
	c.sendVerdict(now, peer.Accepted, key, m.Origin, nil)
}

// betterPeer returns the index in c.eligible of a peer that should get a new flow
// instead of the local upstream, or -1 if there is none. origin is the relay that has offered
// the flow.
func (c *Core) betterPeer(now time.Duration, origin netip.Addr) int {
	if c.prioritized() {
		zone := c.relayZone(origin)
		own := c.timedOwnCandidate(zone)
		if own.Busy < own.Slots && own.Slowdown <= placement.NormalSlowdown {
			return -1
		}
		c.collectPeers(now)
		return placement.PassOnByWait(own, c.candidates, zone != "" && zone != c.self.Zone, c.random)
	}
	own := c.ownCandidate()
	if own.Busy < own.Slots {
		return -1
	}
	c.collectPeers(now)
	return placement.PassOn(own, c.candidates, c.random)
}

// collectPeers sets c.eligible and c.candidates to the peers that accept new
// flows.
func (c *Core) collectPeers(now time.Duration) {
	c.eligible, c.candidates = c.eligible[:0], c.candidates[:0]
	for _, u := range c.view.Service(c.self.Service) {
		if u.Sidecar != c.self.Addr && c.view.Eligible(now, u) && !c.evacuations.Contains(u.Zone) {
			c.eligible = append(c.eligible, u)
			c.candidates = append(c.candidates, c.peerCandidate(now, u))
		}
	}
}

// passOnOrRefuse handles an opening packet that the local upstream must not get: it
// passes the packet on to the best peer, or refuses the packet if no peer can get it.
func (c *Core) passOnOrRefuse(now time.Duration, key flow.Key, m peer.Carried, reason string) {
	if m.Hops < _maxHops && m.Service == c.serviceID && reason != _reasonRouteChanged {
		c.collectPeers(now)
		if best := c.bestPeer(); best >= 0 {
			c.passOn(now, key, m, c.eligible[best].Sidecar, reason)
			return
		}
	}
	c.refuse(now, key, m, reason)
}

// refuse tells the relay that neither this sidecar nor a peer that it knows accepts an
// opening packet.
func (c *Core) refuse(now time.Duration, key flow.Key, m peer.Carried, reason string) {
	route, _ := c.table.Route(key.Address)
	c.countRefused(route.Priority)
	c.out.LogDecision(decision.Record{
		Flow: key, Action: decision.Refused, Reason: reason, Service: c.self.Service, Version: c.table.Version(),
		Busy: uint16(c.Busy()), Slots: uint16(c.effectiveSlots(now)), Age: now - c.upstream.lastHeartbeat, Attempt: int(m.Hops) + 1,
	})
	outcome := peer.Refused
	if reason == _reasonOverloaded || reason == _reasonNoRoom {
		outcome = peer.Overloaded
	}
	c.sendVerdict(now, outcome, key, m.Origin, m.Packet)
}

// Reasons for refusing a flow because all upstreams are busy: it would wait too long, or the
// upstream refuses requests that are as important.
const (
	_reasonOverloaded = "overloaded"
	_reasonNoRoom     = "no_room"
)

// passOn offers an opening packet to another sidecar.
func (c *Core) passOn(now time.Duration, key flow.Key, m peer.Carried, to netip.Addr, reason string) {
	c.counts.PassedOn++
	m.Kind = peer.KindOffer
	m.Hops++
	r := decision.Record{
		Flow: key, Action: decision.PassedOn, Reason: reason, Target: to, Service: c.self.Service,
		Version: c.table.Version(), Attempt: int(m.Hops), Routine: true,
	}
	if u := c.view.Upstream(to); u != nil {
		r.Busy, r.Slots, r.Age = uint16(u.Busy), uint16(u.Slots), now-u.LoadUpdatedAt
		u.CountOffer()
	}
	c.out.LogDecision(r)
	c.buffer = m.Append(c.buffer[:0])
	c.out.ToPeer(to, c.buffer)
}

// redirectOpening removes a flow that the local upstream has not accepted, and passes
// its opening packet on to a peer or returns it to the relay.
func (c *Core) redirectOpening(now time.Duration, key flow.Key, f *flowState, reason string) {
	c.dequeue(f)
	c.closeFlow(f)
	f.awaitsRequest = false
	c.flows.Delete(key)
	c.passOnOrRefuse(now, key, c.offerMessage(f), reason)
}

// handleQuestion answers a relay's question whether the upstream holds a flow.
func (c *Core) handleQuestion(now time.Duration, q peer.Question) {
	outcome := c.holds(now, c.flows.Get(q.Flow), q.Ack)
	if outcome == peer.NotHeld {
		c.counts.NotHeld++
	}
	c.sendVerdict(now, outcome, q.Flow, q.Origin, nil)
}

// holds returns whether the upstream holds the flow to which a caller's packet belongs: Held,
// NotHeld, or Unsure if only the upstream can tell. f is what is known of a flow between the
// packet's endpoints, or nil, and ack is the packet's acknowledgement number.
func (c *Core) holds(now time.Duration, f *flowState, ack uint32) peer.Outcome {
	known := f != nil && (f.established || f.consented)
	switch {
	case f == nil && !c.knowsAllFlows(now), f != nil && f.probing && !known:
		return peer.Unsure
	case !known, f.work.Waiting(), !f.matches(ack):
		return peer.NotHeld
	default:
		return peer.Held
	}
}

// matches reports whether a packet that acknowledges ack can belong to this flow of the local
// upstream. Another upstream may have consented to a copy of the same opening packet, and the
// caller's flow is then open at the upstream whose sequence numbers it acknowledges.
func (f *flowState) matches(ack uint32) bool {
	if f.established {
		return near(ack, f.latestSeq)
	}
	const window = 1 << 17 // more than an upstream sends before the caller acknowledges its consent
	return f.consented && ack-f.consentSeq < window
}

// near reports whether two sequence numbers of an upstream can belong to the same flow.
func near(a, b uint32) bool {
	const window = 1 << 20 // far more than an upstream has in flight
	return a-b < window || b-a < window
}

// handleCarry sends a packet to the upstream if the upstream holds the flow or may hold
// it.
func (c *Core) handleCarry(now time.Duration, key flow.Key, m peer.Carried, p flow.Packet) {
	f := c.flows.Get(key)
	outcome := c.holds(now, f, p.Ack)
	if f != nil && f.established && !p.Flags.Has(flow.ACK) {
		outcome = peer.Held // there is no acknowledgement to compare
	}
	switch outcome {
	case peer.NotHeld:
		c.sendNotHeld(now, key, m)
		return
	case peer.Unsure:
		if f == nil {
			f = newFlowState(key)
			f.probing = true
			c.flows.Put(key, f)
		}
		f.origin, f.carriedAt, f.callerAck = m.Origin, now, p.Ack
		c.out.ToUpstream(m.Packet)
		return
	}
	f.probing = false
	f.origin, f.carriedAt, f.callerAck = m.Origin, now, p.Ack
	if m.Kind == peer.KindTry {
		c.sendVerdict(now, peer.Held, key, m.Origin, nil)
	}
	if f.dead || !f.ended && c.presumedDead(now) && c.livenessCheckFailed(now, f) {
		c.endDeadFlow(now, key, f, p)
		return
	}
	if !f.established {
		f.established = true
		f.packet = nil
	}
	if c.holdPacket(f, m.Packet, p) {
		return
	}
	if p.Size > 0 && !f.ended {
		c.beginRequest(f, p)
	}
	c.counts.Carried++
	c.out.ToUpstream(m.Packet)
	c.releaseHeld(now) // the request may have taken the last place
}

// livenessCheckFailed reports whether an upstream that is presumed dead has not
// answered a packet of the flow for _consentTimeout. An upstream whose heartbeats were
// merely lost answers and keeps its flows. The check relies on the caller repeating its
// packet.
func (c *Core) livenessCheckFailed(now time.Duration, f *flowState) bool {
	if f.livenessCheckAt == 0 || c.upstream.lastSeen >= f.livenessCheckAt {
		f.livenessCheckAt = now
	}
	return now-f.livenessCheckAt >= _consentTimeout
}

// knowsAllFlows reports whether this sidecar knows all flows that the upstream may hold. One
// that has sent nothing for long since this process runs is not there.
func (c *Core) knowsAllFlows(now time.Duration) bool {
	switch c.upstream.state {
	case peer.Absent:
		if c.upstream.lastSeen == 0 && c.sentSince() > time.Duration(_missedHeartbeats*float64(c.self.Heartbeat)) {
			return true
		}
	case peer.Gone:
		// The notice may have been a late one of an earlier life with the same ID.
		if c.missedHeartbeat() && !c.claim.pending() {
			return true
		}
	}
	return !c.mayHaveEvictedOpenFlows(now) && (c.upstream.allFlowsSeen || c.hasSeenActiveFlows(now))
}

// mayHaveEvictedOpenFlows reports whether a flow that was evicted from the flow table may still be
// open. It is not, once the idle timeout in force has passed since its last packet, which may be
// longer than the timeout by which the flow was evicted. A full table evicts flows at any time.
func (c *Core) mayHaveEvictedOpenFlows(now time.Duration) bool {
	until := c.flows.EvictedUntil()
	idle := c.table.IdleTimeout()
	return until > 0 && (idle == 0 || now-until < idle+_repeatPeriod)
}

// hasSeenActiveFlows reports whether this process has run without a stall for so long that
// each flow of the upstream either had a packet meanwhile, or was idle for longer than flows
// may be. Callers repeat packets that were lost for up to _repeatPeriod.
func (c *Core) hasSeenActiveFlows(now time.Duration) bool {
	return c.longestIdle > 0 && now-c.resumedAt >= c.longestIdle+_repeatPeriod && !c.stalled(now)
}

// sendNotHeld tells the relay that the upstream does not hold the flow of a packet.
func (c *Core) sendNotHeld(now time.Duration, key flow.Key, m peer.Carried) {
	c.counts.NotHeld++
	packet := m.Packet
	if m.Kind == peer.KindTry {
		packet = nil // the relay has kept its copy
	} else {
		c.out.LogDecision(decision.Record{Flow: key, Action: decision.NotHeld, Target: m.Origin, Version: c.table.Version()})
	}
	c.sendVerdict(now, peer.NotHeld, key, m.Origin, packet)
}

// endDeadFlow marks a flow as dead and sends a reset to the caller, unless the caller's
// own packet is a reset.
func (c *Core) endDeadFlow(now time.Duration, key flow.Key, f *flowState, p flow.Packet) {
	f.dead = true
	c.discardHeld(f)
	c.closeFlow(f)
	if p.Flags.Has(flow.RST) {
		return
	}
	c.sendReset(now, key, f.callerAck, "upstream_dead")
}

// sendReset sends a reset of a flow to its caller.
func (c *Core) sendReset(now time.Duration, key flow.Key, ack uint32, reason string) {
	c.counts.Resets++
	c.out.LogDecision(decision.Record{
		Flow: key, Action: decision.Reset, Reason: reason, Service: c.self.Service, Version: c.table.Version(),
		Age: now - c.upstream.lastSeen,
	})
	c.buffer = c.wire.AppendReset(c.buffer[:0], key, ack)
	c.out.ToCaller(key.Caller.Addr(), c.buffer)
}

// UpstreamPacket handles a packet from the upstream: a reply to a caller, or a caller's
// packet that the upstream bounces because it does not accept it.
func (c *Core) UpstreamPacket(now time.Duration, packet []byte) {
	c.now = now
	p, err := c.wire.Decode(packet)
	if err != nil {
		c.counts.Malformed++
		return
	}
	c.upstream.lastSeen = now
	if p.Flags.Has(flow.Bounced) {
		c.handleBounced(now, p, packet)
		return
	}
	f := c.flows.Get(p.ToCaller())
	if f != nil && p.Flags.Has(flow.RST) {
		switch {
		case f.probing:
			c.handleProbeReset(now, p, f)
			return
		case f.awaitsRequest && !f.consented:
			c.noteFailure("resets_requests")
			c.redirectOpening(now, f.key, f, "upstream_reset")
			return
		case f.lastRequestAt > 0 && !f.answered && !f.ended:
			c.noteFailure("resets_requests")
		}
	}
	if f != nil && !f.acceptsSeq(p) {
		c.counts.Stray++
		c.out.LogDecision(decision.Record{
			Flow: f.key, Action: decision.Dropped, Reason: "earlier_flow_of_caller", Service: c.self.Service, Version: c.table.Version(),
		})
		return
	}
	if f != nil {
		c.noteAnswered(now, f, p)
	}
	c.handleReply(now, p, f)
	c.counts.Replies++
	c.out.ToCaller(p.Destination.Addr(), packet)
}

// handleProbeReset handles the upstream's reset of a probed flow. The upstream does not
// hold the flow, but another upstream may hold it, so the caller must not get the reset.
func (c *Core) handleProbeReset(now time.Duration, p flow.Packet, f *flowState) {
	key := p.ToCaller()
	c.endProbe(f)
	c.out.LogDecision(decision.Record{
		Flow: key, Action: decision.NotHeld, Reason: "upstream_reset", Target: f.origin, Version: c.table.Version(),
	})
	c.sendVerdict(now, peer.NotHeld, key, f.origin, nil)
}

// endProbe ends the probe for a flow that the upstream does not hold.
func (c *Core) endProbe(f *flowState) {
	c.counts.NotHeld++
	f.probing = false
	if !f.consented {
		c.flows.Delete(f.key)
	}
}

// noteAnswered records that the upstream has replied on a flow that is known here. This ends a
// suspicion unless the upstream is failing requests or bouncing opening packets, so that its
// flows are not reset.
func (c *Core) noteAnswered(now time.Duration, f *flowState, p flow.Packet) {
	if f.proves(p) {
		c.confirm("reply")
	}
	if !p.Flags.Has(flow.RST) && (!p.Flags.Has(flow.SYN) || p.Seq == f.consentSeq) {
		f.ofPastLife = false
	}
	if p.Flags.Has(flow.SYN) {
		c.upstream.bouncedOpenings = 0
	}
	if !p.Flags.Has(flow.RST) && c.upstream.state == peer.Suspect && c.upstream.failures.retryAt == 0 && !c.bouncesOpenings() {
		c.setState(now, peer.Ready, "packet")
	}
}

// acceptsSeq reports whether the sequence number of an upstream's packet fits this
// flow, and updates f.latestSeq. A delayed packet of an earlier flow between the same
// caller address and service address has a distant number.
func (f *flowState) acceptsSeq(p flow.Packet) bool {
	switch {
	case !f.consented && !f.established, p.Flags&(flow.SYN|flow.RST) != 0:
		return true
	case !near(p.Seq, f.latestSeq):
		return false
	case int32(p.Seq-f.latestSeq) > 0:
		f.latestSeq = p.Seq
	}
	return true
}

// handleReply updates the state of a flow from the upstream's packet to its caller. f
// is nil if the flow is not known.
func (c *Core) handleReply(now time.Duration, p flow.Packet, f *flowState) {
	key := p.ToCaller()
	if f == nil {
		if p.Flags.Has(flow.RST) {
			return // the upstream no longer has the flow
		}
		f = newFlowState(key)
		f.carriedAt, f.callerAck = now, p.Seq
		c.flows.Put(key, f)
		c.logRecovered(p)
	}
	switch {
	case p.Flags.Has(flow.SYN):
		// The upstream repeats its consent until the caller acknowledges it, which the caller
		// does not do if it has opened the flow at another upstream.
		if !f.consented && f.deliveredAt > 0 {
			c.out.ObserveSpan(decision.ConsentGiven, now-f.deliveredAt)
		}
		f.consentSeq, f.latestSeq, f.consented = p.Seq, p.Seq, true
	case !f.consented && !f.established && !p.Flags.Has(flow.RST):
		// Only an upstream at which the flow was opened sends more than its consent.
		f.established, f.latestSeq = true, p.Seq
	}
	if f.probing && f.matches(f.callerAck) {
		f.probing, f.established = false, true
		c.sendVerdict(now, peer.Held, key, f.origin, nil)
	}
	c.noteReplyData(now, p, f)
	if p.Flags&(flow.FIN|flow.RST) != 0 {
		f.ended = true
		c.deliverHeld(f)
		c.closeFlow(f)
	}
}

// noteReplyData notes that the upstream answers the request of a flow, if a packet has data or
// ends the flow. An answer that shows that the upstream has refused the request is no sign of
// its speed or of failures.
func (c *Core) noteReplyData(now time.Duration, p flow.Packet, f *flowState) {
	// Without admission by priority, a copy of a request counts as a request, and so must a copy
	// of its answer.
	answers := f.takeReplyData(p) || p.Size > 0 && !c.prioritized()
	if !answers && p.Flags&(flow.FIN|flow.RST) == 0 {
		return
	}
	outcome := admission.NoRequest
	if !p.Flags.Has(flow.RST) || !c.prioritized() {
		outcome = c.admission.Answer(now, &f.work, now-f.lastRequestAt)
	}
	switch outcome {
	case admission.Served:
		c.out.ObserveSpan(decision.FirstReply, now-f.lastRequestAt)
		c.noteRunTime(f, now-f.lastRequestAt)
		c.counts.ServedByPriority[f.work.Priority()]++
	case admission.RefusedByUpstream:
		c.counts.UpstreamRefusals++
	}
	if p.Size > 0 && !f.answered {
		f.answered = true
		if f.firstRequestAt > 0 && outcome != admission.RefusedByUpstream {
			c.noteAnswer(now - f.firstRequestAt)
		}
	}
	c.endRequest(f)
}

// takeReplyData reports whether a packet of the upstream has data that it has not sent before.
// The upstream repeats the last packet of an answer until the caller acknowledges it, which may
// be with the next request. Such a copy is no answer to that request.
func (f *flowState) takeReplyData(p flow.Packet) bool {
	end := p.Seq + uint32(p.Size)
	if p.Size == 0 || f.replyStarted && int32(end-f.replyEnd) <= 0 {
		return false
	}
	f.replyStarted, f.replyEnd = true, end
	return true
}

// logRecovered logs that a packet of the upstream has shown a flow that this process did
// not open.
func (c *Core) logRecovered(p flow.Packet) {
	reason := "upstream_packet"
	if p.Flags.Has(flow.SYN) {
		reason = "upstream_consent"
	}
	c.out.LogDecision(decision.Record{
		Flow: p.ToCaller(), Action: decision.Recovered, Reason: reason, Service: c.self.Service, Version: c.table.Version(),
		Routine: !p.Flags.Has(flow.SYN),
	})
}

// handleBounced handles a caller's packet that the upstream has bounced. An opening
// packet is redirected. A packet of a probed flow, or of a flow of another upstream, goes
// back to the relay. A bounced packet of any other flow means that the upstream no longer
// has that flow, so the caller gets a reset.
func (c *Core) handleBounced(now time.Duration, p flow.Packet, packet []byte) {
	key := p.FromCaller()
	c.wire.Restore(packet)
	f := c.flows.Get(key)
	if p.Opening() {
		c.counts.Bounced++
		c.upstream.lastBounce = now
		if f != nil && f.openingSeq == p.Seq && !f.consented {
			c.noteBouncedOpening()
			c.redirectOpening(now, key, f, "upstream_bounced")
		}
		return
	}
	switch {
	case f == nil:
		c.counts.Dropped++
	case f.probing:
		c.endProbe(f)
		c.sendVerdict(now, peer.NotHeld, key, f.origin, packet)
	case !f.matches(p.Ack):
		c.counts.NotHeld++
		c.sendVerdict(now, peer.NotHeld, key, f.origin, packet)
	case !f.dead && !f.ended:
		if !f.ofPastLife {
			c.suspectRestart()
			c.noteBouncedFlow(f)
		}
		f.dead = true
		c.discardHeld(f)
		c.closeFlow(f)
		c.sendReset(now, key, p.Ack, "upstream_bounced")
	default:
		c.counts.Dropped++
	}
}

// sendVerdict tells a relay the outcome for a flow: the answer to a carried packet or a
// question, or that the flow has ended.
func (c *Core) sendVerdict(now time.Duration, outcome peer.Outcome, key flow.Key, to netip.Addr, packet []byte) {
	c.buffer = peer.Verdict{
		Outcome: outcome, Sidecar: c.self.Addr, Flow: key,
		Busy: uint16(c.reportedLoad()), Slots: uint16(c.effectiveSlots(now)), Version: c.table.Version(), Packet: packet,
	}.Append(c.buffer[:0])
	c.out.ToPeer(to, c.buffer)
}
