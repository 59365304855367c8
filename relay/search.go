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

// When a relay receives a packet of a flow that is not in its cache, it buffers the
// packet and searches for the flow's holder:
//
//   - It asks the sidecars of the route's services in its own zone, where most flows are
//     placed.
//   - If all of them deny the flow, or some take too long to answer, it asks the
//     sidecars in other zones.
//   - If some sidecars are unsure, since they were started after their upstreams and
//     may not know all flows, it sends them the first packet. Their upstreams accept
//     the packet or return it.
//   - If all deny the flow, it asks the sidecars of all services, since the route may
//     have led to another service when the flow was opened.
//
// It resets the flow only when every sidecar has denied it.

// openQuestion is an entry in the list of open questions. It is stale once state refers
// to another question or to none.
type openQuestion struct {
	key   flow.Key
	state *flowState
	*question
}

// startSearch opens a question for the holder of a flow. It returns nil if too many
// questions are open or the search budget does not suffice: the caller will repeat its
// packet.
func (c *Core) startSearch(now time.Duration, key flow.Key, f *flowState) *question {
	reason := ""
	switch {
	case len(c.questions) >= _maxQuestions:
		reason = "too_many_questions"
	case !c.searchBudget.allows(now, c.view.SidecarCount()):
		reason = "search_budget"
	}
	if reason != "" {
		c.counts.Dropped++
		c.out.LogDecision(decision.Record{
			Flow: key, Action: decision.Dropped, Reason: reason, Version: c.table.Version(), Attempt: len(c.questions),
		})
		return nil
	}
	f.question = &question{answers: make(map[netip.Addr]peer.Outcome), started: now}
	c.questions = append(c.questions, openQuestion{key, f, f.question})
	return f.question
}

// checkQuestions widens searches in which some sidecars have not answered in time, and
// ends those that time out. The next packet of such a flow starts a new search.
func (c *Core) checkQuestions(now time.Duration) {
	c.questions = slices.DeleteFunc(c.questions, func(q openQuestion) bool {
		switch age := now - q.started; {
		case q.state.question != q.question:
			return true
		case age > _questionTimeout:
			q.state.question, q.state.searchFailed = nil, true
			c.counts.Dropped += uint64(len(q.packets))
			c.out.LogDecision(decision.Record{
				Flow: q.key, Action: decision.Dropped, Reason: "holder_not_found", Version: c.table.Version(), Age: age, Attempt: len(q.asked),
			})
			return true
		case age >= _widenSearchAfter && !q.askedAllZones:
			c.askAllZones(now, q.key, q.question)
		}
		return false
	})
}

// search buffers a packet and starts a search for the holder of its flow if none is
// open.
func (c *Core) search(now time.Duration, key flow.Key, f *flowState, p flow.Packet, packet []byte) {
	if f.question != nil && now-f.question.started > _questionTimeout {
		f.question, f.searchFailed = nil, true
	}
	q := f.question
	if q == nil {
		if q = c.startSearch(now, key, f); q == nil {
			return
		}
	}
	if len(q.packets) >= _maxBufferedPackets {
		c.counts.Dropped++
		return
	}
	q.packets = append(q.packets, slices.Clone(packet))
	if len(q.packets) > 1 {
		return
	}
	ownZone := c.sidecarsOfRoute(key, func(u *fleet.Upstream) bool { return u.Zone == c.self.Zone })
	if f.searchFailed || !c.askSidecars(now, key, q, p.Ack, ownZone) {
		c.askAllZones(now, key, q)
	}
}

// askAllZones asks the sidecars of the route's services in all zones. It reports whether
// any of them had not been asked before.
func (c *Core) askAllZones(now time.Duration, key flow.Key, q *question) bool {
	q.askedAllZones = true
	p, err := c.wire.Decode(q.packets[0])
	if err != nil {
		c.counts.Malformed++
		return false
	}
	return c.askSidecars(now, key, q, p.Ack, c.sidecarsOfRoute(key, func(*fleet.Upstream) bool { return true }))
}

// sidecarsOfRoute returns the sidecars of the services that a flow's route leads to,
// without those for whose upstream match returns false.
func (c *Core) sidecarsOfRoute(key flow.Key, match func(*fleet.Upstream) bool) []netip.Addr {
	var sidecars []netip.Addr
	for _, s := range c.table.Shares(key.Address) {
		for _, u := range c.view.Service(s.Service) {
			if match(u) {
				sidecars = append(sidecars, u.Sidecar)
			}
		}
	}
	return sidecars
}

// askSidecars sends the question to each of the given sidecars that has not been asked
// yet, and reports whether there was such a sidecar.
func (c *Core) askSidecars(now time.Duration, key flow.Key, q *question, ack uint32, sidecars []netip.Addr) bool {
	added := slices.DeleteFunc(sidecars, func(addr netip.Addr) bool {
		_, known := q.answers[addr]
		return known
	})
	if len(added) == 0 {
		return false
	}
	c.searchBudget.spend(len(added) * _questionBytes)
	q.asked = append(q.asked, added...)
	for _, addr := range added {
		q.answers[addr] = 0
	}
	c.counts.Asked++
	c.out.LogDecision(decision.Record{
		Flow: key, Action: decision.Asked, Reason: "holder_not_known", Version: c.table.Version(),
		Age: now - q.started, Attempt: len(q.asked), Routine: true,
	})
	for _, addr := range added {
		c.buffer = peer.Question{Origin: c.self.Addr, Flow: key, Ack: ack}.Append(c.buffer[:0])
		c.out.ToPeer(addr, c.buffer)
	}
	return true
}

