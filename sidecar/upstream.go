package sidecar

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
)

// Heartbeat is what an upstream says of itself.
type Heartbeat struct {
	ID      string
	Service string
	Addr    netip.AddrPort
	Slots   int
	// Draining says that it will end and must get no new flows.
	Draining bool
	// Warming is how much longer it will be slow after its start.
	Warming time.Duration
	// Born orders the lives of upstreams, and Sequence the heartbeats of one life.
	Born, Sequence uint64
}

// upstream is what a sidecar knows of the upstream beside it.
type upstream struct {
	id             string
	born, sequence uint64
	slots          int
	warmUntil      time.Duration
	state          peer.State
	// heard is when a heartbeat came, and seen when a packet or a heartbeat did.
	lastHeartbeat, lastSeen time.Duration
	// suspected is when the present suspicion began.
	suspectedAt time.Duration
	// bounced is when it last gave an opening packet back.
	lastBounce time.Duration
	// failing is what is known of requests that failed, and quick the share of
	// answers that came oddly early.
	failures   failureState
	earlyShare float64
	// known says that all its flows came through this process.
	allFlowsSeen bool
}

// _coldFactor is how much slower a starting upstream works, from the users' sheets.
const _coldSlowdown = 1.6

// Heartbeat takes an upstream's heartbeat. An error says that it is not of the
// upstream on this host.
func (c *Core) Heartbeat(now time.Duration, h Heartbeat) error {
	c.now = now
	if h.Addr != c.self.Upstream || h.Service != c.self.Service {
		return trace.BadParameter("heartbeat of %q: service %q at %v, this host has %q at %v",
			h.ID, h.Service, h.Addr, c.self.Service, c.self.Upstream)
	}
	u := &c.upstream
	switch {
	case h.Born < u.born, h.Born == u.born && h.ID == u.id && h.Sequence <= u.sequence:
		return nil // late
	case h.Born != u.born || h.ID != u.id:
		c.startLife(now, h)
	}
	u.sequence, u.lastHeartbeat, u.slots = h.Sequence, now, min(max(h.Slots, 1), _maxSlots)
	u.warmUntil = now + h.Warming
	switch {
	case u.state == peer.Gone:
	case h.Draining:
		c.setState(now, peer.Draining, "heartbeat")
	case u.failures.retryAt > 0, u.state == peer.Suspect && now-u.suspectedAt < _minSuspicion:
	default:
		u.lastSeen = now
		c.setState(now, peer.Ready, "heartbeat")
	}
	return nil
}

// Leave takes an upstream's word that it ends.
func (c *Core) Leave(now time.Duration, id string) error {
	c.now = now
	if id != c.upstream.id {
		return trace.NotFound("upstream %q does not exist on this host", id)
	}
	c.setState(now, peer.Gone, "left")
	return nil
}

// newLife notes that another upstream runs at the address. It knows nothing of
// the flows of the one before.
func (c *Core) startLife(now time.Duration, h Heartbeat) {
	u := &c.upstream
	first := u.born == 0 && u.id == ""
	c.out.Believe(decision.Belief{
		Subject: "upstream_life", Name: h.ID, From: u.id, To: h.ID, Reason: "heartbeat", Version: h.Sequence, Age: now - u.lastHeartbeat,
	})
	if !first {
		c.flows.All(func(_ flow.Key, f *flowState) bool {
			if f.queued {
				return true
			}
			f.awaitsRequest = false
			c.setInProgress(f, false)
			f.dead = f.dead || !f.ended
			return true
		})
		c.awaitingRequest = nil
	}
	*u = upstream{
		id: h.ID, born: h.Born, lastSeen: now, state: peer.Absent,
		// An upstream that was there before this process may have flows that this
		// process has not seen.
		allFlowsSeen: !first || h.Sequence <= 1,
	}
}

// setState changes what is believed of the upstream, and tells everybody.
func (c *Core) setState(now time.Duration, state peer.State, reason string) {
	u := &c.upstream
	if u.state == state {
		return
	}
	c.out.Believe(decision.Belief{
		Subject: "upstream", Name: u.id, From: u.state.String(), To: state.String(), Reason: reason,
		Version: u.sequence, Age: now - u.lastHeartbeat,
	})
	u.state = state
	if state == peer.Suspect {
		u.suspectedAt = now
	}
	c.reportAll(now)
	if state == peer.Ready {
		c.admitWaiting()
	} else {
		c.redirectWaiting("upstream_" + state.String())
	}
}

// allSlots returns how many requests the upstream works on at a time.
func (c *Core) totalSlots() int { return max(c.upstream.slots, 1) }

// slots returns how many slots at full speed those of the upstream are worth. One
// that has just started is slower, and others should get more flows; but it has
// all its slots.
func (c *Core) effectiveSlots(now time.Duration) int {
	if now < c.upstream.warmUntil {
		return max(int(math.Ceil(float64(c.upstream.slots)/_coldSlowdown-0.5)), 1)
	}
	return c.totalSlots()
}

// checkOpenings suspects an upstream that does not answer opening packets, and
// gives up counting flows whose caller does not go on.
func (c *Core) checkAwaitingRequest(now time.Duration) {
	opening := c.awaitingRequest
	c.awaitingRequest = nil
	var unanswered []*flowState
	for _, f := range opening {
		switch {
		case !f.awaitsRequest || f.lastRequestAt > 0 || f.dead || f.ended:
			f.awaitsRequest = false
		case f.consented && now-f.deliveredAt > _handshakeTimeout:
			f.awaitsRequest = false
			c.setInProgress(f, false)
		default:
			c.awaitingRequest = append(c.awaitingRequest, f)
			if !f.consented && now-f.deliveredAt > _consentTimeout {
				unanswered = append(unanswered, f)
			}
		}
	}
	c.checkUnanswered(now, unanswered)
}

// checkUnanswered suspects the upstream if it has given no sign of life since it
// was given an opening packet that it should have answered long ago. What it has
// not answered then goes elsewhere.
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

// checkHeartbeats suspects an upstream that has stopped to report.
func (c *Core) checkHeartbeats(now time.Duration) {
	u := &c.upstream
	missing := now - max(u.lastHeartbeat, u.lastSeen)
	if u.state == peer.Ready && missing > time.Duration(_missedHeartbeats*float64(c.self.Heartbeat)) && c.timelyTicks >= _minTimelyTicks {
		c.setState(now, peer.Suspect, "heartbeats_missing")
	}
}

// isDead reports whether the upstream has certainly ended: it said so, or it has
// answered neither packets nor in its heartbeats for long enough.
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

// Unreachable notes that the host refused a packet for the upstream, since no
// process listens there.
func (c *Core) Unreachable(now time.Duration) {
	c.now = now
	if c.upstream.state == peer.Ready || c.upstream.state == peer.Suspect {
		c.setState(now, peer.Suspect, "not_listening")
		c.upstream.lastHeartbeat, c.upstream.lastSeen = 0, 0
	}
}
