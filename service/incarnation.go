package service

import "time"

// IncarnationEpoch is the time that corresponds to incarnation zero.
var IncarnationEpoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// _incarnationUnit is the unit in which an incarnation counts time since the epoch. The 32
// bits of an incarnation last for 13 years. A process that restarts within one unit must
// wait for the next.
const _incarnationUnit = 100 * time.Millisecond

// IncarnationAt returns the incarnation of a process that starts at now. It is 1 if now is
// before the epoch.
func IncarnationAt(now time.Time) Incarnation {
	units := now.Sub(IncarnationEpoch) / _incarnationUnit
	if units < 1 {
		return 1
	}
	return Incarnation(units)
}

// After returns an incarnation that is higher than both i and known. A process uses it
// after its clock was set back, when its own incarnation i is not higher than that of an
// earlier run, known to the fleet.
func (i Incarnation) After(known Incarnation) Incarnation {
	return max(i, known) + 1
}
