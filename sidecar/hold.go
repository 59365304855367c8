package sidecar

import (
	"slices"
	"strconv"
	"time"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
)

// A request on an open flow is held back for a short time if package admission says so. Its
// packets are delivered in order and unchanged, or not at all: while packets of a flow are
// held, further packets of its caller are appended, except a reset. Nothing that is held has
// run, and the caller repeats it if this process ends.
const (
	// _maxHeldPackets bounds the held packets of a flow: a caller has no more in flight.
	_maxHeldPackets = 16
	// _maxHeldBytes bounds the held packets of all flows, for the memory of a sidecar.
	_maxHeldBytes = 256 << 10
	// _roomLogInterval is the shortest interval between two log lines about capacity by
	// priority, which may change many times a second at the limit of the capacity.
	_roomLogInterval = 250 * time.Millisecond
)

// heldPacket is a caller's packet that is held back.
type heldPacket struct {
	packet   []byte
	seq, ack uint32
	size     int
	flags    flow.Flags
}

// copies reports whether a packet is a copy of the held one. A copy with data may acknowledge
// more than the original does.
func (h heldPacket) copies(p flow.Packet) bool {
	return h.seq == p.Seq && h.size == p.Size && h.flags == p.Flags && (h.ack == p.Ack || p.Size > 0)
}

// beginRequest notes that data of a caller goes to the upstream: a request, or a further
// packet of one.
func (c *Core) beginRequest(f *flowState, p flow.Packet) {
	if !c.isNewData(f, p) && c.prioritized() {
		return // a copy
	}
	onOpenFlow := f.firstRequestAt > 0 || !f.opened
	if f.firstRequestAt == 0 {
		f.firstRequestAt = c.now
		if f.deliveredAt > 0 && f.consented {
			c.admission.AddHandshake(c.now - f.deliveredAt)
		}
	}
	f.lastRequestAt = c.now
	if !f.work.InProgress() {
		c.classify(f)
	}
	f.requestEnd = p.Seq + uint32(p.Size)
	c.admission.OpenFlow(&f.work)
	c.admission.Begin(c.now, &f.work, onOpenFlow)
}

// isNewData reports whether a caller's packet has data that follows the data that the upstream
// was sent before.
func (c *Core) isNewData(f *flowState, p flow.Packet) bool {
	return f.firstRequestAt == 0 || int32(p.Seq+uint32(p.Size)-f.requestEnd) > 0
}

// classify sets the class of a flow's next request. Flows that were opened before this process
// started have none, and those that were opened under an earlier configuration an old one.
func (c *Core) classify(f *flowState) {
	if !f.work.Classified() || f.classified != c.table.Version() {
		f.work.Arrived = c.now
		c.setClass(f)
	}
}

// holdPacket holds a caller's packet of an established flow back if package admission says so,
// or if earlier packets of the flow are held. It reports whether it has taken the packet.
func (c *Core) holdPacket(f *flowState, packet []byte, p flow.Packet) bool {
	if f.work.Held() {
		return c.appendHeld(f, packet, p)
	}
	if p.Size == 0 || f.ended || f.work.InProgress() || !c.prioritized() || !c.mayHold() || !c.isNewData(f, p) ||
		c.heldBytes+len(packet) > _maxHeldBytes {
		return false
	}
	c.classify(f)
	if !c.admission.ShouldHold(c.now, &f.work) {
		return false
	}
	c.counts.Held++
	c.out.LogDecision(decision.Record{
		Flow: f.key, Action: decision.Held, Service: c.self.Service, Version: c.table.Version(),
		Busy: uint16(c.Busy()), Slots: uint16(c.effectiveSlots(c.now)), Attempt: c.HeldNow(), Routine: true,
	})
	c.addHeld(f, packet, p)
	return true
}

// mayHold reports whether packets may be held back now. They are not if the upstream may no
// longer have its flows, or will not for long.
func (c *Core) mayHold() bool { return c.reportedState() == peer.Ready && c.confirmed(c.now) }

