// Package route decides how a balancer handles a caller's datagram.
//
// A Table is built from the roster and the settings, and replaced as a whole when they
// change. A Decider maps a datagram and the service address at which it arrived to a
// Decision. The package uses no sockets, clocks or goroutines, and Decide does not
// allocate.
package route

import (
	"net/netip"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/service"
)

// Decision is the handling of one datagram: *Forward, *Reset or Drop.
type Decision interface{ isDecision() }

// Forward means that the datagram is wrapped and sent to Target.
type Forward struct {
	// Kind is packet.Flow if Target is the agent that the connection ID names, and
	// packet.Offer if it is the first candidate for a new flow.
	Kind    packet.Kind
	Service service.ID
	Target  netip.AddrPort
	// Ranking holds the candidates of an Offer. It is also set for a Flow whose datagram
	// is an Initial: the caller may have chosen the connection ID at random, and the ID
	// may decrypt to a valid one by chance. The agent then passes the datagram on to the
	// candidates.
	Ranking Ranking
}

// Reset means that the datagram is answered with a stateless reset.
type Reset struct {
	Service service.ID
}

// Drop means that the datagram is dropped. Its value is the reason.
type Drop uint8

// The reasons to drop a datagram.
const (
	// NotQUIC means that the datagram has no valid QUIC header.
	NotQUIC Drop = iota + 1
	// UnknownAddress means that the datagram arrived at an address of no service.
	UnknownAddress
	// UnknownFlow means that the connection ID names no agent, and that a packet of this
	// type cannot open a flow.
	UnknownFlow
	// OtherService means that the connection ID names an agent whose service differs from
	// the address's service, and that a packet of this type cannot open a flow.
	OtherService
	// TooSmall means that the datagram is shorter than packet.MinInitial, the minimum for
	// opening a flow.
	TooSmall
	// NoCandidate means that the service has no candidates for a new flow.
	NoCandidate
	// GoneAgent means that the agent of the flow is gone, and that the datagram can
	// neither open a flow nor be answered with a reset.
	GoneAgent
)

// DropReasons is the number of reasons to drop a datagram.
const DropReasons = int(GoneAgent)

func (*Forward) isDecision() {}
func (*Reset) isDecision()   {}
func (Drop) isDecision()     {}

// String returns the reason's name in metrics.
func (d Drop) String() string {
	names := [...]string{"none", "not_quic", "unknown_address", "unknown_flow", "other_service", "too_small", "no_candidate", "gone_agent"}
	if int(d) >= len(names) {
		return "unknown"
	}
	return names[d]
}

// Decider makes decisions. It is not safe for concurrent use, and a decision is only valid
// until the next call of Decide.
type Decider struct {
	sealer  packet.Sealer
	forward Forward
	reset   Reset
}

// Decide decides how to handle a datagram that arrived at the given service address.
//
// A datagram whose connection ID is valid and belongs to the address's service is
// forwarded to the agent that the ID names, even if the agent is not a candidate, unless
// the agent is confirmed gone. An Initial with any other connection ID opens a new flow:
// the caller has chosen the ID at random, even if the ID decrypts to one of another service.
func (d *Decider) Decide(t *Table, keys *packet.Keys, address netip.AddrPort, datagram []byte) Decision {
	e, ok := t.byAddress[address]
	if !ok {
		return UnknownAddress
	}
	parsed, err := packet.ParseQUIC(datagram)
	if err != nil {
		return NotQUIC
	}
	cid, err := d.sealer.Open(keys, parsed.DCID)
	switch {
	case err != nil:
		return d.offer(e, parsed, datagram, UnknownFlow)
	case cid.Service != e.id:
		return d.offer(e, parsed, datagram, OtherService)
	case t.isGone(cid):
		return d.resetOrDrop(e, parsed, datagram)
	default:
		return d.forwardToAgent(e, parsed, cid)
	}
}

// forwardToAgent forwards a datagram of a flow to the agent that its connection ID names.
func (d *Decider) forwardToAgent(e *entry, parsed packet.QUIC, cid packet.CID) Decision {
	d.forward = Forward{Kind: packet.Flow, Service: e.id, Target: cid.Agent}
	if parsed.Type == packet.Initial {
		d.forward.Ranking = e.rank(flowKey(e.id, parsed.DCID))
	}
	return &d.forward
}

// resetOrDrop handles a datagram whose agent is gone. A packet with a long header is
// handled by offer, since it may open a flow. A packet with a short header is answered
// with a reset if the datagram is large enough, and dropped otherwise.
func (d *Decider) resetOrDrop(e *entry, parsed packet.QUIC, datagram []byte) Decision {
	if parsed.Type != packet.Short {
		return d.offer(e, parsed, datagram, GoneAgent)
	}
	if len(datagram) < packet.MinResettable {
		return GoneAgent
	}
	d.reset = Reset{Service: e.id}
	return &d.reset
}

// offer handles a datagram that belongs to no known flow. A datagram that may open a flow
// is forwarded to the candidate that ranks first. A packet of any other type is dropped
// for the given reason.
func (d *Decider) offer(e *entry, parsed packet.QUIC, datagram []byte, reason Drop) Decision {
	switch parsed.Type {
	case packet.Initial, packet.OtherVersion:
	case packet.Short, packet.Handshake, packet.EarlyData, packet.Retry:
		return reason
	}
	if len(datagram) < packet.MinInitial {
		return TooSmall
	}
	ranking := e.rank(flowKey(e.id, parsed.DCID))
	if ranking.Count == 0 {
		return NoCandidate
	}
	d.forward = Forward{Kind: packet.Offer, Service: e.id, Target: ranking.Candidates[0], Ranking: ranking}
	return &d.forward
}

// isGone reports whether the end of the agent's run that the connection ID names is
// confirmed.
func (t *Table) isGone(cid packet.CID) bool {
	highest, ok := t.gone[cid.Agent]
	return ok && cid.Incarnation <= highest
}
