package sidecar_test

import (
	"bytes"
	"encoding/binary"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/admission"
	"dandelionhitch.example/decision"
	"dandelionhitch.example/directory"
	"dandelionhitch.example/evacuation"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/sidecar"
)

const (
	_ms = time.Millisecond
	// _heldPort is the caller port of the request that priorityRig holds, _importantPort that
	// of an important opening, and _busyPorts are those of requests at the upstream.
	_heldPort      = 40_006
	_importantPort = 42_000
	_busyPorts     = 40_001
	// _holdAt is the time from which priorityRig holds a request.
	_holdAt = 500 * _ms
)

// priorityTable returns a configuration of two routes that differ in priority.
func priorityTable() directory.Table {
	shares := []directory.Share{{Service: "orders", Weight: 1}}
	return directory.New(2, 0, []directory.Route{
		{Address: _address, Shares: shares, Priority: 2, TargetLatency: 300 * _ms, Timeout: 3 * time.Second},
		{Address: _importantAddress, Shares: shares, Priority: 1, TargetLatency: 300 * _ms, Timeout: 3 * time.Second},
	})
}

// packetOf returns a packet of a flow that has a caller port. Ports from _importantPort on are
// those of important flows.
func packetOf(port uint16, flags flow.Flags, seq, ack uint32, size byte, toCaller bool) []byte {
	b := append(encode(flags, seq, ack, size, toCaller), byte(port>>8), byte(port), 0)
	if port >= _importantPort {
		b[13] = 1
	}
	return b
}

// openPort offers a flow, and lets the upstream consent to it if it got the opening packet.
func (r *rig) openPort(now time.Duration, port uint16) {
	before := len(r.toUpstream)
	r.fromRelay(now, peer.KindOffer, packetOf(port, flow.SYN, 10, 0, 0, false))
	if len(r.toUpstream) > before {
		r.UpstreamPacket(now, packetOf(port, flow.SYN|flow.ACK, 500, 11, 0, true))
	}
}

// send sends the n-th request of a flow, from 0, and returns its packet.
func (r *rig) send(now time.Duration, port uint16, n uint32) []byte {
	packet := packetOf(port, flow.ACK, 11+5*n, 501+100*n, 5, false)
	r.fromRelay(now, peer.KindCarry, packet)
	return packet
}

// reply lets the upstream answer the n-th request of a flow.
func (r *rig) reply(now time.Duration, port uint16, n uint32) {
	r.UpstreamPacket(now, packetOf(port, flow.ACK, 501+100*n, 16+5*n, 100, true))
}

// newPriorityRig returns a rig that admits requests by priority. Its upstream has 2 slots and
// queues 2 requests. Long-lived flows are open on 6 ports, and the capacity of 4 was learned
// from a refusal. At _holdAt, 3 requests on open flows are at the upstream, on the ports from
// _busyPorts on, and an important opening was delivered: its place is reserved.
func newPriorityRig(t *testing.T, opts ...sidecar.Option) *rig {
	r := newRig(t, append(opts, sidecar.WithPriorityAdmission(true))...)
	r.SetTable(0, priorityTable(), "test")
	assert.NilError(t, r.sendHeartbeat(_ms, nil))
	for i := range uint16(6) {
		at := time.Duration(10+40*i) * _ms
		r.openPort(at, _busyPorts+i)
		r.send(at+2*_ms, _busyPorts+i, 0)
		r.reply(at+32*_ms, _busyPorts+i, 0)
	}
	for i := range uint16(5) {
		r.send(_holdAt-60*_ms, _busyPorts+i, 1)
	}
	r.reply(_holdAt-59*_ms, _busyPorts+4, 1) // a refusal
	r.reply(_holdAt-30*_ms, _busyPorts+3, 1)
	for at := _holdAt - 60*_ms; at < _holdAt; at += 20 * _ms {
		r.Tick(at)
	}
	r.openPort(_holdAt, _importantPort)
	return r
}

// newHoldingRig returns a newPriorityRig that holds a request, and the packet of the request.
func newHoldingRig(t *testing.T) (*rig, []byte) {
	r := newPriorityRig(t)
	r.clearSent()
	request := r.send(_holdAt+_ms, _heldPort, 1)
	assert.Equal(t, len(r.toUpstream), 0, "the request must be held")
	assert.Equal(t, r.HeldNow(), 1)
	return r, request
}

