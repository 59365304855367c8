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
// be set back between two starts, and a heartbeat may arrive at any time after it was sent,
// also after its sender has crashed and another life has registered. Two heartbeats may be
// delayed by different times, so the time between their arrivals shows nothing. The sidecar
// therefore goes by what it has heard itself:
//
//   - The heartbeats of one life are in order by their sequence numbers. One that does not
//     have a higher number than those before it was delayed.
//   - A life that was not heard before follows at once, if the present one has left, or has
//     missed a heartbeat and has sent no packet, and the other one has started meanwhile
//     (see followsPresent).
//   - All other heartbeats may be late. They are a claim to be the present life, and are
//     rejected, so that their sender is not told that they took effect, until hasReplaced
//     finds that the present life would have sent one if it were running.
//
// A claim can still be accepted by mistake, while heartbeats of the present life are lost.
// Heartbeats therefore never end flows: a process that does not hold a flow bounces its
// packets, and only that ends the flow (see handleBounced).
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

// pastLife is a life that has been replaced, and the highest number of its heartbeats.
type pastLife struct {
	life
	sequence uint64
}

// claim is the claim of a life to be the present one, made by heartbeats that may be late.
type claim struct {
	life
	// sequence is the highest number of these heartbeats. since and last are when the first
	// and the last one arrived.
	sequence    uint64
	since, last time.Duration
}

// pending reports whether a life has made the claim.
func (k claim) pending() bool { return k.life != life{} }

// note adds a heartbeat to the claim of its sender, and reports whether it shows anything:
// it has a higher number than those of the claim. A claim of another sender, or one from
// before the present life was last heard, is discarded. The numbers of a life without a
// known start may begin anew.
func (k *claim) note(now time.Duration, h Heartbeat, presentHeard time.Duration) bool {
	again := k.life == h.sender()
	delayed := again && h.Sequence <= k.sequence
	if delayed && h.Born != 0 {
		return false
	}
	if !again || delayed || k.since <= presentHeard {
		*k = claim{life: h.sender(), since: now}
	}
	k.sequence, k.last = h.Sequence, now
	return true
}

// hasReplaced reports whether a claim shows that its sender runs in place of the present
// life: it has sent heartbeats over some time, and the present life has sent none meanwhile
// although it owed one, has left, or was not heard twice itself.
func (c *Core) hasReplaced(k claim) bool {
	u := &c.upstream
	return k.spans(c.heartbeatSpacing()) &&
		(u.state == peer.Gone || u.lastHeartbeat-u.since < c.heartbeatSpacing() || c.missedHeartbeat())
}

// spans reports whether the heartbeats of the claim arrived over at least the given time.
func (k claim) spans(least time.Duration) bool { return k.last-k.since >= least }

// startsLife reports whether a heartbeat is evidence enough that its sender is the upstream
// that is running now, although the heartbeat does not follow those of the present life. If
// it is not, startsLife notes the sender's claim, and the upstream may be cold.
func (c *Core) startsLife(now time.Duration, h Heartbeat) bool {
	if c.isDelayed(h) || !c.claim.note(now, h, c.upstream.lastHeartbeat) {
		return false
	}
	c.suspectRestart()
	return c.followsPresent(now, h) || c.hasReplaced(c.claim)
}

// isDelayed reports whether a life that is or was the present one has sent a heartbeat with
// as high a number that arrived before.
func (c *Core) isDelayed(h Heartbeat) bool {
	sender := h.sender()
	if h.Born == 0 {
		return false // lives are not told apart
	}
	if sender == c.upstream.life {
		return h.Sequence <= c.upstream.sequence
	}
	return slices.ContainsFunc(c.pastLives, func(l pastLife) bool { return l.life == sender && h.Sequence <= l.sequence })
}

// heartbeatSpacing returns the least time between two heartbeats of a running upstream.
func (c *Core) heartbeatSpacing() time.Duration {
	return time.Duration(_heartbeatSpacing * float64(c.self.Heartbeat))
}

