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

// packetOrder holds, by flow, the callers' packets that a sidecar got and may still deliver.
// A packet that precedes a delivered one may not be delivered any more.
type packetOrder map[flow.Key][]carriedPacket

// carriedPacket is a packet that arrived at a sidecar.
type carriedPacket struct {
	arrivedAt time.Duration
	packet    []byte
}

// noteCarried records a caller's packet that arrives at the VM's sidecar.
func (vm *SimulatedVM) noteCarried(message []byte) {
	if kind := peer.Kind(message[0]); kind != peer.KindCarry && kind != peer.KindTry {
		return
	}
	m, err := peer.DecodeCarried(message)
	if err != nil {
		return
	}
	p, _ := DecodeOpaque(m.Packet)
	if vm.order == nil {
		vm.order = make(packetOrder)
	}
	key := p.FromCaller()
	vm.order[key] = append(vm.order[key], carriedPacket{vm.sim.now, bytes.Clone(m.Packet)})
}

// checkOrder checks a packet that the VM's sidecar delivers to the upstream: it arrived as it is
// delivered, after the packets of its flow that were delivered before, and was not held for
// longer than allowed.
func (vm *SimulatedVM) checkOrder(packet []byte) {
	p, _ := DecodeOpaque(packet)
	if p.Opening() {
		return
	}
	s, key := vm.sim, p.FromCaller()
	arrived := vm.order[key]
	i := slices.IndexFunc(arrived, func(c carriedPacket) bool { return bytes.Equal(c.packet, packet) })
	if i < 0 {
		s.addViolation("%v delivered a packet of flow %v out of order, or one that did not arrive", vm, key)
		return
	}
	held := s.now - arrived[i].arrivedAt
	if held > 0 {
		s.HeldPackets++
	}
	route, _ := s.table.Route(key.Address)
	limit := time.Duration(_maxHeldFraction*float64(route.TargetLatency)) + _coreTick
	if held > limit && arrived[i].arrivedAt > vm.thawedAt {
		s.addViolation("%v held a packet of flow %v for %v, more than %v", vm, key, held, limit)
	}
	if vm.order[key] = arrived[i+1:]; i+1 == len(arrived) {
		delete(vm.order, key)
	}
}
