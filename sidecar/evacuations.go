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
func (c *Core) Evacuations() evacuation.Set { return c.evacuations }

// evacuated reports whether the zone of this host is evacuated.
func (c *Core) evacuated() bool { return c.evacuations.Contains(c.self.Zone) }

// adoptEvacuations puts the evacuated zones of a relay's report in force if they are
// newer. If the zone of this host is among them, the waiting flows go elsewhere, and from
// then on the upstream is reported as draining, so that relays with an older set offer it
// no flows either.
func (c *Core) adoptEvacuations(now time.Duration, set evacuation.Set, source string) {
	if !set.Newer(c.evacuations) {
		return
	}
	old, wasEvacuated := c.evacuations, c.evacuated()
	c.evacuations = set
	if !set.SameZones(old) {
		c.out.LogBelief(decision.NewEvacuations(old, set, source))
	}
	if c.evacuated() == wasEvacuated {
		return
	}
	c.reportToAll(now)
	if c.evacuated() {
		c.redirectWaiting(_reasonEvacuated)
	} else {
		c.suspectRestart()
		c.admitWaiting()
	}
}
