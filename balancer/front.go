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

// _socketBuffer is the requested size of the kernel buffers of each socket, in octets.
const _socketBuffer = 4 << 20

// _oobLen is the length of the buffer for the control message with a datagram's
// destination address, in octets.
const _oobLen = 64

// _bufferLen is the length of the buffer in which a datagram of up to 2048 octets is
// received and wrapped, in octets.
const _bufferLen = packet.HeaderLen + 2048 + packet.MACLen

// callerSocket is a socket for datagrams to and from callers. Only its loop uses
// decider and the fields after it.
type callerSocket struct {
	balancer *Balancer
	conn     *net.UDPConn
	// addr is the socket's local address.
	addr netip.AddrPort
	// address is the service address that is the destination of all datagrams, or
	// zero for a wildcard socket.
	address netip.AddrPort

	decider  route.Decider
	buf      [_bufferLen]byte
	oob      [_oobLen]byte
	resetBuf []byte
}

func openCallerSocket(b *Balancer, l Listener) (*callerSocket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(l.Bind))
	if err != nil {
		return nil, trace.Wrap(err, "listening for callers on %s", l.Bind)
	}
	s := &callerSocket{balancer: b, conn: conn, address: l.Address}
	s.addr = localAddr(conn)
	if err := s.configure(); err != nil {
		conn.Close()
		return nil, trace.Wrap(err, "listening for callers on %s", l.Bind)
	}
	return s, nil
}

// configure sets the buffer sizes of the socket and how it determines the
// destination address of datagrams.
func (s *callerSocket) configure() error {
	if err := setSocketBuffers(s.conn); err != nil {
		return err
	}
	if s.address.IsValid() {
		return nil
	}
	if !s.addr.Addr().IsUnspecified() {
		s.address = s.addr
		return nil
	}
	return enableDestination(s.conn)
}

// loop forwards callers' datagrams until the socket is closed.
func (s *callerSocket) loop() error {
	for {
		n, oobn, _, caller, err := s.conn.ReadMsgUDPAddrPort(s.buf[packet.HeaderLen:len(s.buf)-packet.MACLen], s.oob[:])
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.balancer.options.logger.Debug("reading a datagram from a caller failed", zap.Error(err))
			continue
		}
		s.receive(unmap(caller), s.destination(s.oob[:oobn]), n)
	}
}

// destination returns the service address to which a datagram with the control
// messages oob was sent, or the zero value if it is unknown.
func (s *callerSocket) destination(oob []byte) netip.AddrPort {
	if s.address.IsValid() {
		return s.address
	}
	ip, ok := parseDestination(oob)
	if !ok {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(ip, s.addr.Port())
}

// receive decides how to handle the datagram of n octets in s.buf and acts accordingly.
func (s *callerSocket) receive(caller, address netip.AddrPort, n int) {
	b := s.balancer
	keys := b.keys.Load()
	datagram := s.buf[packet.HeaderLen : packet.HeaderLen+n]
	switch d := s.decider.Decide(b.table.Load(), keys, address, datagram).(type) {
	case *route.Forward:
		s.forward(d, keys, caller, address, n)
	case *route.Reset:
		s.sendReset(keys, caller, address, datagram)
	case route.Drop:
		b.counters.drop(d)
	}
}

func (s *callerSocket) forward(d *route.Forward, keys *packet.Keys, caller, address netip.AddrPort, n int) {
	b := s.balancer
	header := packet.Header{
		Kind:       d.Kind,
		Service:    d.Service,
		Caller:     caller,
		Address:    address,
		Balancer:   b.agentSocket.addr,
		Candidates: d.Ranking.Candidates,
		Count:      d.Ranking.Count,
	}
	wrapped, err := packet.Wrap(keys, &header, s.buf[:], n)
	if err != nil {
		b.counters.tooLarge.Add(1)
		return
	}
	if _, err := b.agentSocket.conn.WriteToUDPAddrPort(wrapped, d.Target); err != nil {
		b.counters.unsent.Add(1)
		return
	}
	if d.Kind == packet.Flow {
		b.counters.byCID.Add(1)
	} else {
		b.counters.byHash.Add(1)
	}
}

func (s *callerSocket) sendReset(keys *packet.Keys, caller, address netip.AddrPort, datagram []byte) {
	b := s.balancer
	if !b.resetLimiter.Allow() {
		b.counters.resetsWithheld.Add(1)
		return
	}
	var err error
	s.resetBuf, err = packet.AppendReset(s.resetBuf[:0], keys, datagram)
	if err != nil {
		b.counters.drop(route.GoneAgent)
		return
	}
	if err := s.send(s.resetBuf, caller, address); err != nil {
		b.counters.unsent.Add(1)
		return
	}
	b.counters.resets.Add(1)
}

// send sends a datagram to a caller. Its source is the service address that the
// caller uses.
func (s *callerSocket) send(datagram []byte, caller, address netip.AddrPort) error {
	if s.address.IsValid() {
		_, err := s.conn.WriteToUDPAddrPort(datagram, caller)
		return err
	}
	source, ok := s.balancer.sourceMessages.Load(address.Addr())
	if !ok {
		source, _ = s.balancer.sourceMessages.LoadOrStore(address.Addr(), marshalSourceMessage(address.Addr()))
	}
	_, _, err := s.conn.WriteMsgUDPAddrPort(datagram, source.([]byte), caller)
	return err
}

// callerSockets is an immutable set of sockets for callers.
type callerSockets struct {
	list []*callerSocket
	// byAddress holds the sockets with one service address, byPort the wildcard sockets.
	byAddress map[netip.AddrPort]*callerSocket
	byPort    map[uint16]*callerSocket
}

// with returns a copy of the set with one more socket.
func (c *callerSockets) with(s *callerSocket) *callerSockets {
	out := &callerSockets{
		list:      append(append([]*callerSocket(nil), c.list...), s),
		byAddress: make(map[netip.AddrPort]*callerSocket),
		byPort:    make(map[uint16]*callerSocket),
	}
	for _, s := range out.list {
		if s.address.IsValid() {
			out.byAddress[s.address] = s
		} else {
			out.byPort[s.addr.Port()] = s
		}
	}
	return out
}

// find returns the socket that serves a service address, or nil.
func (c *callerSockets) find(address netip.AddrPort) *callerSocket {
	if s, ok := c.byAddress[address]; ok {
		return s
	}
	return c.byPort[address.Port()]
}

func localAddr(conn *net.UDPConn) netip.AddrPort {
	addr, _ := netip.ParseAddrPort(conn.LocalAddr().String())
	return unmap(addr)
}

// unmap returns addr with its IP as an IPv4 address if it is IPv4-mapped IPv6.
func unmap(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

func setSocketBuffers(conn *net.UDPConn) error {
	if err := conn.SetReadBuffer(_socketBuffer); err != nil {
		return err
	}
	return conn.SetWriteBuffer(_socketBuffer)
}
