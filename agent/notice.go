package agent

import (
	"time"

	"dandelionhitch.example/packet"
)

// level is the agent's load now, as notices tell it.
func (a *Agent) level() uint32 {
	flows := a.flows.Load() + int64(a.admissions.waiting())
	return uint32(max(flows, 0)) * a.unit()
}

// unit is the level of one flow.
func (a *Agent) unit() uint32 {
	return max(_levelUnit/max(uint32(a.options.weight), 1), 1)
}

// hearPeer notes another agent's load.
func (c *conn) hearPeer(header packet.Header, octets []byte) {
	load, err := packet.ParseLoad(octets)
	if err != nil || header.Service != c.agent.service {
		c.agent.counters.dropped.Add(1)
		return
	}
	c.peers.hear(header.Caller, load, c.agent.level(), c.agent.age())
}

// tellPeers tells the other candidates of an offer how loaded this agent is
// with the flow that it has just been asked for. They are the ones that choose
// between themselves and this agent.
func (c *conn) tellPeers(offer packet.Header, room bool, now time.Duration) {
	a := c.agent
	load := packet.Load{Level: a.level() + a.unit(), Room: room}
	for i := range offer.Count {
		peer := offer.Candidates[i]
		if peer == a.addr || !a.notices.AllowN(a.start.Add(now), 1) {
			continue
		}
		header := packet.Header{
			Kind: packet.Notice, Service: a.service,
			Caller: a.addr, Address: a.addr, Balancer: a.addr,
		}
		load.Put(c.out[packet.HeaderLen:])
		wrapped, err := packet.Wrap(a.keys.Load(), &header, c.out[:], packet.LoadLen)
		if err != nil {
			return
		}
		_, _ = c.udp.WriteToUDPAddrPort(wrapped, peer)
	}
}
