package limit

import "time"

// Pace says how often a run speaks to the platform and how long its leases
// last. The defaults bound what a fleet of 5,900 runs asks of the platform:
// 25 writes and 100 reads a second when steady, at most 300 writes a second for
// Spread when each run wants more in the same instant, and 100 after that.
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
	// Look is the time between reads, by which a run notices that others lack
	// what it does not use, and the least time between two requests for more.
	Look time.Duration
	// Join is the span over which new runs spread their first request.
	Join time.Duration
	// Retry is the first wait of a run without a share after a failure; it
	// doubles up to Look. For others it is Look, and doubles up to Renewal.
	Retry time.Duration
}

// DefaultPace returns the pace for the whole fleet.
func DefaultPace() Pace {
	return Pace{
		Term:      10 * time.Minute,
		FloorTerm: 7 * 24 * time.Hour,
		Renewal:   4 * time.Minute,
		Spread:    20 * time.Second,
		Look:      time.Minute,
		Join:      2 * time.Second,
		Retry:     2 * time.Second,
	}
}
