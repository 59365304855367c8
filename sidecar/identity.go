package sidecar

import (
	"fmt"
	"slices"
	"time"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
)

// A sidecar finds its upstream by an address. Another upstream, possibly of another service,
// may have that address once Identity.AddressReuse has passed since the end of the sidecar's
// own one. So the upstream gets opening packets only for that long after the last proof that
// the process at the address is of this sidecar's service:
//
//   - a heartbeat that was accepted and comes when its number lets expect it. One that was
//     delayed may be read long after its sender has ended;
//   - a reply on a flow whose opening packet this process has delivered. That packet went to
//     the right process, since it was delivered under this rule, and only the process that got
//     it answers on the flow.
//
// Bounces, resets and packets of other flows are no proof: any process may send them. Packets
// of open flows need none: a process that does not hold the flow bounces them.
//
// Heartbeats that name another service at the address may be late or another writer's, and one
// of them shows nothing. The address has passed on if hasReplaced finds that their sender runs
// in place of the own upstream. If the confirmation had run out before, one is enough. From then
// on only heartbeats that follow each other in time are proof.
//
// The confirmation is apart from upstream.state, by which flows of a dead upstream are reset.
// An upstream without it is reported as suspect, and keeps its flows.
const (
	// _defaultAddressReuse is used as Identity.AddressReuse if that is zero. It is the figure
	// of the users' deployments.
	_defaultAddressReuse = 2 * time.Second
	// _heartbeatOverdue is the silence, in heartbeat intervals, after which the upstream has
	// missed a heartbeat.
	_heartbeatOverdue = 1.5
	// _heartbeatJitter is how much later than expected the heartbeat of a running upstream may
	// arrive, for each interval since the last one, and _maxHeartbeatJitter bounds that in all.
	// Both are in heartbeat intervals.
	_heartbeatJitter    = 0.15
	_maxHeartbeatJitter = 0.5
	// _minProofHeartbeats is the least time, in heartbeat intervals, for which a proof lasts.
	// Otherwise an upstream that sends nothing but heartbeats would get no flows.
	_minProofHeartbeats = 1.5
	// _drainTicks is the number of ticks within which a running process has read what was
	// waiting in its sockets. After a stall, the first two ticks may follow each other at once.
	_drainTicks = 2
	// _reasonUnconfirmed is the reason for rejecting flows while the address may have passed
	// to another upstream.
	_reasonUnconfirmed = "upstream_unconfirmed"
)

// identity is what the sidecar knows of which upstream is at the address of its own.
type identity struct {
	// confirmedUntil is the time until which the address has not passed on, as far as proved.
	confirmedUntil time.Duration
	// lapsed is set from when it was reported that the confirmation is over until it is reported
	// that there is one again.
	lapsed bool
	// other is the claim to the address by an upstream of another service. revoked is set once
	// it is proved, until the own upstream has shown that it runs.
	other   claim
	revoked bool
	// ticks are the times of the last ticks, the oldest first.
	ticks [_drainTicks + 1]time.Duration
}

// noteTick records the time of a tick.
func (id *identity) noteTick(now time.Duration) {
	copy(id.ticks[:], id.ticks[1:])
	id.ticks[_drainTicks] = now
}

// confirmed reports whether the process at the upstream's address is of this sidecar's service.
func (c *Core) confirmed(now time.Duration) bool { return now < c.identity.confirmedUntil }

// sentSince returns the time after which a packet that is read now has arrived. It may have
// waited in the socket while this process was stalled.
func (c *Core) sentSince() time.Duration {
	if c.lastTick == 0 {
		return c.now
	}
	return c.identity.ticks[0]
}

// confirm notes a proof that the process at the upstream's address is of this sidecar's
// service. A timely process may take up to _maxTickGap from a check of the confirmation until
// the packet is sent.
func (c *Core) confirm(proof string) {
	id := &c.identity
	if id.revoked {
		return
	}
	was := c.confirmed(c.now)
	id.confirmedUntil = max(id.confirmedUntil, c.sentSince()+c.self.AddressReuse-_maxTickGap)
	if was || !c.confirmed(c.now) {
		return
	}
	if id.lapsed {
		id.lapsed = false
		c.logIdentity("not_confirmed", "confirmed", proof)
		if c.upstream.state == peer.Ready {
			c.reportToAll(c.now)
		}
	}
	c.admitWaiting()
}

// revokeConfirmation ends the confirmation. It reports the reason and redirects the waiting
// flows.
func (c *Core) revokeConfirmation(reason string) {
	id := &c.identity
	id.confirmedUntil = 0
	if id.lapsed {
		return
	}
	id.lapsed = true
	c.logIdentity("confirmed", "not_confirmed", reason)
	if c.upstream.state == peer.Ready {
		c.reportToAll(c.now)
	}
	c.redirectWaiting(_reasonUnconfirmed)
	c.releaseAllHeld()
}

