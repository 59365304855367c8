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

func testKeys(t testing.TB, fill byte) *packet.Keys {
	part := bytes.Repeat([]byte{fill}, 32)
	keys, err := packet.NewKeys(packet.KeyFile{Current: 1, Keys: []packet.KeySpec{
		{Number: 1, CID: part[:16], MAC: part[:16], Reset: part, Token: part},
	}})
	assert.NilError(t, err)
	return keys
}

func socket(t testing.TB) (*net.UDPConn, netip.AddrPort) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(_loopback))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn, localAddr(conn)
}

// bench is a balancer between a bare caller and a bare agent.
type bench struct {
	t          testing.TB
	keys       *packet.Keys
	balancer   *Balancer
	caller     *net.UDPConn
	callerAddr netip.AddrPort
	agent      *net.UDPConn
	agentAddr  netip.AddrPort
	address    netip.AddrPort
}

func newBench(t testing.TB, opts ...Option) *bench {
	b := &bench{t: t, keys: testKeys(t, 1), address: netip.MustParseAddrPort("198.51.100.1:443")}
	b.caller, b.callerAddr = socket(t)
	b.agent, b.agentAddr = socket(t)
	var err error
	b.balancer, err = New(Config{
		Addr: _loopback, Keys: b.keys,
		Listeners: []Listener{{Bind: _loopback, Address: b.address}},
	}, opts...)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, b.balancer.Close()) })
	b.setTable()
	return b
}

func (b *bench) setTable(gone ...route.Gone) {
	table, err := route.New([]route.Service{{
		ID: 1, Addresses: []netip.AddrPort{b.address},
		Candidates: []route.Candidate{{Addr: b.agentAddr, Incarnation: 2, Weight: 1}},
	}}, gone...)
	assert.NilError(b.t, err)
	b.balancer.SetTable(table)
}

func (b *bench) short(id service.ID, incarnation service.Incarnation, length int) []byte {
	var s packet.Sealer
	cid, err := s.Seal(b.keys, 1, packet.CID{Service: id, Agent: b.agentAddr, Incarnation: incarnation})
	assert.NilError(b.t, err)
	out := append([]byte{0x40}, cid[:]...)
	return append(out, make([]byte, length-len(out))...)
}

func (b *bench) send(datagram []byte) {
	_, err := b.caller.WriteToUDPAddrPort(datagram, b.balancer.Listeners()[0])
	assert.NilError(b.t, err)
}

func (b *bench) receive(conn *net.UDPConn) ([]byte, netip.AddrPort) {
	assert.NilError(b.t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	buf := make([]byte, 2048)
	n, from, err := conn.ReadFromUDPAddrPort(buf)
	assert.NilError(b.t, err)
	return buf[:n], unmap(from)
}

// reply is a wrapped reply with one thing edited.
func (b *bench) reply(keys *packet.Keys, edit func(h *packet.Header)) []byte {
	h := packet.Header{Kind: packet.Reply, Service: 1, Caller: b.callerAddr, Address: b.address, Balancer: b.balancer.Addr()}
	if edit != nil {
		edit(&h)
	}
	buf := make([]byte, packet.MaxWrapped)
	wrapped, err := packet.Wrap(keys, &h, buf, copy(buf[packet.HeaderLen:], "answer"))
	assert.NilError(b.t, err)
	return wrapped
}

// until waits for the counters to satisfy done.
func (b *bench) until(done func(Counts) bool) Counts {
	for {
		if c := b.balancer.Counts(); done(c) {
			return c
		}
		runtime.Gosched()
	}
}

func TestForward(t *testing.T) {
	b := newBench(t)
	initial := append([]byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8}, make([]byte, 1200)...)
	for _, c := range []struct {
		datagram []byte
		kind     packet.Kind
	}{
		{b.short(1, 2, 100), packet.Flow},
		{b.short(1, 1, packet.MaxDatagram), packet.Flow},
		{initial, packet.Offer},
	} {
		b.send(c.datagram)
		wrapped, from := b.receive(b.agent)
		assert.Equal(t, from, b.balancer.Addr())
		h, datagram, err := packet.Unwrap(b.keys, wrapped)
		assert.NilError(t, err)
		assert.DeepEqual(t, datagram, c.datagram)
		assert.Check(t, h.Kind == c.kind && h.Service == 1 && h.Caller == b.callerAddr && h.Address == b.address && h.Balancer == b.balancer.Addr())
	}
	_, err := b.agent.WriteToUDPAddrPort(b.reply(b.keys, nil), b.balancer.Addr())
	assert.NilError(t, err)
	answer, from := b.receive(b.caller)
	assert.Equal(t, string(answer), "answer")
	assert.Equal(t, from, b.balancer.Listeners()[0])
}

// TestDrops counts what callers send that goes nowhere.
func TestDrops(t *testing.T) {
	b := newBench(t)
	b.send([]byte{0x40})
	b.send(b.short(2, 1, 100))
	b.send(make([]byte, 100))
	b.send(b.short(1, 2, packet.MaxDatagram+1))
	b.send(b.short(1, 2, 2000))
	c := b.until(func(c Counts) bool { return c.TooLarge == 2 })
	assert.Check(t, c.Dropped["not_quic"] == 1 && c.Dropped["other_service"] == 1 && c.Dropped["unknown_flow"] == 1, "%+v", c)
	assert.Equal(t, c.ByCID, uint64(0))
}

