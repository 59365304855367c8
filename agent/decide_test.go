package agent

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/service"
)

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

// mostly draws the usual value with six times the probability of each of the others.
func mostly[T any](t *rapid.T, name string, usual T, others ...T) T {
	all := append([]T{usual, usual, usual, usual, usual, usual}, others...)
	return rapid.SampledFrom(all).Draw(t, name)
}

// drawAgentState draws the state of an agent that usually can admit a flow.
func drawAgentState(t *rapid.T, self netip.AddrPort) agentState {
	return agentState{
		self: self, service: 1, incarnation: 5,
		keeperAnswered: mostly(t, "keeper answered", true, false), handshakesFull: mostly(t, "handshakes full", false, true),
		level: rapid.Uint32Range(0, 9).Draw(t, "level"), flowLevel: 1,
		state: mostly(t, "state", service.Serving, service.Starting, service.Draining, service.Draining),
	}
}

// drawArrival draws a packet. It usually is an offer to the agent at addrOf(1).
func drawArrival(t *rapid.T) arrival {
	a := arrival{
		kind:     mostly(t, "type", packet.Initial, packet.Short, packet.Short, packet.Handshake, packet.EarlyData, packet.OtherVersion),
		validCID: rapid.Bool().Draw(t, "valid CID"),
		held:     mostly(t, "held", false, true),
		header: packet.Header{
			Kind:    mostly(t, "kind", packet.Offer, packet.Flow, packet.Flow, packet.Reply),
			Service: mostly(t, "service", service.ID(1), 2),
			Count:   rapid.Uint8Range(0, packet.MaxCandidates).Draw(t, "count"),
		},
	}
	if a.header.Kind == packet.Offer {
		a.header.Count = max(a.header.Count, 1)
		a.header.Hop = rapid.Uint8Range(0, a.header.Count-1).Draw(t, "hop")
	}
	for i := range a.header.Count {
		a.header.Candidates[i] = addrOf(rapid.IntRange(2, 4).Draw(t, "candidate"))
	}
	a.header.Candidates[a.header.Hop] = mostly(t, "self", addrOf(1), addrOf(2))
	if !a.held {
		a.passed = rapid.Bool().Draw(t, "passed")
		a.refused = !a.passed && rapid.Bool().Draw(t, "refused")
		a.retransmitted = (a.passed || a.refused) && rapid.Bool().Draw(t, "retransmitted")
		a.passedTo.hop = rapid.Uint8Range(0, packet.MaxCandidates-1).Draw(t, "passed to")
		a.passedTo.target = a.header.Candidates[a.passedTo.hop]
	}
	for i := range a.header.Count {
		a.estimates[i] = estimate{
			known: rapid.Bool().Draw(t, "known"),
			load:  packet.Load{Level: rapid.Uint32Range(0, 9).Draw(t, "peer"), Room: rapid.Bool().Draw(t, "room")},
		}
	}
	if a.validCID {
		a.cid = packet.CID{
			Service:     service.ID(rapid.IntRange(1, 2).Draw(t, "cid service")),
			Agent:       addrOf(rapid.IntRange(1, 2).Draw(t, "cid agent")),
			Incarnation: service.Incarnation(rapid.IntRange(4, 6).Draw(t, "cid incarnation")),
		}
	}
	return a
}

// TestDecideInvariants checks the conditions under which each action may be chosen,
// on random packets and agent states.
func TestDecideInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 20 {
			checkInvariants(t, drawAgentState(t, addrOf(1)), drawArrival(t))
		}
	})
}