// TestCapacityIsLearnedFromRefusals checks that the answer to a request beyond the upstream's
// capacity is recognised as a refusal, and counts neither as a run time nor as a failure.
func TestCapacityIsLearnedFromRefusals(t *testing.T) {
	r := newPriorityRig(t)
	assert.Equal(t, r.Capacity(), 4)
	assert.Equal(t, r.Counts().UpstreamRefusals, uint64(1))
	assert.Equal(t, r.Counts().ServedByPriority, [admission.Priorities]uint64{2: 7})
	report := r.reports[len(r.reports)-1]
	assert.Equal(t, report.State, peer.Ready)
	runTime := time.Duration(report.RunTime) * peer.RunTimeUnit
	assert.Assert(t, runTime >= 25*_ms && runTime <= 35*_ms, "run time %v", runTime)
	capacities := slices.DeleteFunc(slices.Clone(r.beliefs), func(b decision.Belief) bool { return b.Subject != "upstream_capacity" })
	assert.Equal(t, len(capacities), 1)
	assert.Equal(t, capacities[0].To, "4")
}

// TestRepeatedAnswerIsNoRefusal guards against an answer that the upstream repeats, since its
// acknowledgement is late, and that arrives just after the next request of the flow. It must
// not count as the refusal of that request.
func TestRepeatedAnswerIsNoRefusal(t *testing.T) {
	r := newPriorityRig(t)
	r.reply(_holdAt, _busyPorts, 1)
	r.reply(_holdAt, _busyPorts+1, 1) // else the next request would be held
	r.send(_holdAt+_ms, _busyPorts, 2)
	assert.Equal(t, r.Busy(), 3)
	r.reply(_holdAt+2*_ms, _busyPorts, 1)
	assert.Equal(t, r.Busy(), 3)
	assert.Equal(t, r.Counts().UpstreamRefusals, uint64(1))
	r.reply(_holdAt+3*_ms, _busyPorts, 2)
	assert.Equal(t, r.Busy(), 2)
}

// TestRequestIsHeldBesideImportantOne guards against requests on open flows that fill the queue
// of an upstream which may start them before a more important one. Beside an important request,
// they get the slots and one place, although the upstream has capacity for more.
func TestRequestIsHeldBesideImportantOne(t *testing.T) {
	r := newPriorityRig(t)
	r.reply(_holdAt, _busyPorts, 1)
	assert.Equal(t, r.Busy(), 3)
	r.clearSent()
	request := r.send(_holdAt+_ms, _heldPort, 1)
	assert.Equal(t, r.HeldNow(), 1)
	assert.Equal(t, len(r.toUpstream), 0)
	r.reply(_holdAt+2*_ms, _busyPorts+1, 1)
	assert.Equal(t, r.HeldNow(), 0)
	assert.DeepEqual(t, r.toUpstream, [][]byte{request})
}

// TestRepeatedRequestAndItsAnswer repeats a request whose answer was lost, and the answer. The
// place of the request must be free then, with and without the setting.
func TestRepeatedRequestAndItsAnswer(t *testing.T) {
	for _, prioritized := range []bool{false, true} {
		r := newRig(t, sidecar.WithPriorityAdmission(prioritized))
		r.SetTable(0, priorityTable(), "test")
		assert.NilError(t, r.sendHeartbeat(_ms, nil))
		r.openPort(2*_ms, _busyPorts)
		for _, at := range []time.Duration{10 * _ms, 210 * _ms} {
			r.send(at, _busyPorts, 0)
			r.reply(at+5*_ms, _busyPorts, 0)
			assert.Equal(t, r.Busy(), 0, "prioritized: %v", prioritized)
		}
	}
}

// TestHeldRequestGetsFreePlace checks that a held request is delivered as soon as a place at
// the upstream is free that requests may take beside a more important one, and runs.
func TestHeldRequestGetsFreePlace(t *testing.T) {
	r, request := newHoldingRig(t)
	assert.Equal(t, r.records[0].Action, decision.Held)
	r.reply(_holdAt+5*_ms, _busyPorts, 1)
	assert.Equal(t, len(r.toUpstream), 0)
	r.reply(_holdAt+6*_ms, _busyPorts+1, 1)
	assert.DeepEqual(t, r.toUpstream, [][]byte{request})
	assert.Equal(t, r.Busy(), 3)
	assert.Equal(t, r.Counts().Held, uint64(1))
}

