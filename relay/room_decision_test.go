package relay

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/fleet"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/placement"
)

// reportedView returns a view of count upstreams, of which the last withRoom have capacity for
// all priorities and the others none from priority 1 on.
func reportedView(count, withRoom int) *fleet.View {
	view := fleet.New(time.Second)
	for i := range count {
		from := uint8(2)
		if i >= count-withRoom {
			from = 0
		}
		view.Report(0, peer.UpstreamReport{
			Sidecar: netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), Incarnation: 1, Sequence: 1, Service: "orders",
			State: peer.Ready, Busy: 4, Slots: 2, NoRoomFrom: from,
		})
	}
	return view
}

func summarize(view *fleet.View, now time.Duration, priority int) room {
	var r room
	for _, u := range view.Service("orders") {
		r.add(now, u, priority)
	}
	return r
}

// TestRoomDecision checks in which cases an opening is refused without an offer.
func TestRoomDecision(t *testing.T) {
	for name, test := range map[string]struct {
		upstreams, withRoom, priority int
		age                           time.Duration
		unsafe, refused               bool
	}{
		"none has capacity":             {upstreams: 3, priority: 1, refused: true},
		"none, for a less important":    {upstreams: 3, priority: 2, refused: true},
		"none, at the age limit":        {upstreams: 3, priority: 1, age: time.Second, refused: true},
		"capacity for a more important": {upstreams: 3, priority: 0},
		"one has capacity":              {upstreams: 3, withRoom: 1, priority: 1},
		"reports too old":               {upstreams: 3, priority: 1, age: time.Second + time.Millisecond},
		"a reset is not safe":           {upstreams: 3, priority: 1, unsafe: true},
		"no eligible upstream":          {priority: 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := summarize(reportedView(test.upstreams, test.withRoom), test.age, test.priority)
			random, counts := rand.New(rand.NewPCG(1, 1)), [roomRefuse + 1]int{}
			const openings = 10_000
			for range openings {
				counts[r.decide(!test.unsafe, random)]++
			}
			if !test.refused {
				assert.Equal(t, counts[roomOffer], openings)
				return
			}
			assert.Equal(t, counts[roomOffer], 0)
			probes := float64(counts[roomProbe]) / openings
			assert.Assert(t, probes > 0.04 && probes < 0.06, "%.3f of the openings are probes", probes)
		})
	}
}

// TestFirstCopy guards against resets of flows that a copy of the opening packet may have
// opened.
func TestFirstCopy(t *testing.T) {
	const now = 10 * time.Second
	for name, test := range map[string]struct {
		packet flow.Packet
		known  *flowState
		offer  bool
		tick   time.Duration // the last tick
		first  bool
	}{
		"new flow":                      {tick: now, first: true},
		"sent before":                   {tick: now, packet: flow.Packet{Age: 200 * time.Millisecond}},
		"counted by the caller":         {tick: now, packet: flow.Packet{Ack: 1}},
		"relay stalled":                 {tick: now - 300*time.Millisecond},
		"offer open":                    {tick: now, offer: true},
		"offered before":                {tick: now, known: &flowState{firstOffered: now - 2*time.Second}},
		"opened through another relay":  {tick: now, known: &flowState{openingSeq: 5}},
		"port used again":               {tick: now, known: &flowState{openingSeq: 5, firstOffered: now - 2*time.Second}, first: true},
		"port used by a flow just open": {tick: now, known: &flowState{openingSeq: 5, firstOffered: now - time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewCore(Identity{}, nil, nil, 10, nil)
			c.lastTick = test.tick
			key := flow.Key{}
			if test.offer {
				c.offers[key] = &offer{}
			}
			assert.Equal(t, c.isFirstCopy(now, key, test.known, test.packet), test.first)
		})
	}
}

// TestImportantOpeningsSpread guards against relays that send all important openings to the
// upstreams with the lowest loads while the others are full of less important flows. In a played
// load of 2.5 in which half of the sidecars were of an older build, 0.07 of the requests of
// priority 1 were not served in time.
func TestImportantOpeningsSpread(t *testing.T) {
	for name, test := range map[string]struct {
		offer   offer
		limited bool
		now     time.Duration
	}{
		"capacity for important ones only": {offer: offer{prioritized: true}, limited: true},
		"capacity for none":                {offer: offer{prioritized: true, priority: 1}},
		"service not prioritized":          {},
		"reports too old":                  {offer: offer{prioritized: true}, now: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewCore(Identity{}, nil, nil, 10, nil)
			c.view = reportedView(3, 1)
			c.eligible = append(c.eligible, c.view.Service("orders")...)
			for range c.eligible {
				c.candidates = append(c.candidates, placement.Candidate{Busy: 40, Slots: 2})
			}
			c.keepWithRoom(test.now, &test.offer)
			for _, candidate := range c.candidates {
				assert.Equal(t, candidate.Busy == 10, test.limited)
			}
		})
	}
}

// BenchmarkRoomDecision measures the decision on an opening for a service of 49 upstreams.
func BenchmarkRoomDecision(b *testing.B) {
	for name, withRoom := range map[string]int{"none has capacity": 0, "some have capacity": 10} {
		b.Run(name, func(b *testing.B) {
			view, random := reportedView(49, withRoom), rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				summarize(view, 0, 1).decide(true, random)
			}
		})
	}
}
