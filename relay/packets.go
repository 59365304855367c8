package relay

import (
	"net/netip"
	"slices"
	"time"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/fleet"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
)

// CallerPacket handles a caller's packet that a router sent to this relay.
func (c *Core) CallerPacket(now time.Duration, packet []byte) {
	c.counts.Packets++
	p, err := c.wire.Decode(packet)
	if err != nil {
		c.counts.Malformed++
		return
	}
	key := p.FromCaller()
	if p.Opening() {
		c.counts.Openings++
		c.noteLinkBytes(now, key, nil, p, len(packet))
		c.openFlow(now, key, p, packet)
		return
	}
	c.carry(now, key, p, packet)
}

// openFlow handles an opening packet. A repeated opening packet goes to the sidecar
// that the first copy was offered to, as long as that sidecar answers offers, has the chosen
// service and the configuration allows it.
func (c *Core) openFlow(now time.Duration, key flow.Key, p flow.Packet, packet []byte) {
	f := c.flows.Get(key)
	if f != nil && f.openingSeq == p.Seq && f.firstOffered > 0 && now-f.firstOffered < _callerOpenTimeout && f.holder.IsValid() {
		u := c.view.Upstream(f.holder)
		switch renewed, allowed := c.renew(key, f.choice); {
		case !allowed:
			c.placeAnew(now, key, f, packet, _reasonRouteChanged)
			return
		case u != nil && u.Service != f.choice.service:
			c.placeAnew(now, key, f, packet, _reasonOtherService)
			return
		case u != nil && !u.Penalized(now) && u.State != peer.Suspect:
			f.choice = renewed
			c.sendOffer(peer.Carried{Waited: now - f.arrival.first, Packet: packet}, f.choice, f.holder)
			return
		}
	}
	firstCopy := c.isFirstCopy(now, key, f, p)
	arrived := arrival{first: now - p.Age}
	if p.Age == 0 {
		arrived = c.returning.takeArrival(now, key.Caller.Addr())
	}
	c.offerOpening(now, key, p.Seq, &offer{packet: packet, arrival: arrived, stale: c.stalled(now), firstCopy: firstCopy})
}

// stalled reports whether this process did not run for so long that an opening packet which
// it reads now may have waited in the socket while the flow was opened through another relay.
func (c *Core) stalled(now time.Duration) bool {
	return c.lastTick > 0 && now-c.lastTick > _staleOpeningGap || c.resumedAt > 0 && now-c.resumedAt < _resumePeriod
}

// placeAnew offers a repeated opening packet to another sidecar than the first copy. The
// former holder may have accepted the flow, so the caller gets no reset if all others
// refuse it.
func (c *Core) placeAnew(now time.Duration, key flow.Key, f *flowState, packet []byte, reason string) {
	o := &offer{
		packet: packet, arrival: f.arrival, reason: reason, lastSent: f.firstOffered, unanswered: []netip.Addr{f.holder},
	}
	if earlier, ok := c.offers[key]; ok {
		o.unanswered = append(o.unanswered, earlier.unanswered...)
		delete(c.offers, key)
	}
	c.offerOpening(now, key, f.openingSeq, o)
}

// offerOpening offers an opening packet to an upstream of its route, or parks the
// packet if no route or upstream is known. o holds what is known of the opening, without
// a choice.
func (c *Core) offerOpening(now time.Duration, key flow.Key, seq uint32, o *offer) {
	service, ok := c.table.Service(key)
	if !ok {
		c.park(now, key, o.arrival, o.packet, "no_route")
		return
	}
	o.choice = choice{service: service, version: c.table.Version()}
	o.lastResort = c.isLate(now, key, o.arrival.first)
	c.setPriority(key, o)
	if c.chooseUpstream(now, o) == nil {
		if len(o.unanswered) > 0 {
			c.endRefused(now, key, o)
			return
		}
		reason := "no_upstream"
		if o.evacuated {
			c.counts.Evacuated++
			reason = _reasonEvacuated
		}
		c.park(now, key, o.arrival, o.packet, reason)
		return
	}
	switch c.decideRoom(now, o) {
	case roomRefuse:
		c.refuseNoRoom(now, key, o)
		return
	case roomProbe:
		c.counts.Probes++
		o.reason = _reasonProbe
	}
	reserved, ok := c.admitToLink(now, key, o)
	if !ok {
		return
	}
	o.packet = slices.Clone(o.packet)
	c.flows.Put(key, &flowState{openingSeq: seq, choice: o.choice, arrival: o.arrival, firstOffered: now, reservedBytes: reserved})
	c.offers[key] = o
	c.placeOffer(now, key, o)
}

// isLate reports whether a flow whose opening packet first arrived at the given time has
// already missed its route's target latency. A sidecar with a busy upstream would refuse
// such a flow, so even the first offer of such a flow is a last-resort offer.
func (c *Core) isLate(now time.Duration, key flow.Key, arrived time.Duration) bool {
	route, ok := c.table.Route(key.Address)
	return ok && route.TargetLatency > 0 && now-arrived >= route.TargetLatency
}