func checkInvariants(t *rapid.T, s agentState, a arrival) {
	ownFlow := a.validCID && a.cid.Agent == s.self && a.cid.Incarnation == s.incarnation && a.cid.Service == s.service
	earlierRun := a.validCID && a.cid.Agent == s.self && a.cid.Incarnation < s.incarnation
	forAgent := a.header.Service == s.service && a.header.Kind != packet.Reply
	got := decide(s, a)
	if forAgent && a.header.Kind == packet.Flow && ownFlow {
		assert.Equal(t, got, action(deliver{}), "packet of an open flow is not delivered")
	}
	switch got := got.(type) {
	case deliver:
		assert.Check(t, forAgent && (ownFlow || a.held || a.kind == packet.OtherVersion))
	case validate:
		assert.Check(t, forAgent && s.state == service.Serving && s.keeperAnswered && a.kind == packet.Initial && !a.held && s.handshakesFull)
	case admit:
		assert.Check(t, forAgent && s.state == service.Serving && s.keeperAnswered && a.kind == packet.Initial && !a.held && !s.handshakesFull)
		assert.Check(t, !a.refused || a.retransmitted, "another packet of a refused Initial is admitted")
		_, nested := got.fallback.(admit)
		assert.Check(t, !nested)
	case refuse:
		alreadyRefused := a.refused && !a.retransmitted
		assert.Check(t, forAgent && (s.state != service.Serving || alreadyRefused) && s.keeperAnswered && a.kind == packet.Initial && !a.held)
	case pass:
		assert.Check(t, forAgent && a.kind == packet.Initial && !a.held)
		assert.Check(t, a.header.Kind == packet.Flow || got.hop > a.header.Hop, "passed to an earlier candidate")
		h := withPass(a.header, got, s.self)
		assert.Equal(t, got.target, h.Candidates[h.Hop])
	case reset:
		assert.Check(t, earlierRun && a.kind == packet.Short && a.header.Kind != packet.Reply, "reset for a run that may not have ended")
	case drop:
		assert.Check(t, got != afterPause || !s.keeperAnswered)
	}
}

// TestOfferReachesWillingCandidate passes an offer along its candidates. Each candidate
// has random estimates of the loads of the others. The flow must be admitted if any
// candidate can admit it. The number of passes must not exceed the maximum number of
// candidates that a balancer ranks.
func TestOfferReachesWillingCandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 20 {
			checkOfferChain(t)
		}
	})
}

func checkOfferChain(t *rapid.T) {
	const ranked = packet.MaxCandidates - 1
	k := rapid.IntRange(1, ranked).Draw(t, "k")
	a := drawArrival(t)
	a.kind, a.validCID, a.passed, a.refused, a.retransmitted = packet.Initial, false, false, false, false
	a.header = packet.Header{Kind: packet.Offer, Service: 1, Count: uint8(k)}
	var states []agentState
	var held, full []bool
	acceptable := false
	for i := range k {
		a.header.Candidates[i] = addrOf(i)
		s := drawAgentState(t, addrOf(i))
		s.handshakesFull = false
		states = append(states, s)
		held = append(held, rapid.Bool().Draw(t, "held"))
		full = append(full, rapid.Bool().Draw(t, "full"))
		acceptable = acceptable || held[i] || s.state == service.Serving && s.keeperAnswered && !full[i]
	}
	passes := 0
	for {
		at := int(a.header.Candidates[a.header.Hop].Addr().As4()[3])
		a.held = held[at]
		got := decide(states[at], a)
		if admission, ok := got.(admit); ok && full[at] {
			got = admission.fallback
		}
		to, ok := got.(pass)
		if !ok {
			_, delivered := got.(deliver)
			_, admitted := got.(admit)
			assert.Equal(t, delivered || admitted, acceptable, "%T", got)
			return
		}
		passes++
		assert.Check(t, passes <= ranked)
		a.header = withPass(a.header, to, addrOf(at))
		assert.Equal(t, a.header.Candidates[a.header.Hop], to.target)
	}
}

// TestAtMostOneDetour offers a flow to two agents, each of which estimates the
// other to be idle. The flow must not be passed back and forth between them.
func TestAtMostOneDetour(t *testing.T) {
	a := arrival{kind: packet.Initial, header: packet.Header{Kind: packet.Offer, Service: 1, Count: 2}}
	idle := estimate{known: true, load: packet.Load{Room: true}}
	a.estimates = [packet.MaxCandidates]estimate{idle, idle, idle, idle}
	a.header.Candidates = [packet.MaxCandidates]netip.AddrPort{addrOf(1), addrOf(2)}
	s := agentState{self: addrOf(1), service: 1, incarnation: 1, state: service.Serving, keeperAnswered: true, level: 9, flowLevel: 1}
	to, ok := decide(s, a).(pass)
	assert.Check(t, ok && to.detour)
	a.header = withPass(a.header, to, s.self)
	s.self = addrOf(2)
	assert.Equal(t, decide(s, a), action(admit{fallback: pass{target: addrOf(1), hop: 2}}))
}

