package balancer

import (
	"errors"
	"net"
	"net/netip"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/route"
)

// _socketBuffer is the size asked for the kernel's buffers of each socket, in octets.
const _socketBuffer = 4 << 20

// _oobLen is the room for the control message that holds a datagram's destination, in octets.
const _oobLen = 64

// _bufferLen holds the longest datagram that is read, wrapped.
const _bufferLen = packet.HeaderLen + 2048 + packet.MACLen

// front is a socket towards callers. Its loop alone uses the fields below sealed.
type front struct {
	balancer *Balancer
	conn     *net.UDPConn
	// addr is the socket's local address.
	addr netip.AddrPort
	// address is the service address that all datagrams count as sent to; zero
	// for a wildcard socket.
	address netip.AddrPort

	decider route.Decider
	buf     [_bufferLen]byte
	oob     [_oobLen]byte
	reset   []byte
}

func openFront(b *Balancer, l Listener) (*front, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(l.Bind))
	if err != nil {
		return nil, trace.Wrap(err, "listening for callers on %s", l.Bind)
	}
	f := &front{balancer: b, conn: conn, address: l.Address}
	f.addr = localAddr(conn)
	if err := f.prepare(); err != nil {
		conn.Close()
		return nil, trace.Wrap(err, "listening for callers on %s", l.Bind)
	}
	return f, nil
}

func (f *front) prepare() error {
	if err := grow(f.conn); err != nil {
		return err
	}
	if f.address.IsValid() {
		return nil
	}
	if !f.addr.Addr().IsUnspecified() {
		f.address = f.addr
		return nil
	}
	return askDestination(f.conn)
}

// loop forwards callers' datagrams until the socket is closed.
func (f *front) loop() error {
	for {
		n, oobn, _, caller, err := f.conn.ReadMsgUDPAddrPort(f.buf[packet.HeaderLen:len(f.buf)-packet.MACLen], f.oob[:])
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			f.balancer.options.logger.Debug("datagram from a caller not read", zap.Error(err))
			continue
		}
		f.receive(unmap(caller), f.destination(f.oob[:oobn]), n)
	}
}

// destination is the service address that a datagram was sent to.
func (f *front) destination(oob []byte) netip.AddrPort {
	if f.address.IsValid() {
		return f.address
	}
	ip, ok := parseDestination(oob)
	if !ok {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(ip, f.addr.Port())
}

// receive acts on the datagram of n octets in f.buf.
func (f *front) receive(caller, address netip.AddrPort, n int) {
	b := f.balancer
	keys := b.keys.Load()
	datagram := f.buf[packet.HeaderLen : packet.HeaderLen+n]
	switch d := f.decider.Decide(b.table.Load(), keys, address, datagram).(type) {
	case *route.Forward:
		f.forward(d, keys, caller, address, n)
	case *route.Reset:
		f.answerReset(keys, caller, address, datagram)
	case route.Drop:
		b.counters.drop(d)
	}
}

func (f *front) forward(d *route.Forward, keys *packet.Keys, caller, address netip.AddrPort, n int) {
	b := f.balancer
	header := packet.Header{
		Kind:       d.Kind,
		Service:    d.Service,
		Caller:     caller,
		Address:    address,
		Balancer:   b.back.addr,
		Candidates: d.Ranking.Candidates,
		Count:      d.Ranking.Count,
	}
	wrapped, err := packet.Wrap(keys, &header, f.buf[:], n)
	if err != nil {
		b.counters.tooLarge.Add(1)
		return
	}
	if _, err := b.back.conn.WriteToUDPAddrPort(wrapped, d.Target); err != nil {
		b.counters.unsent.Add(1)
		return
	}
	if d.Kind == packet.Flow {
		b.counters.byCID.Add(1)
	} else {
		b.counters.byHash.Add(1)
	}
}

func (f *front) answerReset(keys *packet.Keys, caller, address netip.AddrPort, datagram []byte) {
	b := f.balancer
	if !b.resets.Allow() {
		b.counters.resetsWithheld.Add(1)
		return
	}
	var err error
	f.reset, err = packet.AppendReset(f.reset[:0], keys, datagram)
	if err != nil {
		b.counters.drop(route.GoneAgent)
		return
	}
	if err := f.send(f.reset, caller, address); err != nil {
		b.counters.unsent.Add(1)
		return
	}
	b.counters.resets.Add(1)
}

// send sends a datagram to a caller from the service address that it uses.
func (f *front) send(datagram []byte, caller, address netip.AddrPort) error {
	if f.address.IsValid() {
		_, err := f.conn.WriteToUDPAddrPort(datagram, caller)
		return err
	}
	source, ok := f.balancer.sources.Load(address.Addr())
	if !ok {
		source, _ = f.balancer.sources.LoadOrStore(address.Addr(), marshalSource(address.Addr()))
	}
	_, _, err := f.conn.WriteMsgUDPAddrPort(datagram, source.([]byte), caller)
	return err
}

// fronts is an immutable set of sockets towards callers.
type fronts struct {
	list      []*front
	byAddress map[netip.AddrPort]*front
	byPort    map[uint16]*front
}

// with returns the set with one more socket.
func (s *fronts) with(f *front) *fronts {
	out := &fronts{
		list:      append(append([]*front(nil), s.list...), f),
		byAddress: make(map[netip.AddrPort]*front),
		byPort:    make(map[uint16]*front),
	}
	for _, f := range out.list {
		if f.address.IsValid() {
			out.byAddress[f.address] = f
		} else {
			out.byPort[f.addr.Port()] = f
		}
	}
	return out
}

// find returns the socket that serves a service address, or nil.
func (s *fronts) find(address netip.AddrPort) *front {
	if f, ok := s.byAddress[address]; ok {
		return f
	}
	return s.byPort[address.Port()]
}

func localAddr(conn *net.UDPConn) netip.AddrPort {
	addr, _ := netip.ParseAddrPort(conn.LocalAddr().String())
	return unmap(addr)
}

func unmap(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

func grow(conn *net.UDPConn) error {
	if err := conn.SetReadBuffer(_socketBuffer); err != nil {
		return err
	}
	return conn.SetWriteBuffer(_socketBuffer)
}
