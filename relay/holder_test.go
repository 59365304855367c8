package relay_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
)

// searchedSidecar is a sidecar as a search for a holder meets it.
type searchedSidecar struct {
	addr          netip.Addr
	zone, service string
	// holds is set for the holder. An unsure sidecar learns from its upstream whether it is.
	holds, unsure bool
	// silent sidecars answer nothing. If upstreamDown is set, no packet that is tried is answered.
	silent, upstreamDown bool
	asked, tried, got    int
}

// searchWorld is a relay with sidecars that answer its messages after a delay.
type searchWorld struct {
	*testCore
	now      time.Duration
	sidecars []*searchedSidecar
	// delay returns how long a message takes, and whether it is lost.
	delay   func() (d time.Duration, lost bool)
	pending []searchEvent
	resets  int
	foundAt time.Duration // when the holder first got a packet, from the first packet on
}

type searchEvent struct {
	at time.Duration
	do func()
}

func newSearchWorld(t *testing.T, delay func() (time.Duration, bool), sidecars ...*searchedSidecar) *searchWorld {
	w := &searchWorld{testCore: newTestCore(t), now: _afterStartup, sidecars: sidecars, delay: delay, foundAt: -1}
	w.setTable(w.now, 1) // leads to the service orders
	for i, s := range sidecars {
		s.addr = netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)})
		b, err := peer.AppendUpstream(nil, peer.UpstreamReport{
			Sidecar: s.addr, Incarnation: 1, Sequence: 1, Service: s.service, Zone: s.zone, State: peer.Ready, Slots: 2,
		})
		assert.NilError(t, err)
		w.PeerMessage(w.now, b)
	}
	w.Tick(w.now)
	w.clearSent()
	return w
}

func (w *searchWorld) send(do func()) {
	if d, lost := w.delay(); !lost {
		w.pending = append(w.pending, searchEvent{w.now + d, do})
	}
}

// deliver lets the sidecars handle what the relay has sent.
func (w *searchWorld) deliver() {
	w.resets += len(w.toCaller)
	messages := w.messages
	w.clearSent()
	for _, m := range messages {
		for _, s := range w.sidecars {
			if s.addr == m.to && !s.silent {
				w.send(func() { w.handle(s, m.kind) })
			}
		}
	}
}

func (w *searchWorld) handle(s *searchedSidecar, kind peer.Kind) {
	answer := func(outcome peer.Outcome) {
		w.send(func() { w.sendVerdict(w.now, s.addr, outcome, nil) })
	}
	switch kind {
	case peer.KindQuestion:
		s.asked++
		switch {
		case s.unsure:
			answer(peer.Unsure)
		case s.holds:
			answer(peer.Held)
		default:
			answer(peer.NotHeld)
		}
	case peer.KindTry, peer.KindCarry:
		if kind == peer.KindTry {
			s.tried++
		}
		if s.upstreamDown {
			return
		}
		if s.got++; !s.holds {
			answer(peer.NotHeld)
			return
		}
		s.unsure = false
		answer(peer.Held)
		if w.foundAt < 0 {
			w.foundAt = w.now - _afterStartup
		}
	}
}

// run plays a caller that repeats its packet at the given times until the time is over, or
// the holder has the packet.
func (w *searchWorld) run(until time.Duration, repeats ...time.Duration) {
	packet := encodePacket(flow.ACK, 1, 2, 10)
	for ; w.now <= _afterStartup+until; w.now += time.Millisecond {
		for _, at := range repeats {
			if w.now == _afterStartup+at && w.foundAt < 0 {
				w.CallerPacket(w.now, packet)
			}
		}
		if w.now%(20*time.Millisecond) == 0 {
			w.Tick(w.now)
		}
		due := w.pending
		w.pending = nil
		for _, e := range due {
			if e.at > w.now {
				w.pending = append(w.pending, e)
				continue
			}
			e.do()
		}
		w.deliver()
	}
}

func oneMillisecond() (time.Duration, bool) { return time.Millisecond, false }

// assertFound checks that the holder gets the first packet, after at most 300 ms, and that
// the caller is not reset.
func (w *searchWorld) assertFound(t *testing.T) {
	t.Helper()
	w.run(300*time.Millisecond, 0)
	assert.Assert(t, w.foundAt >= 0, "the holder did not get the packet")
	assert.Equal(t, w.resets, 0)
}

// TestSearchTriesUnsureSidecarsOfAllServices guards against searches that end without the
// holder, after all sidecars were restarted and the route no longer leads to the holder's
// service: only the sidecars that turned out to be unsure first were tried.
func TestSearchTriesUnsureSidecarsOfAllServices(t *testing.T) {
	newSearchWorld(t, oneMillisecond,
		&searchedSidecar{zone: "a", service: "orders", unsure: true},
		&searchedSidecar{zone: "b", service: "orders", unsure: true},
		&searchedSidecar{zone: "b", service: "photos", unsure: true, holds: true},
	).assertFound(t)
}

