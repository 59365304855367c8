package agent

import (
	"net/netip"
	"slices"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/service"
)

// situation is what an agent knows of itself when it decides about a packet.
type situation struct {
	self        netip.AddrPort
	service     service.ID
	incarnation service.Incarnation
	state       service.State
	// fresh is false after a pause until the agent has heard its peers.
	fresh bool
	// flooded says that too many flows have not ended their handshake.
	flooded bool
	// level is the load now, and unit that of one flow.
	level, unit uint32
}

// arrival is one genuine wrapped packet.
type arrival struct {
	header packet.Header
	kind   packet.Type
	// cid is what the connection ID says, if ours.
	cid  packet.CID
	ours bool
	// held says that the agent has taken the flow that this Initial opens.
	held bool
	// passed says that the agent has passed this Initial on, as to describes.
	passed bool
	to     pass
	// refused says that the agent has refused the flow.
	refused bool
	// repeated says that this was a while ago, and the caller has had no answer.
	repeated bool
	// estimates are what is believed of the candidates' loads.
	estimates [packet.MaxCandidates]estimate
}

// action is what to do with a packet: take, admit, prove,
// pass, refuse, reset or drop.
type action interface{ isAction() }

// take hands the packet to QUIC as a packet of a flow that is held.
type take struct{}

// admit hands the packet to QUIC if the gate admits one more flow; else otherwise applies.
type admit struct{ otherwise action }

// prove hands the packet to QUIC to have the caller prove its address, and takes
// up nothing for it. The gate is asked when the proof comes.
type prove struct{}

// pass sends the packet to the candidate at index hop. With detour the agent
// would take the flow, but prefers the target, which is less loaded; it puts
// itself behind the last candidate, so that the flow is refused only if no
// candidate takes it.
type pass struct {
	target netip.AddrPort
	hop    uint8
	detour bool
}

// refuse tells the caller at once that there is no room.
type refuse struct{}

// reset tells the caller that its flow ended with an earlier run of this agent.
type reset struct{}

// drop drops the packet.
type drop uint8

// The reasons to drop a packet.
const (
	// notForAgent is a reply, or an offer to another agent.
	notForAgent drop = iota + 1
	// otherService is a packet of another service.
	otherService
	// unknownFlow names no flow of this agent and opens none.
	unknownFlow
	// stale is an offer that reached an agent just after a pause, with no
	// candidate left. The caller repeats it soon.
	stale
)

func (take) isAction()   {}
func (admit) isAction()  {}
func (prove) isAction()  {}
func (pass) isAction()   {}
func (refuse) isAction() {}
func (reset) isAction()  {}
func (drop) isAction()   {}

// decide says what an agent does with a packet. It is a function of its
// arguments alone; whether the gate admits a flow is asked by who acts on it.
func decide(s situation, a arrival) action {
	switch {
	case a.header.Kind == packet.Reply:
		return notForAgent
	case a.ours && a.cid.Agent == s.self && a.cid.Incarnation < s.incarnation:
		return decideEarlier(s, a)
	case a.header.Service != s.service:
		return otherService
	case a.header.Kind == packet.Flow:
		return decideFlow(s, a)
	default:
		return decideOffer(s, a, a.header.Hop)
	}
}

// decideEarlier decides about a connection ID of an earlier run at this
// address. That run is gone for certain, whatever its service was.
func decideEarlier(s situation, a arrival) action {
	if a.kind == packet.Short {
		return reset{}
	}
	if a.header.Service != s.service {
		return otherService
	}
	return decideUnheld(s, a)
}

func decideFlow(s situation, a arrival) action {
	if !a.ours || a.cid.Agent != s.self || a.cid.Incarnation != s.incarnation {
		return decideUnheld(s, a)
	}
	if a.cid.Service != s.service {
		return otherService
	}
	return take{}
}

// decideUnheld decides about a packet whose connection ID is of no flow held
// here: only an Initial with candidates may open one.
func decideUnheld(s situation, a arrival) action {
	if a.kind != packet.Initial || a.header.Count == 0 {
		return unknownFlow
	}
	if a.held {
		return take{}
	}
	if a.header.Kind == packet.Offer {
		return decideOffer(s, a, a.header.Hop)
	}
	if a.header.Candidates[0] != s.self {
		return pass{target: a.header.Candidates[0]}
	}
	return decideOffer(s, a, 0)
}

func decideOffer(s situation, a arrival, hop uint8) action {
	if hop >= a.header.Count || a.header.Candidates[hop] != s.self {
		return notForAgent
	}
	switch {
	case a.kind == packet.OtherVersion:
		// QUIC answers with the versions that it speaks and holds nothing.
		return take{}
	case a.kind != packet.Initial:
		return unknownFlow
	case a.held:
		return take{}
	case !s.fresh:
		return next(a, hop, stale)
	case s.state != service.Serving:
		return next(a, hop, refuse{})
	case s.flooded:
		return prove{}
	case a.passed && hop < a.to.hop && !a.repeated:
		// Another part of the same Initial goes the same way.
		return a.to
	case a.refused && !a.repeated:
		// So does a part behind one that was refused: it would hold a flow that
		// its caller has given up.
		return refuse{}
	}
	if to, ok := lighter(s, a, hop); ok {
		return pass{target: a.header.Candidates[to], hop: hop + 1, detour: true}
	}
	return admit{otherwise: next(a, hop, refuse{})}
}

// next passes a packet to a candidate behind hop, if there is one. A repeated
// packet goes further than the last time, as that candidate may be dead.
func next(a arrival, hop uint8, otherwise action) action {
	last := a.header.Count - 1
	if hop >= last {
		return otherwise
	}
	to := hop + 1
	if a.repeated && !a.to.detour {
		to = min(max(to, a.to.hop+1), last)
	}
	return pass{target: a.header.Candidates[to], hop: to}
}

// lighter returns the index of the candidate behind hop that is believed to be
// the least loaded, if that is enough below this agent to be worth the way
// there. A flow makes one detour at most.
func lighter(s situation, a arrival, hop uint8) (uint8, bool) {
	const slackShift = 5
	if a.passed || hasDetour(&a.header) {
		return 0, false
	}
	least, found := s.level, false
	var at uint8
	for i := hop + 1; i < a.header.Count; i++ {
		e := a.estimates[i]
		if e.known && e.load.Room && e.load.Level < least {
			least, at, found = e.load.Level, i, true
		}
	}
	return at, found && s.level > least+least>>slackShift
}

// hasDetour reports whether an agent has put itself behind the last candidate.
func hasDetour(h *packet.Header) bool {
	if h.Count == 0 || int(h.Count) == len(h.Candidates) {
		return true
	}
	last := h.Candidates[h.Count-1]
	return slices.Contains(h.Candidates[:h.Count-1], last)
}

// withPass returns the header of a packet that is passed on. The candidate at
// the new hop is the target.
func withPass(h packet.Header, to pass, self netip.AddrPort) packet.Header {
	h.Kind, h.Hop = packet.Offer, to.hop
	if !to.detour {
		return h
	}
	at := slices.Index(h.Candidates[:h.Count], to.target)
	if hasDetour(&h) || at < int(to.hop) {
		return h
	}
	copy(h.Candidates[to.hop+1:at+1], h.Candidates[to.hop:at])
	h.Candidates[to.hop] = to.target
	h.Candidates[h.Count] = self
	h.Count++
	return h
}
