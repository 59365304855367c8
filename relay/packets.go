package relay

import (
	"net/netip"
	"slices"
	"strconv"
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
			c.send(peer.KindOffer, h.sidecar, peer.NewServiceID(u.Service), packet)
			return
		}
	}
	service, ok := c.table.Service(key)
	if !ok {
		c.refuseUnrouted(now, key, "no_route")
		return
	}
	o := &offer{packet: slices.Clone(packet), service: service}
	c.flows.Put(key, &held{opening: p.Seq, offered: now})
	c.offers[key] = o
	c.place(now, key, o)
}

// place offers an opening packet to the best upstream that was not tried yet.
func (c *Core) place(now time.Duration, key flow.Key, o *offer) {
	u := c.choose(now, o)
	if u == nil || len(o.tried) >= _maxAttempts {
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
	c.send(peer.KindOffer, u.Sidecar, peer.NewServiceID(o.service), o.packet)
}

// choose returns the best upstream that was not tried, nil if there is none.
// Where all are doubted, the doubt is as likely to be about this relay's own
// links, so doubted ones are tried before a flow is refused.
func (c *Core) choose(now time.Duration, o *offer) *fleet.Upstream {
	for _, takes := range []func(*fleet.Upstream) bool{
		func(u *fleet.Upstream) bool { return c.view.Takes(now, u) },
		func(u *fleet.Upstream) bool { return u.State == peer.Ready },
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
	if len(o.tried) == 0 {
		c.flows.Delete(key)
		c.refuseUnrouted(now, key, "no_upstream")
		return
	}
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
}

// refuseUnrouted resets an opening packet that has nowhere to go. A relay that
// has just started knows too little to refuse; the caller repeats its packet.
func (c *Core) refuseUnrouted(now time.Duration, key flow.Key, reason string) {
	if now < _settled {
		c.counts.Dropped++
		c.out.Decide(decision.Record{Flow: key, Action: decision.Dropped, Reason: reason + "_yet", Version: c.table.Version(), Age: now})
		return
	}
	c.reset(now, key, 0, reason)
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
		c.send(peer.KindCarry, h.sidecar, 0, packet)
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
	c.ask(now, key, h, packet)
}

// ask sends a packet to every sidecar that may hold the flow. Only the holder
// gives it to its upstream.
func (c *Core) ask(now time.Duration, key flow.Key, h *held, packet []byte) {
	q := h.question
	if q == nil || now-q.started > _askTimeout {
		q = &question{open: make(map[netip.Addr]bool), started: now}
		h.question = q
	}
	if q.sent >= _maxAsks {
		c.counts.Dropped++
		return
	}
	q.sent++
	q.packet = append(q.packet[:0], packet...)
	shares := c.table.Services(key.Address)
	for _, s := range shares {
		for _, u := range c.view.Service(s.Service) {
			q.ask(u.Sidecar)
		}
	}
	if len(q.asked) == 0 {
		c.askEverywhere(now, key, q)
		return
	}
	c.sendQuestion(now, key, q)
}

// askEverywhere widens a question to all services: the route may have led
// elsewhere when the flow was opened.
func (c *Core) askEverywhere(now time.Duration, key flow.Key, q *question) {
	q.everywhere = true
	for _, u := range c.view.Sidecars() {
		q.ask(u.Sidecar)
	}
	c.sendQuestion(now, key, q)
}

func (c *Core) sendQuestion(now time.Duration, key flow.Key, q *question) {
	c.counts.Asked++
	c.out.Decide(decision.Record{
		Flow: key, Action: decision.Asked, Reason: "holder_not_known", Version: c.table.Version(),
		Age: now - q.started, Attempt: q.sent, Busy: uint16(len(q.asked)), Slots: uint16(c.view.SidecarCount()), Routine: true,
	})
	for _, addr := range q.asked {
		if q.open[addr] {
			c.send(peer.KindLocate, addr, 0, q.packet)
		}
	}
}

// ask adds a sidecar to the question unless it was asked.
func (q *question) ask(addr netip.Addr) {
	if _, asked := q.open[addr]; !asked {
		q.asked = append(q.asked, addr)
		q.open[addr] = true
	}
}

func (c *Core) send(kind peer.Kind, to netip.Addr, service peer.ServiceID, packet []byte) {
	c.buffer = peer.Carried{
		Kind: kind, Origin: c.self.Addr, Service: service, Version: c.table.Version(), Packet: packet,
	}.Append(c.buffer[:0])
	c.out.ToPeer(to, c.buffer)
}

// reset ends a flow towards its caller.
func (c *Core) reset(now time.Duration, key flow.Key, ack uint32, reason string) {
	c.counts.Resets++
	c.out.Decide(decision.Record{Flow: key, Action: decision.Reset, Reason: reason, Version: c.table.Version()})
	c.buffer = c.wire.AppendReset(c.buffer[:0], key, ack)
	c.out.ToCaller(key.Caller.Addr(), c.buffer)
}

func version(v uint64) string { return strconv.FormatUint(v, 10) }