// appendHeld handles a packet of a flow of which packets are held. It reports whether it has
// taken the packet. The caller's reset discards the held packets. If the packet exceeds a
// limit, the held ones are delivered before it.
func (c *Core) appendHeld(f *flowState, packet []byte, p flow.Packet) bool {
	switch {
	case p.Flags.Has(flow.RST):
		c.discardHeld(f)
		return false
	case slices.ContainsFunc(f.held, func(h heldPacket) bool { return h.copies(p) }):
		c.counts.Dropped++
		return true
	case len(f.held) >= _maxHeldPackets, c.heldBytes+len(packet) > _maxHeldBytes:
		c.deliverHeld(f)
		return false
	}
	c.addHeld(f, packet, p)
	return true
}

func (c *Core) addHeld(f *flowState, packet []byte, p flow.Packet) {
	f.held = append(f.held, heldPacket{packet: slices.Clone(packet), seq: p.Seq, ack: p.Ack, size: p.Size, flags: p.Flags})
	c.heldBytes += len(packet)
}

// takeHeld ends the holding of a flow and returns its held packets.
func (c *Core) takeHeld(f *flowState) []heldPacket {
	held := f.held
	f.held = nil
	for _, h := range held {
		c.heldBytes -= len(h.packet)
	}
	c.admission.Unhold(&f.work)
	return held
}

// discardHeld drops the held packets of a flow that its caller or its upstream has ended.
func (c *Core) discardHeld(f *flowState) { c.counts.Dropped += uint64(len(c.takeHeld(f))) }

// deliverHeld sends the held packets of a flow to the upstream.
func (c *Core) deliverHeld(f *flowState) {
	for _, h := range c.takeHeld(f) {
		if h.size > 0 && !f.ended {
			c.beginRequest(f, flow.Packet{Seq: h.seq, Ack: h.ack, Size: h.size, Flags: h.flags})
		}
		c.counts.Carried++
		c.out.ToUpstream(h.packet)
	}
}

// releaseHeld delivers the packets of the held requests that should go to the upstream now.
// until is the time of the next call at the latest.
func (c *Core) releaseHeld(until time.Duration) {
	for w := c.admission.Release(c.now, until); w != nil; w = c.admission.Release(c.now, until) {
		c.deliverHeld(w.Flow)
	}
}

// releaseAllHeld delivers all held packets.
func (c *Core) releaseAllHeld() {
	for c.HeldNow() > 0 {
		c.deliverHeld(c.admission.Held()[0].Flow)
	}
}

// roomState is what was last found about the upstream's capacity by priority.
type roomState struct {
	// noRoomFrom is the value of that field in reports.
	noRoomFrom uint8
	// loggedNoRoom, loggedCapacity and loggedAt are the values of the last log lines, and the
	// time of the last one about noRoomFrom.
	loggedNoRoom   uint8
	loggedCapacity int
	loggedAt       time.Duration
}

// NoRoomFrom returns one more than the smallest priority for whose openings the upstream has
// no capacity, or zero if it has capacity for all or this is not known.
func (c *Core) NoRoomFrom() uint8 { return c.room.noRoomFrom }

// updateRoom determines the capacity by priority, and logs changes.
func (c *Core) updateRoom() {
	r := &c.room
	r.noRoomFrom = 0
	if c.upstream.state == peer.Ready {
		r.noRoomFrom = c.admission.NoRoomFrom(c.now)
	}
	if r.noRoomFrom != r.loggedNoRoom && (r.loggedAt == 0 || c.now-r.loggedAt >= _roomLogInterval) {
		c.logRoom(decision.RoomSubject, decision.RoomState(r.loggedNoRoom), decision.RoomState(r.noRoomFrom))
		r.loggedNoRoom, r.loggedAt = r.noRoomFrom, c.now
	}
	if capacity := c.Capacity(); capacity != r.loggedCapacity {
		c.logRoom(decision.CapacitySubject, strconv.Itoa(r.loggedCapacity), strconv.Itoa(capacity))
		r.loggedCapacity = capacity
	}
}

// logRoom logs a change of the learned capacity or of the capacity by priority.
func (c *Core) logRoom(subject, from, to string) {
	c.out.LogBelief(decision.Belief{
		Subject: subject, Name: c.upstream.id, From: from, To: to, Reason: "load", Version: c.upstream.sequence,
	})
}
