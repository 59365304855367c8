package route

import (
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/service"
)

// Ranked is the most candidates that a new flow is offered to.
const Ranked = 3

// Ranking is the first candidates for one new flow, the best first: at most Ranked.
type Ranking struct {
	Candidates [packet.MaxCandidates]netip.AddrPort
	Count      uint8
}

// rank orders the candidates by weighted rendezvous hashing: each draws a
// uniform number u from the flow's key and its own address, and the highest
// -weight/ln(u) wins. A candidate is first for a share of flows in proportion to
// its weight, and a change of one candidate moves only the flows that it wins or loses.
//
// As -ln(u) is at least 1-u, a score is at most weight/(1-u). Nearly all
// candidates fall short of the last place by that bound, which spares them the
// logarithm.
func (e *entry) rank(key uint64) Ranking {
	var out Ranking
	var scores [Ranked]float64
	last := &scores[Ranked-1]
	for i := range e.draws {
		d := &e.draws[i]
		u := uniform(mix(key ^ d.seed))
		if d.weight < *last*(1-u) {
			continue
		}
		out.insert(&scores, -d.weight/math.Log(u), e.addrs[i])
	}
	return out
}

func (r *Ranking) insert(scores *[Ranked]float64, score float64, addr netip.AddrPort) {
	at := int(r.Count)
	for at > 0 && scores[at-1] < score {
		at--
	}
	if at > 0 && r.Candidates[at-1] == addr {
		return // listed twice with one weight
	}
	if at == Ranked {
		return
	}
	last := min(int(r.Count), Ranked-1)
	for i := last; i > at; i-- {
		scores[i], r.Candidates[i] = scores[i-1], r.Candidates[i-1]
	}
	scores[at], r.Candidates[at] = score, addr
	r.Count = uint8(last + 1)
}

// flowKey hashes the service and the connection ID that the caller chose.
func flowKey(id service.ID, dcid []byte) uint64 {
	const maxDCID = 255
	var buf [2 + maxDCID]byte
	binary.BigEndian.PutUint16(buf[:], uint16(id))
	n := copy(buf[2:], dcid)
	return xxhash.Sum64(buf[:2+n])
}

// mix spreads every bit of x over the result (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// uniform maps x to a number above 0 and below 1.
func uniform(x uint64) float64 {
	const bits = 53
	return (float64(x>>(64-bits)) + 0.5) / (1 << bits)
}
