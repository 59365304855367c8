package roster

import "time"

// Thresholds of the load levels in percent of the capacity. The threshold to leave a
// level is well below the one to enter it, for hysteresis.
const (
	_highEnter = 60
	_highLeave = 40
	_fullEnter = 95
	_fullLeave = 80
	// MinLoadInterval is the minimum time between two changes of the level. With 5,900
	// upstreams it limits the changes of records to 20 per second, even if the loads of
	// all upstreams change together. Fine loads are not part of records: peers get them
	// in heartbeat replies only.
	MinLoadInterval = 5 * time.Minute
)

// LoadFilter converts fine loads, which are loads in percent of the capacity, to the
// coarse load level of a record, with hysteresis and at most one change per
// MinLoadInterval. The zero value is ready for use and has
// the level LoadLow.
type LoadFilter struct {
	level     Load
	changedAt time.Duration
}

// Updated returns the filter updated with a fine load in percent of the capacity.
func (f LoadFilter) Updated(now time.Duration, percent uint8) LoadFilter {
	next := f.Level().next(percent)
	if next == f.Level() {
		return f
	}
	if f.level != 0 && now-f.changedAt < MinLoadInterval {
		return f
	}
	return LoadFilter{level: next, changedAt: now}
}

// Level returns the current load level.
func (f LoadFilter) Level() Load { return max(f.level, LoadLow) }

// next returns the level to which l changes at a fine load in percent.
func (l Load) next(percent uint8) Load {
	switch {
	case percent >= _fullEnter, l == LoadFull && percent >= _fullLeave:
		return LoadFull
	case percent >= _highEnter, l >= LoadHigh && percent >= _highLeave:
		return LoadHigh
	}
	return LoadLow
}

// Percent returns a typical fine load of the level in percent of the capacity.
func (l Load) Percent() uint8 {
	switch l {
	case LoadHigh:
		return _highEnter
	case LoadFull:
		return 100
	}
	return _highEnter / 2
}