// TestHeldRequestIsDeliveredOncePlacesAreTaken checks that a held request is delivered once the
// requests of the openings fill the upstream, so that the upstream refuses it at once.
func TestHeldRequestIsDeliveredOncePlacesAreTaken(t *testing.T) {
	r, request := newHoldingRig(t)
	important := r.send(_holdAt+7*_ms, _importantPort, 0)
	assert.DeepEqual(t, r.toUpstream, [][]byte{important, request})
	r.reply(_holdAt+8*_ms, _heldPort, 1)
	assert.Equal(t, r.Counts().UpstreamRefusals, uint64(2))
}

// TestRequestIsHeldForAQuarterOfItsTarget guards against requests that are held until their
// callers can no longer be answered in time.
func TestRequestIsHeldForAQuarterOfItsTarget(t *testing.T) {
	r, request := newHoldingRig(t)
	for at := _holdAt + 10*_ms; at <= _holdAt+50*_ms; at += 20 * _ms {
		r.Tick(at)
		assert.Equal(t, len(r.toUpstream), 0, "at %v", at)
	}
	r.Tick(_holdAt + 70*_ms)
	assert.DeepEqual(t, r.toUpstream, [][]byte{request})
}

// TestHeldPacketsAreDeliveredBeforeTheUpstreamChanges checks that whatever makes the upstream
// get no new flows delivers held packets at once, in order and unchanged. The flow stays open.
func TestHeldPacketsAreDeliveredBeforeTheUpstreamChanges(t *testing.T) {
	at := _holdAt + 3*_ms
	for name, change := range map[string]func(*rig){
		"drains": func(r *rig) { _ = r.sendHeartbeat(at, func(h *sidecar.Heartbeat) { h.Draining = true }) },
		"leaves": func(r *rig) { assert.NilError(r.t, r.Leave(at, "i-1")) },
		"is replaced": func(r *rig) {
			_ = r.sendHeartbeat(at+800*_ms, func(h *sidecar.Heartbeat) { h.ID, h.Born, h.Sequence, h.Age = "i-2", 200, 1, _ms })
		},
		"is not reachable":    func(r *rig) { r.Unreachable(at) },
		"zone is evacuated":   func(r *rig) { r.evacuate(at) },
		"sidecar stops":       func(r *rig) { r.Stop(at) },
		"closes the flow":     func(r *rig) { r.UpstreamPacket(at, packetOf(_heldPort, flow.ACK|flow.FIN, 601, 16, 0, true)) },
		"flow is evicted":     func(r *rig) { r.fillFlowTable(at) },
		"setting has no more": func(r *rig) { r.SetTable(at, directory.New(3, 0, priorityTable().Routes()[:1]), "test"); r.Tick(at) },
	} {
		t.Run(name, func(t *testing.T) {
			r, request := newHoldingRig(t)
			ack := packetOf(_heldPort, flow.ACK, 21, 601, 0, false)
			r.fromRelay(_holdAt+2*_ms, peer.KindCarry, ack)
			assert.Equal(t, len(r.toUpstream), 0)
			change(r)
			got := slices.DeleteFunc(r.toUpstream, func(b []byte) bool { return !bytes.Equal(b[11:], request[11:]) })
			assert.DeepEqual(t, got, [][]byte{request, ack})
			assert.Equal(t, r.HeldNow(), 0)
			assert.Equal(t, len(r.toCaller), len(slices.DeleteFunc(r.toCaller, func(b []byte) bool { return flow.Flags(b[0]).Has(flow.RST) })), "no caller may get a reset")
		})
	}
}

// evacuate evacuates the rig's zone.
func (r *rig) evacuate(now time.Duration) {
	set, err := evacuation.New(1, []string{"a"})
	assert.NilError(r.t, err)
	message, err := peer.AppendRelay(nil, peer.RelayReport{Relay: _relay, Incarnation: 1, Sequence: 1}.WithEvacuations(set))
	assert.NilError(r.t, err)
	r.PeerMessage(now, message)
}

