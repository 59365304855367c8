package relay

import (
	"time"

	"dandelionhitch.example/fleet"
	"dandelionhitch.example/placement"
)

// candidate returns an upstream as a candidate for an opening. What the choice by the expected
// wait needs is set for openings of services whose routes differ in priority only.
func (c *Core) candidate(now time.Duration, o *offer, u *fleet.Upstream) placement.Candidate {
	candidate := placement.Candidate{Busy: u.Busy, Slots: u.Slots, SameZone: u.Zone == c.self.Zone}
	if !o.prioritized {
		return candidate
	}
	zone := c.zones.Index(u.Zone)
	candidate.Zone, candidate.ZoneCost = zone, c.zones.Cost(now, zone)
	if o.refusedZones&(1<<zone) != 0 {
		candidate.ZoneCost += placement.RefusalCost
	}
	candidate.RunTime, candidate.Slowdown = u.RunTime, int(u.Slowdown)
	candidate.Reported, candidate.Age = u.Reported, now-u.LoadUpdatedAt
	return candidate
}

// bestCandidate returns the index of the best of c.candidates for an opening, or -1 if there are
// none.
func (c *Core) bestCandidate(o *offer) int {
	if o.prioritized {
		return placement.ChooseByWait(c.candidates, c.random)
	}
	return placement.Choose(c.candidates, c.random)
}

// noteAccepted records that the last offer of an opening, to a sidecar in a zone, was accepted.
// passedOn is set if not by that sidecar.
func (c *Core) noteAccepted(now time.Duration, o *offer, zoneName string, passedOn bool) {
	zone := c.zones.Index(zoneName)
	if !passedOn {
		c.zones.Answered(zone, now-o.lastSent)
	}
	if !o.lastResort {
		c.zones.Accepted(now, zone)
	}
}

// noteOverloaded records that the last offer of an opening was refused because the upstreams are
// overloaded. The next choice avoids the zone to which it was sent, since the sidecar there has
// found no peer for it.
func (c *Core) noteOverloaded(now time.Duration, o *offer) {
	if len(o.tried) == 0 {
		return
	}
	u := c.view.Upstream(o.tried[len(o.tried)-1])
	if u == nil {
		return
	}
	zone := c.zones.Index(u.Zone)
	o.refusedZones |= 1 << zone
	if !o.lastResort {
		c.zones.Refused(now, zone)
	}
}
