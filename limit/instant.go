package limit

import "time"

// Instant is a reading of a process's two clocks. Each clock counts from an
// arbitrary origin. Instants of different hosts are never compared.
type Instant struct {
	// Mono is the monotonic clock. It may stop while a VM is paused.
	Mono time.Duration
	// Wall is the wall clock. It may be set forward or back.
	Wall time.Duration
}

// add returns the instant with both clocks advanced by d.
func (i Instant) add(d time.Duration) Instant {
	return Instant{Mono: i.Mono + d, Wall: i.Wall + d}
}

// reached reports whether either clock has reached the deadline. A wall clock that
// was set forward ends a lease early, which costs only a renewal. After a pause
// in which the monotonic clock stopped, only the wall clock shows that the lease
// has ended.
func (i Instant) reached(deadline Instant) bool {
	return i.Mono >= deadline.Mono || i.Wall >= deadline.Wall
}
