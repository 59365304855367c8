package limit

import "dandelionhitch.example/settings"

// gate decides on single flows. The parts it goes by are the least that any
// state the Share may be in leaves to its run.
type gate struct {
	limits Limits
	// noted are the revision and limit noted in the Share.
	notedRevision settings.Revision
	notedLimit    int

	// others is how many flows the other runs had open when they last wrote.
	others int

	joined      bool
	floor       Units
	leased      Units
	floorUntil  Instant
	leasedUntil Instant
	draining    bool

	open     int
	refusals refusals
	// unmet counts the flows refused for want of units since the run settled.
	unmet int

	// floorFlows and allFlows are the flows of the floor and of both parts.
	floorFlows int
	allFlows   int
}

// flowLimit is the limit that the run goes by. A limit noted in the Share with
// a higher revision counts if it is lower: the settings are late at this run.
func (g *gate) flowLimit() int {
	if g.notedRevision > g.limits.Revision {
		return min(g.notedLimit, g.limits.Flows)
	}
	return g.limits.Flows
}

// refresh computes what depends on the parts and the limit. While others have
// more flows open than their parts, after the limit was lowered, the leased
// part is cut by as much; else their flows fit in what this run's part leaves.
func (g *gate) refresh() {
	limit := g.flowLimit()
	g.floorFlows = g.floor.Flows(limit)
	part := (g.floor + g.leased).Flows(limit)
	g.allFlows = max(g.floorFlows, min(part, limit-g.others))
}

// restrict lowers the parts to at most those given.
func (g *gate) restrict(floor, leased Units) {
	g.floor = min(g.floor, floor)
	g.leased = min(g.leased, leased)
	g.refresh()
}

// allowance is how many flows may be open at now.
func (g *gate) allowance(now Instant) int {
	switch {
	case now.reached(g.floorUntil):
		return 0
	case now.reached(g.leasedUntil):
		return g.floorFlows
	default:
		return g.allFlows
	}
}

// tryAdmit takes a place for one flow or returns a RefusalError.
func (g *gate) tryAdmit(now Instant) error {
	reason := g.refusal(now)
	if reason != 0 {
		g.refusals.add(now.Mono, reason)
		g.want(reason)
		return _refusals[reason]
	}
	g.open++
	return nil
}

func (g *gate) want(reason Reason) {
	if reason >= NoShare {
		g.unmet++
	}
}

func (g *gate) refusal(now Instant) Reason {
	switch {
	case g.draining:
		return Draining
	case g.open >= g.limits.FlowsPerUpstream:
		return FlowsPerUpstream
	case g.open < g.allowance(now):
		return 0
	case !g.joined:
		return NoShare
	case g.open < g.allFlows:
		return LeaseLapsed
	default:
		return Flows
	}
}

// short reports whether the run is close to its allowance and more units
// could raise that.
func (g *gate) short(now Instant) bool {
	if g.draining || g.open >= g.limits.FlowsPerUpstream || g.floor+g.leased >= Whole {
		return false
	}
	allowed := g.allowance(now)
	return g.open >= allowed-allowed/_shortDivisor
}

// _shortDivisor gives the part of the allowance that is left when a run asks for more.
const _shortDivisor = 8