// fillFlowTable makes the upstream send packets of so many other flows that all earlier ones
// are evicted from the flow table, except those with requests in progress.
func (r *rig) fillFlowTable(now time.Duration) {
	for port := range uint16(1001) {
		if port%100 == 0 {
			for i := range uint16(3) {
				r.fromRelay(now, peer.KindCarry, packetOf(_busyPorts+i, flow.ACK, 16, 601, 0, false))
			}
			r.fromRelay(now, peer.KindCarry, packetOf(_importantPort, flow.ACK, 11, 501, 0, false))
		}
		r.UpstreamPacket(now, packetOf(1+port, flow.ACK, 1, 1, 0, true))
	}
	assert.Assert(r.t, r.Flows() <= 1000)
}

// TestSidecarKilledWhileItHolds kills the sidecar while it holds a request. The request has not
// run, and when the caller repeats it, the next process must pass it to the upstream once.
func TestSidecarKilledWhileItHolds(t *testing.T) {
	_, request := newHoldingRig(t)
	next := newRig(t, sidecar.WithPriorityAdmission(true))
	next.SetTable(0, priorityTable(), "test")
	assert.NilError(t, next.sendHeartbeat(100*_ms, func(h *sidecar.Heartbeat) { h.Sequence, h.Age = 9, 10*time.Second }))
	next.fromRelay(200*_ms, peer.KindCarry, request)
	assert.DeepEqual(t, next.toUpstream, [][]byte{request})
	next.reply(230*_ms, _heldPort, 1)
	assert.Equal(t, len(next.toCaller), 1)
}

// TestFrozenSidecarDeliversWhatItHolds suspends the sidecar for a second while it holds a
// request and the caller repeats it. The request must be delivered once.
func TestFrozenSidecarDeliversWhatItHolds(t *testing.T) {
	r, request := newHoldingRig(t)
	r.fromRelay(_holdAt+time.Second, peer.KindCarry, request)
	r.Tick(_holdAt + time.Second)
	assert.DeepEqual(t, r.toUpstream, [][]byte{request})
}

// TestCallerResetsWhileRequestIsHeld checks that the reset of a caller discards its held
// packets: the request must not run after its caller has given up.
func TestCallerResetsWhileRequestIsHeld(t *testing.T) {
	r, _ := newHoldingRig(t)
	reset := packetOf(_heldPort, flow.RST, 21, 0, 0, false)
	r.fromRelay(_holdAt+5*_ms, peer.KindCarry, reset)
	r.Tick(_holdAt + 100*_ms)
	assert.DeepEqual(t, r.toUpstream, [][]byte{reset})
	assert.Equal(t, r.HeldNow(), 0)
}

// TestNewFlowFromPortOfHeldRequest opens a new flow from the port of a held request. The packets
// of the earlier flow must not follow.
func TestNewFlowFromPortOfHeldRequest(t *testing.T) {
	r := newPriorityRig(t)
	const at = _holdAt + 150*_ms // the upstream's refusal is too old to have the new flow refused
	r.openPort(at, _importantPort+1)
	r.clearSent()
	r.send(at+_ms, _heldPort, 1)
	assert.Equal(t, r.HeldNow(), 1)
	r.fromRelay(at+2*_ms, peer.KindOffer, packetOf(_heldPort, flow.SYN, 9000, 0, 0, false))
	r.assertOnlyVerdict(peer.Accepted)
	assert.Equal(t, r.HeldNow(), 0)
	for i := range uint16(3) {
		r.reply(at+10*_ms, _busyPorts+i, 1)
	}
	for _, packet := range r.toUpstream {
		assert.Assert(t, flow.Flags(packet[0]).Has(flow.SYN), "%v", packet)
	}
}

