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
// packet and searches for the flow's holder. A search goes through scopes: the sidecars of
// the route's services in the relay's own zone, where most flows are placed; those in all
// zones; and the sidecars of all services, since the route may have led to another service
// when the flow was opened. In each scope it takes the same steps:
//
//	ask    asks the sidecars that have not been asked yet whether they hold the flow
//	try    sends the first packet to those that are unsure: they run for less time than
//	       their upstreams, which accept the packet or return it
//	widen  goes on to the next scope
//
// The next step begins when all sidecars have answered, or when the step's time is over: a
// sidecar whose upstream is down may never answer. Late answers count, and a sidecar that
// is late to answer that it is unsure is tried in the step that follows. A search ends when
// a sidecar holds the flow, when all have denied it, which resets the flow, or after
// _questionTimeout. The next search then skips the sidecars that have denied the flow.

// searchScope is the set of sidecars that a search asks.
type searchScope uint8

// Scopes of a search, from the smallest to the largest.
const (
	ownZone searchScope = iota
	allZones
	allServices
)

// stepTimeout returns how long a step of a search in this scope waits for answers.
func (s searchScope) stepTimeout() time.Duration {
	if s == ownZone {
		return _ownZoneStepTimeout
	}
	return _allZonesStepTimeout
}

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
	q := &question{answers: make(map[netip.Addr]peer.Outcome), started: now, stepAt: now}
	if f.searchFailedAt > 0 {
		q.scope = allZones
		if now-f.searchFailedAt < _denialLifetime {
			for _, addr := range f.deniedBy {
				q.answers[addr] = peer.NotHeld
			}
		}
	}
	f.question = q
	c.questions = append(c.questions, openQuestion{key, f, q})
	return q
}

// checkQuestions takes the next steps of searches in which some sidecars have not answered
// in time, and ends those that time out. The next packet of such a flow starts a new search.
func (c *Core) checkQuestions(now time.Duration) {
	c.questions = slices.DeleteFunc(c.questions, func(q openQuestion) bool {
		if q.state.question == q.question && now-q.started > _questionTimeout {
			c.endUnfinished(now, q.key, q.state)
		}
		if q.state.question == q.question {
			c.advanceSearch(now, q.key, q.state, q.question)
		}
		return q.state.question != q.question
	})
}

// endUnfinished ends a search that has timed out, and notes who has denied the flow.
func (c *Core) endUnfinished(now time.Duration, key flow.Key, f *flowState) {
	q := f.question
	f.question, f.searchFailedAt, f.deniedBy = nil, now, nil
	record := decision.Record{
		Flow: key, Action: decision.Dropped, Reason: "holder_not_found", Version: c.table.Version(), Age: now - q.started, Attempt: len(q.asked),
	}
	for addr, answer := range q.answers {
		if answer == peer.NotHeld {
			f.deniedBy = append(f.deniedBy, addr)
		}
	}
	for _, addr := range q.asked {
		if q.answers[addr] == 0 {
			record.Target = addr // one of those that have not answered
			break
		}
	}
	c.counts.Dropped += uint64(len(q.packets))
	c.counts.SearchesUnfinished++
	c.out.LogDecision(record)
}

// search buffers a packet and starts a search for the holder of its flow if none is
// open.
func (c *Core) search(now time.Duration, key flow.Key, f *flowState, p flow.Packet, packet []byte) {
	if f.question != nil && now-f.question.started > _questionTimeout {
		c.endUnfinished(now, key, f)
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
	q.ack = p.Ack
	if !c.askScope(now, key, q) {
		c.advanceSearch(now, key, f, q)
	}
}

// askScope asks the sidecars in the scope of a search. It reports whether there was one
// that had not been asked before.
func (c *Core) askScope(now time.Duration, key flow.Key, q *question) bool {
	var sidecars []netip.Addr
	switch q.scope {
	case ownZone:
		sidecars = c.sidecarsOfRoute(key, func(u *fleet.Upstream) bool { return u.Zone == c.self.Zone })
	case allZones:
		sidecars = c.sidecarsOfRoute(key, func(*fleet.Upstream) bool { return true })
	case allServices:
		for _, u := range c.view.Sidecars() {
			sidecars = append(sidecars, u.Sidecar)
		}
	}
	return c.askSidecars(now, key, q, sidecars)
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
func (c *Core) askSidecars(now time.Duration, key flow.Key, q *question, sidecars []netip.Addr) bool {
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
	q.unanswered += len(added)
	q.stepAt = now
	c.counts.Asked++
	c.out.LogDecision(decision.Record{
		Flow: key, Action: decision.Asked, Reason: "holder_not_known", Version: c.table.Version(),
		Age: now - q.started, Attempt: len(q.asked), Routine: true,
	})
	for _, addr := range added {
		c.buffer = peer.Question{Origin: c.self.Addr, Flow: key, Ack: q.ack}.Append(c.buffer[:0])
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
	f.holder, f.question, f.searchFailedAt, f.deniedBy = v.Sidecar, nil, 0, nil
	if q == nil {
		return
	}
	c.counts.SearchesFound++
	c.out.ObserveSpan(decision.HolderFound, now-q.started)
	c.out.LogDecision(decision.Record{
		Flow: v.Flow, Action: decision.Found, Reason: v.Outcome.String(), Target: v.Sidecar,
		Version: c.table.Version(), Age: now - q.started, Attempt: len(q.asked), Routine: true,
	})
	if slices.Contains(q.tried, v.Sidecar) {
		q.packets = q.packets[1:] // the holder got the first one when it was tried
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
	answer, asked := q.answers[v.Sidecar]
	if !asked || answer != 0 || v.Outcome == peer.Unsure && slices.Contains(q.tried, v.Sidecar) {
		return
	}
	q.answers[v.Sidecar] = v.Outcome
	q.unanswered--
	if v.Outcome == peer.Unsure {
		q.unsure = append(q.unsure, v.Sidecar)
	}
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

// advanceSearch takes the next steps of a search, as far as answers and time allow.
func (c *Core) advanceSearch(now time.Duration, key flow.Key, f *flowState, q *question) {
	if len(q.packets) == 0 {
		return
	}
	for q.unanswered == 0 || now-q.stepAt >= q.scope.stepTimeout() {
		switch {
		case len(q.unsure) > 0:
			c.tryUnsure(now, q)
		case q.scope < allServices:
			q.scope++
			c.askScope(now, key, q)
		case q.unanswered == 0 && len(q.answers) > 0:
			c.endWithoutHolder(now, key, f, q)
			return
		default:
			return // late answers may arrive until the search times out
		}
	}
}

// tryUnsure sends the first buffered packet to the sidecars that are unsure. They answer
// with Held or NotHeld once their upstream has accepted the packet or returned it.
func (c *Core) tryUnsure(now time.Duration, q *question) {
	c.searchBudget.spend(len(q.unsure) * (len(q.packets[0]) + _packetOverheadBytes))
	for _, addr := range q.unsure {
		q.answers[addr] = 0
		c.counts.Tried++
		c.sendCarried(peer.Carried{Kind: peer.KindTry, Packet: q.packets[0]}, addr)
	}
	q.tried = append(q.tried, q.unsure...)
	q.unanswered += len(q.unsure)
	q.unsure, q.stepAt = nil, now
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
func (c *Core) endWithoutHolder(now time.Duration, key flow.Key, f *flowState, q *question) {
	f.question = nil
	c.counts.SearchesDenied++
	p, err := c.wire.Decode(q.packets[len(q.packets)-1])
	if err != nil {
		c.counts.Malformed++
		return
	}
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
