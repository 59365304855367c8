package limit

// plan is what decides how many units a run should have.
type plan struct {
	share Share
	// own is the run's entry in the share; its units are zero if it has none.
	own Entry
	// hosts is the number of runs that are not silent, this one included.
	hosts int
	// lacking is what the other runs that are not silent want and do not have.
	lacking Units

	limit    int
	maxHosts int
	open     int
	// refused reports that flows were refused, or nearly, for want of units.
	refused bool
	// unmet is how many flows were refused so.
	unmet    int
	draining bool
}

// _floorDivisor gives the part of the Whole that all floors have together: a half.
const _floorDivisor = 2

// Sizes of what a run takes beyond its open flows, as divisors.
const (
	// _headroomDivisor is of the open flows.
	_headroomDivisor = 4
	// _chunkDivisor is of an equal part of the limit.
	_chunkDivisor = 16
)

// The part of an equal share that each run takes without need, so that a swing
// of demand that hits all hosts alike needs no write; the rest is for those
// that are hit harder.
const (
	_fairNumerator   = 3
	_fairDenominator = 4
)

// entry returns the entry that the run should have. It never has fewer units
// than the open flows need, but where the run has fewer already and none are free.
func (p plan) entry() Entry {
	free := p.share.Free()
	have := p.own.Units()
	want := p.want(have, free)
	units := p.trim(min(want, have+p.reach(free)))

	next := p.own
	next.Floor = min(p.floor(), units)
	next.Leased = units - next.Floor
	next.Open = p.open
	next.Lacking = 0
	if p.refused {
		next.Lacking = p.need().less(units)
	}
	return next
}

// reach is how many of the free units the run may take. One that needs them
// leaves the larger part to others that a swing of demand may have hit as well;
// one that does not leaves what others lack.
func (p plan) reach(free Units) Units {
	if !p.refused {
		return free.less(p.lacking)
	}
	part := free / Units(max(p.hosts, 1)) * _reachHosts
	return min(free, max(part, UnitsFor(p.open+p.chunk(), p.limit).less(p.own.Units())))
}

// _reachHosts is how many hosts' equal parts of the free units a run takes at once.
const _reachHosts = 2

// want is what the run would have if enough were free.
func (p plan) want(have, free Units) Units {
	covered := UnitsFor(p.open, p.limit)
	if p.draining {
		return covered
	}
	want := p.need()
	if p.lacking > 0 && p.refused {
		return want
	}
	want = max(want, p.floor(), p.fair())
	if short := p.lacking.less(free); short > 0 {
		want = min(want, max(have.less(short), covered, p.floor()))
	}
	return want
}

// worthWriting reports whether the entry is worth a write before the renewal:
// the run gains what it wants, tells others that it lacks units or no longer
// does, or gives back an amount of some size while others lack it or it drains.
func (p plan) worthWriting(next Entry) bool {
	have := p.own.Units()
	gains := p.refused && next.Units() > have
	tells := (next.Lacking > 0) != (p.own.Lacking > 0)
	wanted := p.draining || p.lacking > p.share.Free()
	gives := wanted && have.less(next.Units()) > have/_giftDivisor
	return gains || tells || gives
}

// _giftDivisor gives the least part of its units that a run returns early.
const _giftDivisor = 16

// trim returns the part that is a whole number of flows, so that runs do not
// hold on to fractions that together would be flows; but all of the units if
// they do not cover the open flows.
func (p plan) trim(units Units) Units {
	flows := units.Flows(p.limit)
	if flows < p.open {
		return units
	}
	return UnitsFor(flows, p.limit)
}

// need covers the open flows and those that may come before the next renewal.
func (p plan) need() Units {
	headroom := max(p.open/_headroomDivisor, p.chunk())
	if p.refused && p.lacking == 0 {
		headroom = max(headroom, min(p.unmet, p.open))
	}
	if p.refused && p.lacking > 0 {
		headroom = p.chunk()
	}
	return UnitsFor(p.open+headroom, p.limit)
}

// chunk is the least number of flows that a run asks for.
func (p plan) chunk() int {
	return max(p.limit/(_chunkDivisor*max(p.hosts, 1)), 1)
}

// fair is the part that the run takes without need. It leaves the parts of
// expected hosts that have not joined, so that hosts that start together do not
// wait for the first one to give back.
func (p plan) fair() Units {
	return Whole / _fairDenominator * _fairNumerator / Units(max(p.hosts, p.maxHosts, 1))
}

// floor is the part that outlasts an outage: an equal part for each of the
// expected hosts, and none for hosts beyond that number.
func (p plan) floor() Units {
	if p.draining || p.maxHosts <= 0 {
		return 0
	}
	all := Whole / _floorDivisor
	each := all / Units(p.maxHosts)
	others := Units(0)
	for _, entry := range p.share.Entries {
		if entry.Run != p.own.Run {
			others += entry.Floor
		}
	}
	if others+each <= all {
		return each
	}
	return min(p.own.Floor, each)
}
