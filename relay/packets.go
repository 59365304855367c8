package relay

import (
	"net/netip"
	"slices"
	"time"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/fleet"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/placement"
)

// CallerPacket takes a packet that a router handed to this relay.
func (c *Core) CallerPacket(now time.Duration, packet []byte) {
	c.counts.Packets++
	p, err := c.wire.Decode(packet)
	if err != nil {
		c.counts.Malformed++
		return
	}
	key := p.FromCaller()
	if p.Opening() {
		c.counts.Opening++
		c.open(now, key, p, packet)
		return
	}
	c.carry(now, key, p, packet)
}

// open places a new flow. Copies of an opening packet go where the first went,
// as long as that sidecar answers.
func (c *Core) open(now time.Duration, key flow.Key, p flow.Packet, packet []byte) {
	if h := c.flows.Get(key); h != nil && h.opening == p.Seq && h.offered > 0 && h.sidecar.IsValid() {
		u := c.view.Upstream(h.sidecar)
		if now-h.offered < _openTimeout && u != nil && !u.Penalized(now) && u.State != peer.Suspect {
			c.send(peer.Carried{
				Kind: peer.KindOffer, Service: peer.NewServiceID(u.Service), Waited: now - h.asked.came, Packet: packet,
			}, h.sidecar)
			return
		}
	}
	asked := firstAsk{came: now - p.Age}
	if p.Age == 0 {
		asked = c.returning.back(now, key.Caller.Addr())
	}
	c.offer(now, key, p.Seq, asked, packet)
}

// offer offers an opening packet.
func (c *Core) offer(now time.Duration, key flow.Key, seq uint32, asked firstAsk, packet []byte) {
	service, ok := c.table.Service(key)
	if !ok {
		c.park(now, key, asked, packet, "no_route")
		return
	}
	o := &offer{packet: slices.Clone(packet), service: service, asked: asked, last: c.isLate(now, key, asked.came)}
	if c.choose(now, o) == nil {
		c.park(now, key, asked, packet, "no_upstream")
		return
	}
	c.flows.Put(key, &held{opening: seq, asked: asked, offered: now})
	c.offers[key] = o
	c.place(now, key, o)
}

// isLate reports whether a flow whose opening packet came first at a time will not
// be answered within its route's target any more. No upstream then takes it as
// one that would be, so the first that is asked must take it as it is.
func (c *Core) isLate(now time.Duration, key flow.Key, came time.Duration) bool {
	route, ok := c.table.Route(key.Address)
	return ok && route.Target > 0 && now-came >= route.Target
}

// place offers an opening packet to the best upstream that was not tried yet.
// When all are busy, the least busy one gets it all the same.
func (c *Core) place(now time.Duration, key flow.Key, o *offer) {
	var u *fleet.Upstream
	if len(o.tried) < _maxAttempts {
		u = c.choose(now, o)
	}
	if u == nil && !o.last && len(o.tried) > 0 {
		o.last = true
		o.tried = slices.Clone(o.silent)
		u = c.choose(now, o)
	}
	if u == nil {
		delete(c.offers, key)
		c.refuse(now, key, o)
		return
	}
	o.sent = now
	o.tried = append(o.tried, u.Sidecar)
	c.counts.Offers++
	c.out.Decide(decision.Record{
		Flow: key, Action: decision.Placed, Target: u.Sidecar, Service: o.service, Version: c.table.Version(),
		Busy: uint16(u.Busy), Slots: uint16(u.Slots), Age: now - u.Loaded, Attempt: len(o.tried), Routine: len(o.tried) == 1,
	})
	u.Picked()
	if h := c.flows.Get(key); h != nil {
		h.sidecar = u.Sidecar
	}
	c.send(peer.Carried{
		Kind: peer.KindOffer, Service: peer.NewServiceID(o.service), Last: o.last, Waited: now - o.asked.came, Packet: o.packet,
	}, u.Sidecar)
}

// park keeps an opening packet that a relay which has just started does not know
// where to send. Later such a packet is refused at once.
func (c *Core) park(now time.Duration, key flow.Key, asked firstAsk, packet []byte, reason string) {
	if now >= _settled && c.table.Version() > 0 {
		c.reset(now, key, 0, reason)
		return
	}
	known := slices.ContainsFunc(c.parked, func(p parked) bool { return p.key == key })
	if known || len(c.parked) >= _maxParked || now-asked.came > _parkTimeout {
		return
	}
	c.parked = append(c.parked, parked{key: key, asked: asked, packet: slices.Clone(packet)})
	c.out.Decide(decision.Record{
		Flow: key, Action: decision.Waits, Reason: reason + "_yet", Version: c.table.Version(), Age: now - asked.came, Attempt: len(c.parked),
	})
}

