package limit

import "time"

// Instant is one reading of a process's own clocks, each counted from any
// fixed time of its own. Instants of different hosts are never compared.
type Instant struct {
	// Mono is the monotonic clock. It may stand still while a VM is paused.
	Mono time.Duration
	// Wall is the wall clock. It may be set forward and back.
	Wall time.Duration
}

// add returns the instant d later.
func (i Instant) add(d time.Duration) Instant {
	return Instant{Mono: i.Mono + d, Wall: i.Wall + d}
}

// reached reports whether either clock has come to the deadline. A wall clock
// that was set forward ends a lease early, which costs only a renewal; a wall
// clock that caught up after a pause in which the monotonic clock stood still
// ends it as it must.
func (i Instant) reached(deadline Instant) bool {
	return i.Mono >= deadline.Mono || i.Wall >= deadline.Wall
}
