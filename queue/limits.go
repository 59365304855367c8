package queue

import "github.com/gravitational/trace"

// Limits bounds the requests that run and wait at one upstream.
type Limits struct {
	// Slots is the maximum number of requests that run at once; 1 or more.
	Slots int
	// ReservedSlots is the number of slots that long requests never use; less than Slots.
	ReservedSlots int
	// Length is the maximum number of requests that wait; 0 or more.
	Length int
}

// Validate returns an aggregate of a BadParameter error for each invalid limit.
func (l Limits) Validate() error {
	var findings []error
	if l.Slots < 1 {
		findings = append(findings, trace.BadParameter("slots %d: want 1 or more", l.Slots))
	}
	if l.ReservedSlots < 0 || l.ReservedSlots >= max(l.Slots, 1) {
		findings = append(findings, trace.BadParameter("reserved slots %d: want 0 or more and less than the %d slots", l.ReservedSlots, l.Slots))
	}
	if l.Length < 0 {
		findings = append(findings, trace.BadParameter("queue length %d: want 0 or more", l.Length))
	}
	return trace.NewAggregate(findings...)
}

// longLength returns the maximum number of long requests that wait. It is half
// of the queue, rounded up, so that long requests cannot fill the queue and keep
// out short ones.
func (l Limits) longLength() int {
	return (l.Length + 1) / 2
}
