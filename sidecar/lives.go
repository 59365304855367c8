package sidecar

import (
	"slices"
	"time"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
)

// An upstream's heartbeats tell one life, that is, one run of its process, from another by
// the upstream's ID and the time of its start. They don't order lives: the VM's clock may
// be set back between two starts, and a heartbeat may arrive after its sender has crashed
// and another life has registered. The sidecar therefore goes by what it has heard itself:
//
//   - The heartbeats of the present life are in order by their sequence numbers.
//   - A life that was not heard before follows at once, if the present one has left, or has
//     missed a heartbeat and has sent no packet, and the other one has started meanwhile.
//   - All other heartbeats may be late. They are a claim to be the present life, and are
//     rejected, so that their sender is not told that they took effect, until the sender has
//     shown that it is running: it has sent another one after _heartbeatSpacing, and the
//     present life has sent none meanwhile.
const (
	// _heartbeatSpacing is the least time between two heartbeats of a running upstream, as a
	// fraction of the heartbeat interval.
	_heartbeatSpacing = 0.7
	// _maxPastLives bounds the lives that are remembered as ended.
	_maxPastLives = 8
)

// life identifies one run of the upstream's process.
type life struct {
	id   string
	born uint64
}

// sender returns the life that has sent the heartbeat.
func (h Heartbeat) sender() life { return life{h.ID, h.Born} }

// claim is the claim of a life to be the present one, made by heartbeats that may be late.
type claim struct {
	life
	// sequence is the number of the last of these heartbeats, and since is when the first
	// one arrived.
	sequence uint64
	since    time.Duration
}

// startsLife reports whether a heartbeat is evidence enough that its sender is the upstream
// that is running now, although the heartbeat does not follow those of the present life. If
// it is not, startsLife notes the sender's claim.
func (c *Core) startsLife(now time.Duration, h Heartbeat) bool {
	if c.followsAtOnce(now, h) {
		return true
	}
	sender := h.sender()
	if k := &c.claim; k.life != sender || h.Sequence <= k.sequence {
		*k = claim{life: sender, since: now}
	}
	c.claim.sequence = h.Sequence
	return now-c.claim.since >= c.heartbeatSpacing()
}

// heartbeatSpacing returns the least time between two heartbeats of a running upstream.
func (c *Core) heartbeatSpacing() time.Duration {
	return time.Duration(_heartbeatSpacing * float64(c.self.Heartbeat))
}

// followsAtOnce reports whether a heartbeat is from the first life that was heard, or from
// a new one that has started since the present life was last heard.
func (c *Core) followsAtOnce(now time.Duration, h Heartbeat) bool {
	u := &c.upstream
	sender := h.sender()
	silence := now - max(u.lastHeartbeat, u.lastSeen)
	switch {
	case u.life == (life{}):
		return true
	case sender == u.life, slices.Contains(c.pastLives, sender), h.Born < u.born:
		return false
	case u.state == peer.Gone:
		return true
	default:
		return silence > c.self.Heartbeat && h.Age >= 0 && h.Age < silence
	}
}

// startLife handles the first accepted heartbeat of another life of the upstream.
func (c *Core) startLife(now time.Duration, h Heartbeat) {
	u := &c.upstream
	present := h.sender()
	first := u.life == (life{})
	c.releaseAllHeld()
	c.out.LogBelief(decision.Belief{
		Subject: "upstream_life", Name: h.ID, From: u.id, To: h.ID, Reason: "heartbeat", Version: h.Sequence, Age: h.Age,
	})
	// An upstream that was running before this process started may have flows that this
	// process has not seen, and those that it has seen may be the upstream's.
	seen := c.isFirstHeartbeat(h) || !first && h.Age < now
	if !first {
		heardSince := now
		if c.claim.life == present {
			heardSince = c.claim.since
		}
		c.endFlows(heardSince, seen)
		c.pastLives = append(slices.DeleteFunc(c.pastLives, func(l life) bool { return l == u.life }), u.life)
		c.pastLives = c.pastLives[max(len(c.pastLives)-_maxPastLives, 0):]
	}
	*u = upstream{life: present, lastSeen: now, state: peer.Absent, allFlowsSeen: seen}
	c.noteNewLife()
}

// endFlows ends the flows of a life whose successor was first heard at the given time. The
// new process does not have them, so they are marked as dead or, if they may be its own
// all the same, forgotten. Flows whose opening packets are queued or were delivered since
// then are the successor's.
func (c *Core) endFlows(successorHeard time.Duration, sure bool) {
	c.flows.All(func(key flow.Key, f *flowState) bool {
		if f.work.Waiting() || f.deliveredAt >= successorHeard {
			return true
		}
		f.awaitsRequest, f.opened = false, false
		c.closeFlow(f)
		f.dead = f.dead || !f.ended
		if !sure {
			c.flows.Delete(key)
		}
		return true
	})
	c.awaitingRequest = slices.DeleteFunc(c.awaitingRequest, func(f *flowState) bool { return !f.awaitsRequest })
}

// isFirstHeartbeat reports whether no sidecar can have acknowledged an earlier heartbeat of
// the upstream's life, and so have given it flows: the heartbeat has the first number, or
// the upstream is so young that it would still wait for the time of its next heartbeat.
// When all processes of a host start together, the upstream's first calls fail until the
// sidecar listens.
func (c *Core) isFirstHeartbeat(h Heartbeat) bool {
	return h.Sequence <= 1 || h.Age > 0 && h.Age < c.heartbeatSpacing()
}

// noteIgnored logs and counts a heartbeat or leave notice that is rejected and changes
// nothing.
func (c *Core) noteIgnored(h Heartbeat, reason string) {
	c.counts.IgnoredHeartbeats++
	c.out.LogBelief(decision.Belief{
		Subject: "heartbeat", Name: h.ID, From: c.upstream.id, To: "ignored", Reason: reason, Version: h.Sequence, Age: h.Age,
	})
}
