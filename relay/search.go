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

// A relay that gets a packet of a flow that it does not know asks the sidecars of
// the route's service, which know: first those in its zone, where most flows are
// placed, and the others when these deny it or take too long. It keeps the packets
// meanwhile. If all deny, it asks the sidecars of all services, since the route may
// have led elsewhere before; if some are unsure, they get the packet, which their
// upstream takes or gives back. Only when every sidecar has denied the flow is it
// dead.

// openQuestion is an open search for the holder of a flow.
type openQuestion struct {
	key  flow.Key
	held *held
	*question
}

// startSearch starts a search, or returns nil if too many are open.
func (c *Core) startSearch(now time.Duration, key flow.Key, h *held) *question {
	if len(c.questions) >= _maxQuestions {
		c.counts.Dropped++
		c.out.Decide(decision.Record{
			Flow: key, Action: decision.Dropped, Reason: "too_many_questions", Version: c.table.Version(), Attempt: len(c.questions),
		})
		return nil
	}
	h.question = &question{answers: make(map[netip.Addr]peer.Outcome), started: now}
	c.questions = append(c.questions, openQuestion{key, h, h.question})
	return h.question
}

// checkQuestions asks more sidecars where the first have not answered in time, and
// gives up what nobody answers: the next packet of the flow asks anew.
func (c *Core) checkQuestions(now time.Duration) {
	c.questions = slices.DeleteFunc(c.questions, func(q openQuestion) bool {
		switch age := now - q.started; {
		case q.held.question != q.question:
			return true
		case age > _askTimeout:
			q.held.question, q.held.searched = nil, true
			c.counts.Dropped += uint64(len(q.packets))
			c.out.Decide(decision.Record{
				Flow: q.key, Action: decision.Dropped, Reason: "holder_not_found", Version: c.table.Version(), Age: age, Attempt: len(q.asked),
			})
			return true
		case age >= _widenAfter && !q.wide:
			c.widen(now, q.key, q.question)
		}
		return false
	})
}

// search keeps a packet and asks who holds its flow.
func (c *Core) search(now time.Duration, key flow.Key, h *held, p flow.Packet, packet []byte) {
	if h.question != nil && now-h.question.started > _askTimeout {
		h.question, h.searched = nil, true
	}
	q := h.question
	if q == nil {
		if q = c.startSearch(now, key, h); q == nil {
			return
		}
	}
	if len(q.packets) >= _maxKept {
		c.counts.Dropped++
		return
	}
	q.packets = append(q.packets, slices.Clone(packet))
	if len(q.packets) > 1 {
		return
	}
	near := c.ofService(key, func(u *fleet.Upstream) bool { return u.Zone == c.self.Zone })
	if h.searched || !c.ask(now, key, q, p.Ack, near) {
		c.widen(now, key, q)
	}
}

// widen asks the sidecars of the route's service in all zones. It reports whether
// there were any to ask.
func (c *Core) widen(now time.Duration, key flow.Key, q *question) bool {
	q.wide = true
	p, err := c.wire.Decode(q.packets[0])
	if err != nil {
		c.counts.Malformed++
		return false
	}
	return c.ask(now, key, q, p.Ack, c.ofService(key, func(*fleet.Upstream) bool { return true }))
}

// ofService returns the sidecars of the services that a flow's route leads to.
func (c *Core) ofService(key flow.Key, where func(*fleet.Upstream) bool) []netip.Addr {
	var sidecars []netip.Addr
	for _, s := range c.table.Services(key.Address) {
		for _, u := range c.view.Service(s.Service) {
			if where(u) {
				sidecars = append(sidecars, u.Sidecar)
			}
		}
	}
	return sidecars
}

// ask asks sidecars that were not asked yet. It reports whether there were any.
func (c *Core) ask(now time.Duration, key flow.Key, q *question, ack uint32, sidecars []netip.Addr) bool {
	first := len(q.asked)
	for _, addr := range sidecars {
		if _, known := q.answers[addr]; !known {
			q.answers[addr] = 0
			q.asked = append(q.asked, addr)
		}
	}
	added := q.asked[first:]
	if len(added) == 0 || !c.spend(now, len(added)*_questionBytes) {
		return len(added) > 0
	}
	c.counts.Asked++
	c.out.Decide(decision.Record{
		Flow: key, Action: decision.Asked, Reason: "holder_not_known", Version: c.table.Version(),
		Age: now - q.started, Attempt: len(q.asked), Routine: true,
	})
	for _, addr := range added {
		c.buffer = peer.Question{Origin: c.self.Addr, Flow: key, Ack: ack}.Append(c.buffer[:0])
		c.out.ToPeer(addr, c.buffer)
	}
	return true
}

