package sidecar

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/placement"
)

// Heartbeat is the state that an upstream reports periodically to its sidecar.
type Heartbeat struct {
	ID      string
	Service string
	Addr    netip.AddrPort
	Slots   int
	// Draining is set if the upstream is about to end and must get no new flows.
	Draining bool
	// WarmupLeft is how much longer the upstream will be slow after its start.
	WarmupLeft time.Duration
	// Born is the time of the upstream's start in ms on the clock of its VM, which may be set
	// forward and back. Sequence is the number of the heartbeat since then.
	Born, Sequence uint64
	// Age is the time since Born by the VM's clock: zero if it is not known, and below zero if
	// the clock was set back since.
	Age time.Duration
}

// upstream is the state of the local upstream, as the sidecar knows it.
type upstream struct {
	life
	sequence uint64
	slots    int
	state    peer.State
	// since is when the first heartbeat of this life arrived.
	since time.Duration
	// lastHeartbeat is when the last heartbeat arrived. lastSeen is when the last packet
	// arrived, of whatever kind, or the last heartbeat that made or kept the upstream ready.
	lastHeartbeat, lastSeen time.Duration
	// suspectedAt is when the upstream last became suspect.
	suspectedAt time.Duration
	// lastBounce is when the upstream last bounced an opening packet.
	lastBounce time.Duration
	// bouncedOpenings counts the opening packets that the upstream has bounced in a row while
	// it had a free slot.
	bouncedOpenings int
	// failures tracks failed requests, and earlyShare is the exponentially weighted share
	// of early answers. See failing.go.
	failures   failureState
	earlyShare float64
	// slowdown compares its run times with those of the peers.
	slowdown placement.Slowdown
	// allFlowsSeen is set if all flows of this life passed through this process.
	allFlowsSeen bool
}

// _coldSlowdown is the factor by which an upstream is slower while it warms up,
// according to the users' data sheets.
const _coldSlowdown = 1.6

// Heartbeat handles an upstream's heartbeat. It returns an error if the heartbeat has no
// effect: it is not from the service and address of the upstream on this host, or it may
// have arrived late (see lives.go). A repeated heartbeat is no error.
func (c *Core) Heartbeat(now time.Duration, h Heartbeat) error {
	c.now = now
	if h.Addr != c.self.Upstream || h.Service != c.self.Service {
		c.noteOtherUpstream(h)
		return trace.BadParameter("heartbeat of %q: service %q at %v, this host has %q at %v",
			h.ID, h.Service, h.Addr, c.self.Service, c.self.Upstream)
	}
	u := &c.upstream
	present, since, steps := u.life == h.sender(), now-u.lastHeartbeat, uint64(0)
	if present && h.Sequence > u.sequence {
		steps = h.Sequence - u.sequence
	}
	switch {
	case present && h.Sequence == u.sequence:
		return nil
	case present && h.Sequence > u.sequence && u.state != peer.Gone:
	case !c.startsLife(now, h):
		c.noteIgnored(h, "may_be_late")
		return trace.CompareFailed("heartbeat %d of %q, started at %d ms, ignored: it may be late, after heartbeat %d of %q, started at %d ms",
			h.Sequence, h.ID, h.Born, u.sequence, u.id, u.born)
	case !present || h.Sequence < u.sequence:
		c.startLife(now, h)
	}
	c.claim = claim{}
	u.sequence, u.lastHeartbeat, u.slots = h.Sequence, now, min(max(h.Slots, 1), _maxSlots)
	c.noteHeartbeatColdness(h)
	c.confirmByHeartbeat(h, since, steps)
	switch {
	case h.Draining:
		c.setState(now, peer.Draining, "heartbeat")
	case u.failures.retryAt > 0, u.state == peer.Suspect && now-u.suspectedAt < _minSuspicion:
	default:
		u.lastSeen = now
		c.setState(now, peer.Ready, "heartbeat")
	}
	return nil
}

// Leave handles an upstream's notice that it ends. It returns an error if id is not the
// upstream on this host.
func (c *Core) Leave(now time.Duration, id string) error {
	c.now = now
	if id != c.upstream.id {
		c.noteIgnored(Heartbeat{ID: id}, "leaves_but_is_not_here")
		return trace.NotFound("upstream %q does not exist on this host", id)
	}
	c.setState(now, peer.Gone, "left")
	return nil
}

