package sidecar_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/sidecar"
)

// TestLateHeartbeatsOfRunningUpstream guards against resets of open flows: two heartbeats that
// were held up, and arrived one after the other, counted as a restart of their sender.
func TestLateHeartbeatsOfRunningUpstream(t *testing.T) {
	const interval = _heartbeat
	r := newRig(t)
	assert.NilError(t, r.beat(0, "i-1", 5000, 1, false))
	assert.NilError(t, r.beat(interval, "i-1", 5000, 2, false))
	r.openFlow(interval)
	healed := 5 * interval // heartbeats 3 and 4 were held up
	assert.NilError(t, r.beat(healed, "i-1", 5000, 5, true))
	assert.ErrorContains(t, r.beat(healed+100*time.Millisecond, "i-1", 5000, 3, false), "ignored")
	assert.ErrorContains(t, r.beat(healed+950*time.Millisecond, "i-1", 5000, 4, false), "ignored")
	r.assertFlowIsOpen(healed + time.Second)
	assert.Equal(t, r.offer(healed+time.Second, 20), peer.Refused, "the upstream is draining")
}

// TestLateHeartbeatsOfEndedLife guards against resets of open flows: two late heartbeats of a life
// that has ended counted as proof that it runs, between two of its successor.
func TestLateHeartbeatsOfEndedLife(t *testing.T) {
	r := newRig(t)
	assert.NilError(t, r.beat(0, "i-1", 5000, 1, false))
	at := 2 * time.Second
	for sequence := range uint64(3) {
		at += _heartbeat
		assert.NilError(t, r.Heartbeat(at, sidecar.Heartbeat{
			ID: "i-2", Service: "orders", Addr: _upstream, Slots: 2, Born: 7500, Sequence: sequence + 1, Age: at - 2500*time.Millisecond,
		}))
	}
	r.openFlow(at)
	assert.ErrorContains(t, r.beat(at+_heartbeat/10, "i-1", 5000, 2, true), "ignored")
	assert.ErrorContains(t, r.beat(at+_heartbeat*9/10, "i-1", 5000, 3, true), "ignored")
	r.assertFlowIsOpen(at + _heartbeat*9/10)
	assert.Equal(t, r.offer(at+_heartbeat*9/10, 20), peer.Accepted)
}

// TestLateLeaveOfEarlierLife guards against resets of open flows after a late notice that an
// earlier life with the same ID has left.
func TestLateLeaveOfEarlierLife(t *testing.T) {
	r := newRig(t)
	assert.NilError(t, r.beat(0, "i-1", 5000, 1, true))
	at := 3 * time.Second
	assert.NilError(t, r.Heartbeat(at, sidecar.Heartbeat{
		ID: "i-1", Service: "orders", Addr: _upstream, Slots: 2, Born: 7500, Sequence: 1, Age: 500 * time.Millisecond,
	}))
	r.openFlow(at)
	assert.NilError(t, r.Leave(at+100*time.Millisecond, "i-1"))
	r.assertFlowIsOpen(at + 1200*time.Millisecond)
}

// TestLateFirstHeartbeatAfterSidecarRestart guards against resets of open flows: a sidecar that had
// just started heard a late first heartbeat of an ended life first, and denied the flows that the
// running one had from before.
func TestLateFirstHeartbeatAfterSidecarRestart(t *testing.T) {
	r := newRig(t)
	assert.NilError(t, r.Heartbeat(10*time.Millisecond, sidecar.Heartbeat{
		ID: "i-1", Service: "orders", Addr: _upstream, Slots: 2, Born: 5000, Sequence: 1, Age: time.Minute,
	}))
	assert.Equal(t, r.ask(20*time.Millisecond, 501), peer.Unsure)
}

// assertFlowIsOpen sends a request on the flow of openFlow, and checks that it reaches the upstream.
func (r *rig) assertFlowIsOpen(now time.Duration) {
	r.t.Helper()
	r.clearSent()
	r.fromRelay(now, peer.KindCarry, encode(flow.ACK, 11, 501, 5, false))
	assert.Equal(r.t, len(r.toCaller), 0, "the flow must not be reset")
	assert.Equal(r.t, len(r.toUpstream), 1)
}

// _shortestIdleTimeout is the time for which an idle flow stays open at least.
const _shortestIdleTimeout = 15 * time.Second

// succession plays an upstream that sends heartbeats, crashes, and starts again under an old ID or
// a new one while its clock is set either way. Heartbeats and notices of leave arrive late, at any
// age and in any order.
type succession struct {
	*rig
	now, nextBeat time.Duration
	clock         int // of the VM, in ms
	running       lifeID
	born          map[int]bool
	sequence      uint64
	draining      bool
	// holding is set while heartbeats are held up. late are those that have not arrived yet.
	holding bool
	late    []lateHeartbeat
	left    []string
	// inTime counts the heartbeats of the running life in a row that have arrived in time.
	inTime int
	// flows are the caller ports of all flows, and usedAt when they were last used. open are
	// those that are open at the running life.
	flows  []uint16
	usedAt map[uint16]time.Duration
	open   map[uint16]bool
	port   uint16
}

// advance lets time pass, with the heartbeats of the running life that are due.
func (m *succession) advance(t *rapid.T, d time.Duration) {
	for end := m.now + d; m.now < end; {
		m.now += 10 * time.Millisecond
		m.clock += 10
		m.Tick(m.now)
		if m.now < m.nextBeat || m.running == (lifeID{}) {
			continue
		}
		m.nextBeat += _heartbeat
		m.sequence++
		h := lateHeartbeat{m.running, m.sequence, m.draining}
		if m.holding {
			m.late, m.inTime = append(m.late, h), 0
			continue
		}
		if err := m.deliver(h); err == nil {
			m.inTime++
		} else if m.inTime > 0 {
			t.Fatalf("heartbeat %d of the running upstream, after %d in time: %v", h.sequence, m.inTime, err)
		}
	}
}

