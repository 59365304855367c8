package relay

import (
	"time"

	"dandelionhitch.example/directory"
	"dandelionhitch.example/fleet"
)

// KnownUpstream is a copy of what a relay knows of an upstream.
type KnownUpstream struct {
	fleet.Upstream
	// Eligible is set if the relay offers new flows to the upstream.
	Eligible bool
	// LoadAge is the age of the load, and NoRoomAge that of NoRoomFrom, which only reports
	// renew.
	LoadAge, NoRoomAge time.Duration
}

// Upstreams returns what the relay knows of all upstreams, in the order of their addresses.
func (c *Core) Upstreams(now time.Duration) []KnownUpstream {
	known := make([]KnownUpstream, 0, c.view.SidecarCount())
	for _, u := range c.view.Sidecars() {
		known = append(known, KnownUpstream{
			Upstream: *u,
			Eligible: c.view.Eligible(now, u) && !c.evacuations.Contains(u.Zone),
			LoadAge:  now - u.LoadUpdatedAt, NoRoomAge: now - u.NoRoomUpdatedAt,
		})
	}
	return known
}

// Upstreams returns what the relay knows of all upstreams, in the order of their addresses,
// and the configuration in force.
func (r *Relay) Upstreams() ([]KnownUpstream, directory.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Upstreams(r.Now()), r.core.Table()
}
