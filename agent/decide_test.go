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

// mostly draws usual rather than one of the others most of the time.
func mostly[T any](t *rapid.T, name string, usual T, others ...T) T {
	all := append([]T{usual, usual, usual, usual, usual, usual}, others...)
	return rapid.SampledFrom(all).Draw(t, name)
}

func drawSituation(t *rapid.T, self netip.AddrPort) situation {
	return situation{
		self: self, service: 1, incarnation: 5,
		fresh: mostly(t, "fresh", true, false), flooded: mostly(t, "flooded", false, true),
		level: rapid.Uint32Range(0, 9).Draw(t, "level"), unit: 1,
		state: mostly(t, "state", service.Serving, service.Starting, service.Draining, service.Draining),
	}
}

func drawArrival(t *rapid.T) arrival {
	a := arrival{
		kind: mostly(t, "type", packet.Initial, packet.Short, packet.Short, packet.Handshake, packet.EarlyData, packet.OtherVersion),
		ours: rapid.Bool().Draw(t, "ours"),
		held: mostly(t, "held", false, true),
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
		a.repeated = (a.passed || a.refused) && rapid.Bool().Draw(t, "repeated")
		a.to.hop = rapid.Uint8Range(0, packet.MaxCandidates-1).Draw(t, "passed to")
		a.to.target = a.header.Candidates[a.to.hop]
	}
	for i := range a.header.Count {
		a.estimates[i] = estimate{
			known: rapid.Bool().Draw(t, "known"),
			load:  packet.Load{Level: rapid.Uint32Range(0, 9).Draw(t, "peer"), Room: rapid.Bool().Draw(t, "room")},
		}
	}
	if a.ours {
		a.cid = packet.CID{
			Service:     service.ID(rapid.IntRange(1, 2).Draw(t, "cid service")),
			Agent:       addrOf(rapid.IntRange(1, 2).Draw(t, "cid agent")),
			Incarnation: service.Incarnation(rapid.IntRange(4, 6).Draw(t, "cid incarnation")),
		}
	}
	return a
}

// TestDecideRules holds every decision to the promises about flows.
func TestDecideRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 20 {
			checkRules(t, drawSituation(t, addrOf(1)), drawArrival(t))
		}
	})
}

func checkRules(t *rapid.T, s situation, a arrival) {
	mine := a.ours && a.cid.Agent == s.self && a.cid.Incarnation == s.incarnation && a.cid.Service == s.service
	earlier := a.ours && a.cid.Agent == s.self && a.cid.Incarnation < s.incarnation
	own := a.header.Service == s.service && a.header.Kind != packet.Reply
	got := decide(s, a)
	if own && a.header.Kind == packet.Flow && mine {
		assert.Equal(t, got, action(take{}), "a flow that is held is cut")
	}
	switch got := got.(type) {
	case take:
		assert.Check(t, own && (mine || a.held || a.kind == packet.OtherVersion))
	case prove:
		assert.Check(t, own && s.state == service.Serving && s.fresh && a.kind == packet.Initial && !a.held && s.flooded)
	case admit:
		assert.Check(t, own && s.state == service.Serving && s.fresh && a.kind == packet.Initial && !a.held && !s.flooded)
		assert.Check(t, !a.refused || a.repeated, "a part of a refused Initial is admitted")
		_, again := got.otherwise.(admit)
		assert.Check(t, !again)
	case refuse:
		again := a.refused && !a.repeated
		assert.Check(t, own && (s.state != service.Serving || again) && s.fresh && a.kind == packet.Initial && !a.held)
	case pass:
		assert.Check(t, own && a.kind == packet.Initial && !a.held)
		assert.Check(t, a.header.Kind == packet.Flow || got.hop > a.header.Hop, "passed back")
		h := withPass(a.header, got, s.self)
		assert.Equal(t, got.target, h.Candidates[h.Hop])
	case reset:
		assert.Check(t, earlier && a.kind == packet.Short && a.header.Kind != packet.Reply, "a reset for a run that is not known to be gone")
	case drop:
		assert.Check(t, got != stale || !s.fresh)
	}
}

// TestOfferChain follows an offer along its candidates, whatever each believes of
// the others: it is refused only if no candidate would take it, and is passed on
// at most as often as there are ranked candidates.
func TestOfferChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 20 {
			checkChain(t)
		}
	})
}