// spend takes bytes from the budget of searches. What does not fit is not sent;
// the caller repeats its packet.
func (c *Core) spend(now time.Duration, size int) bool {
	c.searchBudget = min(c.searchBudget+(now-c.searchAt).Seconds()*_searchPerSecond, _searchBurst)
	c.searchAt = now
	if c.searchBudget < float64(size) {
		c.counts.Dropped++
		return false
	}
	c.searchBudget -= float64(size)
	return true
}

// found takes the answer of the sidecar that holds a flow, and sends it what was
// kept.
func (c *Core) found(now time.Duration, v peer.Verdict, h *held) {
	if h == nil {
		return
	}
	q := h.question
	h.sidecar, h.question, h.searched = v.Sidecar, nil, false
	if q == nil {
		return
	}
	c.out.Observe(decision.HolderFound, now-q.started)
	c.out.Decide(decision.Record{
		Flow: v.Flow, Action: decision.Found, Reason: v.Outcome.String(), Target: v.Sidecar,
		Version: c.table.Version(), Age: now - q.started, Attempt: len(q.asked), Routine: true,
	})
	if q.tried {
		q.packets = q.packets[1:] // it has the first
	}
	for _, packet := range q.packets {
		c.send(peer.Carried{Kind: peer.KindCarry, Packet: packet}, v.Sidecar)
	}
}

// denied takes the answer of a sidecar that does not hold a flow, or is unsure.
func (c *Core) denied(now time.Duration, v peer.Verdict, h *held) {
	if h == nil {
		return
	}
	q := h.question
	if q == nil {
		c.holderDenies(now, v, h)
		return
	}
	if _, asked := q.answers[v.Sidecar]; !asked {
		return
	}
	q.answers[v.Sidecar] = v.Outcome
	c.conclude(now, v.Flow, h, q)
}

// holderDenies starts a search for a flow whose supposed holder has given a
// packet back.
func (c *Core) holderDenies(now time.Duration, v peer.Verdict, h *held) {
	p, err := c.wire.Decode(v.Packet)
	if h.sidecar != v.Sidecar || err != nil {
		return
	}
	h.sidecar = netip.Addr{}
	if q := c.startSearch(now, v.Flow, h); q != nil {
		q.answers[v.Sidecar] = peer.NotHeld
		c.search(now, v.Flow, h, p, v.Packet)
	}
}

// conclude goes on with a search when all that were asked have answered.
func (c *Core) conclude(now time.Duration, key flow.Key, h *held, q *question) {
	var unsure []netip.Addr
	for _, addr := range q.asked {
		switch q.answers[addr] {
		case 0:
			return
		case peer.Unsure:
			unsure = append(unsure, addr)
		}
	}
	if len(q.packets) == 0 {
		return
	}
	last := q.packets[len(q.packets)-1]
	p, err := c.wire.Decode(last)
	if err != nil {
		c.counts.Malformed++
		return
	}
	if len(unsure) > 0 {
		c.try(now, q, unsure)
		return
	}
	if !q.wide && c.widen(now, key, q) {
		return
	}
	if !q.everywhere {
		q.everywhere = true
		var all []netip.Addr
		for _, u := range c.view.Sidecars() {
			all = append(all, u.Sidecar)
		}
		if c.ask(now, key, q, p.Ack, all) {
			return
		}
	}
	c.dead(now, key, h, p)
}

// try sends the first packet to the sidecars that are unsure. Their next answer
// is sure.
func (c *Core) try(now time.Duration, q *question, unsure []netip.Addr) {
	if q.tried || !c.spend(now, len(unsure)*(len(q.packets[0])+_packetBytes)) {
		return
	}
	q.tried = true
	for _, addr := range unsure {
		q.answers[addr] = 0
		c.counts.Tried++
		c.send(peer.Carried{Kind: peer.KindTry, Packet: q.packets[0]}, addr)
	}
}

// dead resets a flow that every sidecar has denied.
func (c *Core) dead(now time.Duration, key flow.Key, h *held, p flow.Packet) {
	h.question = nil
	record := decision.Record{Flow: key, Action: decision.Dropped, Version: c.table.Version()}
	switch {
	case now < _settled:
		record.Reason = "holder_not_known_yet"
	case h.offered > 0 && now-h.offered < _openTimeout:
		record.Reason, record.Age = "still_opening", now-h.offered
	case p.Size == 0 && p.Flags.Has(flow.FIN):
		record.Reason = "caller_closes" // it needs no reset to act on
	default:
		c.reset(now, key, p.Ack, "no_holder")
		return
	}
	c.counts.Dropped++
	c.out.Decide(record)
}
