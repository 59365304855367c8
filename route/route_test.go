package route

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/service"
)

func testKeys(t testing.TB) *packet.Keys {
	part := make([]byte, 32)
	keys, err := packet.NewKeys(packet.KeyFile{Current: 1, Keys: []packet.KeySpec{
		{Number: 1, CID: part[:16], MAC: part[:16], Reset: part, Token: part},
	}})
	assert.NilError(t, err)
	return keys
}

// agentAddr returns the address of test agent i, which is different for each.
func agentAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

func serviceAddr(id service.ID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(id >> 8), byte(id)}), 443)
}

func testTable(t testing.TB, services, candidates int, gone ...Gone) *Table {
	var list []Service
	for s := range services {
		id := service.ID(s + 1)
		svc := Service{ID: id, Addresses: []netip.AddrPort{serviceAddr(id)}}
		for c := range candidates {
			svc.Candidates = append(svc.Candidates, Candidate{Addr: agentAddr(s<<16 + c), Incarnation: 1, Weight: 1})
		}
		list = append(list, svc)
	}
	table, err := New(list, gone...)
	assert.NilError(t, err)
	return table
}

func seal(t testing.TB, keys *packet.Keys, cid packet.CID) []byte {
	var s packet.Sealer
	octets, err := s.Seal(keys, 1, cid)
	assert.NilError(t, err)
	return octets[:]
}

// datagram returns a packet of the given type with a connection ID, padded to length.
func datagram(kind packet.Type, dcid []byte, length int) []byte {
	first := map[packet.Type]byte{packet.Initial: 0xc0, packet.EarlyData: 0xd0, packet.Handshake: 0xe0, packet.Retry: 0xf0, packet.OtherVersion: 0xc0}
	out := []byte{0x40}
	if kind != packet.Short {
		out = []byte{first[kind], 0, 0, 0, 1, byte(len(dcid))}
	}
	if kind == packet.OtherVersion {
		out[1] = 9
	}
	out = append(out, dcid...)
	return append(out, make([]byte, max(0, length-len(out)))...)
}

// TestDecide checks the decisions for random connection IDs, packet types and tables
// against the rules of Decide, which the test states one by one.
func TestDecide(t *testing.T) {
	keys := testKeys(t)
	kinds := []packet.Type{packet.Short, packet.Initial, packet.Handshake, packet.EarlyData, packet.Retry, packet.OtherVersion}
	rapid.Check(t, func(rt *rapid.T) {
		candidates := rapid.IntRange(0, 4).Draw(rt, "candidates")
		cid := packet.CID{
			Service:     service.ID(rapid.IntRange(1, 3).Draw(rt, "service")),
			Agent:       agentAddr(rapid.IntRange(0, 3).Draw(rt, "agent")),
			Incarnation: service.Incarnation(rapid.IntRange(1, 3).Draw(rt, "incarnation")),
		}
		gone := Gone{Addr: agentAddr(1), Incarnation: service.Incarnation(rapid.IntRange(0, 3).Draw(rt, "gone"))}
		table := testTable(t, 2, candidates, gone)
		kind := rapid.SampledFrom(kinds).Draw(rt, "kind")
		ours := rapid.Bool().Draw(rt, "ours")
		dcid := []byte("another's random ID")[:rapid.IntRange(8, 16).Draw(rt, "length")]
		if ours {
			dcid = seal(t, keys, cid)
		} else if kind == packet.Short {
			dcid = make([]byte, packet.CIDLen)
		}
		length := rapid.SampledFrom([]int{22, 23, 100, packet.MinInitial}).Draw(rt, "size")
		packetOctets := datagram(kind, dcid, length)
		to := service.ID(rapid.IntRange(1, 3).Draw(rt, "to"))

		var d Decider
		got := d.Decide(table, keys, serviceAddr(to), packetOctets)
		opens := kind == packet.Initial || kind == packet.OtherVersion
		isGone := ours && cid.Agent == gone.Addr && cid.Incarnation <= gone.Incarnation
		switch got := got.(type) {
		case *Forward:
			assert.Equal(t, got.Service, to)
			established := ours && cid.Service == to && !isGone
			assert.Equal(t, got.Kind == packet.Flow, established)
			if established {
				assert.Equal(t, got.Target, cid.Agent)
			} else {
				assert.Check(t, opens && len(packetOctets) >= packet.MinInitial)
				assert.Equal(t, got.Target, got.Ranking.Candidates[0])
			}
			assert.Check(t, established || got.Ranking.Count == uint8(min(candidates, MaxRanked)))
			for _, c := range got.Ranking.Candidates[:got.Ranking.Count] {
				assert.Equal(t, int(c.Addr().As4()[1]), int(to)-1, "a candidate of another service")
			}
		case *Reset:
			assert.Check(t, isGone && cid.Service == to && kind == packet.Short && len(packetOctets) >= packet.MinResettable)
		case Drop:
			var want Drop
			switch {
			case to == 3:
				want = UnknownAddress
			case !opens && !ours:
				want = UnknownFlow
			case !opens && cid.Service != to:
				want = OtherService
			case !opens && isGone:
				want = GoneAgent
			case len(packetOctets) < packet.MinInitial:
				want = TooSmall
			default:
				want = NoCandidate
				assert.Equal(t, candidates, 0)
			}
			assert.Equal(t, got, want)
		}
	})
}