func checkChain(t *rapid.T) {
	const ranked = packet.MaxCandidates - 1
	k := rapid.IntRange(1, ranked).Draw(t, "k")
	a := drawArrival(t)
	a.kind, a.ours, a.passed, a.refused, a.repeated = packet.Initial, false, false, false, false
	a.header = packet.Header{Kind: packet.Offer, Service: 1, Count: uint8(k)}
	var situations []situation
	var held, full []bool
	wanted := false
	for i := range k {
		a.header.Candidates[i] = addrOf(i)
		s := drawSituation(t, addrOf(i))
		s.flooded = false
		situations = append(situations, s)
		held = append(held, rapid.Bool().Draw(t, "held"))
		full = append(full, rapid.Bool().Draw(t, "full"))
		wanted = wanted || held[i] || s.state == service.Serving && s.fresh && !full[i]
	}
	passes := 0
	for {
		at := int(a.header.Candidates[a.header.Hop].Addr().As4()[3])
		a.held = held[at]
		got := decide(situations[at], a)
		if ask, ok := got.(admit); ok && full[at] {
			got = ask.otherwise
		}
		to, ok := got.(pass)
		if !ok {
			_, taken := got.(take)
			_, admitted := got.(admit)
			assert.Equal(t, taken || admitted, wanted, "%T", got)
			return
		}
		passes++
		assert.Check(t, passes <= ranked)
		a.header = withPass(a.header, to, addrOf(at))
		assert.Equal(t, a.header.Candidates[a.header.Hop], to.target)
	}
}

// TestOneDetour has two agents that each believe the other to be idle.
func TestOneDetour(t *testing.T) {
	a := arrival{kind: packet.Initial, header: packet.Header{Kind: packet.Offer, Service: 1, Count: 2}}
	idle := estimate{known: true, load: packet.Load{Room: true}}
	a.estimates = [packet.MaxCandidates]estimate{idle, idle, idle, idle}
	a.header.Candidates = [packet.MaxCandidates]netip.AddrPort{addrOf(1), addrOf(2)}
	s := situation{self: addrOf(1), service: 1, incarnation: 1, state: service.Serving, fresh: true, level: 9, unit: 1}
	to, ok := decide(s, a).(pass)
	assert.Check(t, ok && to.detour)
	a.header = withPass(a.header, to, s.self)
	s.self = addrOf(2)
	assert.Equal(t, decide(s, a), action(admit{otherwise: pass{target: addrOf(1), hop: 2}}))
}

func TestFreshness(t *testing.T) {
	start := time.Now()
	var f freshness
	heard := false
	var since time.Time
	ask := func(at time.Time) bool { since = at; return heard }
	for _, step := range []struct {
		at    time.Duration
		heard bool
		want  bool
	}{
		{0, false, true},
		{_pause - 1, false, true},
		{2*_pause - 1, false, false}, // a pause
		{2*_pause + _tick, false, false},
		{2*_pause + 2*_tick, true, true},
		{2*_pause + 3*_tick, false, true}, // asked only after a pause
		{10 * _pause, true, true},
	} {
		heard = step.heard
		assert.Equal(t, f.observe(start.Add(step.at), ask), step.want, "at %v", step.at)
	}
	assert.Equal(t, since, start.Add(10*_pause))
}

// TestAdmissions compares the bounded memory of taken flows and the claims with a plain map.
func TestAdmissions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		s := newAdmissions(now)
		type taken struct {
			*admission
			at      time.Time
			claimed bool
		}
		latest, open := map[int]time.Time{}, []*taken{}
		key := func(i int) initialKey { return newInitialKey(addrOf(i), []byte{byte(i)}) }
		holds := func(i int) bool {
			known, _ := s.recall(key(i))
			return known.held
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				i := rapid.IntRange(0, 20).Draw(t, "flow")
				open = append(open, &taken{admission: s.add(key(i), now), at: now})
				latest[i] = now
			},
			"claim": func(t *rapid.T) {
				if len(open) > 0 {
					o := rapid.SampledFrom(open).Draw(t, "admission")
					assert.Check(t, o.claim() == !o.claimed)
					o.claimed = true
				}
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				want := 0
				open = slices.DeleteFunc(open, func(o *taken) bool {
					due := now.Sub(o.at) >= _claimTimeout
					if due && !o.claimed {
						want++
					}
					return due
				})
				assert.Equal(t, s.expire(now), want)
			},
			"": func(t *rapid.T) {
				for i, at := range latest {
					if now.Sub(at) < _holdTime {
						assert.Check(t, holds(i), "forgot a flow after %v", now.Sub(at))
					}
				}
				assert.Check(t, !holds(21))
			},
		})
	})
	s := newAdmissions(time.Now())
	for i := range 5 * _holdCapacity {
		s.add(newInitialKey(netip.AddrPort{}, []byte{byte(i), byte(i >> 8), byte(i >> 16)}), time.Now())
	}
	assert.Check(t, len(s.young)+len(s.old) <= 2*_holdCapacity)
}