// TestLimitsOfHeldPackets sends more packets than may be held, of one flow and in all. Those of
// a flow must be delivered in order then.
func TestLimitsOfHeldPackets(t *testing.T) {
	t.Run("of a flow", func(t *testing.T) {
		r, request := newHoldingRig(t)
		want := [][]byte{request}
		for i := range uint32(16) {
			packet := packetOf(_heldPort, flow.ACK, 21+i, 601, 1, false)
			r.fromRelay(_holdAt+2*_ms, peer.KindCarry, packet)
			r.fromRelay(_holdAt+2*_ms, peer.KindCarry, want[len(want)/2]) // a copy
			want = append(want, packet)
		}
		assert.Equal(t, r.HeldNow(), 0)
		first := slices.DeleteFunc(slices.Clone(r.toUpstream), func() func([]byte) bool {
			seen := make(map[string]bool)
			return func(b []byte) bool { defer func() { seen[string(b)] = true }(); return seen[string(b)] }
		}())
		assert.DeepEqual(t, first, want)
	})
	t.Run("in all", func(t *testing.T) {
		r, request := newHoldingRig(t)
		large := func(seq uint32) []byte {
			return append(packetOf(_heldPort, flow.ACK, seq, 601, 1, false), make([]byte, 60<<10)...)
		}
		want := [][]byte{request}
		for i := range uint32(5) {
			want = append(want, large(21+i))
			r.fromRelay(_holdAt+2*_ms, peer.KindCarry, want[len(want)-1])
		}
		assert.DeepEqual(t, r.toUpstream, want)
	})
}

// TestFirstRequestAndUploadAreNotHeld checks that the first request of a flow uses the place
// that was reserved for it, and that the packets of an upload are one request.
func TestFirstRequestAndUploadAreNotHeld(t *testing.T) {
	r, _ := newHoldingRig(t)
	r.send(_holdAt+2*_ms, _busyPorts, 2) // a further packet of a request in progress
	r.send(_holdAt+2*_ms, _busyPorts, 3)
	assert.Equal(t, len(r.toUpstream), 2)
	assert.Equal(t, r.Busy(), 4)
	r.send(_holdAt+3*_ms, _importantPort, 0)
	assert.Equal(t, r.Busy(), 5, "the first request, and the held one, which must be refused now")
}

// TestRecoveredFlowHasPriority checks that a request on a flow that was opened before the
// sidecar started has the priority of its route, and can be held.
func TestRecoveredFlowHasPriority(t *testing.T) {
	r := newPriorityRig(t)
	r.UpstreamPacket(_holdAt, packetOf(41_000, flow.ACK, 501, 16, 0, true))
	r.clearSent()
	r.fromRelay(_holdAt+_ms, peer.KindCarry, packetOf(41_000, flow.ACK, 16, 501, 5, false))
	assert.Equal(t, r.HeldNow(), 1)
	assert.Equal(t, len(r.toUpstream), 0)
}

// TestNothingIsHeldWithoutTheSetting checks that requests on open flows are delivered at once
// without the setting, and for a service whose routes have the same priority.
func TestNothingIsHeldWithoutTheSetting(t *testing.T) {
	r := newPriorityRig(t, func(c *sidecar.Core) {})
	off := newRig(t)
	off.SetTable(0, priorityTable(), "test")
	assert.NilError(t, off.sendHeartbeat(_ms, nil))
	for i := range uint16(9) {
		at := time.Duration(10+40*i) * _ms
		off.openPort(at, _busyPorts+i)
		off.send(at+2*_ms, _busyPorts+i, 0)
		off.reply(at+32*_ms, _busyPorts+i, 0)
	}
	off.clearSent()
	for i := range uint16(9) {
		off.send(_holdAt, _busyPorts+i, 1)
		off.reply(_holdAt+_ms, _busyPorts+i, 1)
	}
	assert.Equal(t, len(off.toUpstream), 9)
	assert.Equal(t, off.Capacity(), 0)
	assert.Equal(t, off.NoRoomFrom(), uint8(0))
	assert.Equal(t, r.Capacity(), 4)
}

