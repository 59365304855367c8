package announcer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/roster"
)

// WaitAcknowledged waits until a keeper has acknowledged the current record. From then on
// the incarnation is accepted: a keeper that had recorded a higher incarnation at the
// address, or the end of this one, would have made the announcer adopt another one first.
func (a *Announcer) WaitAcknowledged(ctx context.Context) error {
	return trace.Wrap(a.awaitAcks(ctx, 1), "announce %s", a.Self().Data)
}

// AnsweredSince reports whether a keeper has answered a heartbeat that was sent
// after t. An agent whose process was paused checks this before it admits flows
// again.
func (a *Announcer) AnsweredSince(t time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastAnswered.After(t)
}

// Hosts returns the expected number of hosts in the fleet from the latest keeper
// reply, or zero if it is not known.
func (a *Announcer) Hosts() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hosts
}

// Keepers returns the control addresses that heartbeats are currently sent to.
func (a *Announcer) Keepers() []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	keepers := slices.Clone(a.plan.keepers(a.now()))
	return keepers[:min(len(keepers), roster.KeeperCount)]
}