// TestOutcomes notes the parts of an Initial that comes twice.
func TestOutcomes(t *testing.T) {
	start := time.Now()
	s := newAdmissions(start)
	key := newInitialKey(addrOf(1), []byte{1})
	for _, step := range []struct{ at, want time.Duration }{
		{0, 0}, {1, 0}, {_repeatAfter - 1, 0}, {_repeatAfter, _repeatAfter}, {_repeatAfter + 1, _repeatAfter},
	} {
		s.note(key, outcome{at: start.Add(step.at), refused: true})
		known, _ := s.recall(key)
		assert.Equal(t, known.at.Sub(start), step.want)
	}
	s.note(key, outcome{at: start.Add(_repeatAfter + 2)})
	known, _ := s.recall(key)
	assert.Check(t, !known.refused && known.at.Sub(start) == _repeatAfter+2)
}

func TestPaths(t *testing.T) {
	s := newPaths()
	key := func(i int) pathKey {
		return pathKey{caller: netip.AddrPortFrom(addrOf(1).Addr(), uint16(i)), address: addrOf(2)}
	}
	first, later := &relay{addr: addrOf(1)}, &relay{addr: addrOf(3)}
	flow := s.pin(newPath(key(1), first, 0))
	assert.Check(t, s.pin(s.note(key(1), first, 0)) == flow, "one path, two flows")
	moved := s.note(key(2), first, 0)
	for i := range 5 * _pathCapacity {
		s.note(key(3+i%60_000), first, 0)
	}
	assert.Check(t, s.len() <= 2*_pathCapacity+1, "%d paths", s.len())
	s.note(key(1), later, 0)
	s.note(key(2), later, 0)
	for _, p := range []*path{flow, moved} {
		assert.Check(t, s.current(p).relay.Load() == later)
	}
	s.unpin(flow)
	assert.Equal(t, len(s.pinned), 1)
	s.unpin(flow)
	assert.Equal(t, len(s.pinned), 0)
	assert.Check(t, s.current(flow) == flow)
}

// TestRelays keeps a path on the balancer that it is heard from, and sends a
// silent one through each usable balancer in a bounded time.
func TestRelays(t *testing.T) {
	s := newRelays(func() []netip.AddrPort { return []netip.AddrPort{addrOf(1), addrOf(2)} })
	last := s.hear(addrOf(1), 0)
	s.hear(addrOf(3), time.Second)
	forgotten := s.hear(addrOf(4), 0)
	s.refresh(_relayFresh + 1)
	var addrs []int
	for _, r := range *s.usable.Load() {
		addrs = append(addrs, int(r.addr.Addr().As4()[3]))
	}
	slices.Sort(addrs)
	assert.DeepEqual(t, addrs, []int{1, 2, 3})
	for start := range uint16(7) {
		p := newPath(pathKey{caller: addrOf(9), address: addrOf(8)}, last, 0)
		used := map[*relay]bool{}
		for slot := range time.Duration(3) {
			now := time.Minute + slot*_relaySlot
			turn := p.nextTurn(now)
			assert.Equal(t, p.nextTurn(now+_relaySlot-1), turn, "a burst is spread")
			assert.Check(t, choose(last, *s.usable.Load(), _pathFresh, turn, start) == last)
			r := choose(last, *s.usable.Load(), _pathFresh+1, turn, start)
			assert.Equal(t, r == last, slot == 2, "the silent balancer comes last")
			used[r] = true
			choose(&relay{}, *s.usable.Load(), time.Hour, turn, start)
		}
		assert.Equal(t, len(used), 3)
		assert.Check(t, choose(last, nil, time.Hour, 1, start) == last)
		assert.Check(t, choose(last, []*relay{last}, time.Hour, 1, start) == last)
	}
	s.refresh(_relayForget + 1)
	assert.Check(t, s.hear(addrOf(4), time.Hour) != forgotten)
	for i := range 2 * _relayCapacity {
		s.hear(netip.AddrPortFrom(addrOf(9).Addr(), uint16(i+1)), 0)
	}
	assert.Equal(t, len(s.byAddr), _relayCapacity)
}
