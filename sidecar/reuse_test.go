package sidecar_test

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/sidecar"
)

const (
	_tick         = 4 * _step
	_addressReuse = 2 * time.Second
	// _delivery is how long an opening packet takes from the sidecar's check to the upstream.
	_delivery = 40 * time.Millisecond
)

// tenant is a process at the address of the sidecar's upstream. It holds the flows of some
// caller ports.
type tenant struct {
	own      bool
	born     int
	sequence uint64
	holds    map[uint16]bool
	// heard is set once the sidecar has read a heartbeat of the tenant.
	heard bool
}

// reuseModel plays an address whose processes end and are followed by others: one of the same
// service at any time, one of another service once the address may be used again. Heartbeats
// are lost, come from other writers, or wait in the socket of a stalled sidecar, as packets do.
type reuseModel struct {
	*rig
	now time.Duration
	// tenant is nil while no process is at the address. nextBeat is when its next heartbeat is
	// due, and endedAt is when the last one ended.
	tenant            *tenant
	nextBeat, endedAt time.Duration
	// stalled is set while the sidecar does not run. It will then read socket.
	stalled bool
	socket  []func()
	// offerEvery is the interval of new flows, or zero. silent, chatty and repeats are set while
	// heartbeats are lost, the tenant sends data, and callers repeat packets.
	offerEvery              time.Duration
	silent, chatty, repeats bool
	// port is the port of the last caller, and taken counts the opening packets that processes
	// took.
	port     uint16
	taken    int
	inFlight []delivery
	// last is the last heartbeat that the sidecar accepted or that named another service, and
	// late are some that were lost.
	last sidecar.Heartbeat
	late []sidecar.Heartbeat
}

type delivery struct {
	at     time.Duration
	packet []byte
}

func withPort(packet []byte, port uint16) []byte { return append(packet, byte(port>>8), byte(port)) }

// send lets the sidecar read something that was sent now.
func (m *reuseModel) send(read func()) {
	if m.stalled {
		m.socket = append(m.socket, read)
		return
	}
	read()
}

func (m *reuseModel) sendPacket(packet []byte) { m.send(func() { m.UpstreamPacket(m.now, packet) }) }

// play runs everything for a time.
func (m *reuseModel) play(t *rapid.T, d time.Duration) {
	for until := m.now + d; m.now < until; {
		m.now += _step
		if m.now%_tick == 0 && !m.stalled {
			m.Tick(m.now)
		}
		m.beatIfDue()
		if m.chatty && m.now%(100*time.Millisecond) == 0 {
			m.sendData()
		}
		for port := m.port; m.repeats && m.now%(200*time.Millisecond) == 0 && port > 0 && port+5 > m.port; port-- {
			packet := withPort(encode(flow.ACK, 11, 501, 5, false), port)
			m.send(func() { m.fromRelay(m.now, peer.KindCarry, packet) })
		}
		if m.offerEvery > 0 && m.now%m.offerEvery == 0 {
			m.offer()
		}
		m.deliver(t)
	}
}

// offer offers a new flow, and copies of its opening packet and of the last ones.
func (m *reuseModel) offer() {
	m.port++
	for port := m.port; port > 0 && port+3 > m.port; port-- {
		packet := withPort(encode(flow.SYN, 10, 0, 0, false), port)
		m.send(func() { m.fromRelay(m.now, peer.KindOffer, packet) })
	}
}

// beatIfDue sends the heartbeat of the tenant if it is due.
func (m *reuseModel) beatIfDue() {
	if m.tenant == nil || m.now < m.nextBeat {
		return
	}
	m.nextBeat = m.now + _heartbeat
	m.tenant.sequence++
	h := sidecar.Heartbeat{
		ID: "i-1", Service: "orders", Addr: _upstream, Slots: 2, Born: uint64(m.tenant.born), Sequence: m.tenant.sequence,
	}
	if !m.tenant.own {
		h.ID, h.Service = "i-9", "rounds"
	}
	if m.silent {
		m.late = append(m.late, h)
		return
	}
	from := m.tenant
	m.send(func() {
		from.heard = true
		if m.read(h) == nil || !from.own {
			m.last = h
		}
	})
}

