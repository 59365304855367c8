package service

import "time"

// IncarnationEpoch is the time of incarnation zero.
var IncarnationEpoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// _incarnationUnit is the resolution of an incarnation. With 32 bits it lasts
// 13 years; a process that restarts within one unit must wait for the next.
const _incarnationUnit = 100 * time.Millisecond

// IncarnationAt returns the incarnation of a process that starts at now.
// Times before the epoch count as 1.
func IncarnationAt(now time.Time) Incarnation {
	units := now.Sub(IncarnationEpoch) / _incarnationUnit
	if units < 1 {
		return 1
	}
	return Incarnation(units)
}

// After returns an incarnation that is higher than both i and known.
// A process whose clock went back, so that its first choice is not higher than
// a run the fleet remembers, announces itself with this one instead.
func (i Incarnation) After(known Incarnation) Incarnation {
	return max(i, known) + 1
}
