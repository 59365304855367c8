package queue

import "time"

// Load levels, as returned by Queue.Load. The level is zero for an idle upstream.
const (
	// BusyLoad is the level at which all slots are in use.
	BusyLoad = 4
	// CrowdedLoad is the level at which the number of waiting requests is half
	// the number of running requests.
	CrowdedLoad = 6
	// MaxLoad is the level of an upstream that accepts no requests.
	MaxLoad = 7
)

// Choose returns the index in loads of the upstream that a request is handed
// over to: the less loaded of two different upstreams drawn at random, so that
// many agents with the same stale loads do not all choose the same upstream.
// loads are the last known load levels of the candidates; r1 and r2 are random
// numbers in [0, 1). Choose returns false if there are no candidates, or if the
// level of the chosen upstream is not lower than maxLoad.
func Choose(loads []int, maxLoad int, r1, r2 float64) (int, bool) {
	if len(loads) == 0 {
		return 0, false
	}
	best := int(r1 * float64(len(loads)))
	other := int(r2 * float64(len(loads)-1))
	if other >= best {
		other = min(other+1, len(loads)-1)
	}
	if loads[other] < loads[best] {
		best = other
	}
	return best, loads[best] < maxLoad
}

const (
	// MaxHandOvers is the maximum number of other upstreams that one request is
	// handed over to.
	MaxHandOvers = 4
	// _handOverWait is the expected wait from which a request is handed over. A
	// handover takes one or two milliseconds.
	_handOverWait = 4 * time.Millisecond
)

// HandOverMaxWait returns the MaxWait for the handover of a request. expected is
// the request's expected wait at this upstream. HandOverMaxWait returns false if
// that wait is so short that a handover would not save time.
func HandOverMaxWait(expected time.Duration) (time.Duration, bool) {
	return expected / 2, expected >= _handOverWait
}