// read lets the sidecar read a heartbeat.
func (m *reuseModel) read(h sidecar.Heartbeat) error {
	h.Age = m.now - time.Duration(h.Born)*time.Millisecond
	return m.Heartbeat(m.now, h)
}

// sendData sends a packet on each flow of the tenant, and packets of flows that it does not
// hold.
func (m *reuseModel) sendData() {
	if m.tenant == nil {
		return
	}
	for port := range m.tenant.holds {
		m.sendPacket(withPort(encode(flow.ACK, 501, 16, 100, true), port))
	}
	if !m.tenant.own && m.port > 0 {
		m.sendPacket(withPort(encode(flow.ACK|flow.Bounced, 11, 501, 5, false), m.port))
		m.sendPacket(withPort(encode(flow.RST, 0, 11, 0, true), 60_000))
		m.sendPacket(withPort(encode(flow.SYN|flow.ACK, 500, 11, 0, true), 60_001))
		m.sendPacket(withPort(encode(flow.ACK, 501, 16, 100, true), 60_002))
	}
}

// deliver delivers what the sidecar has sent to the process at the address, and checks that
// opening packets reach none of another service.
func (m *reuseModel) deliver(t *rapid.T) {
	for _, packet := range m.toUpstream {
		m.inFlight = append(m.inFlight, delivery{m.now + _delivery, packet})
	}
	m.clearSent()
	for len(m.inFlight) > 0 && m.inFlight[0].at <= m.now {
		packet := m.inFlight[0].packet
		m.inFlight = m.inFlight[1:]
		if m.tenant == nil {
			continue
		}
		p, _ := testWire{}.Decode(packet)
		port := p.Source.Port()
		switch {
		case p.Opening():
			if !m.tenant.own {
				t.Fatalf("an upstream of another service took an opening packet, %v after the end of the own one", m.now-m.endedAt)
			}
			m.taken++
			m.tenant.holds[port] = true
			m.sendPacket(withPort(encode(flow.SYN|flow.ACK, 500, p.Seq+1, 0, true), port))
			ack := withPort(encode(flow.ACK, 11, 501, 5, false), port)
			m.send(func() { m.fromRelay(m.now, peer.KindCarry, ack) })
		case !m.tenant.holds[port]:
			m.sendPacket(withPort(encode(p.Flags|flow.Bounced, p.Seq, p.Ack, byte(p.Size), false), port))
		default:
			m.sendPacket(withPort(encode(flow.ACK, 501, 16, 100, true), port))
		}
	}
}

func drawMS(t *rapid.T, label string, least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(t, label)) * time.Millisecond
}

// run changes what goes on, and plays it.
func (m *reuseModel) run(t *rapid.T) {
	m.offerEvery = rapid.SampledFrom([]time.Duration{0, 10 * time.Millisecond, 300 * time.Millisecond}).Draw(t, "offer_every")
	m.silent = rapid.IntRange(0, 3).Draw(t, "silent") == 0
	m.chatty, m.repeats = rapid.Bool().Draw(t, "chatty"), rapid.Bool().Draw(t, "repeats")
	m.play(t, drawMS(t, "run_ms", 20, 2500))
}

// stall lets the sidecar stall or run on. When it runs again, it reads a part of what waits in
// its sockets before its first tick and the rest within _tick.
func (m *reuseModel) stall(t *rapid.T) {
	if !m.stalled {
		m.stalled = true
		return
	}
	m.stalled = false
	before := rapid.IntRange(0, len(m.socket)).Draw(t, "read_before_tick")
	for i, read := range m.socket {
		if i == before {
			m.Tick(m.now)
			m.Tick(m.now)
		}
		read()
	}
	m.socket = nil
}