func (m *succession) deliver(h lateHeartbeat) error { return m.Heartbeat(m.now, h.readAt(m.clock)) }

// crash ends the running life and starts the next one.
func (m *succession) crash(t *rapid.T) {
	m.left = append(m.left, m.running.id)
	m.late = append(m.late, lateHeartbeat{m.running, m.sequence + 1, m.draining})
	m.running = lifeID{}
	m.advance(t, time.Duration(rapid.IntRange(5, 300).Draw(t, "down"))*10*time.Millisecond)
	m.clock += rapid.IntRange(-4000, 4000).Draw(t, "clock_step")
	for m.born[m.clock] {
		m.clock++
	}
	m.born[m.clock] = true
	m.running = lifeID{rapid.SampledFrom([]string{"i-0", "i-1", "i-2"}).Draw(t, "id"), m.clock}
	m.nextBeat, m.sequence, m.draining, m.inTime, m.open = m.now, 0, false, 0, make(map[uint16]bool)
}

// deliverLate delivers a late heartbeat, or a late notice of leave. While the running life is heard,
// heartbeats that were sent before its last one change nothing.
func (m *succession) deliverLate(t *rapid.T) {
	if len(m.left) > 0 && rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
		if m.Leave(m.now, rapid.SampledFrom(m.left).Draw(t, "left")) == nil {
			m.inTime = 0
		}
		return
	}
	if len(m.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.late)-1).Draw(t, "late")
	h := m.late[i]
	m.late = slices.Delete(m.late, i, i+1)
	err := m.deliver(h)
	if err == nil && m.inTime > 1 {
		t.Fatalf("late heartbeat %d of %v was accepted while %v runs", h.sequence, h.sender, m.running)
	}
	if err == nil {
		m.inTime = 0
	}
}

// openFlow offers a flow, and completes its handshake if the sidecar accepts it.
func (m *succession) openFlow() {
	m.port++
	m.clearSent()
	m.fromRelay(m.now, peer.KindOffer, withPort(encode(flow.SYN, 10, 0, 0, false), m.port))
	if m.answerPackets(); !m.open[m.port] {
		return
	}
	m.flows, m.usedAt[m.port] = append(m.flows, m.port), m.now
	m.fromRelay(m.now, peer.KindCarry, withPort(encode(flow.ACK, 11, 501, 0, false), m.port))
	m.answerPackets()
}

// use sends a request on a flow. The running life must get it if it holds the flow. Otherwise the
// flow must end: the caller gets a reset, or the relay is told that the flow is not held here.
func (m *succession) use(t *rapid.T) {
	if len(m.flows) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.flows)-1).Draw(t, "flow")
	port := m.flows[i]
	idle := m.now - m.usedAt[port]
	m.usedAt[port] = m.now
	m.clearSent()
	m.fromRelay(m.now, peer.KindCarry, withPort(encode(flow.ACK, 11, 501, 5, false), port))
	carried := len(m.toUpstream)
	m.answerPackets()
	ended := slices.ContainsFunc(m.toCaller, func(b []byte) bool { return flow.Flags(b[0]).Has(flow.RST) }) ||
		slices.ContainsFunc(m.verdicts, func(v peer.Verdict) bool { return v.Outcome == peer.NotHeld })
	switch {
	case m.open[port] && idle < _shortestIdleTimeout && (carried != 1 || ended):
		t.Fatalf("flow %d is open at %v: %d packets reached it, ended: %t", port, m.running, carried, ended)
	case !m.open[port] && !ended:
		t.Fatalf("flow %d is not open at %v, and did not end", port, m.running)
	case ended:
		m.flows = slices.Delete(m.flows, i, i+1)
	}
}

// answerPackets has the running life answer the packets that were sent to it.
func (m *succession) answerPackets() {
	for len(m.toUpstream) > 0 {
		b := m.toUpstream[0]
		m.toUpstream = m.toUpstream[1:]
		p, _ := testWire{}.Decode(b)
		port := p.Source.Port()
		switch {
		case p.Opening():
			m.open[port] = true
			m.UpstreamPacket(m.now, withPort(encode(flow.SYN|flow.ACK, 500, 11, 0, true), port))
		case !m.open[port]:
			b[0] |= byte(flow.Bounced)
			m.UpstreamPacket(m.now, b)
		case p.Size > 0:
			m.UpstreamPacket(m.now, withPort(encode(flow.ACK, 501, 16, 5, true), port))
		}
	}
}

// TestNoFlowOfRunningLifeEnds guards against resets of flows that are open at the running upstream,
// whatever heartbeats and notices arrive late.
func TestNoFlowOfRunningLifeEnds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &succession{
			rig: newRig(t), clock: 1_000_000, running: lifeID{"i-0", 999_990}, born: map[int]bool{999_990: true}, open: make(map[uint16]bool),
			usedAt: make(map[uint16]time.Duration),
		}
		rt.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				m.advance(t, time.Duration(rapid.IntRange(1, 150).Draw(t, "wait"))*10*time.Millisecond)
			},
			"hold":  func(*rapid.T) { m.holding = !m.holding },
			"drain": func(*rapid.T) { m.draining = true },
			"step":  func(t *rapid.T) { m.clock += rapid.IntRange(-4000, 4000).Draw(t, "clock_step") },
			"crash": m.crash,
			"late":  m.deliverLate,
			"open":  func(*rapid.T) { m.openFlow() },
			"use":   m.use,
		})
	})
}