// TestRefusedLikeOpenFlows checks that an opening is refused at once while the upstream refuses
// requests that are as important, and that the report says so.
func TestRefusedLikeOpenFlows(t *testing.T) {
	r := newPriorityRig(t)
	r.Tick(_holdAt + _ms)
	assert.Equal(t, r.NoRoomFrom(), uint8(3), "no capacity for priority 2 and above")
	r.clearSent()
	r.fromRelay(_holdAt+2*_ms, peer.KindOffer, packetOf(41_000, flow.SYN, 10, 0, 0, false))
	r.assertOnlyVerdict(peer.Overloaded)
	assert.Equal(t, r.records[0].Reason, "no_room")
	assert.Equal(t, r.Counts().RefusedByPriority, [admission.Priorities]uint64{2: 1})
	for at := _holdAt + 20*_ms; at <= _holdAt+100*_ms; at += 20 * _ms {
		r.Tick(at)
	}
	assert.Equal(t, r.reports[len(r.reports)-1].NoRoomFrom, uint8(3))
	r.clearSent()
	for i := range uint16(3) {
		r.reply(_holdAt+250*_ms, _busyPorts+i, 1)
	}
	for at := _holdAt + 260*_ms; at <= _holdAt+500*_ms; at += 20 * _ms {
		r.Tick(at)
	}
	assert.Equal(t, r.reports[len(r.reports)-1].NoRoomFrom, uint8(0))
	rooms := slices.DeleteFunc(slices.Clone(r.beliefs), func(b decision.Belief) bool { return b.Subject != "room" })
	assert.Equal(t, len(rooms), 1)
	assert.Equal(t, rooms[0].From+rooms[0].To, "below 2all")
}

// TestMoreImportantOpeningsDisplaceOthers fills the queue with openings of priority 2 whose
// callers do not wait for long. Those that can no longer start once important openings wait must
// be refused at once, and must not have reached the upstream.
func TestMoreImportantOpeningsDisplaceOthers(t *testing.T) {
	r := newRig(t, sidecar.WithPriorityAdmission(true))
	routes := priorityTable().Routes()
	for i := range routes {
		routes[i].Timeout = 320 * _ms
	}
	r.SetTable(0, directory.New(2, 0, routes), "test")
	assert.NilError(t, r.sendHeartbeat(_ms, nil))
	for i := range uint16(40) {
		r.openPort(2*_ms, 40_000+i)
	}
	waiting := r.Waiting()
	assert.Assert(t, waiting > 10, "%d wait", waiting)
	r.clearSent()
	for i := range uint16(40) {
		r.openPort(3*_ms, _importantPort+i)
	}
	displaced := int(r.Counts().Displaced)
	t.Logf("%d of %d waiting openings displaced, %d wait", displaced, waiting, r.Waiting())
	assert.Assert(t, displaced > 0 && displaced < waiting)
	assert.Equal(t, len(r.toUpstream), 0)
	assert.Equal(t, len(r.toCaller), displaced, "their callers must get resets at once")
	assert.Assert(t, slices.ContainsFunc(r.records, func(d decision.Record) bool { return d.Reason == "displaced" }))
}

// heldModel sends packets of one flow while others begin and end at the upstream.
type heldModel struct {
	*rig
	now  time.Duration
	sent [][]byte // the packets of the flow, each once, in the order of sending
	seq  uint32
	// reset is set once the caller has sent a reset.
	reset bool
	busy  map[uint16]uint32 // ports with a request in progress, and the number of requests
	next  map[uint16]uint32
}

func (m *heldModel) sendNew(t *rapid.T) {
	if m.reset {
		return
	}
	size := byte(rapid.IntRange(0, 3).Draw(t, "size"))
	flags := flow.ACK
	if size == 0 && rapid.IntRange(0, 19).Draw(t, "reset") == 0 {
		flags, m.reset = flow.RST, true
	}
	packet := packetOf(_heldPort, flags, m.seq, 601+uint32(len(m.sent)), size, false)
	m.seq += uint32(size)
	m.sent = append(m.sent, packet)
	m.fromRelay(m.now, peer.KindCarry, packet)
}

func (m *heldModel) sendCopy(t *rapid.T) {
	if len(m.sent) > 0 && !m.reset {
		m.fromRelay(m.now, peer.KindCarry, rapid.SampledFrom(m.sent).Draw(t, "copy"))
	}
}

// others begins or ends a request on another flow.
func (m *heldModel) others(t *rapid.T) {
	port := _busyPorts + uint16(rapid.IntRange(0, 4).Draw(t, "port"))
	if m.busy[port] > 0 {
		m.reply(m.now, port, m.next[port])
		m.busy[port] = 0
		return
	}
	m.next[port]++
	m.busy[port] = 1
	m.send(m.now, port, m.next[port])
}

