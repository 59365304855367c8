package agent

import "time"

const (
	// _tickInterval is the interval of the agent's periodic work, which also observes
	// the clock for pauses.
	_tickInterval = 100 * time.Millisecond
	// _pauseThreshold is the gap between two observations of the clock from which on
	// the process counts as paused.
	_pauseThreshold = time.Second
)

// pauseDetector detects that the process was paused, by the gap between two
// observations of the clock. All times carry a monotonic reading.
type pauseDetector struct {
	lastObserved time.Time
	// resumedAt is when a pause was detected. It is zero if there was none or a
	// keeper has answered since.
	resumedAt time.Time
}

// observe records that the process is running at now. It returns false from the
// end of a pause until answeredSince, called with the time at which the pause was
// detected, returns true. It calls answeredSince only after a pause.
func (d *pauseDetector) observe(now time.Time, answeredSince func(since time.Time) bool) bool {
	if !d.lastObserved.IsZero() && now.Sub(d.lastObserved) >= _pauseThreshold {
		d.resumedAt = now
	}
	d.lastObserved = now
	if d.resumedAt.IsZero() {
		return true
	}
	if !answeredSince(d.resumedAt) {
		return false
	}
	d.resumedAt = time.Time{}
	return true
}
