package agent

import (
	"net/netip"
	"slices"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/service"
)

// agentState is the part of an agent's state on which decisions about packets depend.
type agentState struct {
	self        netip.AddrPort
	service     service.ID
	incarnation service.Incarnation
	state       service.State
	// keeperAnswered is false from the end of a pause of the process until a keeper has
	// answered the agent.
	keeperAnswered bool
	// handshakesFull reports whether as many flows are in their handshake as the
	// agent accepts without address validation.
	handshakesFull bool
	// level is the agent's current load, and flowLevel the load of one flow, both in
	// the unit of packet.Load.Level.
	level, flowLevel uint32
}

// arrival is one wrapped packet with a correct MAC, and what the agent knows
// about its flow.
type arrival struct {
	header packet.Header
	kind   packet.Type
	// cid is the content of the destination connection ID. It is set if validCID,
	// that is, if an agent sealed the connection ID under one of the shared keys.
	cid      packet.CID
	validCID bool
	// held reports whether the agent has admitted the flow of this Initial.
	held bool
	// passed reports whether the agent has passed the flow on, and passedTo is the
	// candidate that got it.
	passed   bool
	passedTo pass
	// refused reports whether the agent has refused the flow.
	refused bool
	// retransmitted reports whether the agent passed on or refused the flow at least
	// _retransmitAfter ago. The caller has then got no answer.
	retransmitted bool
	// estimates are the estimated loads of the candidates in the header.
	estimates [packet.MaxCandidates]estimate
}

// action is the result of a decision about a packet: deliver, admit, validate,
// pass, refuse, reset or drop.
type action interface{ isAction() }

// deliver hands the packet to QUIC without a new admission: the agent holds the
// packet's flow, or QUIC answers the packet without opening a flow.
type deliver struct{}

// admit hands the packet to QUIC if the gate admits one more flow. If the gate
// does not, the fallback action is carried out.
type admit struct{ fallback action }

// validate hands the packet to QUIC for address validation, without asking the
// gate. QUIC answers with a Retry and keeps no state. If the packet carries the
// token of an earlier Retry, QUIC opens the connection, and then the gate is asked.
type validate struct{}

// pass forwards the packet to target as the candidate at index hop. If detour is set,
// the agent could admit the flow itself, but the target is less loaded. In that case
// withPass moves the target to index hop and appends this agent to the candidates,
// so that the flow is refused only if no candidate admits it.
type pass struct {
	target netip.AddrPort
	hop    uint8
	detour bool
}

// refuse refuses the new flow. The caller gets CONNECTION_REFUSED immediately.
type refuse struct{}

// reset answers with a stateless reset, because the flow ended with an earlier run
// of this agent.
type reset struct{}

// drop discards the packet. Its value is the reason.
type drop uint8

// The reasons to drop a packet.
const (
	// notForAgent: the packet is a reply, or an offer to another agent.
	notForAgent drop = iota + 1
	// otherService: the packet or its connection ID belongs to another service.
	otherService
	// unknownFlow: the packet belongs to no flow of this agent and cannot open one.
	unknownFlow
	// afterPause: the packet is an offer with no further candidate, and the agent
	// has had no answer of a keeper since a pause. The caller will retransmit the
	// packet.
	afterPause
)

func (deliver) isAction()  {}
func (admit) isAction()    {}
func (validate) isAction() {}
func (pass) isAction()     {}
func (refuse) isAction()   {}
func (reset) isAction()    {}
func (drop) isAction()     {}

// decide returns the action for a packet. It depends only on its arguments: the
// gate is asked when the action is carried out, so admit contains a fallback action.
func decide(s agentState, a arrival) action {
	switch {
	case a.header.Kind == packet.Reply:
		return notForAgent
	case a.validCID && a.cid.Agent == s.self && a.cid.Incarnation < s.incarnation:
		return decideEarlierRun(s, a)
	case a.header.Service != s.service:
		return otherService
	case a.header.Kind == packet.Flow:
		return decideFlow(s, a)
	default:
		return decideOffer(s, a, a.header.Hop)
	}
}

// decideEarlierRun decides what to do with a packet whose connection ID was issued by an
// earlier run at this agent's address. Since this agent has the address now, that
// run has ended, whatever service it belonged to.
func decideEarlierRun(s agentState, a arrival) action {
	if a.kind == packet.Short {
		return reset{}
	}
	if a.header.Service != s.service {
		return otherService
	}
	return decideUnknownCID(s, a)
}

