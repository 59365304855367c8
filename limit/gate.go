package limit

import "dandelionhitch.example/settings"

// gate decides whether to admit a flow. Its floor and leased parts are the
// minimum over all states that the Share may be in while writes are pending.
type gate struct {
	limits Limits
	// shareRevision and shareLimit are the Revision and Limit of the Share.
	shareRevision settings.Revision
	shareLimit    int

	// openElsewhere is the number of flows that the other runs had open when
	// they last wrote their entries.
	openElsewhere int

	joined      bool
	floor       Units
	leased      Units
	floorUntil  Instant
	leasedUntil Instant
	draining    bool

	open     int
	refusals refusals
	// unmetFlows is the number of flows refused for lack of units since the
	// Holder's last cycle ended.
	unmetFlows int

	// floorFlows is the number of flows that the floor is worth, and totalFlows
	// the number that the floor and the leased part are worth together; see refresh.
	floorFlows int
	totalFlows int
}

// flowLimit returns the service's flow limit that the run applies: the limit in
// the settings that the run knows, or the Share's limit if that is lower and comes
// from a higher revision of the settings.
func (g *gate) flowLimit() int {
	if g.shareRevision > g.limits.Revision {
		return min(g.shareLimit, g.limits.Flows)
	}
	return g.limits.Flows
}

// refresh recomputes floorFlows and totalFlows. After the limit was lowered,
// other runs may have more flows open than their units are worth. totalFlows
// then leaves room for those flows, but is at least floorFlows.
func (g *gate) refresh() {
	limit := g.flowLimit()
	g.floorFlows = g.floor.Flows(limit)
	units := (g.floor + g.leased).Flows(limit)
	g.totalFlows = max(g.floorFlows, min(units, limit-g.openElsewhere))
}

// restrict lowers the parts in use to at most floor and leased.
func (g *gate) restrict(floor, leased Units) {
	g.floor = min(g.floor, floor)
	g.leased = min(g.leased, leased)
	g.refresh()
}

// allowance returns the number of flows that may be open at now.
func (g *gate) allowance(now Instant) int {
	switch {
	case now.reached(g.floorUntil):
		return 0
	case now.reached(g.leasedUntil):
		return g.floorFlows
	default:
		return g.totalFlows
	}
}

// tryAdmit counts one more open flow, or returns a *RefusalError.
func (g *gate) tryAdmit(now Instant) error {
	reason := g.refusalReason(now)
	if reason != 0 {
		g.refusals.add(now.Mono, reason)
		g.countUnmet(reason)
		return _refusalErrors[reason]
	}
	g.open++
	return nil
}

// countUnmet counts a refused flow if the reason is a lack of units.
func (g *gate) countUnmet(reason Reason) {
	if reason >= NoShare {
		g.unmetFlows++
	}
}

// refusalReason returns why a flow is refused at now, or zero if it is admitted.
func (g *gate) refusalReason(now Instant) Reason {
	switch {
	case g.draining:
		return Draining
	case g.open >= g.limits.FlowsPerUpstream:
		return FlowsPerUpstream
	case g.open < g.allowance(now):
		return 0
	case !g.joined:
		return NoShare
	case g.open < g.totalFlows:
		return LeaseLapsed
	default:
		return Flows
	}
}

// nearAllowance reports whether the run has reached or nearly reached its
// allowance, and more units could raise the allowance.
func (g *gate) nearAllowance(now Instant) bool {
	if g.draining || g.open >= g.limits.FlowsPerUpstream || g.floor+g.leased >= Whole {
		return false
	}
	allowed := g.allowance(now)
	return g.open >= allowed-allowed/_nearDivisor
}

// _nearDivisor is the divisor of the allowance that gives the unused part at which
// a run asks for more units: an eighth.
const _nearDivisor = 8