func TestDecideNotQUIC(t *testing.T) {
	var d Decider
	table := testTable(t, 1, 1)
	for _, octets := range [][]byte{nil, {0x40}, {0xc0, 0, 0, 0, 1, 21}, make([]byte, 17)} {
		assert.Equal(t, d.Decide(table, testKeys(t), serviceAddr(1), octets), Decision(NotQUIC))
	}
}

// TestRankStable checks the guarantees of rendezvous hashing: the order of the list has no
// effect, and removing a candidate does not change the order of the others.
func TestRankStable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "n")
		var list []Candidate
		for i := range n {
			list = append(list, Candidate{Addr: agentAddr(i), Weight: rapid.Float64Range(0.01, 10).Draw(rt, "weight")})
		}
		key := rapid.Uint64().Draw(rt, "flow")
		full := rankCandidates(t, list, key)
		assert.Equal(t, int(full.Count), min(n, MaxRanked))
		shuffled := rapid.Permutation(list).Draw(rt, "shuffled")
		assert.Equal(t, rankCandidates(t, shuffled, key), full)

		index := rapid.IntRange(0, n-1).Draw(rt, "removed")
		removed := list[index].Addr
		rest := rankCandidates(t, slices.Delete(slices.Clone(list), index, index+1), key)
		want := slices.DeleteFunc(slices.Clone(full.Candidates[:full.Count]), func(a netip.AddrPort) bool { return a == removed })
		assert.Check(t, slices.Equal(rest.Candidates[:len(want)], want), "%v, want %v", rest, want)
	})
}

// TestRankFollowsWeights checks that each candidate is first for a share of the flows in
// proportion to its weight. Candidates without a valid weight and a duplicate must have no
// effect.
func TestRankFollowsWeights(t *testing.T) {
	weights := []float64{1, 1, 2, 4, 0.5}
	var list []Candidate
	for i, w := range weights {
		list = append(list, Candidate{Addr: agentAddr(i), Weight: w})
	}
	list = append(list, Candidate{Addr: agentAddr(90), Weight: 0}, Candidate{Addr: agentAddr(91), Weight: math.NaN()}, list[0])
	const flows = 100_000
	first := map[netip.AddrPort]int{}
	e := entryOf(t, list)
	for i := range flows {
		first[e.rank(flowKey(1, fmt.Append(nil, i))).Candidates[0]]++
	}
	assert.Equal(t, len(first), len(weights))
	for i, w := range weights {
		want := flows * w / 8.5
		got := float64(first[agentAddr(i)])
		// The tolerance is five standard deviations.
		assert.Check(t, math.Abs(got-want) < 5*math.Sqrt(want), "weight %v: %v of %v", w, got, want)
	}
}

func TestNewReportsAllErrors(t *testing.T) {
	_, err := New([]Service{
		{ID: 0, Addresses: []netip.AddrPort{serviceAddr(1)}},
		{ID: 2, Addresses: []netip.AddrPort{serviceAddr(1), {}}, Candidates: []Candidate{{Weight: 1}}},
	})
	for _, want := range []string{"service id is zero", "of services 0 and 2", "service address", "candidate"} {
		assert.ErrorContains(t, err, want)
	}
}

func TestDecideDoesNotAllocate(t *testing.T) {
	keys, table := testKeys(t), testTable(t, 1, 100, Gone{Addr: agentAddr(5), Incarnation: 2})
	var d Decider
	cid := packet.CID{Service: 1, Agent: agentAddr(1), Incarnation: 1}
	goneCID := packet.CID{Service: 1, Agent: agentAddr(5), Incarnation: 1}
	for name, octets := range map[string][]byte{
		"flow":    datagram(packet.Short, seal(t, keys, cid), 1200),
		"offer":   datagram(packet.Initial, []byte("a random ID"), 1200),
		"reset":   datagram(packet.Short, seal(t, keys, goneCID), 1200),
		"dropped": datagram(packet.Short, make([]byte, packet.CIDLen), 1200),
	} {
		buf := make([]byte, packet.MaxWrapped)
		copy(buf[packet.HeaderLen:], octets)
		forward := func() { decideAndWrap(&d, table, keys, buf, len(octets)) }
		assert.Equal(t, testing.AllocsPerRun(100, forward), 0.0, name)
	}
}

// decideAndWrap handles one datagram as a balancer does, but without sockets.
func decideAndWrap(d *Decider, table *Table, keys *packet.Keys, buf []byte, n int) Decision {
	decision := d.Decide(table, keys, serviceAddr(1), buf[packet.HeaderLen:packet.HeaderLen+n])
	if f, ok := decision.(*Forward); ok {
		header := packet.Header{
			Kind: f.Kind, Service: f.Service, Caller: agentAddr(2), Address: serviceAddr(1), Balancer: agentAddr(3),
			Candidates: f.Ranking.Candidates, Count: f.Ranking.Count,
		}
		_, _ = packet.Wrap(keys, &header, buf, n)
	}
	return decision
}

func rankCandidates(t testing.TB, list []Candidate, key uint64) Ranking {
	return entryOf(t, list).rank(key)
}

func entryOf(t testing.TB, list []Candidate) *entry {
	table, err := New([]Service{{ID: 1, Addresses: []netip.AddrPort{serviceAddr(1)}, Candidates: list}})
	assert.NilError(t, err)
	return table.byAddress[serviceAddr(1)]
}