// isPast reports whether a life has been replaced.
func (c *Core) isPast(sender life) bool {
	return slices.ContainsFunc(c.pastLives, func(l pastLife) bool { return l.life == sender })
}

// followsPresent reports whether a heartbeat is from the first life that was heard, or from
// a new one that has started since the present life was last heard. If that was less than a
// heartbeat interval ago, or it has sent packets since, one heartbeat is not enough.
func (c *Core) followsPresent(now time.Duration, h Heartbeat) bool {
	u := &c.upstream
	sender := h.sender()
	silence := now - max(u.lastHeartbeat, u.lastSeen)
	switch {
	case u.life == (life{}):
		return true
	case sender == u.life, c.isPast(sender), h.Born < u.born:
		return false
	case u.state == peer.Gone:
		return true
	case h.Age < 0:
		return false
	default:
		return silence > c.self.Heartbeat && h.Age < silence ||
			c.claim.spans(c.heartbeatSpacing()) && h.Age < now-u.lastHeartbeat
	}
}

// startLife handles the first accepted heartbeat of another life of the upstream, whose claim
// startsLife has noted.
func (c *Core) startLife(now time.Duration, h Heartbeat) {
	u := &c.upstream
	present, heardSince := h.sender(), c.claim.since
	c.releaseAllHeld()
	c.out.LogBelief(decision.Belief{
		Subject: "upstream_life", Name: h.ID, From: u.id, To: h.ID, Reason: "heartbeat", Version: h.Sequence, Age: h.Age,
	})
	// An upstream that was running before this process started may have flows that this
	// process has not seen. If the present one was, a life that is taken for its successor
	// by mistake would hide these flows.
	seen := c.isFirstHeartbeat(h)
	if u.life != (life{}) {
		seen = u.allFlowsSeen && (seen || h.Age < now)
		c.questionFlows(heardSince)
		c.pastLives = slices.DeleteFunc(c.pastLives, func(l pastLife) bool { return l.life == u.life || l.life == present })
		c.pastLives = append(c.pastLives, pastLife{u.life, u.sequence})
		c.pastLives = c.pastLives[max(len(c.pastLives)-_maxPastLives, 0):]
	}
	*u = upstream{life: present, since: heardSince, lastSeen: now, state: peer.Absent, allFlowsSeen: seen}
	c.noteNewLife()
}

// questionFlows notes that the flows of a life whose successor was first heard at the given
// time may have ended. Their requests no longer count as in progress. The upstream's answer
// to the next packet of each flow will tell. Flows whose opening packets are queued or were
// delivered since then are the successor's.
func (c *Core) questionFlows(successorHeard time.Duration) {
	c.flows.All(func(_ flow.Key, f *flowState) bool {
		if f.work.Waiting() || f.deliveredAt >= successorHeard {
			return true
		}
		f.awaitsRequest, f.ofPastLife = false, true
		c.closeFlow(f)
		return true
	})
	c.awaitingRequest = slices.DeleteFunc(c.awaitingRequest, func(f *flowState) bool { return !f.awaitsRequest })
}

// isFirstHeartbeat reports whether no sidecar can have acknowledged an earlier heartbeat of
// the upstream's life, and so have given it flows: the heartbeat has the first number, and
// is not older than that lets expect, or the upstream is so young that it would still wait
// for the time of its next heartbeat. When all processes of a host start together, the
// upstream's first calls fail until the sidecar listens.
func (c *Core) isFirstHeartbeat(h Heartbeat) bool {
	return h.Sequence <= 1 && c.numberFitsAge(h) || h.Age > 0 && h.Age < c.heartbeatSpacing()
}

// noteIgnored logs and counts a heartbeat or leave notice that is rejected and changes
// nothing.
func (c *Core) noteIgnored(h Heartbeat, reason string) {
	c.counts.IgnoredHeartbeats++
	c.out.LogBelief(decision.Belief{
		Subject: "heartbeat", Name: h.ID, From: c.upstream.id, To: "ignored", Reason: reason, Version: h.Sequence, Age: h.Age,
	})
}
