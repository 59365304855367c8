package queue

import "github.com/gravitational/trace"

// Limits bound the requests at one upstream.
type Limits struct {
	// Slots is the most requests that run at once; 1 or more.
	Slots int
	// ReservedSlots is how many of the slots long requests never use; less than Slots.
	ReservedSlots int
	// Length is the most requests that wait; 0 or more.
	Length int
}

// Validate returns the findings about limits that cannot be kept.
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

// longLength is how many long requests may wait. They get half of the queue,
// so that they never crowd out short requests.
func (l Limits) longLength() int {
	return (l.Length + 1) / 2
}