// placeOffer offers an opening packet to the best upstream that was not tried yet. When
// none is left, or _maxOfferAttempts were tried, it starts over once with last-resort
// offers and leaves out the sidecars that did not answer. If these offers fail too, it
// ends the flow.
func (c *Core) placeOffer(now time.Duration, key flow.Key, o *offer) {
	renewed, allowed := c.renew(key, o.choice)
	if !allowed {
		c.placeUnderNewRoute(now, key, o)
		return
	}
	o.choice = renewed
	c.setPriority(key, o)
	var u *fleet.Upstream
	if len(o.tried) < _maxOfferAttempts {
		u = c.chooseUpstream(now, o)
	}
	if u == nil && !o.lastResort && len(o.tried) > 0 {
		o.lastResort = true
		o.tried = slices.Clone(o.unanswered)
		u = c.chooseUpstream(now, o)
	}
	if u == nil {
		delete(c.offers, key)
		c.endRefused(now, key, o)
		return
	}
	o.lastSent = now
	o.tried = append(o.tried, u.Sidecar)
	c.counts.Offers++
	if u.Zone != c.self.Zone {
		c.counts.Crossings++
	}
	reason := o.reason
	if o.evacuated && len(o.tried) == 1 {
		c.counts.Evacuated++
		reason = _reasonEvacuated
	}
	c.out.LogDecision(decision.Record{
		Flow: key, Action: decision.Placed, Reason: reason, Target: u.Sidecar, Service: o.choice.service, Version: c.table.Version(),
		Busy: uint16(u.Busy), Slots: uint16(u.Slots), Age: now - u.LoadUpdatedAt, Attempt: len(o.tried), Routine: len(o.tried) == 1 && o.reason == "",
	})
	u.CountOffer()
	if f := c.flows.Get(key); f != nil {
		f.holder, f.choice = u.Sidecar, o.choice
	}
	c.sendOffer(peer.Carried{LastResort: o.lastResort, Waited: now - o.arrival.first, Packet: o.packet}, o.choice, u.Sidecar)
}

// placeUnderNewRoute ends an offer whose service the route has ceased to lead to, and
// places its opening packet anew.
func (c *Core) placeUnderNewRoute(now time.Duration, key flow.Key, o *offer) {
	delete(c.offers, key)
	header, err := c.wire.Decode(o.packet)
	if err != nil {
		c.counts.Malformed++
		return
	}
	c.offerOpening(now, key, header.Seq, &offer{
		packet: o.packet, arrival: o.arrival, reason: _reasonRouteChanged, lastSent: o.lastSent, unanswered: o.unanswered, stale: o.stale,
	})
}

// park stores an opening packet until the relay knows where to send it. Once the
// startup period is over and a configuration is known, it resets the flow instead.
func (c *Core) park(now time.Duration, key flow.Key, arrived arrival, packet []byte, reason string) {
	if now >= _startupPeriod && c.table.Version() > 0 {
		c.sendReset(now, key, 0, reason)
		return
	}
	known := slices.ContainsFunc(c.parked, func(p parked) bool { return p.key == key })
	if known || len(c.parked) >= _maxParked || now-arrived.first > _parkTimeout {
		return
	}
	c.parked = append(c.parked, parked{key: key, arrival: arrived, packet: slices.Clone(packet)})
	c.out.LogDecision(decision.Record{
		Flow: key, Action: decision.Waits, Reason: reason + "_yet", Version: c.table.Version(),
		Age: now - arrived.first, Attempt: len(c.parked),
	})
}

// offerParked offers all parked packets again after a change of the configuration or of
// an upstream. Packets that still have no route or upstream are parked again.
func (c *Core) offerParked(now time.Duration) {
	waiting := c.parked
	c.parked = nil
	for _, p := range waiting {
		header, err := c.wire.Decode(p.packet)
		switch route, _ := c.table.Route(p.key.Address); {
		case err != nil:
			c.counts.Malformed++
		case route.Timeout > 0 && now-p.arrival.first >= route.Timeout:
			c.dropParkedPacket(now, p, "caller_timeout")
		default:
			c.offerOpening(now, p.key, header.Seq, &offer{packet: p.packet, arrival: p.arrival})
		}
	}
}

// expireParked drops parked packets that have waited so long that their callers have
// given up.
func (c *Core) expireParked(now time.Duration) {
	expired := 0
	for expired < len(c.parked) && now-c.parked[expired].arrival.first > _parkTimeout {
		c.dropParkedPacket(now, c.parked[expired], "parked_too_long")
		expired++
	}
	c.parked = c.parked[expired:]
}

// dropParkedPacket counts and logs a parked packet that is dropped because its caller
// has given up.
func (c *Core) dropParkedPacket(now time.Duration, p parked, reason string) {
	c.counts.Dropped++
	c.out.LogDecision(decision.Record{
		Flow: p.key, Action: decision.Dropped, Reason: reason, Version: c.table.Version(), Age: now - p.arrival.first,
	})
}