// setState changes the upstream's state, reports it to relays and peers, and delivers
// or redirects the waiting flows.
func (c *Core) setState(now time.Duration, state peer.State, reason string) {
	u := &c.upstream
	if u.state == state {
		return
	}
	c.out.LogBelief(decision.Belief{
		Subject: "upstream", Name: u.id, From: u.state.String(), To: state.String(), Reason: reason,
		Version: u.sequence, Age: now - u.lastHeartbeat,
	})
	u.state = state
	if state == peer.Suspect {
		u.suspectedAt = now
	}
	c.reportToAll(now)
	if state == peer.Ready {
		u.bouncedOpenings = min(u.bouncedOpenings, _maxBouncedOpenings-1)
		c.admitWaiting()
	} else {
		c.redirectWaiting("upstream_" + state.String())
		c.releaseAllHeld()
	}
}

// totalSlots returns how many requests the upstream processes at a time, at least 1.
func (c *Core) totalSlots() int { return max(c.upstream.slots, 1) }

// effectiveSlots returns how many slots at full speed would do as much work as the
// upstream does at its present speed. While the upstream warms up, this is less than
// totalSlots, so that other upstreams get more flows. Admission still uses all slots.
func (c *Core) effectiveSlots(now time.Duration) int {
	if rate := c.coldRate(); rate > 0 && c.gate.cold(now) {
		return min(max(int(rate*c.admission.RunTime().Seconds()), 1), c.totalSlots())
	}
	if now < c.gate.until {
		return max(int(math.Ceil(float64(c.upstream.slots)/_coldSlowdown-0.5)), 1)
	}
	return c.totalSlots()
}

// checkAwaitingRequest looks for flows whose handshake takes too long. If the upstream
// has not consented in time, it may become suspect. If the caller has not sent its
// request in time, the flow no longer counts as a request in progress.
func (c *Core) checkAwaitingRequest(now time.Duration) {
	flows := c.awaitingRequest
	c.awaitingRequest = nil
	var unanswered []*flowState
	for _, f := range flows {
		switch {
		case !f.awaitsRequest || f.lastRequestAt > 0 || f.dead || f.ended:
			f.awaitsRequest = false
		case f.consented && now-f.deliveredAt > _handshakeTimeout:
			f.awaitsRequest = false
			c.endRequest(f)
		default:
			c.awaitingRequest = append(c.awaitingRequest, f)
			if !f.consented && now-f.deliveredAt > _consentTimeout {
				unanswered = append(unanswered, f)
			}
		}
	}
	c.checkUnanswered(now, unanswered)
}

// checkUnanswered handles opening packets that the upstream has not answered within
// _consentTimeout. If the upstream has sent nothing at all since one of these packets was
// delivered, it becomes suspect, and all these packets are redirected.
func (c *Core) checkUnanswered(now time.Duration, unanswered []*flowState) {
	silent := slices.ContainsFunc(unanswered, func(f *flowState) bool { return f.deliveredAt >= c.upstream.lastSeen })
	if !silent || c.timelyTicks < _minTimelyTicks {
		return
	}
	if c.upstream.state == peer.Ready {
		c.setState(now, peer.Suspect, "no_answer_to_opening")
	}
	for _, f := range unanswered {
		if f.awaitsRequest {
			c.redirectOpening(now, f.key, f, "no_answer_to_opening")
		}
	}
}

// checkHeartbeats makes the upstream suspect if it has sent neither heartbeats nor
// packets for too long.
func (c *Core) checkHeartbeats(now time.Duration) {
	u := &c.upstream
	silence := now - max(u.lastHeartbeat, u.lastSeen)
	if u.state == peer.Ready && silence > time.Duration(_missedHeartbeats*float64(c.self.Heartbeat)) && c.timelyTicks >= _minTimelyTicks {
		c.setState(now, peer.Suspect, "heartbeats_missing")
	}
}

// presumedDead reports whether the upstream is presumed dead: it has announced its end
// and has sent no packet for a second, or it is suspect and has sent neither packets nor
// heartbeats for _deadHeartbeats heartbeat intervals.
func (c *Core) presumedDead(now time.Duration) bool {
	u := &c.upstream
	switch u.state {
	case peer.Gone:
		return now-u.lastSeen > time.Second
	case peer.Suspect:
		return now-max(u.lastHeartbeat, u.lastSeen) > time.Duration(_deadHeartbeats*float64(c.self.Heartbeat))
	default:
		return false
	}
}

// Unreachable makes the upstream suspect because the host refused a packet to it: no
// process listens at its address.
func (c *Core) Unreachable(now time.Duration) {
	c.now = now
	if c.upstream.state == peer.Ready || c.upstream.state == peer.Suspect {
		c.setState(now, peer.Suspect, "not_listening")
		c.revokeConfirmation("not_listening")
		c.upstream.lastHeartbeat, c.upstream.lastSeen = 0, 0
	}
}
