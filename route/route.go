// Package route decides what a balancer does with one datagram of a caller.
//
// A Table is built from the roster and the settings and replaced whole. A
// Decider takes a datagram and the service address that it came in on, and
// answers with a Decision. The package holds no sockets, clocks or goroutines,
// and a decision allocates nothing.
package route

import (
	"net/netip"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/service"
)

// Decision is what to do with one datagram: *Forward, *Reset or Drop.
type Decision interface{ isDecision() }

// Forward sends the datagram, wrapped, to Target.
type Forward struct {
	// Kind is packet.Flow for the agent that the connection ID names, and
	// packet.Offer for the first candidate.
	Kind    packet.Kind
	Service service.ID
	Target  netip.AddrPort
	// Ranking holds the candidates of an Offer. A Flow has them if the
	// connection ID could be a random one that only looks like one of ours, so
	// that the agent it names can pass the datagram on.
	Ranking Ranking
}

// Reset answers the datagram with a stateless reset.
type Reset struct {
	Service service.ID
}

// Drop drops the datagram, for the reason that is its value.
type Drop uint8

// The reasons to drop a datagram.
const (
	// NotQUIC is a datagram without a readable QUIC header.
	NotQUIC Drop = iota + 1
	// UnknownAddress came in on an address that is of no service.
	UnknownAddress
	// UnknownFlow names no agent and cannot open a flow.
	UnknownFlow
	// OtherService names an agent of another service than that of the address.
	OtherService
	// TooSmall is shorter than a datagram that opens a flow.
	TooSmall
	// NoCandidate is a new flow of a service without eligible upstreams.
	NoCandidate
	// GoneAgent is of an agent that is gone, and too short for a reset.
	GoneAgent
)

// DropReasons is the number of reasons to drop a datagram.
const DropReasons = int(GoneAgent)

func (*Forward) isDecision() {}
func (*Reset) isDecision()   {}
func (Drop) isDecision()     {}

// String is the reason's name in metrics.
func (d Drop) String() string {
	names := [...]string{"none", "not_quic", "unknown_address", "unknown_flow", "other_service", "too_small", "no_candidate", "gone_agent"}
	if int(d) >= len(names) {
		return "unknown"
	}
	return names[d]
}

// Decider makes decisions for one goroutine. A decision is valid until the next.
type Decider struct {
	sealer  packet.Sealer
	forward Forward
	reset   Reset
}

// Decide says what to do with a datagram that came in on the service address.
//
// A valid connection ID of the address's service goes to its agent whatever the
// table says of it, unless the agent is confirmed gone. An Initial whose
// connection ID is not one of these opens a new flow: its connection ID is the
// caller's random choice, also when it happens to look like another service's.
func (d *Decider) Decide(t *Table, keys *packet.Keys, address netip.AddrPort, datagram []byte) Decision {
	found, ok := t.byAddress[address]
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
		return d.open(found, parsed, datagram, UnknownFlow)
	case cid.Service != found.id:
		return d.open(found, parsed, datagram, OtherService)
	case t.isGone(cid):
		return d.end(found, parsed, datagram)
	default:
		return d.keep(found, parsed, cid)
	}
}

// keep forwards a datagram to the agent that its connection ID names.
func (d *Decider) keep(e *entry, parsed packet.QUIC, cid packet.CID) Decision {
	d.forward = Forward{Kind: packet.Flow, Service: e.id, Target: cid.Agent}
	if parsed.Type == packet.Initial {
		d.forward.Ranking = e.rank(flowKey(e.id, parsed.DCID))
	}
	return &d.forward
}

// end answers a datagram whose agent is gone.
func (d *Decider) end(e *entry, parsed packet.QUIC, datagram []byte) Decision {
	if parsed.Type != packet.Short {
		return d.open(e, parsed, datagram, GoneAgent)
	}
	if len(datagram) < packet.MinResettable {
		return GoneAgent
	}
	d.reset = Reset{Service: e.id}
	return &d.reset
}

// open offers a datagram that opens a flow to the service's candidates. Any
// other is dropped for the reason given.
func (d *Decider) open(e *entry, parsed packet.QUIC, datagram []byte, otherwise Drop) Decision {
	switch parsed.Type {
	case packet.Initial, packet.OtherVersion:
	case packet.Short, packet.Handshake, packet.EarlyData, packet.Retry:
		return otherwise
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

func (t *Table) isGone(cid packet.CID) bool {
	highest, ok := t.gone[cid.Agent]
	return ok && cid.Incarnation <= highest
}