// end ends the process at the address.
func (m *reuseModel) end(t *rapid.T) {
	if m.tenant == nil {
		t.Skip("no process")
	}
	m.tenant, m.endedAt = nil, m.now
}

// start starts a process at the address.
func (m *reuseModel) start(t *rapid.T) {
	if m.tenant != nil {
		t.Skip("there is a process")
	}
	own := rapid.Bool().Draw(t, "own")
	m.play(t, drawMS(t, "free_ms", 100, 3000))
	if free := m.endedAt + _addressReuse - m.now; !own && free > 0 {
		m.play(t, free)
	}
	m.startTenant(own)
}

func (m *reuseModel) startTenant(own bool) {
	m.tenant = &tenant{own: own, born: int(m.now.Milliseconds()), holds: make(map[uint16]bool)}
	m.nextBeat = m.now
}

// replace lets a process of another service follow the own one as soon as it may. The sidecar
// may be stalled since before, and heartbeats that were lost may arrive in the end.
func (m *reuseModel) replace(t *rapid.T) {
	if m.tenant == nil || !m.tenant.own || m.stalled {
		t.Skip("no own process, or none that the sidecar sees")
	}
	m.play(t, drawMS(t, "before_ms", 0, 1000))
	m.stalled, m.silent = rapid.Bool().Draw(t, "stalled"), rapid.Bool().Draw(t, "last_silent")
	m.play(t, drawMS(t, "stalled_before_ms", 0, 1000))
	m.end(t)
	m.offerEvery, m.silent, m.chatty = 10*time.Millisecond, rapid.Bool().Draw(t, "other_silent"), true
	m.play(t, _addressReuse)
	m.startTenant(false)
	if m.stalled {
		m.stall(t)
	}
	m.play(t, drawMS(t, "after_ms", 50, 1000))
	m.odd(t)
	m.play(t, 100*time.Millisecond)
}

// odd sends heartbeats of other writers, the last one again, and late ones.
func (m *reuseModel) odd(t *rapid.T) {
	h := sidecar.Heartbeat{
		ID: "i-7", Service: rapid.SampledFrom([]string{"orders", "rounds", ""}).Draw(t, "service"),
		Addr: netip.AddrPortFrom(_peer, 8080), Slots: 2, Born: 7000, Sequence: uint64(m.now),
	}
	if h.Service != "orders" {
		h.Addr = _upstream
	}
	last := m.last
	m.send(func() { _ = m.Heartbeat(m.now, h) })
	m.send(func() { _ = m.read(last) })
	for _, h := range m.late {
		m.send(func() { _ = m.read(h) })
	}
	m.late = nil
}

// refused lets the host refuse a packet, since no process listens.
func (m *reuseModel) refused(t *rapid.T) {
	if m.tenant != nil || m.stalled {
		t.Skip("not noticed")
	}
	m.Unreachable(m.now)
}

// serve lets the own upstream run for a while, and checks that it then gets a flow.
func (m *reuseModel) serve(t *rapid.T) {
	if m.tenant == nil || !m.tenant.own || m.stalled {
		t.Skip("not there")
	}
	m.silent, m.repeats, m.offerEvery = false, false, 0
	m.play(t, 4*_heartbeat)
	m.taken = 0
	m.offer()
	m.play(t, 100*time.Millisecond)
	if m.taken == 0 {
		t.Fatalf("the upstream is there and sends heartbeats, and got no flow")
	}
}

// TestNoOpeningReachesAnotherService plays random ends and starts at the address of the
// upstream, lost and odd heartbeats, and stalls. No opening packet may reach a process of
// another service, and an upstream that runs must get flows.
func TestNoOpeningReachesAnotherService(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &reuseModel{rig: newRig(t)}
		m.startTenant(true)
		m.play(rt, time.Second)
		rt.Repeat(map[string]func(*rapid.T){
			"run": m.run, "stall": m.stall, "end": m.end, "start": m.start, "replace": m.replace,
			"odd": m.odd, "refused": m.refused, "serve": m.serve,
		})
	})
}