// openParked offers what is parked, now that the relay knows more.
func (c *Core) openParked(now time.Duration) {
	waiting := c.parked
	c.parked = nil
	for _, p := range waiting {
		header, err := c.wire.Decode(p.packet)
		switch route, _ := c.table.Route(p.key.Address); {
		case err != nil:
			c.counts.Malformed++
		case route.Timeout > 0 && now-p.asked.came >= route.Timeout:
			c.tooLate(now, p, "caller_timeout")
		default:
			c.offer(now, p.key, header.Seq, p.asked, p.packet)
		}
	}
}

// dropParked drops what has waited for so long that its caller has given up.
func (c *Core) dropParked(now time.Duration) {
	old := 0
	for old < len(c.parked) && now-c.parked[old].asked.came > _parkTimeout {
		c.tooLate(now, c.parked[old], "parked_too_long")
		old++
	}
	c.parked = c.parked[old:]
}

// tooLate drops a parked packet whose caller has given up.
func (c *Core) tooLate(now time.Duration, p parked, reason string) {
	c.counts.Dropped++
	c.out.Decide(decision.Record{
		Flow: p.key, Action: decision.Dropped, Reason: reason, Version: c.table.Version(), Age: now - p.asked.came,
	})
}

// choose returns the best upstream that was not tried, nil if there is none.
// Where all are doubted, the doubt is as likely to be about this relay's own
// links, so doubted ones are tried before a flow is refused, and then those that
// their sidecars suspect.
func (c *Core) choose(now time.Duration, o *offer) *fleet.Upstream {
	for _, takes := range []func(*fleet.Upstream) bool{
		func(u *fleet.Upstream) bool { return c.view.Takes(now, u) },
		func(u *fleet.Upstream) bool { return u.State == peer.Ready },
		func(u *fleet.Upstream) bool { return u.State == peer.Suspect },
	} {
		c.eligible, c.scratch = c.eligible[:0], c.scratch[:0]
		for _, u := range c.view.Service(o.service) {
			if !takes(u) || slices.Contains(o.tried, u.Sidecar) {
				continue
			}
			c.eligible = append(c.eligible, u)
			c.scratch = append(c.scratch, placement.Candidate{Busy: u.Busy, Slots: u.Slots, SameZone: u.Zone == c.self.Zone})
		}
		if best := placement.Choose(c.scratch, c.random); best >= 0 {
			return c.eligible[best]
		}
	}
	return nil
}

// refuse ends an opening packet that no upstream takes. The caller gets no reset
// if an offer was not answered, since that sidecar may have taken it.
func (c *Core) refuse(now time.Duration, key flow.Key, o *offer) {
	if len(o.silent) > 0 {
		c.counts.Dropped++
		c.out.Decide(decision.Record{
			Flow: key, Action: decision.Dropped, Reason: "no_answer_to_offers", Service: o.service,
			Version: c.table.Version(), Age: now - o.sent, Attempt: len(o.tried),
		})
		return
	}
	c.flows.Delete(key)
	c.reset(now, key, 0, "all_refused")
	c.returning.refused(now, key.Caller.Addr(), o.asked)
}

// unanswered doubts the sidecar that did not answer an offer and places the
// packet elsewhere.
func (c *Core) unanswered(now time.Duration, key flow.Key, o *offer) {
	last := o.tried[len(o.tried)-1]
	c.counts.Unanswered++
	if penalty := c.view.Unanswered(now, last); penalty > 0 {
		c.out.Believe(decision.Belief{
			Subject: "sidecar", Name: last.String(), From: "answering", To: "doubted", Reason: "offer_not_answered", Age: penalty,
		})
	}
	o.silent = append(o.silent, last)
	c.place(now, key, o)
}

// carry sends a packet of an open flow to its holder, or asks who that is.
func (c *Core) carry(now time.Duration, key flow.Key, p flow.Packet, packet []byte) {
	h := c.flows.Get(key)
	if h != nil && h.sidecar.IsValid() && h.question == nil {
		c.counts.Carried++
		c.send(peer.Carried{Kind: peer.KindCarry, Packet: packet}, h.sidecar)
		return
	}
	if p.Flags.Has(flow.RST) {
		c.counts.Dropped++
		return
	}
	if h == nil {
		h = &held{}
		c.flows.Put(key, h)
	}
	c.search(now, key, h, p, packet)
}

// send sends a caller's packet to a sidecar.
func (c *Core) send(m peer.Carried, to netip.Addr) {
	m.Origin, m.Version = c.self.Addr, c.table.Version()
	c.buffer = m.Append(c.buffer[:0])
	c.out.ToPeer(to, c.buffer)
}

// reset ends a flow towards its caller.
func (c *Core) reset(now time.Duration, key flow.Key, ack uint32, reason string) {
	c.counts.Resets++
	c.out.Decide(decision.Record{Flow: key, Action: decision.Reset, Reason: reason, Version: c.table.Version()})
	c.buffer = c.wire.AppendReset(c.buffer[:0], key, ack)
	c.out.ToCaller(key.Caller.Addr(), c.buffer)
}
