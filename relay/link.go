package relay

import (
	"net/netip"
	"time"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/flow"
)

// Callers that send much data on a flow can fill a relay's link. All packets that the relay
// forwards then wait, also those of services with free capacity, callers repeat them, and the
// link stays full. A flow cannot be slowed down once it is open, so the relay decides when
// it is opened: with WithLink, it takes the expected bytes of a flow from a token bucket and
// refuses the flow if the bucket is empty. Routes with little data are never refused for the
// link, since a refusal would take about as many bytes as the flow.
const (
	// _linkShare is the share of the link that packets of callers may fill. The rest is for
	// messages of other processes and for repeated packets. The queue at a link grows
	// without bound as its utilization approaches 1, and is short up to about this share.
	_linkShare = 0.8
	// _linkCrossings is how often a caller's packet crosses the link: it comes in and is
	// forwarded to the sidecar. Both directions share the capacity.
	_linkCrossings = 2
	// _linkBurst is the time for which callers may send more than that share. It adds less
	// to the wait of a packet than targets of 200 ms allow.
	_linkBurst = 100 * time.Millisecond
	// _heavyFlowBytes is the number of bytes of a flow's caller from which a route is heavy:
	// about 6 packets. Requests without a body are far below.
	_heavyFlowBytes = 8000
	// _flowBytesWeight is the weight of one flow in the mean of its route.
	_flowBytesWeight = 0.1
	// _maxLinkRoutes bounds the routes whose bytes are known, of some 50 bytes each.
	_maxLinkRoutes = 256
	// _linkHeaderBytes is the size of the IP and UDP headers of a packet.
	_linkHeaderBytes = 28
	// _reasonLinkFull is the reason for a reset because the flow's data would not fit
	// through this relay's link.
	_reasonLinkFull = "link_full"
)

// WithLink states the capacity of this VM's link in Mbit/s, above zero. Zero means that it is
// not known; then no flow is refused for the link. It takes effect with WithPriorityAdmission.
func WithLink(mbps float64) Option {
	return func(c *Core) { c.link = newLinkBudget(mbps) }
}

// linkBudget is the token bucket for the bytes that callers send through this relay. The zero
// value has no limit.
type linkBudget struct {
	bytesPerSecond, tokens float64
	updated                time.Duration
	// flowBytes is the mean number of bytes that callers send on a flow, by route.
	flowBytes map[netip.AddrPort]float64
}

func newLinkBudget(mbps float64) linkBudget {
	b := linkBudget{bytesPerSecond: max(mbps, 0) * 1e6 / 8 * _linkShare / _linkCrossings, flowBytes: make(map[netip.AddrPort]float64)}
	b.tokens = b.burst()
	return b
}

func (b *linkBudget) limited() bool { return b.bytesPerSecond > 0 }

func (b *linkBudget) burst() float64 { return b.bytesPerSecond * _linkBurst.Seconds() }

// take takes tokens, which may leave less than none.
func (b *linkBudget) take(now time.Duration, bytes float64) {
	b.tokens = min(b.tokens+(now-b.updated).Seconds()*b.bytesPerSecond, b.burst()) - bytes
	b.updated = now
}

// reserve takes the tokens for the data of a new flow and returns the number of bytes that
// they stand for. It returns false, and takes none, if the bucket is empty. A route of the
// highest priority may overdraw the bucket by its burst, so that other heavy routes are
// refused first.
func (b *linkBudget) reserve(now time.Duration, route netip.AddrPort, highestPriority bool) (reserved int, ok bool) {
	expected := b.flowBytes[route]
	if !b.limited() || expected < _heavyFlowBytes {
		return 0, true
	}
	b.take(now, 0)
	least := 0.0
	if highestPriority {
		least = -b.burst()
	}
	if b.tokens < least {
		return 0, false
	}
	b.take(now, expected)
	return int(expected), true
}

// observe adds the bytes that the caller of a flow has sent to the mean of the flow's route.
func (b *linkBudget) observe(route netip.AddrPort, bytes int) {
	mean, known := b.flowBytes[route]
	switch {
	case known:
		b.flowBytes[route] = mean + _flowBytesWeight*(float64(bytes)-mean)
	case len(b.flowBytes) < _maxLinkRoutes:
		b.flowBytes[route] = float64(bytes)
	}
}

// noteLinkBytes counts a caller's packet. f is what is known of its flow, or nil.
func (c *Core) noteLinkBytes(now time.Duration, key flow.Key, f *flowState, p flow.Packet, size int) {
	if !c.limitsLink() {
		return
	}
	size += _linkHeaderBytes
	if f == nil {
		c.link.take(now, float64(size))
		return
	}
	unreserved := max(size-f.reservedBytes, 0)
	f.reservedBytes -= size - unreserved
	c.link.take(now, float64(unreserved))
	f.sentBytes += size
	if p.Flags.Has(flow.FIN) && f.firstOffered > 0 && f.sentBytes > size {
		c.link.observe(key.Address, f.sentBytes)
		f.sentBytes = 0
	}
}

func (c *Core) limitsLink() bool { return c.priorityAdmission && c.link.limited() }

// admitToLink reserves capacity of the link for a new flow. If there is none, it resets the
// flow, and returns false. The reset says nothing about the flow's service, so the other
// relays of the zone are not told: the caller's next try may come to one with a free link.
func (c *Core) admitToLink(now time.Duration, key flow.Key, o *offer) (reserved int, ok bool) {
	if !c.limitsLink() || !c.mayResetUnoffered(now, o) {
		return 0, true
	}
	reserved, ok = c.link.reserve(now, key.Address, o.priority <= c.table.HighestPriority())
	if !ok {
		c.counts.LinkFull++
		c.out.LogDecision(decision.Record{
			Flow: key, Action: decision.Reset, Reason: _reasonLinkFull, Service: o.choice.service, Version: c.table.Version(),
		})
		c.resetUnoffered(now, key, o)
	}
	return reserved, ok
}
