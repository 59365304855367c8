package agent

import (
	"time"

	"dandelionhitch.example/packet"
)

// level returns the agent's current load in the unit of packet.Load.Level. It
// covers open flows and unclaimed admissions.
func (a *Agent) level() uint32 {
	flows := a.flows.Load() + int64(a.admissions.unclaimed())
	return uint32(max(flows, 0)) * a.flowLevel()
}

// flowLevel returns the load that one flow adds to level.
func (a *Agent) flowLevel() uint32 {
	return max(_baseFlowLevel/max(uint32(a.options.weight), 1), 1)
}

// handleNotice records the load in another agent's notice.
func (c *conn) handleNotice(header packet.Header, octets []byte) {
	load, err := packet.ParseLoad(octets)
	if err != nil || header.Service != c.agent.service {
		c.agent.counters.dropped.Add(1)
		return
	}
	c.peers.record(header.Caller, load, c.agent.level(), c.agent.age())
}

// notifyCandidates sends a notice with this agent's load, including the flow just
// offered, to the other candidates of the offer. They are the agents that choose
// between themselves and this one. The notice also says whether the gate admitted the
// flow, which the argument room reports.
func (c *conn) notifyCandidates(offer packet.Header, room bool, now time.Duration) {
	a := c.agent
	load := packet.Load{Level: a.level() + a.flowLevel(), Room: room}
	for i := range offer.Count {
		peer := offer.Candidates[i]
		if peer == a.addr || !a.noticeLimiter.AllowN(a.start.Add(now), 1) {
			continue
		}
		header := packet.Header{
			Kind: packet.Notice, Service: a.service,
			Caller: a.addr, Address: a.addr, Balancer: a.addr,
		}
		load.Put(c.writeBuf[packet.HeaderLen:])
		wrapped, err := packet.Wrap(a.keys.Load(), &header, c.writeBuf[:], packet.LoadLen)
		if err != nil {
			return
		}
		_, _ = c.udp.WriteToUDPAddrPort(wrapped, peer)
	}
}
