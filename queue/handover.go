package queue

// MaxLoad is the load level of an upstream that refuses work.
const MaxLoad = 7

// _handOverStep is how many levels less loaded another upstream must be.
// Levels lag, so that a difference of one is noise.
const _handOverStep = 2

// Choose picks the upstream that takes a request over from one whose load is
// own: the less loaded of two drawn at random, so that the callers of many
// agents do not all pick the same one. loads are the last known levels of the
// others; r1 and r2 are random numbers in [0, 1). It returns false if neither
// is clearly less loaded than own.
func Choose(loads []int, own int, r1, r2 float64) (int, bool) {
	if len(loads) == 0 {
		return 0, false
	}
	best := int(r1 * float64(len(loads)))
	other := int(r2 * float64(len(loads)))
	if loads[other] < loads[best] {
		best = other
	}
	return best, loads[best]+_handOverStep <= own
}
