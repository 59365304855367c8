// Package placement chooses the upstream for a new flow from what one process
// knows of the upstreams' load.
//
// It is designed for many short requests, one per flow, whose run times vary by an order
// of magnitude, on upstreams with a few slots each. What matters to a caller is the wait
// for a free slot. Packets between zones cost the operator money and the caller about a
// millisecond. So upstreams in the process's own zone are preferred until their
// utilization exceeds that of upstreams in other zones by more than a fixed fraction.
//
// The known load is always slightly stale, so placement has two stages: a relay calls
// Choose, and the sidecar beside the chosen upstream, which knows its upstream's load
// exactly, calls PassOn and passes the flow on if a peer is clearly better.
package placement

import (
	"math/rand/v2"
	"time"
)

// Weights of a choice, in units of utilization: 1 stands for all slots of an upstream.
const (
	// _crossZoneCost is by how much the utilization of an upstream in the process's own
	// zone may exceed that of an upstream in another zone before the latter is preferred.
	_crossZoneCost = 0.6
	// _jitter is the range of a random cost, so that processes with the same knowledge
	// do not all choose the same upstream.
	_jitter = 0.3
	// _passOnMargin is by how much the utilization of a peer must be below that of the
	// local upstream for a flow to be passed on. It allows for the time that the message
	// takes and for the slightly stale load of the peer.
	_passOnMargin = 0.25
)

// Candidate is an upstream that may take a new flow.
type Candidate struct {
	// Busy is the number of requests in progress. Slots is how many requests the
	// upstream can work on at a time, at least 1.
	Busy, Slots int
	// SameZone is set if the upstream is in the zone of the process that chooses.
	SameZone bool

	// The other fields are used by ChooseByWait and PassOnByWait only.

	// Zone is the index of the upstream's zone, from 0. Candidates of one zone have the same.
	Zone int
	// RunTime is the mean run time of a request at the upstream, or zero if it is unknown, and
	// Slowdown is its ratio to that at the upstream's peers in percent, or zero if it is unknown.
	// An upstream that isn't known to be slow has a Slowdown of at most NormalSlowdown.
	RunTime  time.Duration
	Slowdown int
	// ZoneCost is the cost of a choice in the upstream's zone (see Zones).
	ZoneCost time.Duration
	// Age is the age of Busy, and Reported the load that the upstream's sidecar last reported without
	// being asked. Busy is also updated by answers to offers, which tend to come while the load
	// is high, so Reported is used for the mean load of a zone.
	Age      time.Duration
	Reported int
}

// Utilization returns the fraction of the upstream's slots that is busy once it has
// accepted one more request. It exceeds 1 if requests must wait for a slot.
func (c Candidate) Utilization() float64 { return float64(c.Busy+1) / float64(max(c.Slots, 1)) }

// Choose returns the index of the candidate with the lowest cost, or -1 if there are no
// candidates. The cost is the utilization with the new flow, plus a random jitter, plus
// a penalty for another zone.
func Choose(candidates []Candidate, random *rand.Rand) int {
	best, lowest := -1, 0.0
	for i, c := range candidates {
		cost := c.Utilization() + _jitter*random.Float64()
		if !c.SameZone {
			cost += _crossZoneCost
		}
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// PassOn returns the index of the peer that should get a new flow instead of the
// sidecar's local upstream, or -1 if the local upstream should get it. A local upstream
// with a free slot always gets the flow.
func PassOn(local Candidate, peers []Candidate, random *rand.Rand) int {
	if local.Busy < local.Slots {
		return -1
	}
	best := Choose(peers, random)
	if best < 0 || peers[best].Utilization()+_passOnMargin > local.Utilization() {
		return -1
	}
	return best
}
