package announcer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/roster"
)

// Announced waits until a keeper has acknowledged the present state. The
// incarnation is settled then: a keeper that remembers a higher one has said so.
func (a *Announcer) Announced(ctx context.Context) error {
	return trace.Wrap(a.await(ctx, 1), "announce %s", a.Self().Data)
}

// HeardSince reports whether a keeper has answered a heartbeat that was sent
// after t. An agent that was paused waits for that before it admits flows.
func (a *Announcer) HeardSince(t time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.heard.After(t)
}

// Hosts returns how many hosts the fleet is expected to have, as a keeper said
// last; zero if that is not known.
func (a *Announcer) Hosts() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hosts
}

// Keepers returns the control addresses of the keepers.
func (a *Announcer) Keepers() []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	keepers := slices.Clone(a.plan.keepers(a.now()))
	return keepers[:min(len(keepers), roster.KeeperCount)]
}
