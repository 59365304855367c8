// Package placement chooses the upstream for a new flow from what one process
// knows of the upstreams' load.
//
// The load that it answers is many short requests, a flow each, with run times
// that vary by an order of magnitude, on upstreams with a few slots each. What
// counts for a caller is the wait for a free slot; packets that cross zones cost
// the operator money and the caller about a millisecond. So an upstream in the
// own zone goes first until it is fuller than another by more than a part of its
// slots. What is known is always a little old, hence the two stages: a relay
// chooses here, and the sidecar beside the chosen upstream, which knows its load
// exactly, passes the flow on if a peer is clearly better.
package placement

import "math/rand/v2"

// Weights of a choice, in parts of an upstream's slots.
const (
	// _zoneCost is how much fuller an upstream in the own zone may be.
	_zoneCost = 0.6
	// _jitter spreads processes that know the same.
	_jitter = 0.3
	// _passMargin is how much less full a peer must be before a flow is passed
	// on: the message takes time and the peer's load is a little old.
	_passMargin = 0.25
)

// Candidate is an upstream that may take a new flow.
type Candidate struct {
	// Busy is the number of requests in progress; Slots is how many are worked on
	// at a time, at least 1.
	Busy, Slots int
	// SameZone says that packets to it do not leave the zone.
	SameZone bool
}

// Fill returns how full the upstream is once it takes one more, 1 for all slots busy.
func (c Candidate) Fill() float64 { return float64(c.Busy+1) / float64(max(c.Slots, 1)) }

// Choose returns the index of the best candidate, or -1 if there is none.
func Choose(candidates []Candidate, random *rand.Rand) int {
	best, lowest := -1, 0.0
	for i, c := range candidates {
		cost := c.Fill() + _jitter*random.Float64()
		if !c.SameZone {
			cost += _zoneCost
		}
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// PassOn returns the index of the peer that should get a new flow in place of
// the own upstream, or -1 if the own upstream should keep it. While it has a
// free slot, it does.
func PassOn(own Candidate, peers []Candidate, random *rand.Rand) int {
	if own.Busy < own.Slots {
		return -1
	}
	best := Choose(peers, random)
	if best < 0 || peers[best].Fill()+_passMargin > own.Fill() {
		return -1
	}
	return best
}
