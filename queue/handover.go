package queue

import "time"

// The load levels, as Queue.Load gives them.
const (
	// BusyLoad is the level at which all slots are in use.
	BusyLoad = 4
	// CrowdedLoad is the level at which half as many requests wait as run.
	CrowdedLoad = 6
	// MaxLoad is the level of an upstream that refuses work.
	MaxLoad = 7
)

// Choose picks the upstream that a request is handed over to: the less loaded
// of two drawn at random without repetition, so that many agents with the same old news do not
// all pick the same one. loads are the last known levels of the others; r1 and
// r2 are random numbers in [0, 1). It returns false unless the level of the
// chosen one is lower than below.
func Choose(loads []int, below int, r1, r2 float64) (int, bool) {
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
	return best, loads[best] < below
}

const (
	// MaxHandOvers is how many other upstreams one request is handed to.
	MaxHandOvers = 4
	// _handOverWait is the expected wait from which a request is better off
	// with another upstream, one or two milliseconds away.
	_handOverWait = 4 * time.Millisecond
)

// MaxWaitElsewhere is the MaxWait for handing over a request that is expected
// to wait here; false means that it is better off where it is.
func MaxWaitElsewhere(expected time.Duration) (time.Duration, bool) {
	return expected / 2, expected >= _handOverWait
}
