package agent

import (
	"net/netip"
	"time"

	"dandelionhitch.example/packet"
)

const (
	// _peerCapacity bounds the peers whose load is remembered.
	_peerCapacity = 64
	// _loadFresh is how long a peer's load is believed.
	_loadFresh = 3 * time.Second
	// _levelUnit is the level of one flow at an agent of weight one.
	_levelUnit = 256
	// _noticeRate bounds the notices that an agent sends in one second.
	_noticeRate = 20
)

// peerLoad is the load that a peer last told.
type peerLoad struct {
	addr netip.AddrPort
	load packet.Load
	at   time.Duration
	// own is the level of the agent itself when it heard this.
	own uint32
	// sent is the level of the flows that the agents passed to the peer since,
	// if all that know of it pass as many as this one.
	sent uint32
}

// level is what the peer's level is now believed to be: hashing offers all
// agents as many flows, so the peer's level has risen like the agent's own. A
// rise by one or two flows is chance.
func (p *peerLoad) level(own, unit uint32) uint32 {
	const chance = 2
	risen := max(own, p.own+chance*unit) - p.own - chance*unit
	return p.load.Level + p.sent + risen
}

// peers remembers the loads of the service's other agents that were heard last.
// In a large service they are a sample.
type peers struct {
	list []peerLoad
	next int
}

// hear notes the load of the peer at addr, and the agent's own level.
func (p *peers) hear(addr netip.AddrPort, load packet.Load, own uint32, now time.Duration) {
	heard := peerLoad{addr: addr, load: load, at: now, own: own}
	for i := range p.list {
		if p.list[i].addr == addr {
			p.list[i] = heard
			return
		}
	}
	if len(p.list) < _peerCapacity {
		p.list = append(p.list, heard)
		return
	}
	p.list[p.next] = heard
	p.next = (p.next + 1) % _peerCapacity
}

// passed notes that a flow was passed to the peer at addr because it is less
// loaded, as others may have done that believe the same.
func (p *peers) passed(addr netip.AddrPort, unit uint32) {
	for i := range p.list {
		if p.list[i].addr == addr {
			p.list[i].sent += unit * uint32(len(p.list))
		}
	}
}

// forget drops what the peer at addr told.
func (p *peers) forget(addr netip.AddrPort) {
	for i := range p.list {
		if p.list[i].addr == addr {
			p.list[i].at = -_loadFresh - 1
		}
	}
}

// estimate returns what is believed of the candidates' loads: what a candidate
// told lately, else the mean of what others told lately, else nothing.
func (p *peers) estimate(header *packet.Header, own, unit uint32, now time.Duration) [packet.MaxCandidates]estimate {
	var out [packet.MaxCandidates]estimate
	var sum, count uint64
	for i := range p.list {
		peer := &p.list[i]
		if now-peer.at > _loadFresh {
			continue
		}
		level := peer.level(own, unit)
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

// estimate is what is believed of a candidate's load.
type estimate struct {
	known bool
	load  packet.Load
}
