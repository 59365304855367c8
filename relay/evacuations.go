package relay

import (
	"time"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/evacuation"
)

// _reasonEvacuated is the reason for leaving out upstreams of evacuated zones when a flow
// is placed, or for not placing it.
const _reasonEvacuated = "zone_evacuated"

// Evacuations returns the evacuated zones, as far as this relay knows.
func (c *Core) Evacuations() evacuation.State { return c.evacuations }

// SetEvacuations puts the evacuated zones that were read from the store in force, unless
// those in force are newer. If the zones differ, the next tick reports to all processes.
func (c *Core) SetEvacuations(now time.Duration, set evacuation.Set, source string) {
	if c.evacuations.Set().Newer(set) && set.String() != c.evacuations.Set().String() {
		c.out.LogBelief(decision.NewIgnoredEvacuations(c.evacuations, set, source))
	}
	if c.updateEvacuations(now, c.evacuations.With(now, set), source) {
		c.nextReport = now
	}
}

// handleEvacuations puts the evacuated zones of another relay's report in force if they
// are newer, and passes them on.
func (c *Core) handleEvacuations(now time.Duration, set evacuation.Set, source string) {
	if !c.updateEvacuations(now, c.evacuations.With(now, set), source) {
		return
	}
	for _, addr := range c.view.RandomProcesses(_fetchFanout, c.random) {
		c.reportTo(now, addr, "", 0)
	}
}

// updateEvacuations puts a state in force and reports whether the zones have changed.
func (c *Core) updateEvacuations(now time.Duration, next evacuation.State, source string) bool {
	old := c.evacuations
	c.evacuations = next
	if next.SameZones(old) {
		return false
	}
	c.out.LogBelief(decision.NewEvacuations(old, next, source))
	c.offerParked(now)
	return true
}
