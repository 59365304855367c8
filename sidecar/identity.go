package sidecar

import (
	"fmt"
	"time"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/peer"
)

// _defaultAddressReuse is used as Identity.AddressReuse if that is zero. It is the figure of
// the users' deployments.
const _defaultAddressReuse = 2 * time.Second

// noteOtherUpstream logs and counts a heartbeat that names a service or an address that are
// not those of the upstream on this host.
func (c *Core) noteOtherUpstream(h Heartbeat) {
	c.counts.IgnoredHeartbeats++
	c.counts.OtherUpstreamHeartbeats++
	c.out.LogBelief(decision.Belief{
		Subject: decision.IdentitySubject, Name: c.upstream.id, From: c.self.Service, To: h.Service,
		Reason:  fmt.Sprintf("heartbeat of %q at %v", h.ID, h.Addr),
		Version: h.Sequence, Age: c.now - c.upstream.lastHeartbeat,
	})
}

// noteDelivery counts an opening packet that is delivered to an upstream whose last heartbeat
// is so old that another upstream may have its address by now. It logs the first one since
// that heartbeat.
func (c *Core) noteDelivery() {
	u := &c.upstream
	age := c.now - u.lastHeartbeat
	if u.state == peer.Absent || age < c.self.AddressReuse {
		return
	}
	c.counts.UnconfirmedOpenings++
	if u.unconfirmedSince == u.lastHeartbeat && c.counts.UnconfirmedOpenings > 1 {
		return
	}
	u.unconfirmedSince = u.lastHeartbeat
	c.out.LogBelief(decision.Belief{
		Subject: decision.IdentitySubject, Name: u.id, From: c.self.Service, To: "not_confirmed",
		Reason: "opening_without_heartbeat", Version: u.sequence, Age: age,
	})
}
