package limit

import "time"

// Pace says how often a run speaks to the platform and how long its leases
// last. PaceFor bounds what a fleet of any size asks of the platform: for 5,900
// runs 25 writes and 100 reads a second when steady, and about 250 writes a
// second for Spread when each run wants more in the same instant.
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

// What a fleet may ask of the platform, by which PaceFor spreads its runs.
const (
	// _writeSpacing is the time between two requests for more, of any runs, when
	// all want more in the same instant: 250 writes a second.
	_writeSpacing = 4 * time.Millisecond
	// _readSpacing is the time between two looks of any runs, all the time: 100
	// reads a second.
	_readSpacing = 10 * time.Millisecond
	// _minSpread and _minLook bound the spans of a small fleet.
	_minSpread = 50 * time.Millisecond
	_minLook   = 2 * time.Second
)

// PaceFor returns the pace for a fleet of this many hosts. The fewer there are,
// the sooner a run may ask again: 10 hosts within 2 seconds, 5,900 within a
// minute. The terms of leases are the same for every fleet, so runs of
// different pace share a limit safely.
func PaceFor(hosts int) Pace {
	pace := DefaultPace()
	if hosts <= 0 {
		return pace
	}
	pace.Spread = max(time.Duration(hosts)*_writeSpacing, _minSpread)
	pace.Join = pace.Spread
	pace.Look = max(time.Duration(hosts)*_readSpacing, _minLook)
	return pace
}

// DefaultPace returns the pace for a fleet of 5,900 hosts or of unknown size.
func DefaultPace() Pace {
	return Pace{
		Term:      10 * time.Minute,
		FloorTerm: 7 * 24 * time.Hour,
		Renewal:   4 * time.Minute,
		Spread:    20 * time.Second,
		Look:      time.Minute,
		Join:      20 * time.Second,
		Retry:     2 * time.Second,
	}
}