// searchBudget is the token bucket for searches. A search begins only if the bucket holds
// enough for questions to all sidecars. Its later steps may overdraw the bucket, so that
// what was spent on a search is not lost because the rest of it is not affordable.
type searchBudget struct {
	// bytes is how much searches may send, as of updatedAt.
	bytes     float64
	updatedAt time.Duration
}

// allows reports whether a search that may ask the given number of sidecars may begin.
func (b *searchBudget) allows(now time.Duration, sidecars int) bool {
	b.bytes = min(b.bytes+(now-b.updatedAt).Seconds()*_searchBytesPerSecond, _searchBurstBytes)
	b.updatedAt = now
	return b.bytes >= min(float64(sidecars*_questionBytes), _searchBurstBytes/2)
}

func (b *searchBudget) spend(size int) { b.bytes -= float64(size) }

// handleHeld records the sidecar that has answered that it holds a flow, and sends it
// the buffered packets.
func (c *Core) handleHeld(now time.Duration, v peer.Verdict, f *flowState) {
	if f == nil {
		return
	}
	q := f.question
	f.holder, f.question, f.searchFailed = v.Sidecar, nil, false
	if q == nil {
		return
	}
	c.out.ObserveSpan(decision.HolderFound, now-q.started)
	c.out.LogDecision(decision.Record{
		Flow: v.Flow, Action: decision.Found, Reason: v.Outcome.String(), Target: v.Sidecar,
		Version: c.table.Version(), Age: now - q.started, Attempt: len(q.asked), Routine: true,
	})
	if slices.Contains(q.tried, v.Sidecar) {
		q.packets = q.packets[1:] // the holder got the first one from tryUnsure
	}
	for _, packet := range q.packets {
		c.sendCarried(peer.Carried{Kind: peer.KindCarry, Packet: packet}, v.Sidecar)
	}
}

// handleDenial handles the answer of a sidecar that does not hold a flow or is unsure.
func (c *Core) handleDenial(now time.Duration, v peer.Verdict, f *flowState) {
	if f == nil {
		return
	}
	q := f.question
	if q == nil {
		c.holderDenied(now, v, f)
		return
	}
	if _, asked := q.answers[v.Sidecar]; !asked {
		return
	}
	q.answers[v.Sidecar] = v.Outcome
	c.advanceSearch(now, v.Flow, f, q)
}

// holderDenied starts a search for a flow whose presumed holder has given a packet
// back because it does not hold the flow.
func (c *Core) holderDenied(now time.Duration, v peer.Verdict, f *flowState) {
	p, err := c.wire.Decode(v.Packet)
	if f.holder != v.Sidecar || err != nil {
		return
	}
	f.holder = netip.Addr{}
	if q := c.startSearch(now, v.Flow, f); q != nil {
		q.answers[v.Sidecar] = peer.NotHeld
		c.search(now, v.Flow, f, p, v.Packet)
	}
}

// advanceSearch takes the next step of a search once all sidecars that were asked have
// answered.
func (c *Core) advanceSearch(now time.Duration, key flow.Key, f *flowState, q *question) {
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
		c.tryUnsure(q, unsure)
		return
	}
	if !q.askedAllZones && c.askAllZones(now, key, q) {
		return
	}
	if !q.askedAllServices {
		q.askedAllServices = true
		var all []netip.Addr
		for _, u := range c.view.Sidecars() {
			all = append(all, u.Sidecar)
		}
		if c.askSidecars(now, key, q, p.Ack, all) {
			return
		}
	}
	c.endWithoutHolder(now, key, f, p)
}

// tryUnsure sends the first buffered packet to the sidecars that are unsure. They answer
// with Held or NotHeld once their upstream has accepted the packet or returned it.
func (c *Core) tryUnsure(q *question, unsure []netip.Addr) {
	if len(q.tried) > 0 {
		return
	}
	c.searchBudget.spend(len(unsure) * (len(q.packets[0]) + _packetOverheadBytes))
	q.tried = unsure
	for _, addr := range unsure {
		q.answers[addr] = 0
		c.counts.Tried++
		c.sendCarried(peer.Carried{Kind: peer.KindTry, Packet: q.packets[0]}, addr)
	}
}

// knowsSidecars reports whether this relay knows all sidecars that may hold flows, so that
// a flow that all of them deny has no holder.
func (c *Core) knowsSidecars(now time.Duration) bool {
	if now >= _startupPeriod {
		return true
	}
	// A relay that hears from no other one may be cut off from sidecars, too.
	connected := !c.view.Isolated() || c.view.RelayCount() == 0
	return connected && now >= _minSearchStartup && now-c.lastNewSidecar >= _discoveryQuietPeriod && c.view.AllHeard()
}

// endWithoutHolder ends the search for a flow that every sidecar has denied. It resets
// the flow, unless the relay has just started, the flow may still be opening, or the
// packet only closes the flow.
func (c *Core) endWithoutHolder(now time.Duration, key flow.Key, f *flowState, p flow.Packet) {
	f.question = nil
	record := decision.Record{Flow: key, Action: decision.Dropped, Version: c.table.Version()}
	switch {
	case !c.knowsSidecars(now):
		record.Reason = "holder_not_known_yet"
	case f.firstOffered > 0 && now-f.firstOffered < _callerOpenTimeout:
		record.Reason, record.Age = "still_opening", now-f.firstOffered
	case p.Size == 0 && p.Flags.Has(flow.FIN):
		record.Reason = "caller_closes" // the caller is closing the flow and needs no reset
	default:
		c.sendReset(now, key, p.Ack, "no_holder")
		return
	}
	c.counts.Dropped++
	c.out.LogDecision(record)
}
