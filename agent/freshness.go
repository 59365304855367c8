package agent

import "time"

const (
	// _tick is the period of an agent's own clock.
	_tick = 100 * time.Millisecond
	// _pause is the gap between ticks that counts as a pause of the process.
	_pause = time.Second
)

// freshness finds out that the process was paused, from the gap between the
// ticks of its own clock. All times carry a monotonic reading.
type freshness struct {
	last time.Time
	// woke is when a pause was noticed; zero while the process is fresh.
	woke time.Time
}

// observe notes that the process runs at now. heard reports whether peers were
// heard after a time; it is asked only after a pause. It returns whether the
// process is fresh.
func (f *freshness) observe(now time.Time, heard func(since time.Time) bool) bool {
	if !f.last.IsZero() && now.Sub(f.last) >= _pause {
		f.woke = now
	}
	f.last = now
	if f.woke.IsZero() {
		return true
	}
	if !heard(f.woke) {
		return false
	}
	f.woke = time.Time{}
	return true
}
