package route

import (
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/service"
)

// MaxRanked is the maximum number of candidates that a balancer selects for a new flow.
const MaxRanked = 3

// Ranking holds the best candidates for one new flow, at most MaxRanked, in descending
// order of preference.
type Ranking struct {
	Candidates [packet.MaxCandidates]netip.AddrPort
	Count      uint8
}

// rank orders the candidates by weighted rendezvous hashing. The hash of the flow's key
// and a candidate's address gives a uniform number u between 0 and 1; the candidate's
// score is -weight/ln(u), and the highest scores win. A candidate is first for a share of
// the flows in proportion to its weight, and adding or removing a candidate only changes
// the rankings that contain it.
//
// As -ln(u) is at least 1-u, a score is at most weight/(1-u). For nearly all candidates
// this bound is below the lowest score in the ranking, so that the logarithm need not be
// computed.
func (e *entry) rank(key uint64) Ranking {
	var out Ranking
	var scores [MaxRanked]float64
	lowest := &scores[MaxRanked-1]
	for i := range e.rankInputs {
		d := &e.rankInputs[i]
		u := uniform(mix(key ^ d.seed))
		if d.weight < *lowest*(1-u) {
			continue
		}
		out.insert(&scores, -d.weight/math.Log(u), e.addrs[i])
	}
	return out
}

// insert adds a candidate at the position that its score gives, if the candidate is among
// the best MaxRanked. scores holds the scores of the candidates in the ranking.
func (r *Ranking) insert(scores *[MaxRanked]float64, score float64, addr netip.AddrPort) {
	position := int(r.Count)
	for position > 0 && scores[position-1] < score {
		position--
	}
	if position > 0 && r.Candidates[position-1] == addr {
		return // a duplicate has the same score and thus the preceding position
	}
	if position == MaxRanked {
		return
	}
	last := min(int(r.Count), MaxRanked-1)
	for i := last; i > position; i-- {
		scores[i], r.Candidates[i] = scores[i-1], r.Candidates[i-1]
	}
	scores[position], r.Candidates[position] = score, addr
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

// mix is the finalizer of MurmurHash3: each bit of x affects all bits of the result.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// uniform maps x to a number between 0 and 1, both excluded.
func uniform(x uint64) float64 {
	const bits = 53
	return (float64(x>>(64-bits)) + 0.5) / (1 << bits)
}
