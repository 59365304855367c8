package roster

import "time"

// Thresholds of the load levels in percent of the capacity. A level is left
// well below where it is entered.
const (
	_highEnter = 60
	_highLeave = 40
	_fullEnter = 95
	_fullLeave = 80
	// MinLoadInterval is the least time between two changes of the level. A swing
	// that moves all 5,900 upstreams of the target size then costs their records at most
	// 20 changes a second; fine loads go to peers by heartbeat replies alone.
	MinLoadInterval = 5 * time.Minute
)

// LoadFilter turns a fine load into the coarse level of a record. The zero
// value is ready for use and yields LoadLow.
type LoadFilter struct {
	level     Load
	changedAt time.Duration
}

// With returns the filter after a fine load in percent was seen.
func (f LoadFilter) With(now time.Duration, percent uint8) LoadFilter {
	next := f.Level().next(percent)
	if next == f.Level() {
		return f
	}
	if f.level != 0 && now-f.changedAt < MinLoadInterval {
		return f
	}
	return LoadFilter{level: next, changedAt: now}
}

// Level returns the coarse level.
func (f LoadFilter) Level() Load { return max(f.level, LoadLow) }

func (l Load) next(percent uint8) Load {
	switch {
	case percent >= _fullEnter, l == LoadFull && percent >= _fullLeave:
		return LoadFull
	case percent >= _highEnter, l >= LoadHigh && percent >= _highLeave:
		return LoadHigh
	}
	return LoadLow
}

// Percent returns a fine load that the level stands for.
func (l Load) Percent() uint8 {
	switch l {
	case LoadHigh:
		return _highEnter
	case LoadFull:
		return 100
	}
	return _highEnter / 2
}
