package limit

import "time"

// Pace defines how often a run accesses the platform and how long its leases
// last. The paces of PaceFor bound the load of a whole fleet on the platform:
// 5,900 runs make 25 writes and 100 reads per second in steady state, and about
// 250 writes per second during Spread if all of them need more units at the same
// instant.
type Pace struct {
	// Term is how long the run may use the leased part after it sent a renewal.
	Term time.Duration
	// FloorTerm is how long the run may use the floor after it sent a renewal.
	FloorTerm time.Duration
	// Renewal is the mean time between renewals, with a jitter of a tenth.
	Renewal time.Duration
	// Spread is the span over which runs that need more units at the same
	// instant spread their requests.
	Spread time.Duration
	// Poll is the interval between reads. By reading, a run notices that other
	// runs lack units while it has units to return. Poll is also the minimum
	// time between two requests for more units.
	Poll time.Duration
	// JoinSpread is the span over which new runs spread their first requests.
	JoinSpread time.Duration
	// Retry is the initial backoff after a failure for a run without an entry; it
	// doubles up to Poll. For a run with an entry, the backoff begins with Poll
	// and doubles up to Renewal.
	Retry time.Duration
}

// Bounds on the load of a fleet on the platform, from which PaceFor derives its spans.
const (
	// _writeSpacing is the mean time between two writes of the fleet if all runs
	// need more units at the same instant: 250 writes per second.
	_writeSpacing = 4 * time.Millisecond
	// _readSpacing is the mean time between two polls of the fleet in steady
	// state: 100 reads per second.
	_readSpacing = 10 * time.Millisecond
	// _minSpread and _minPoll are the minimum values of Spread and Poll, for small fleets.
	_minSpread = 50 * time.Millisecond
	_minPoll   = 2 * time.Second
)

// PaceFor returns the pace for a fleet of this many hosts. In a smaller fleet, a
// run may request more units again sooner: after 2 seconds with 10 hosts, after a
// minute with 5,900. The terms of leases do not depend on the number of hosts, so
// runs with different paces share a limit safely.
func PaceFor(hosts int) Pace {
	pace := DefaultPace()
	if hosts <= 0 {
		return pace
	}
	pace.Spread = max(time.Duration(hosts)*_writeSpacing, _minSpread)
	pace.JoinSpread = pace.Spread
	pace.Poll = max(time.Duration(hosts)*_readSpacing, _minPoll)
	return pace
}

// DefaultPace returns the pace for a fleet of 5,900 hosts or of unknown size.
func DefaultPace() Pace {
	return Pace{
		Term:       10 * time.Minute,
		FloorTerm:  7 * 24 * time.Hour,
		Renewal:    4 * time.Minute,
		Spread:     20 * time.Second,
		Poll:       time.Minute,
		JoinSpread: 20 * time.Second,
		Retry:      2 * time.Second,
	}
}