// TestSearchPassesOverUpstreamThatIsDown guards against searches that wait for the answer of
// an upstream that is down until they time out.
func TestSearchPassesOverUpstreamThatIsDown(t *testing.T) {
	for _, zone := range []string{"a", "b"} {
		newSearchWorld(t, oneMillisecond,
			&searchedSidecar{zone: "a", service: "orders", unsure: true},
			&searchedSidecar{zone: zone, service: "orders", unsure: true, upstreamDown: true},
			&searchedSidecar{zone: "a", service: "photos", unsure: true, holds: true},
		).assertFound(t)
	}
}

// TestSearchPassesOverSilentSidecar guards against searches that wait for the answer of a
// sidecar that is cut off or frozen until they time out.
func TestSearchPassesOverSilentSidecar(t *testing.T) {
	for _, unsure := range []bool{false, true} {
		newSearchWorld(t, oneMillisecond,
			&searchedSidecar{zone: "a", service: "orders", silent: true},
			&searchedSidecar{zone: "b", service: "orders"},
			&searchedSidecar{zone: "a", service: "photos", unsure: unsure, holds: true},
		).assertFound(t)
	}
}

// TestNextSearchSkipsUpstreamsThatDenied guards against repeated searches that send a
// caller's packets to the same wrong upstreams again and again.
func TestNextSearchSkipsUpstreamsThatDenied(t *testing.T) {
	unsure := &searchedSidecar{zone: "a", service: "orders", unsure: true}
	sure := &searchedSidecar{zone: "b", service: "orders"}
	down := &searchedSidecar{zone: "a", service: "photos", unsure: true, upstreamDown: true}
	w := newSearchWorld(t, oneMillisecond, unsure, sure, down)
	w.run(1900*time.Millisecond, 0, 450*time.Millisecond, 1350*time.Millisecond)
	assert.Equal(t, unsure.tried, 1)
	assert.Equal(t, sure.asked, 1)
	assert.Equal(t, down.tried, 3, "its upstream may be back")
	assert.Equal(t, w.resets, 0, "the upstream that is down may hold the flow")
	down.upstreamDown, down.holds = false, true
	w.run(2500*time.Millisecond, 2*time.Second)
	assert.Assert(t, w.foundAt >= 0)
}

// TestSearchesInRandomFleets plays searches among sidecars that are sure or unsure, silent,
// or beside an upstream that is down, with any order of answers. A holder that answers must
// be found, with up to two lost messages by the third search. A flow
// may be reset only if it has no holder, and must be if all sidecars and upstreams answer.
func TestSearchesInRandomFleets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sidecars := make([]*searchedSidecar, rapid.IntRange(1, 7).Draw(rt, "sidecars"))
		holder := rapid.IntRange(-1, len(sidecars)-1).Draw(rt, "holder")
		allAnswer := true
		for i := range sidecars {
			s := &searchedSidecar{
				zone:    rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "zone"),
				service: rapid.SampledFrom([]string{"orders", "photos"}).Draw(rt, "service"),
				unsure:  rapid.Bool().Draw(rt, "unsure"),
				holds:   i == holder,
			}
			if i != holder {
				s.silent = rapid.IntRange(0, 4).Draw(rt, "silent") == 4
				s.upstreamDown = rapid.IntRange(0, 4).Draw(rt, "upstream_down") == 4
				allAnswer = allAnswer && !s.silent && (!s.unsure || !s.upstreamDown)
			}
			sidecars[i] = s
		}
		losses := rapid.IntRange(0, 2).Draw(rt, "losses") // the caller's packets start three searches
		lossy := losses > 0
		w := newSearchWorld(t, func() (time.Duration, bool) {
			lost := losses > 0 && rapid.IntRange(0, 9).Draw(rt, "lost") == 9
			if lost {
				losses--
			}
			return time.Duration(rapid.IntRange(0, 5).Draw(rt, "delay_ms")) * time.Millisecond, lost
		}, sidecars...)
		w.run(2500*time.Millisecond, 0, 200*time.Millisecond, 600*time.Millisecond, 1400*time.Millisecond)
		limit := 400 * time.Millisecond
		if lossy {
			limit = 2500 * time.Millisecond
		}
		switch {
		case holder >= 0 && w.resets > 0:
			rt.Fatalf("a flow that has a holder was reset")
		case holder >= 0 && (w.foundAt < 0 || w.foundAt > limit):
			rt.Fatalf("the holder got the packet after %v; want at most %v", w.foundAt, limit)
		case holder < 0 && !allAnswer && w.resets > 0 && !lossy:
			rt.Fatalf("a flow was reset that not all sidecars have denied")
		case holder < 0 && allAnswer && !lossy && w.resets == 0:
			rt.Fatalf("a flow without a holder was not reset")
		}
	})
}
