package standin

import (
	"bytes"
	"slices"
	"time"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
)

// _maxHeldFraction is the fraction of its route's target latency for which a sidecar may hold
// the packets of a request on an open flow.
const _maxHeldFraction = 0.25

// PacketOrder checks that a sidecar delivers the callers' packets of each flow in the order of
// their arrival, or not at all. It holds the packets that the sidecar may still deliver; a packet
// that precedes a delivered one may not be delivered any more.
type PacketOrder map[flow.Key][]carriedPacket

// carriedPacket is a packet that arrived at a sidecar.
type carriedPacket struct {
	arrivedAt time.Duration
	packet    []byte
}

// Arrive records a message that arrives at the sidecar, if it carries a packet of an open flow.
func (o PacketOrder) Arrive(now time.Duration, message []byte) {
	if len(message) == 0 || peer.Kind(message[0]) != peer.KindCarry && peer.Kind(message[0]) != peer.KindTry {
		return
	}
	m, err := peer.DecodeCarried(message)
	if err != nil {
		return
	}
	p, _ := DecodeOpaque(m.Packet)
	key := p.FromCaller()
	o[key] = append(o[key], carriedPacket{now, bytes.Clone(m.Packet)})
}

// Deliver records a packet that the sidecar delivers to its upstream, and returns when it arrived.
// ok is false if it did not arrive as it is delivered, or if it is delivered a second time or
// after a packet that arrived later. Opening packets are in order at any time.
func (o PacketOrder) Deliver(now time.Duration, packet []byte) (arrivedAt time.Duration, ok bool) {
	p, _ := DecodeOpaque(packet)
	if p.Opening() {
		return now, true
	}
	key := p.FromCaller()
	arrived := o[key]
	i := slices.IndexFunc(arrived, func(c carriedPacket) bool { return bytes.Equal(c.packet, packet) })
	if i < 0 {
		return 0, false
	}
	arrivedAt = arrived[i].arrivedAt
	if o[key] = arrived[i+1:]; i+1 == len(arrived) {
		delete(o, key)
	}
	return arrivedAt, true
}

// checkOrder checks a packet that the VM's sidecar delivers to the upstream.
func (vm *SimulatedVM) checkOrder(packet []byte) {
	s := vm.sim
	p, _ := DecodeOpaque(packet)
	arrivedAt, ok := vm.order.Deliver(s.now, packet)
	if !ok {
		s.addViolation("%v delivered a packet of flow %v out of order, or one that did not arrive", vm, p.FromCaller())
		return
	}
	held := s.now - arrivedAt
	if held > 0 {
		s.HeldPackets++
	}
	route, _ := s.table.Route(p.Destination)
	limit := time.Duration(_maxHeldFraction*float64(route.TargetLatency)) + _coreTick
	if held > limit && arrivedAt > vm.thawedAt {
		s.addViolation("%v held a packet of flow %v for %v, more than %v", vm, p.FromCaller(), held, limit)
	}
}
