package roster

import "time"

// Thresholds of the load levels in percent of the capacity. A level is left
// well below where it is entered.
const (
	_highFrom  = 60
	_highUntil = 40
	_fullFrom  = 95
	_fullUntil = 80
	// MinLoadInterval is the least time between two changes of the level. A swing
	// that moves all 5,900 upstreams of the target size then costs their records at most
	// 20 changes a second; fine loads go to peers by heartbeat replies alone.
	MinLoadInterval = 5 * time.Minute
)

// LoadFilter turns a fine load into the coarse level of a record. The zero
// value is ready for use and yields LoadLow.
type LoadFilter struct {
	level   Load
	changed time.Duration
}

// With returns the filter after a fine load in percent was seen.
func (f LoadFilter) With(now time.Duration, percent uint8) LoadFilter {
	next := f.Level().after(percent)
	if next == f.Level() {
		return f
	}
	if f.level != 0 && now-f.changed < MinLoadInterval {
		return f
	}
	return LoadFilter{level: next, changed: now}
}

// Level returns the coarse level.
func (f LoadFilter) Level() Load { return max(f.level, LoadLow) }

func (l Load) after(percent uint8) Load {
	switch {
	case percent >= _fullFrom, l == LoadFull && percent >= _fullUntil:
		return LoadFull
	case percent >= _highFrom, l >= LoadHigh && percent >= _highUntil:
		return LoadHigh
	}
	return LoadLow
}

// Percent returns a fine load that the level stands for.
func (l Load) Percent() uint8 {
	switch l {
	case LoadHigh:
		return _highFrom
	case LoadFull:
		return 100
	}
	return _highFrom / 2
}
