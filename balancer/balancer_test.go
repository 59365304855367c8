package balancer

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/route"
	"dandelionhitch.example/service"
)

var _loopback = netip.MustParseAddrPort("127.0.0.1:0")

// testKeys returns keys that consist of the octet fill.
func testKeys(t testing.TB, fill byte) *packet.Keys {
	key := bytes.Repeat([]byte{fill}, 32)
	keys, err := packet.NewKeys(packet.KeyFile{Current: 1, Keys: []packet.KeySpec{
		{Number: 1, CID: key[:16], MAC: key[:16], Reset: key, Token: key},
	}})
	assert.NilError(t, err)
	return keys
}

func listenUDP(t testing.TB) (*net.UDPConn, netip.AddrPort) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(_loopback))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn, localAddr(conn)
}

// harness runs a balancer between two plain UDP sockets, which stand for a caller
// and an agent.
type harness struct {
	t          testing.TB
	keys       *packet.Keys
	balancer   *Balancer
	caller     *net.UDPConn
	callerAddr netip.AddrPort
	agent      *net.UDPConn
	agentAddr  netip.AddrPort
	address    netip.AddrPort
}

func newHarness(t testing.TB, opts ...Option) *harness {
	h := &harness{t: t, keys: testKeys(t, 1), address: netip.MustParseAddrPort("198.51.100.1:443")}
	h.caller, h.callerAddr = listenUDP(t)
	h.agent, h.agentAddr = listenUDP(t)
	var err error
	h.balancer, err = New(Config{
		Addr: _loopback, Keys: h.keys,
		Listeners: []Listener{{Bind: _loopback, Address: h.address}},
	}, opts...)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, h.balancer.Close()) })
	h.setTable()
	return h
}

// setTable gives the balancer a routing table with one service and its one agent.
func (h *harness) setTable(gone ...route.Gone) {
	table, err := route.New([]route.Service{{
		ID: 1, Addresses: []netip.AddrPort{h.address},
		Candidates: []route.Candidate{{Addr: h.agentAddr, Incarnation: 2, Weight: 1}},
	}}, gone...)
	assert.NilError(h.t, err)
	h.balancer.SetTable(table)
}

// shortPacket returns a short-header packet of a flow of the service, with the given
// incarnation of the agent in its connection ID. Its length is in octets.
func (h *harness) shortPacket(id service.ID, incarnation service.Incarnation, length int) []byte {
	var s packet.Sealer
	cid, err := s.Seal(h.keys, 1, packet.CID{Service: id, Agent: h.agentAddr, Incarnation: incarnation})
	assert.NilError(h.t, err)
	out := append([]byte{0x40}, cid[:]...)
	return append(out, make([]byte, length-len(out))...)
}

// send sends a datagram from the caller to the balancer.
func (h *harness) send(datagram []byte) {
	_, err := h.caller.WriteToUDPAddrPort(datagram, h.balancer.Listeners()[0])
	assert.NilError(h.t, err)
}