// decideFlow decides what to do with a packet that the balancer routed by its connection ID.
func decideFlow(s agentState, a arrival) action {
	if !a.validCID || a.cid.Agent != s.self || a.cid.Incarnation != s.incarnation {
		return decideUnknownCID(s, a)
	}
	if a.cid.Service != s.service {
		return otherService
	}
	return deliver{}
}

// decideUnknownCID decides what to do with a packet whose connection ID was not issued
// by this run. Only an Initial with candidates can belong to a flow of this agent or open one.
func decideUnknownCID(s agentState, a arrival) action {
	if a.kind != packet.Initial || a.header.Count == 0 {
		return unknownFlow
	}
	if a.held {
		return deliver{}
	}
	if a.header.Kind == packet.Offer {
		return decideOffer(s, a, a.header.Hop)
	}
	if a.header.Candidates[0] != s.self {
		return pass{target: a.header.Candidates[0]}
	}
	return decideOffer(s, a, 0)
}

// decideOffer decides what to do with a packet that offers a new flow to the candidate
// at index hop.
func decideOffer(s agentState, a arrival, hop uint8) action {
	if hop >= a.header.Count || a.header.Candidates[hop] != s.self {
		return notForAgent
	}
	switch {
	case a.kind == packet.OtherVersion:
		// QUIC answers with a Version Negotiation packet and keeps no state.
		return deliver{}
	case a.kind != packet.Initial:
		return unknownFlow
	case a.held:
		return deliver{}
	case !s.keeperAnswered:
		return passToNext(a, hop, afterPause)
	case s.state != service.Serving:
		return passToNext(a, hop, refuse{})
	case s.handshakesFull:
		return validate{}
	case a.passed && hop < a.passedTo.hop && !a.retransmitted:
		// All packets of one Initial go to the same candidate.
		return a.passedTo
	case a.refused && !a.retransmitted:
		// Once a packet of an Initial was refused, its other packets are refused too:
		// the caller has given up the connection, so admitting them would waste the
		// capacity of a flow.
		return refuse{}
	}
	if to, ok := lessLoaded(s, a, hop); ok {
		return pass{target: a.header.Candidates[to], hop: hop + 1, detour: true}
	}
	return admit{fallback: passToNext(a, hop, refuse{})}
}

// passToNext returns the action that passes a packet to the candidate after hop, or
// the fallback action if there is no such candidate. After a retransmission the
// previous target may be dead, so the packet goes to the candidate after that target,
// or to the last candidate. This does not apply if the previous pass was a detour,
// because the hop of a detour is an index into reordered candidates.
func passToNext(a arrival, hop uint8, fallback action) action {
	last := a.header.Count - 1
	if hop >= last {
		return fallback
	}
	to := hop + 1
	if a.retransmitted && !a.passedTo.detour {
		to = min(max(to, a.passedTo.hop+1), last)
	}
	return pass{target: a.header.Candidates[to], hop: to}
}

// lessLoaded returns the index of the candidate after hop with the lowest estimated
// load among those that admit flows. It reports false if that load is not low enough
// to justify another hop, if this agent has already passed the flow on, or if the flow
// has already made a detour: a flow makes at most one detour.
func lessLoaded(s agentState, a arrival, hop uint8) (uint8, bool) {
	// Another hop is justified if this agent's load exceeds the lowest load by more
	// than 1/32 of the lowest load. A right shift by slackShift divides by 32.
	const slackShift = 5
	if a.passed || hasDetour(&a.header) {
		return 0, false
	}
	lowest, found := s.level, false
	var at uint8
	for i := hop + 1; i < a.header.Count; i++ {
		e := a.estimates[i]
		if e.known && e.load.Room && e.load.Level < lowest {
			lowest, at, found = e.load.Level, i, true
		}
	}
	return at, found && s.level > lowest+lowest>>slackShift
}

// hasDetour reports whether no agent may make a detour with the offer any more:
// an agent has already appended itself to the candidates, or the list of candidates is
// full or empty.
func hasDetour(h *packet.Header) bool {
	if h.Count == 0 || int(h.Count) == len(h.Candidates) {
		return true
	}
	last := h.Candidates[h.Count-1]
	return slices.Contains(h.Candidates[:h.Count-1], last)
}

// withPass returns the header of the packet after a pass, which makes it an offer to
// the candidate at index to.hop. For a detour it moves the target to that index, moves
// the candidates between the new and the old index of the target back by one, and
// appends self.
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
