package limit

import "math/bits"

// Units are parts of a limit, whatever the limit is at the moment.
type Units uint64

// Whole is all of a limit. It is divisible by every limit up to 28 and by the
// usual round ones, so that their flows are whole numbers of units; of other
// limits, one flow may be out of reach. It fits a JSON number.
const Whole Units = 1 << 8 * 3 * 3 * 3 * 15625 * 7 * 7 * 11 * 13 * 17 * 19 * 23

// Flows returns how many flows of the limit the units are, rounded down.
func (u Units) Flows(limit int) int {
	if limit <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(min(u, Whole)), uint64(limit))
	flows, _ := bits.Div64(high, low, uint64(Whole))
	return int(flows)
}

// UnitsFor returns the least units that are as many flows of the limit; at
// most the Whole.
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