// receive returns the next datagram on conn and the address that it came from.
func (h *harness) receive(conn *net.UDPConn) ([]byte, netip.AddrPort) {
	assert.NilError(h.t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	buf := make([]byte, 2048)
	n, from, err := conn.ReadFromUDPAddrPort(buf)
	assert.NilError(h.t, err)
	return buf[:n], unmap(from)
}

// wrapReply returns a wrapped reply to the caller. The function edit, if not nil,
// changes the header before it is wrapped.
func (h *harness) wrapReply(keys *packet.Keys, edit func(header *packet.Header)) []byte {
	header := packet.Header{Kind: packet.Reply, Service: 1, Caller: h.callerAddr, Address: h.address, Balancer: h.balancer.Addr()}
	if edit != nil {
		edit(&header)
	}
	buf := make([]byte, packet.MaxWrapped)
	wrapped, err := packet.Wrap(keys, &header, buf, copy(buf[packet.HeaderLen:], "answer"))
	assert.NilError(h.t, err)
	return wrapped
}

// waitCounts waits until done reports true for the counters, and returns them.
func (h *harness) waitCounts(done func(Counts) bool) Counts {
	for {
		if c := h.balancer.Counts(); done(c) {
			return c
		}
		runtime.Gosched()
	}
}

// TestForward checks that callers' datagrams reach the agent unchanged with the right
// header, and that the agent's reply reaches the caller from the right address.
func TestForward(t *testing.T) {
	h := newHarness(t)
	initial := append([]byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8}, make([]byte, 1200)...)
	for _, c := range []struct {
		datagram []byte
		kind     packet.Kind
	}{
		{h.shortPacket(1, 2, 100), packet.Flow},
		{h.shortPacket(1, 1, packet.MaxDatagram), packet.Flow},
		{initial, packet.Offer},
	} {
		h.send(c.datagram)
		wrapped, from := h.receive(h.agent)
		assert.Equal(t, from, h.balancer.Addr())
		header, datagram, err := packet.Unwrap(h.keys, wrapped)
		assert.NilError(t, err)
		assert.DeepEqual(t, datagram, c.datagram)
		assert.Check(t, header.Kind == c.kind && header.Service == 1 && header.Caller == h.callerAddr &&
			header.Address == h.address && header.Balancer == h.balancer.Addr())
	}
	_, err := h.agent.WriteToUDPAddrPort(h.wrapReply(h.keys, nil), h.balancer.Addr())
	assert.NilError(t, err)
	answer, from := h.receive(h.caller)
	assert.Equal(t, string(answer), "answer")
	assert.Equal(t, from, h.balancer.Listeners()[0])
}

// TestInvalidDatagramsAreDropped checks that datagrams that belong to no flow or are
// too large are not forwarded, and are counted by reason.
func TestInvalidDatagramsAreDropped(t *testing.T) {
	h := newHarness(t)
	h.send([]byte{0x40})
	h.send(h.shortPacket(2, 1, 100))
	h.send(make([]byte, 100))
	h.send(h.shortPacket(1, 2, packet.MaxDatagram+1))
	h.send(h.shortPacket(1, 2, 2000))
	c := h.waitCounts(func(c Counts) bool { return c.TooLarge == 2 })
	assert.Check(t, c.Dropped["not_quic"] == 1 && c.Dropped["other_service"] == 1 && c.Dropped["unknown_flow"] == 1, "%+v", c)
	assert.Equal(t, c.ByCID, uint64(0))
}

// TestInvalidRepliesAreDropped checks that of several replies only the authentic one,
// which names this balancer and an address of the service, is delivered. Otherwise the balancer would
// be an open relay.
func TestInvalidRepliesAreDropped(t *testing.T) {
	h := newHarness(t)
	var unchanged func(*packet.Header)
	tampered := h.wrapReply(h.keys, unchanged)
	tampered[packet.HeaderLen]++
	addr := netip.MustParseAddrPort
	foreign := [][]byte{
		h.wrapReply(h.keys, func(header *packet.Header) { header.Balancer = addr("10.0.0.1:7000") }),
		h.wrapReply(h.keys, func(header *packet.Header) { header.Kind = packet.Flow }),
		h.wrapReply(h.keys, func(header *packet.Header) { header.Address = addr("198.51.100.2:443") }),
		h.wrapReply(h.keys, func(header *packet.Header) { header.Service = 2 }),
	}
	forged := [][]byte{nil, {1}, tampered, h.wrapReply(testKeys(t, 2), unchanged), make([]byte, 1473), make([]byte, 3000)}
	for _, wrapped := range append(append(foreign, forged...), h.wrapReply(h.keys, unchanged)) {
		_, err := h.agent.WriteToUDPAddrPort(wrapped, h.balancer.Addr())
		assert.NilError(t, err)
	}
	c := h.waitCounts(func(c Counts) bool { return c.Replies == 1 })
	assert.Equal(t, c.Foreign, uint64(len(foreign)))
	assert.Equal(t, c.Forged, uint64(len(forged)))
}

