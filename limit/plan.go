package limit

// plan holds the inputs that determine how many units a run should have.
type plan struct {
	share Share
	// current is the run's entry in the share; its units are zero if it has none.
	current Entry
	// free are the units that may be claimed.
	free Units
	// hosts is the number of runs whose lease has not lapsed, including this one.
	hosts int
	// othersLacking is the sum of the units that the other runs counted in hosts lack.
	othersLacking Units

	limit    int
	maxHosts int
	open     int
	// wantsMore says that the run has reached or nearly reached its allowance.
	wantsMore bool
	// unmetFlows is the number of flows that were refused for lack of units.
	unmetFlows int
	draining   bool
}

// _floorDivisor is the divisor of the Whole that gives the sum of all floors: a half.
const _floorDivisor = 2

// Divisors that give the headroom of a run, which is the number of flows beyond
// its open ones for which it claims units.
const (
	// _headroomDivisor divides the run's open flows.
	_headroomDivisor = 4
	// _minHeadroomDivisor divides the run's equal part of the limit, which gives
	// the minimum headroom.
	_minHeadroomDivisor = 16
)

// Numerator and denominator of the fraction of its equal part of the Whole that
// each run claims regardless of its demand, so that a change of demand that affects
// all hosts equally needs no write. The rest is for hosts with higher demand.
const (
	_baseNumerator   = 3
	_baseDenominator = 4
)

// entry returns the entry that the run should have. Its units cover the open
// flows, unless the current units do not cover them and too few units are free.
func (p plan) entry() Entry {
	held := p.current.Units()
	target := p.target(held, p.free)
	units := p.roundToFlows(min(target, held+p.claimable(p.free)))

	next := p.current
	next.Floor = min(p.floorPart(), units)
	next.Leased = units - next.Floor
	next.Open = p.open
	next.Lacking = 0
	if p.wantsMore {
		next.Lacking = p.needed().less(units)
	}
	return next
}

// claimable returns how many of the free units the run may claim. If it needs
// more units, it leaves most of the free ones to other runs, whose demand may
// have grown at the same time. Otherwise, it leaves the units that other runs lack.
func (p plan) claimable(free Units) Units {
	if !p.wantsMore {
		return free.less(p.othersLacking)
	}
	part := free / Units(max(p.hosts, 1)) * _claimHosts
	return min(free, max(part, UnitsFor(p.open+p.minHeadroom(), p.limit).less(p.current.Units())))
}

// _claimHosts is how many equal parts of the free units, one for each host, a run
// claims at once.
const _claimHosts = 2

// target returns the units that the run should have if enough are free, given
// the units that it holds.
func (p plan) target(held, free Units) Units {
	covered := UnitsFor(p.open, p.limit)
	if p.draining {
		return covered
	}
	target := p.needed()
	if p.othersLacking > 0 && p.wantsMore {
		return target
	}
	target = max(target, p.floorPart(), p.basePart())
	if shortfall := p.othersLacking.less(free); shortfall > 0 {
		target = min(target, max(held.less(shortfall), covered, p.floorPart()))
	}
	return target
}

// needsWrite reports whether the entry must be written before its renewal is due.
// That is the case if the run gains units that it needs, starts or stops lacking
// units, or returns a considerable part of its units while others lack units or the
// run is draining.
func (p plan) needsWrite(next Entry) bool {
	held := p.current.Units()
	gainsUnits := p.wantsMore && next.Units() > held
	lackingChanged := (next.Lacking > 0) != (p.current.Lacking > 0)
	shouldReturn := p.draining || p.othersLacking > p.free
	returnsUnits := shouldReturn && held.less(next.Units()) > held/_minReturnDivisor
	return gainsUnits || lackingChanged || returnsUnits
}

// _minReturnDivisor is the divisor of a run's units that gives the minimum number
// of units that it returns before the renewal.
const _minReturnDivisor = 16

// roundToFlows rounds units down to a whole number of flows, so that runs do not
// hold fractions of a flow which add up to whole flows. It returns units unchanged
// if they do not cover the open flows.
func (p plan) roundToFlows(units Units) Units {
	flows := units.Flows(p.limit)
	if flows < p.open {
		return units
	}
	return UnitsFor(flows, p.limit)
}

// needed returns the units that cover the open flows and the headroom for flows
// that may arrive before the next renewal.
func (p plan) needed() Units {
	headroom := max(p.open/_headroomDivisor, p.minHeadroom())
	if p.wantsMore && p.othersLacking == 0 {
		headroom = max(headroom, min(p.unmetFlows, p.open))
	}
	if p.wantsMore && p.othersLacking > 0 {
		headroom = p.minHeadroom()
	}
	return UnitsFor(p.open+headroom, p.limit)
}

// minHeadroom returns the minimum headroom, in flows.
func (p plan) minHeadroom() int {
	return max(p.limit/(_minHeadroomDivisor*max(p.hosts, 1)), 1)
}

// basePart returns the units that the run claims regardless of its demand. It
// leaves free the parts of expected hosts that have not joined yet, so that hosts
// that start together do not have to wait until the first host returns units.
func (p plan) basePart() Units {
	return Whole / _baseDenominator * _baseNumerator / Units(max(p.hosts, p.maxHosts, 1))
}

// floorPart returns the floor, which the run may use during an outage: an equal
// part for each of the expected hosts, and none for hosts beyond that number.
func (p plan) floorPart() Units {
	if p.draining || p.maxHosts <= 0 {
		return 0
	}
	allFloors := Whole / _floorDivisor
	each := allFloors / Units(p.maxHosts)
	otherFloors := Units(0)
	for _, entry := range p.share.Entries {
		if entry.Run != p.current.Run {
			otherFloors += entry.Floor
		}
	}
	if otherFloors+each <= allFloors {
		return each
	}
	return min(p.current.Floor, each)
}
