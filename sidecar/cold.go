package sidecar

import (
	"math"
	"slices"
	"time"

	"dandelionhitch.example/peer"
)

// An upstream that has just started is cold for a while: it serves only a few requests a
// second, and the operator states how many. All packets of the upstream pass through its
// sidecar, so the sidecar can keep that rate exactly, whatever the relays and other
// sidecars send. It counts the opening packets that it has delivered in the last
// _coldWindow, and delivers no more than the upstream bears. A full cold upstream reports
// itself as busy, so that relays and peers choose others.
//
// An upstream whose service has no stated rate is not limited. It gets fewer flows only
// because it reports fewer slots (see effectiveSlots).
const (
	// _coldWindow is the span over which opening packets are counted. It is longer than the
	// second in which users count them, since deliveries may be delayed by some ms.
	_coldWindow = 1050 * time.Millisecond
)

// ColdBound bounds the requests that a cold upstream gets in any second: the service's
// stated rate times Overage, plus Slack. The zero value bounds nothing beyond the stated
// rate.
type ColdBound struct {
	Overage, Slack float64
}

// coldGate limits the opening packets that the local upstream gets while it is cold.
type coldGate struct {
	bound ColdBound
	// until is when the upstream ceases to be cold, or the time until which it may be cold.
	until time.Duration
	// unconfirmed is set if the upstream may have become cold since its last heartbeat.
	unconfirmed bool
	// delivered holds the times of the opening packets of the last _coldWindow, the oldest
	// first. They are counted while the upstream is warm, too, since it may become cold.
	delivered []time.Duration
	// closedUntil is the time until which the upstream gets nothing while it is cold, since
	// an earlier process may have used up what it bears.
	closedUntil time.Duration
}

// noteDelivery counts an opening packet.
func (g *coldGate) noteDelivery(now time.Duration) {
	g.expire(now)
	g.delivered = append(g.delivered, now)
}

// expire removes the deliveries that are older than _coldWindow.
func (g *coldGate) expire(now time.Duration) {
	expired := 0
	for expired < len(g.delivered) && now-g.delivered[expired] >= _coldWindow {
		expired++
	}
	g.delivered = slices.Delete(g.delivered, 0, expired)
}

// cold reports whether the upstream is or may be cold.
func (g *coldGate) cold(now time.Duration) bool { return now < g.until || g.unconfirmed }

// limit returns how many opening packets a cold upstream with the given rate may get in
// _coldWindow: what it bears in a second, at least 1, within the bound.
func (g *coldGate) limit(perSecond float64) int {
	limit := max(math.Floor(perSecond), 1)
	if g.bound.Overage > 0 {
		limit = min(limit, math.Floor(perSecond*g.bound.Overage+g.bound.Slack))
	}
	return max(int(limit), 1)
}

// room returns how many opening packets the upstream may get now.
func (g *coldGate) room(now time.Duration, perSecond float64) int {
	if perSecond <= 0 || !g.cold(now) {
		return math.MaxInt
	}
	if now < g.closedUntil {
		return 0
	}
	g.expire(now)
	return max(g.limit(perSecond)-len(g.delivered), 0)
}

// coldRate returns the number of requests a second that the upstream bears while it is
// cold, or zero if the operator has not stated it.
func (c *Core) coldRate() float64 {
	cold, _ := c.table.Cold(c.self.Service)
	return cold.PerSecond
}

// coldInterval returns the mean time between two opening packets that a cold upstream may
// get, or zero if it is not limited.
func (c *Core) coldInterval() time.Duration {
	if !c.gate.cold(c.now) {
		return 0
	}
	rate := c.coldRate()
	if rate <= 0 {
		return 0
	}
	return _coldWindow / time.Duration(c.gate.limit(rate))
}

// coldRoom returns how many opening packets the upstream may get now.
func (c *Core) coldRoom() int {
	if !c.gate.cold(c.now) {
		return math.MaxInt
	}
	return c.gate.room(c.now, c.coldRate())
}

// noteHeartbeatColdness takes over how long the upstream stays cold from its heartbeat.
func (c *Core) noteHeartbeatColdness(h Heartbeat) {
	c.gate.until, c.gate.unconfirmed = c.now+h.WarmupLeft, false
}

// noteNewLife assumes that the upstream is cold after its start, and that an earlier
// sidecar process has given it all that it bears, unless this process has seen its first
// heartbeat.
func (c *Core) noteNewLife() {
	if !c.upstream.allFlowsSeen {
		c.gate.closedUntil = _coldWindow // in the time of this process, which begins at its start
	}
}

// suspectRestart assumes that the upstream has become cold since its last heartbeat: it
// has lost a flow, a heartbeat may be from a life that follows it, or its zone was evacuated.
func (c *Core) suspectRestart() {
	if c.upstream.state == peer.Ready {
		c.gate.unconfirmed = true
	}
}

// reportedLoad returns the load that relays and peers are told: a cold upstream that may
// get no opening packet now counts as busy beyond its slots.
func (c *Core) reportedLoad() int {
	if c.coldRoom() == 0 {
		return max(c.load(), 2*c.totalSlots())
	}
	return c.load()
}