// chooseUpstream returns the best upstream that was not tried, or nil if there is none.
// If no upstream is usable without doubt, it falls back to ready upstreams whose
// sidecars sent no reports or did not answer offers, since the cause may as well be this
// relay's own network. Upstreams that their own sidecars suspect to have failed come
// last. Upstreams in evacuated zones get no flows in any case; o.evacuated is set if there
// are any.
func (c *Core) chooseUpstream(now time.Duration, o *offer) *fleet.Upstream {
	for tier, usable := range []func(*fleet.Upstream) bool{
		func(u *fleet.Upstream) bool { return c.view.Eligible(now, u) },
		func(u *fleet.Upstream) bool { return u.State == peer.Ready },
		func(u *fleet.Upstream) bool { return u.State == peer.Suspect },
	} {
		c.eligible, c.candidates = c.eligible[:0], c.candidates[:0]
		for _, u := range c.view.Service(o.choice.service) {
			if !usable(u) || slices.Contains(o.tried, u.Sidecar) {
				continue
			}
			if c.evacuations.Contains(u.Zone) {
				o.evacuated = true
				continue
			}
			c.eligible = append(c.eligible, u)
			c.candidates = append(c.candidates, c.candidate(now, o, u))
		}
		if tier == 0 {
			c.keepWithRoom(now, o)
		}
		if best := c.bestCandidate(o); best >= 0 {
			return c.eligible[best]
		}
	}
	return nil
}

// endRefused ends a flow that no upstream has accepted. The caller gets no reset if the flow
// may be open: an offer went unanswered, so the sidecar that did not answer may have accepted
// the flow, or the opening packet is stale.
func (c *Core) endRefused(now time.Duration, key flow.Key, o *offer) {
	if len(o.unanswered) > 0 || o.stale {
		reason := "no_answer_to_offers"
		if o.stale {
			reason = "stale_opening"
		}
		c.counts.Dropped++
		c.out.LogDecision(decision.Record{
			Flow: key, Action: decision.Dropped, Reason: reason, Service: o.choice.service,
			Version: c.table.Version(), Age: now - o.lastSent, Attempt: len(o.tried),
		})
		return
	}
	c.flows.Delete(key)
	c.sendReset(now, key, 0, "all_refused")
	c.noteRefused(now, key.Caller.Addr(), o.arrival)
}

// offerTimedOut penalizes the sidecar that did not answer the last offer in time, and
// offers the packet to another sidecar.
func (c *Core) offerTimedOut(now time.Duration, key flow.Key, o *offer) {
	last := o.tried[len(o.tried)-1]
	c.counts.Unanswered++
	if penalty := c.view.Unanswered(now, last); penalty > 0 {
		c.out.LogBelief(decision.Belief{
			Subject: "sidecar", Name: last.String(), From: "answering", To: "doubted", Reason: "offer_not_answered", Age: penalty,
		})
	}
	o.unanswered = append(o.unanswered, last)
	c.placeOffer(now, key, o)
}

// carry sends a packet of an open flow to the flow's holder, or searches for the holder
// if it is not known.
func (c *Core) carry(now time.Duration, key flow.Key, p flow.Packet, packet []byte) {
	f := c.flows.Get(key)
	c.noteLinkBytes(now, key, f, p, len(packet))
	if f != nil && f.holder.IsValid() && f.question == nil {
		c.counts.Carried++
		if f.deliveredAt > 0 {
			c.returning.roundTrip.observe(now - f.deliveredAt)
			f.deliveredAt = 0
		}
		c.sendCarried(peer.Carried{Kind: peer.KindCarry, Packet: packet}, f.holder)
		return
	}
	if p.Flags.Has(flow.RST) {
		c.counts.Dropped++
		return
	}
	if f == nil {
		f = &flowState{}
		c.flows.Put(key, f)
	}
	c.search(now, key, f, p, packet)
}

// sendCarried sends a packet of an open flow to a sidecar. Its label tells only the version
// in force, from which the sidecar learns of newer ones.
func (c *Core) sendCarried(m peer.Carried, to netip.Addr) {
	m.Version = c.table.Version()
	c.send(m, to)
}

// sendOffer sends an opening packet to a sidecar, labelled with the choice for its flow.
func (c *Core) sendOffer(m peer.Carried, chosen choice, to netip.Addr) {
	m.Kind, m.Service, m.Version = peer.KindOffer, peer.NewServiceID(chosen.service), chosen.version
	c.send(m, to)
}

func (c *Core) send(m peer.Carried, to netip.Addr) {
	m.Origin = c.self.Addr
	c.buffer = m.Append(c.buffer[:0])
	c.out.ToPeer(to, c.buffer)
}

// sendReset sends a reset of the flow to its caller. ack is the acknowledgment number of
// the caller's packet, zero for an opening packet.
func (c *Core) sendReset(now time.Duration, key flow.Key, ack uint32, reason string) {
	c.out.LogDecision(decision.Record{Flow: key, Action: decision.Reset, Reason: reason, Version: c.table.Version()})
	c.writeReset(key, ack)
}

// writeReset counts and sends a reset whose decision is logged by the caller.
func (c *Core) writeReset(key flow.Key, ack uint32) {
	c.counts.Resets++
	c.buffer = c.wire.AppendReset(c.buffer[:0], key, ack)
	c.out.ToCaller(key.Caller.Addr(), c.buffer)
}
