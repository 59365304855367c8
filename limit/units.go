package limit

import "math/bits"

// Units is a part of a limit, counted in the equal units into which the Whole is
// divided. It does not depend on the value of the limit.
type Units uint64

// Whole is all of a limit. It is divisible by every limit up to 28 and by common
// round limits, so that one flow is a whole number of units under these limits.
// Under other limits, rounding may make one flow unusable. Whole is exact as a JSON
// number.
const Whole Units = 1 << 8 * 3 * 3 * 3 * 15625 * 7 * 7 * 11 * 13 * 17 * 19 * 23

// Flows returns the number of flows that the units are worth under the limit,
// rounded down.
func (u Units) Flows(limit int) int {
	if limit <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(min(u, Whole)), uint64(limit))
	flows, _ := bits.Div64(high, low, uint64(Whole))
	return int(flows)
}

// UnitsFor returns the minimum number of units that are worth this number of
// flows under the limit; at most the Whole.
func UnitsFor(flows, limit int) Units {
	if flows <= 0 || limit <= 0 {
		return 0
	}
	if flows >= limit {
		return Whole
	}
	high, low := bits.Mul64(uint64(flows), uint64(Whole))
	units, rest := bits.Div64(high, low, uint64(limit))
	if rest > 0 {
		units++
	}
	return Units(units)
}

// less returns u - v, or zero when v is larger.
func (u Units) less(v Units) Units {
	return u - min(u, v)
}