func TestPauseDetector(t *testing.T) {
	start := time.Now()
	var d pauseDetector
	answered := false
	var since time.Time
	answeredSince := func(at time.Time) bool { since = at; return answered }
	for _, step := range []struct {
		at       time.Duration
		answered bool
		want     bool
	}{
		{0, false, true},
		{_pauseThreshold - 1, false, true},
		{2*_pauseThreshold - 1, false, false}, // a pause
		{2*_pauseThreshold + _tickInterval, false, false},
		{2*_pauseThreshold + 2*_tickInterval, true, true},
		{2*_pauseThreshold + 3*_tickInterval, false, true}, // answeredSince is not called without a pause
		{10 * _pauseThreshold, true, true},
	} {
		answered = step.answered
		assert.Equal(t, d.observe(start.Add(step.at), answeredSince), step.want, "at %v", step.at)
	}
	assert.Equal(t, since, start.Add(10*_pauseThreshold))
}

// TestAdmissions checks claims and expiry of admissions and the retention of outcomes
// against a model without a limit on their number. Then it checks that after many
// admissions the number of retained outcomes does not exceed its limit.
func TestAdmissions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		s := newAdmissions(now)
		type pendingFlow struct {
			*admission
			at      time.Time
			claimed bool
		}
		lastAdded, pending := map[int]time.Time{}, []*pendingFlow{}
		key := func(i int) initialKey { return newInitialKey(addrOf(i), []byte{byte(i)}) }
		isHeld := func(i int) bool {
			known, _ := s.lookup(key(i))
			return known.held
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				i := rapid.IntRange(0, 20).Draw(t, "flow")
				pending = append(pending, &pendingFlow{admission: s.add(key(i), now), at: now})
				lastAdded[i] = now
			},
			"claim": func(t *rapid.T) {
				if len(pending) > 0 {
					flow := rapid.SampledFrom(pending).Draw(t, "admission")
					assert.Check(t, flow.claim() == !flow.claimed)
					flow.claimed = true
				}
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				want := 0
				pending = slices.DeleteFunc(pending, func(flow *pendingFlow) bool {
					due := now.Sub(flow.at) >= _claimTimeout
					if due && !flow.claimed {
						want++
					}
					return due
				})
				assert.Equal(t, s.expire(now), want)
			},
			"": func(t *rapid.T) {
				for i, at := range lastAdded {
					if now.Sub(at) < _outcomeRetention {
						assert.Check(t, isHeld(i), "outcome of a flow dropped after %v", now.Sub(at))
					}
				}
				assert.Check(t, !isHeld(21))
			},
		})
	})
	s := newAdmissions(time.Now())
	for i := range 5 * _outcomeCapacity {
		s.add(newInitialKey(netip.AddrPort{}, []byte{byte(i), byte(i >> 8), byte(i >> 16)}), time.Now())
	}
	assert.Check(t, len(s.recent)+len(s.previous) <= 2*_outcomeCapacity)
}

// TestOutcomeTime checks that the packets of one Initial keep the time of the first
// packet, and that a retransmission or another outcome sets a new time.
func TestOutcomeTime(t *testing.T) {
	start := time.Now()
	s := newAdmissions(start)
	key := newInitialKey(addrOf(1), []byte{1})
	for _, step := range []struct{ at, want time.Duration }{
		{0, 0}, {1, 0}, {_retransmitAfter - 1, 0}, {_retransmitAfter, _retransmitAfter}, {_retransmitAfter + 1, _retransmitAfter},
	} {
		s.record(key, outcome{at: start.Add(step.at), refused: true})
		known, _ := s.lookup(key)
		assert.Equal(t, known.at.Sub(start), step.want)
	}
	s.record(key, outcome{at: start.Add(_retransmitAfter + 2)})
	known, _ := s.lookup(key)
	assert.Check(t, !known.refused && known.at.Sub(start) == _retransmitAfter+2)
}