// TestResetRate checks that resets for flows of a gone agent carry the right token,
// and that those above the rate are withheld and counted.
func TestResetRate(t *testing.T) {
	h := newHarness(t, WithResetRate(2))
	h.setTable(route.Gone{Addr: h.agentAddr, Incarnation: 1})
	for range 10 {
		h.send(h.shortPacket(1, 1, 100))
	}
	h.send(h.shortPacket(1, 1, packet.MinResettable-1))
	c := h.waitCounts(func(c Counts) bool { return c.Resets+c.ResetsWithheld == 10 && c.Dropped["gone_agent"] == 1 })
	assert.Check(t, c.Resets >= 2 && c.ResetsWithheld > 0, "%+v", c)
	answer, _ := h.receive(h.caller)
	token, err := packet.ResetToken(h.keys, h.shortPacket(1, 1, 100)[1:1+packet.CIDLen])
	assert.NilError(t, err)
	assert.DeepEqual(t, answer[len(answer)-packet.ResetTokenLen:], token[:])
}

// useWildcard replaces the balancer by one with a wildcard socket, and returns the
// addresses of two services that the socket serves.
func (h *harness) useWildcard() []netip.AddrPort {
	assert.NilError(h.t, h.balancer.Close())
	var err error
	h.balancer, err = New(Config{Addr: _loopback, Keys: h.keys, Wildcard: true})
	assert.NilError(h.t, err)
	h.t.Cleanup(func() { assert.NilError(h.t, h.balancer.Close()) })
	var addresses []netip.AddrPort
	for len(h.balancer.Listeners()) == 0 { // until a port is found that is free on all addresses
		probe, free := listenUDP(h.t)
		probe.Close()
		addresses = nil
		var services []route.Service
		for i, ip := range []string{"127.0.7.1", "127.0.7.2"} {
			address := netip.AddrPortFrom(netip.MustParseAddr(ip), free.Port())
			addresses = append(addresses, address)
			services = append(services, route.Service{ID: service.ID(i + 1), Addresses: []netip.AddrPort{address}})
		}
		table, err := route.New(services)
		assert.NilError(h.t, err)
		h.balancer.SetTable(table)
		h.balancer.SetTable(table)
	}
	assert.Equal(h.t, len(h.balancer.Listeners()), 1)
	return addresses
}

// TestWildcardSocket checks that one socket serves two service addresses, and that
// replies leave from the address that the caller used.
func TestWildcardSocket(t *testing.T) {
	h := newHarness(t)
	for i, address := range h.useWildcard() {
		id := service.ID(i + 1)
		_, err := h.caller.WriteToUDPAddrPort(h.shortPacket(id, 2, 100), address)
		assert.NilError(t, err)
		wrapped, _ := h.receive(h.agent)
		header, _, err := packet.Unwrap(h.keys, wrapped)
		assert.NilError(t, err)
		assert.Check(t, header.Address == address && header.Service == id)
		answer := h.wrapReply(h.keys, func(r *packet.Header) { r.Address, r.Service = header.Address, header.Service })
		for range 2 {
			_, err = h.agent.WriteToUDPAddrPort(answer, h.balancer.Addr())
			assert.NilError(t, err)
			_, from := h.receive(h.caller)
			assert.Equal(t, from, address)
		}
	}
}

func FuzzParseDestination(f *testing.F) {
	f.Add(marshalSourceMessage(netip.MustParseAddr("10.0.0.1")))
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, oob []byte) {
		ip, ok := parseDestination(oob)
		assert.Equal(t, ok, ip.Is4())
	})
}

// TestDrainForwards checks that a draining balancer still forwards datagrams until
// its context ends, and that a balancer without traffic closes after the quiet period.
func TestDrainForwards(t *testing.T) {
	h := newHarness(t, WithQuietPeriod(time.Hour))
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { assert.Check(t, h.balancer.Drain(ctx)) })
	h.send(h.shortPacket(1, 2, 100))
	h.receive(h.agent)
	cancel()
	wg.Wait()
	assert.NilError(t, h.balancer.Close())
	idle := newHarness(t, WithQuietPeriod(time.Millisecond))
	assert.NilError(t, idle.balancer.Drain(t.Context()))
}