// TestNoOpenRelay sends replies that must not be delivered, and one that must.
func TestNoOpenRelay(t *testing.T) {
	b := newBench(t)
	var none func(*packet.Header)
	tampered := b.reply(b.keys, none)
	tampered[packet.HeaderLen]++
	addr := netip.MustParseAddrPort
	foreign := [][]byte{
		b.reply(b.keys, func(h *packet.Header) { h.Balancer = addr("10.0.0.1:7000") }),
		b.reply(b.keys, func(h *packet.Header) { h.Kind = packet.Flow }),
		b.reply(b.keys, func(h *packet.Header) { h.Address = addr("198.51.100.2:443") }),
		b.reply(b.keys, func(h *packet.Header) { h.Service = 2 }),
	}
	forged := [][]byte{nil, {1}, tampered, b.reply(testKeys(t, 2), none), make([]byte, 1473), make([]byte, 3000)}
	for _, wrapped := range append(append(foreign, forged...), b.reply(b.keys, none)) {
		_, err := b.agent.WriteToUDPAddrPort(wrapped, b.balancer.Addr())
		assert.NilError(t, err)
	}
	c := b.until(func(c Counts) bool { return c.Replies == 1 })
	assert.Equal(t, c.Foreign, uint64(len(foreign)))
	assert.Equal(t, c.Forged, uint64(len(forged)))
}

func TestResetRate(t *testing.T) {
	b := newBench(t, WithResetRate(2))
	b.setTable(route.Gone{Addr: b.agentAddr, Incarnation: 1})
	for range 10 {
		b.send(b.short(1, 1, 100))
	}
	b.send(b.short(1, 1, packet.MinResettable-1))
	c := b.until(func(c Counts) bool { return c.Resets+c.ResetsWithheld == 10 && c.Dropped["gone_agent"] == 1 })
	assert.Check(t, c.Resets >= 2 && c.ResetsWithheld > 0, "%+v", c)
	answer, _ := b.receive(b.caller)
	token, err := packet.ResetToken(b.keys, b.short(1, 1, 100)[1:1+packet.CIDLen])
	assert.NilError(t, err)
	assert.DeepEqual(t, answer[len(answer)-packet.ResetTokenLen:], token[:])
}

// wildcard starts a balancer with a wildcard socket for two addresses.
func (b *bench) wildcard() []netip.AddrPort {
	assert.NilError(b.t, b.balancer.Close())
	var err error
	b.balancer, err = New(Config{Addr: _loopback, Keys: b.keys, Wildcard: true})
	assert.NilError(b.t, err)
	b.t.Cleanup(func() { assert.NilError(b.t, b.balancer.Close()) })
	var addresses []netip.AddrPort
	for len(b.balancer.Listeners()) == 0 { // until a port is free on all addresses
		probe, free := socket(b.t)
		probe.Close()
		addresses = nil
		var services []route.Service
		for i, ip := range []string{"127.0.7.1", "127.0.7.2"} {
			address := netip.AddrPortFrom(netip.MustParseAddr(ip), free.Port())
			addresses = append(addresses, address)
			services = append(services, route.Service{ID: service.ID(i + 1), Addresses: []netip.AddrPort{address}})
		}
		table, err := route.New(services)
		assert.NilError(b.t, err)
		b.balancer.SetTable(table)
		b.balancer.SetTable(table)
	}
	assert.Equal(b.t, len(b.balancer.Listeners()), 1)
	return addresses
}

// TestWildcard serves two addresses with one socket, and answers from each.
func TestWildcard(t *testing.T) {
	b := newBench(t)
	for i, address := range b.wildcard() {
		id := service.ID(i + 1)
		_, err := b.caller.WriteToUDPAddrPort(b.short(id, 2, 100), address)
		assert.NilError(t, err)
		wrapped, _ := b.receive(b.agent)
		h, _, err := packet.Unwrap(b.keys, wrapped)
		assert.NilError(t, err)
		assert.Check(t, h.Address == address && h.Service == id)
		answer := b.reply(b.keys, func(r *packet.Header) { r.Address, r.Service = h.Address, h.Service })
		for range 2 {
			_, err = b.agent.WriteToUDPAddrPort(answer, b.balancer.Addr())
			assert.NilError(t, err)
			_, from := b.receive(b.caller)
			assert.Equal(t, from, address)
		}
	}
}

func FuzzParseDestination(f *testing.F) {
	f.Add(marshalSource(netip.MustParseAddr("10.0.0.1")))
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, oob []byte) {
		ip, ok := parseDestination(oob)
		assert.Equal(t, ok, ip.Is4())
	})
}

func TestDrainForwards(t *testing.T) {
	b := newBench(t, WithQuiet(time.Hour))
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { assert.Check(t, b.balancer.Drain(ctx)) })
	b.send(b.short(1, 2, 100))
	b.receive(b.agent)
	cancel()
	wg.Wait()
	assert.NilError(t, b.balancer.Close())
	quiet := newBench(t, WithQuiet(time.Millisecond))
	assert.NilError(t, quiet.balancer.Drain(t.Context()))
}