// TestPathRetention checks that the path of an open flow is never evicted, that the
// number of other paths is bounded, and that paths.current returns a path with the
// balancer that forwarded the caller's last packet.
func TestPathRetention(t *testing.T) {
	s := newPaths()
	key := func(i int) pathKey {
		return pathKey{caller: netip.AddrPortFrom(addrOf(1).Addr(), uint16(i)), address: addrOf(2)}
	}
	first, later := &balancerState{addr: addrOf(1)}, &balancerState{addr: addrOf(3)}
	flow := s.pin(newPath(key(1), first, 0))
	assert.Check(t, s.pin(s.record(key(1), first, 0)) == flow, "one path, two flows")
	unpinned := s.record(key(2), first, 0)
	for i := range 5 * _pathCapacity {
		s.record(key(3+i%60_000), first, 0)
	}
	assert.Check(t, s.len() <= 2*_pathCapacity+1, "%d paths", s.len())
	s.record(key(1), later, 0)
	s.record(key(2), later, 0)
	for _, p := range []*path{flow, unpinned} {
		assert.Check(t, s.current(p).balancer.Load() == later)
	}
	s.unpin(flow)
	assert.Equal(t, len(s.pinned), 1)
	s.unpin(flow)
	assert.Equal(t, len(s.pinned), 0)
	assert.Check(t, s.current(flow) == flow)
}

// TestChooseBalancer checks that an active path uses the balancer of its last
// packet, and that an idle one uses each usable balancer once before it repeats
// any, so that a dead balancer cannot cut off the caller.
func TestChooseBalancer(t *testing.T) {
	s := newBalancerSet(func() []netip.AddrPort { return []netip.AddrPort{addrOf(1), addrOf(2)} })
	last := s.record(addrOf(1), 0)
	s.record(addrOf(3), time.Second)
	dropped := s.record(addrOf(4), 0)
	s.refresh(_balancerTimeout + 1)
	var addrs []int
	for _, b := range *s.usable.Load() {
		addrs = append(addrs, int(b.addr.Addr().As4()[3]))
	}
	slices.Sort(addrs)
	assert.DeepEqual(t, addrs, []int{1, 2, 3})
	for offset := range uint16(7) {
		p := newPath(pathKey{caller: addrOf(9), address: addrOf(8)}, last, 0)
		used := map[*balancerState]bool{}
		for slot := range time.Duration(3) {
			now := time.Minute + slot*_balancerSlot
			attempt := p.attempt(now)
			assert.Equal(t, p.attempt(now+_balancerSlot-1), attempt, "one burst uses several balancers")
			assert.Check(t, chooseBalancer(last, *s.usable.Load(), _pathTimeout, attempt, offset) == last)
			b := chooseBalancer(last, *s.usable.Load(), _pathTimeout+1, attempt, offset)
			assert.Equal(t, b == last, slot == 2, "the balancer of the last packet must be tried last")
			used[b] = true
			chooseBalancer(&balancerState{}, *s.usable.Load(), time.Hour, attempt, offset)
		}
		assert.Equal(t, len(used), 3)
		assert.Check(t, chooseBalancer(last, nil, time.Hour, 1, offset) == last)
		assert.Check(t, chooseBalancer(last, []*balancerState{last}, time.Hour, 1, offset) == last)
	}
	s.refresh(_balancerRetention + 1)
	assert.Check(t, s.record(addrOf(4), time.Hour) != dropped)
	for i := range 2 * _balancerCapacity {
		s.record(netip.AddrPortFrom(addrOf(9).Addr(), uint16(i+1)), 0)
	}
	assert.Equal(t, len(s.byAddr), _balancerCapacity)
}