func (m *heldModel) important(t *rapid.T) {
	m.openPort(m.now, _importantPort+uint16(rapid.IntRange(0, 20).Draw(t, "important")))
}

func (m *heldModel) answer(*rapid.T) {
	m.UpstreamPacket(m.now, packetOf(_heldPort, flow.ACK, 601, 21, 1, true))
}

func (m *heldModel) wait(t *rapid.T) {
	for range rapid.IntRange(1, 5).Draw(t, "ticks") {
		m.now += 20 * _ms
		m.Tick(m.now)
	}
}

// check checks that packets of the flow have reached the upstream in the order of their first
// sending and unchanged.
func (m *heldModel) check(t *rapid.T) {
	got := 0
	for _, packet := range m.toUpstream {
		if packet[11] != byte(_heldPort>>8) || packet[12] != _heldPort&0xff || packet[13] == 1 {
			continue
		}
		i := slices.IndexFunc(m.sent, func(sent []byte) bool { return bytes.Equal(sent, packet) })
		switch {
		case i < 0:
			t.Fatalf("packet %v was not sent", packet)
		case i == got:
			got++
		case i > got && (!m.reset || i < len(m.sent)-1):
			t.Fatalf("packet %d was delivered after %d of the flow", i, got)
		}
	}
	if m.HeldNow() == 0 && !m.reset && got < len(m.sent) {
		t.Fatalf("%d of %d packets were delivered, and none is held", got, len(m.sent))
	}
}

// TestHeldPacketsStayInOrder plays random packets of a flow, copies and resets, requests on
// other flows and important openings. The packets of the flow must reach the upstream in order
// and unchanged, or not at all, and no later than a quarter of the target after the last one.
func TestHeldPacketsStayInOrder(t *testing.T) {
	held := uint64(0)
	rapid.Check(t, func(rt *rapid.T) {
		r := newPriorityRig(t)
		r.clearSent()
		m := &heldModel{rig: r, now: _holdAt + _ms, seq: 16, busy: map[uint16]uint32{}, next: map[uint16]uint32{}}
		for i := range uint16(5) {
			m.next[_busyPorts+i] = 1
			if i < 3 {
				m.busy[_busyPorts+i] = 1
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"new": m.sendNew, "copy": m.sendCopy, "others": m.others, "important": m.important, "answer": m.answer, "wait": m.wait, "": m.check,
		})
		for range 5 {
			m.now += 20 * _ms
			m.Tick(m.now)
		}
		if m.HeldNow() > 0 {
			rt.Fatalf("packets are held for more than a quarter of the target")
		}
		m.check(rt)
		held += m.Counts().Held
	})
	assert.Assert(t, held > 0, "no packet was held")
}

// TestOpenFlowsAllocateNothing checks that a packet of an open flow that is not held costs no
// allocation, with the setting and while the capacity of the upstream is known.
func TestOpenFlowsAllocateNothing(t *testing.T) {
	c := newBenchCore(2, sidecar.WithPriorityAdmission(true))
	carry, answer := openBenchFlow(c)
	now := time.Second
	allocations := testing.AllocsPerRun(1000, func() {
		now += _ms
		carry(now)
		answer(now)
	})
	assert.Equal(t, allocations, 0.0)
}

// openBenchFlow opens a flow at a core. It returns functions that send a request on it, and
// that answer the request.
func openBenchFlow(c *sidecar.Core) (carry, answer func(now time.Duration)) {
	c.PeerMessage(2*_ms, offerMessage(packetOf(40_001, flow.SYN, 10, 0, 0, false)))
	c.UpstreamPacket(2*_ms, packetOf(40_001, flow.SYN|flow.ACK, 500, 11, 0, true))
	message := peer.Carried{Kind: peer.KindCarry, Origin: _relay, Packet: packetOf(40_001, flow.ACK, 11, 501, 5, false)}.Append(nil)
	packet := len(message) - len(packetOf(40_001, flow.ACK, 11, 501, 5, false))
	reply := packetOf(40_001, flow.ACK, 501, 16, 100, true)
	seq := uint32(11)
	return func(now time.Duration) {
			binary.BigEndian.PutUint32(message[packet+1:], seq)
			seq += 5
			c.PeerMessage(now, message)
		}, func(now time.Duration) {
			c.UpstreamPacket(now, reply)
		}
}
