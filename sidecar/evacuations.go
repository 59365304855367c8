package sidecar

import (
	"time"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/evacuation"
)

// _reasonEvacuated is the reason for rejecting flows while the operator has evacuated the
// zone of this host.
const _reasonEvacuated = "zone_evacuated"

// Evacuations returns the evacuated zones, as far as this sidecar knows.
func (c *Core) Evacuations() evacuation.State { return c.evacuations }

// evacuated reports whether the zone of this host is evacuated.
func (c *Core) evacuated() bool { return c.evacuations.Contains(c.self.Zone) }

// updateEvacuations puts a state of the evacuated zones in force. If the zone of this host
// is among them, the waiting flows go elsewhere, and from then on the upstream is reported
// as draining, so that relays with an older state offer it no flows either.
func (c *Core) updateEvacuations(now time.Duration, next evacuation.State, source string) {
	old, wasEvacuated := c.evacuations, c.evacuated()
	c.evacuations = next
	if !next.SameZones(old) {
		c.out.LogBelief(decision.NewEvacuations(old, next, source))
	}
	if c.evacuated() == wasEvacuated {
		return
	}
	c.reportToAll(now)
	if c.evacuated() {
		c.redirectWaiting(_reasonEvacuated)
		c.releaseAllHeld()
	} else {
		c.suspectRestart()
		c.admitWaiting()
	}
}
