package agent

import (
	"net/netip"
	"time"

	"dandelionhitch.example/packet"
)

const (
	// _peerCapacity bounds the number of peers whose load is recorded.
	_peerCapacity = 64
	// _loadTTL is how long a peer's load is used after the notice that reported it.
	_loadTTL = 3 * time.Second
	// _baseFlowLevel is the load of one flow at an agent of weight 1, in the unit of
	// packet.Load.Level.
	_baseFlowLevel = 256
	// _noticeRate bounds the notices that an agent sends per second.
	_noticeRate = 20
)

// peerLoad is the load in a peer's last notice. A notice is a packet in which an agent
// reports its load to another agent of its service.
type peerLoad struct {
	addr netip.AddrPort
	load packet.Load
	// receivedAt is when the notice arrived, since the agent's start.
	receivedAt time.Duration
	// ownLevel is the load of this agent when the notice arrived.
	ownLevel uint32
	// passedLevel is the estimated load of the flows that all agents together have
	// passed to the peer since the notice. It assumes that one agent for each known
	// peer passes as many flows to the peer as this agent does.
	passedLevel uint32
}

// estimatedLevel returns the estimate of the peer's current load. Hashing offers
// the same number of flows to all agents, so the peer's load is assumed to have
// risen since its notice like that of this agent. The first two flows of the rise
// are ignored, because they may be due to chance.
func (p *peerLoad) estimatedLevel(ownLevel, flowLevel uint32) uint32 {
	const noiseFlows = 2
	rise := max(ownLevel, p.ownLevel+noiseFlows*flowLevel) - p.ownLevel - noiseFlows*flowLevel
	return p.load.Level + p.passedLevel + rise
}

// peers records the loads of other agents of the service, from their notices. It
// is bounded, so in a large service it holds only a sample of the agents.
type peers struct {
	list []peerLoad
	// nextEvicted is the index of the entry that the next new peer replaces when list is full.
	nextEvicted int
}

// record stores the load from a notice of the peer at addr, and this agent's own
// load at that time.
func (p *peers) record(addr netip.AddrPort, load packet.Load, ownLevel uint32, now time.Duration) {
	received := peerLoad{addr: addr, load: load, receivedAt: now, ownLevel: ownLevel}
	for i := range p.list {
		if p.list[i].addr == addr {
			p.list[i] = received
			return
		}
	}
	if len(p.list) < _peerCapacity {
		p.list = append(p.list, received)
		return
	}
	p.list[p.nextEvicted] = received
	p.nextEvicted = (p.nextEvicted + 1) % _peerCapacity
}

// recordPass records that a flow was passed to the peer at addr because that peer
// is less loaded. Other agents with the same view may have done the same, so the
// estimated load rises by one flow for each known peer.
func (p *peers) recordPass(addr netip.AddrPort, flowLevel uint32) {
	for i := range p.list {
		if p.list[i].addr == addr {
			p.list[i].passedLevel += flowLevel * uint32(len(p.list))
		}
	}
}

// invalidate marks the load of the peer at addr as outdated.
func (p *peers) invalidate(addr netip.AddrPort) {
	for i := range p.list {
		if p.list[i].addr == addr {
			p.list[i].receivedAt = -_loadTTL - 1
		}
	}
}

// estimate returns the estimated loads of the candidates in header. The load of a
// candidate whose last notice is at most _loadTTL old derives from that notice. For
// the others it is the mean over all peers with such a notice. If there is none, the
// load is unknown.
func (p *peers) estimate(header *packet.Header, ownLevel, flowLevel uint32, now time.Duration) [packet.MaxCandidates]estimate {
	var out [packet.MaxCandidates]estimate
	var sum, count uint64
	for i := range p.list {
		peer := &p.list[i]
		if now-peer.receivedAt > _loadTTL {
			continue
		}
		level := peer.estimatedLevel(ownLevel, flowLevel)
		sum += uint64(level)
		count++
		for j := range header.Count {
			if header.Candidates[j] == peer.addr {
				out[j] = estimate{known: true, load: packet.Load{Level: level, Room: peer.load.Room}}
			}
		}
	}
	for j := range header.Count {
		if !out[j].known && count > 0 {
			out[j] = estimate{known: true, load: packet.Load{Level: uint32(sum / count), Room: true}}
		}
	}
	return out
}

// estimate is the estimated load of a candidate. The load is valid if known is set.
type estimate struct {
	known bool
	load  packet.Load
}