// checkConfirmation reports that the confirmation has run out.
func (c *Core) checkConfirmation(now time.Duration) {
	u := &c.upstream
	if u.state != peer.Absent && u.state != peer.Gone && !c.confirmed(now) && c.timelyTicks >= _minTimelyTicks {
		c.revokeConfirmation("no_proof")
	}
}

// sendOpening sends an opening packet to the upstream if its identity is confirmed, and reports
// whether it did. No other way leads an opening packet to the upstream.
func (c *Core) sendOpening(packet []byte) bool {
	if !c.confirmed(c.now) {
		c.counts.UnconfirmedOpenings++
		return false
	}
	c.gate.noteDelivery(c.now)
	c.out.ToUpstream(packet)
	return true
}

// proves reports whether the sender of a packet took the flow's opening packet from this
// process and holds the flow. The packet's sequence number fits the flow (see acceptsSeq).
func (f *flowState) proves(p flow.Packet) bool {
	switch {
	case !f.opened, f.dead, f.ofPastLife, p.Flags.Has(flow.RST):
		return false
	case p.Flags.Has(flow.SYN):
		return !f.consented || p.Seq == f.consentSeq
	default:
		return f.consented || f.established
	}
}

// confirmByHeartbeat notes that a heartbeat of the own upstream was accepted. since and steps
// are the time and the difference of the numbers since the one before of the same life. steps
// is zero for the first one.
func (c *Core) confirmByHeartbeat(h Heartbeat, since time.Duration, steps uint64) {
	switch {
	case steps > 0 && c.comesInTime(since, steps):
		c.identity.revoked = false
		c.confirm("heartbeat")
	case steps == 0 && c.numberFitsAge(h):
		c.confirm("heartbeat")
	}
}

// numberFitsAge reports whether an upstream of the age that a heartbeat states sends about as
// many as its number says. It does not if the clock was set, or if the upstream did not run
// for a while; then the next heartbeat tells.
func (c *Core) numberFitsAge(h Heartbeat) bool {
	latest := (float64(h.Sequence)*(1+_heartbeatJitter) + _maxHeartbeatJitter) * float64(c.self.Heartbeat)
	return h.Age >= 0 && float64(h.Age) <= latest
}

// comesInTime reports whether a heartbeat comes when its number lets expect it.
func (c *Core) comesInTime(since time.Duration, steps uint64) bool {
	jitter := min(_heartbeatJitter*float64(steps), _maxHeartbeatJitter)
	latest := (float64(steps) + jitter) * float64(c.self.Heartbeat)
	return since >= c.heartbeatSpacing() && float64(since) <= latest
}

// missedHeartbeat reports whether the upstream has missed a heartbeat.
func (c *Core) missedHeartbeat() bool {
	return c.now-c.upstream.lastHeartbeat > time.Duration(_heartbeatOverdue*float64(c.self.Heartbeat))
}

// noteClaimToAddress notes that a heartbeat names another service at the address of the own
// upstream, and revokes the confirmation if the address has passed on. A service that no route
// names is another writer's.
func (c *Core) noteClaimToAddress(h Heartbeat) {
	if !slices.Contains(c.table.ServiceNames(), h.Service) {
		return
	}
	id := &c.identity
	if !id.other.note(c.now, h, c.upstream.lastHeartbeat) {
		return
	}
	proved := c.hasReplaced(id.other)
	if c.upstream.state != peer.Absent {
		proved = proved || !c.confirmed(c.now)
	}
	if id.revoked || !proved {
		return
	}
	id.revoked = true
	c.counts.IdentityRevocations++
	c.revokeConfirmation("address_passed_on")
}

// noteBouncedFlow notes that the process at the address does not hold a flow that was opened
// there. If the upstream has also missed a heartbeat, another process may have its address.
func (c *Core) noteBouncedFlow(f *flowState) {
	if f.opened && c.missedHeartbeat() {
		c.revokeConfirmation("flow_bounced")
	}
}

// noteOtherUpstream logs and counts a heartbeat that names a service or an address that are
// not those of the upstream on this host.
func (c *Core) noteOtherUpstream(h Heartbeat) {
	c.counts.IgnoredHeartbeats++
	c.counts.OtherUpstreamHeartbeats++
	c.out.LogBelief(decision.Belief{
		Subject: decision.IdentitySubject, Name: c.upstream.id, From: c.self.Service, To: h.Service,
		Reason:  fmt.Sprintf("heartbeat of %q at %v", h.ID, h.Addr),
		Version: h.Sequence, Age: c.now - c.upstream.lastHeartbeat,
	})
	if h.Addr == c.self.Upstream && h.Service != c.self.Service {
		c.noteClaimToAddress(h)
	}
}

// logIdentity logs a change of the confirmation, with the age of the last heartbeat.
func (c *Core) logIdentity(from, to, reason string) {
	u := &c.upstream
	c.out.LogBelief(decision.Belief{
		Subject: decision.IdentitySubject, Name: u.id, From: from, To: to, Reason: reason,
		Version: u.sequence, Age: c.now - u.lastHeartbeat,
	})
}
