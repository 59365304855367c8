package limit

import "time"

// Pace says how often a run speaks to the platform and how long its leases
// last. The defaults bound what a fleet of 5,900 runs asks of the platform:
// 25 renewals a second when steady, at most 300 writes a second when each run
// wants more in the same instant, and 100 a second if that goes on.
type Pace struct {
	// Term is how long the leased part is used after a renewal was sent.
	Term time.Duration
	// FloorTerm is the same for the floor.
	FloorTerm time.Duration
	// Renewal is the mean time between renewals; each varies by a tenth.
	Renewal time.Duration
	// Spread is the span over which runs that want more at the same instant
	// spread their requests.
	Spread time.Duration
	// Gap is the least time between two requests for more; it doubles up to
	// Renewal while requests stay fruitless.
	Gap time.Duration
	// Join is the span over which new runs spread their first request.
	Join time.Duration
	// Retry is the first wait after a failure; it doubles up to Renewal.
	Retry time.Duration
}

// DefaultPace returns the pace for the whole fleet.
func DefaultPace() Pace {
	return Pace{
		Term:      10 * time.Minute,
		FloorTerm: 7 * 24 * time.Hour,
		Renewal:   4 * time.Minute,
		Spread:    20 * time.Second,
		Gap:       time.Minute,
		Join:      2 * time.Second,
		Retry:     2 * time.Second,
	}
}

// _marginDivisor gives the margin that a reclaimer adds to a term: a tenth.
const _marginDivisor = 10

// reclaimAfter is how long an entry has to stay unchanged before a part with
// the given term may be reclaimed.
func reclaimAfter(term time.Duration) time.Duration {
	return term + term/_marginDivisor
}
