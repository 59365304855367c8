package agent

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/service"
)

// _socketBuffer is the size asked for the kernel's buffers of the socket, in octets.
const _socketBuffer = 4 << 20

// conn is the net.PacketConn that QUIC reads and writes. It unwraps what comes
// from balancers, acts on the decisions about new flows, and wraps replies.
//
// It must not embed *net.UDPConn: QUIC would find that type's methods for
// control messages and use the bare socket.
type conn struct {
	agent *Agent
	udp   *net.UDPConn
	// in, out, sealer and peers are used by ReadFrom alone, which QUIC calls from one goroutine.
	in      [packet.MaxWrapped + 1]byte
	out     [packet.MaxWrapped]byte
	sealer  packet.Sealer
	peers   peers
	buffers sync.Pool
}

var _ net.PacketConn = (*conn)(nil)

// buffer is a wrapped reply in work.
type buffer [packet.MaxWrapped]byte

func listen(a *Agent, addr netip.AddrPort) (*conn, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, trace.Wrap(err, "listening on %s", addr)
	}
	c := &conn{agent: a, udp: udp}
	c.buffers.New = func() any { return new(buffer) }
	if err := c.grow(); err != nil {
		udp.Close()
		return nil, trace.Wrap(err, "listening on %s", addr)
	}
	return c, nil
}

func (c *conn) grow() error {
	if err := c.udp.SetReadBuffer(_socketBuffer); err != nil {
		return err
	}
	return c.udp.SetWriteBuffer(_socketBuffer)
}

// ReadFrom returns the next datagram for QUIC. Its address is a *path or an *opening.
func (c *conn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, _, err := c.udp.ReadFromUDPAddrPort(c.in[:])
		if err != nil {
			return 0, nil, err
		}
		if datagram, addr := c.receive(c.in[:n]); addr != nil {
			return copy(p, datagram), addr, nil
		}
	}
}

// receive acts on one wrapped packet. It returns a nil address if the packet is
// not for QUIC.
func (c *conn) receive(wrapped []byte) ([]byte, net.Addr) {
	a := c.agent
	keys := a.keys.Load()
	header, datagram, err := packet.Unwrap(keys, wrapped)
	if err != nil {
		a.counters.forged.Add(1)
		return nil, nil
	}
	if header.Kind == packet.Notice {
		c.hearPeer(header, datagram)
		return nil, nil
	}
	parsed, err := packet.ParseQUIC(datagram)
	if err != nil {
		a.counters.dropped.Add(1)
		return nil, nil
	}
	in := arrival{header: header, kind: parsed.Type}
	in.cid, err = c.sealer.Open(keys, parsed.DCID)
	in.ours = err == nil
	s := situation{self: a.addr, service: a.service, incarnation: a.incarnation, fresh: true}
	var key initialKey
	if in.kind == packet.Initial {
		key = newInitialKey(header.Caller, parsed.DCID)
		c.consider(&s, &in, key)
	}
	return datagram, c.act(decide(s, in), in, key, datagram)
}

// consider adds what only the decision about an Initial needs.
func (c *conn) consider(s *situation, in *arrival, key initialKey) {
	a := c.agent
	now := a.options.now()
	if known, ok := a.admissions.recall(key); ok {
		in.held, in.refused, in.to = known.held, known.refused, known.to
		in.passed = !known.held && !known.refused
		in.repeated = !known.held && now.Sub(known.at) >= _repeatAfter
	}
	if in.repeated && in.passed {
		c.peers.forget(in.to.target)
	}
	s.state = a.State()
	s.fresh = a.isFresh(now)
	s.flooded = a.handshakes.Load() >= int64(a.options.handshakes)
	s.level, s.unit = a.level(), a.unit()
	in.estimates = c.peers.estimate(&in.header, s.level, s.unit, now.Sub(a.start))
}

// act carries out an action. It returns the address under which QUIC takes the
// packet, or nil.
func (c *conn) act(what action, in arrival, key initialKey, datagram []byte) net.Addr {
	a := c.agent
	ends := pathKey{caller: in.header.Caller, address: in.header.Address}
	now := a.age()
	from := a.relays.hear(in.header.Balancer, now)
	switch what := what.(type) {
	case take:
		return a.paths.note(ends, from, now)
	case admit:
		err := a.gate.TryAdmit()
		c.tellPeers(in.header, err == nil, now)
		if err != nil {
			return c.act(what.otherwise, in, key, datagram)
		}
		return &opening{path: newPath(ends, from, now), admission: a.admissions.add(key, a.start.Add(now))}
	case prove:
		a.counters.unproved.Add(1)
		return &opening{path: newPath(ends, from, now), unproved: true}
	case refuse:
		a.admissions.note(key, outcome{at: a.start.Add(now), refused: true})
		c.refuse(newPath(ends, from, now), datagram)
	case pass:
		a.admissions.note(key, outcome{at: a.start.Add(now), to: what})
		if what.detour {
			c.peers.passed(what.target, a.unit())
		}
		c.pass(what, in.header, datagram)
	case reset:
		c.reset(newPath(ends, from, now), in.header.Service, datagram)
	case drop:
		a.counters.dropped.Add(1)
	}
	return nil
}

// pass sends an offer on to another candidate.
func (c *conn) pass(to pass, header packet.Header, datagram []byte) {
	header = withPass(header, to, c.agent.addr)
	n := copy(c.out[packet.HeaderLen:], datagram)
	wrapped, err := packet.Wrap(c.agent.keys.Load(), &header, c.out[:], n)
	if err != nil {
		c.agent.counters.dropped.Add(1)
		return
	}
	if _, err := c.udp.WriteToUDPAddrPort(wrapped, to.target); err == nil {
		c.agent.counters.passed.Add(1)
	}
}

// refuse answers an Initial at once. QUIC would do it too, but drops what comes
// while a few answers are under way, and refusals come in crowds.
func (c *conn) refuse(p *path, datagram []byte) {
	if !c.agent.refusals.Allow() {
		return
	}
	answer, err := packet.AppendRefusal(c.out[:0], datagram)
	if err != nil {
		c.agent.counters.dropped.Add(1)
		return
	}
	if err := c.reply(answer, p, c.agent.service, p.relay.Load().addr); err == nil {
		c.agent.counters.refused.Add(1)
	}
}

// reset answers a packet of an earlier run. Its token is derived under the key
// that its connection ID names, which need not be the one of this run.
func (c *conn) reset(p *path, id service.ID, datagram []byte) {
	if !c.agent.resets.Allow() {
		return
	}
	answer, err := packet.AppendReset(c.out[:0], c.agent.keys.Load(), datagram)
	if err != nil {
		c.agent.counters.dropped.Add(1)
		return
	}
	if err := c.reply(answer, p, id, p.relay.Load().addr); err == nil {
		c.agent.counters.resets.Add(1)
	}
}

// WriteTo sends a datagram of QUIC to a caller, through a balancer; see choose.
func (c *conn) WriteTo(datagram []byte, addr net.Addr) (int, error) {
	var p *path
	switch addr := addr.(type) {
	case *path:
		p = addr
	case *opening:
		p = addr.path
	default:
		return 0, trace.BadParameter("replying to %v: not the address of a caller", addr)
	}
	if err := c.reply(datagram, p, c.agent.service, c.agent.balancerFor(p)); err != nil {
		return 0, err
	}
	return len(datagram), nil
}

func (c *conn) reply(datagram []byte, p *path, id service.ID, balancer netip.AddrPort) error {
	buf := c.buffers.Get().(*buffer)
	defer c.buffers.Put(buf)
	header := packet.Header{
		Kind:     packet.Reply,
		Service:  id,
		Caller:   p.caller,
		Address:  p.address,
		Balancer: balancer,
	}
	n := copy(buf[packet.HeaderLen:], datagram)
	if n < len(datagram) {
		return packet.ErrLarge
	}
	wrapped, err := packet.Wrap(c.agent.keys.Load(), &header, buf[:], n)
	if err != nil {
		return err
	}
	_, err = c.udp.WriteToUDPAddrPort(wrapped, balancer)
	return err
}

// LocalAddr is where wrapped packets arrive.
func (c *conn) LocalAddr() net.Addr { return c.udp.LocalAddr() }

// Close closes the socket.
func (c *conn) Close() error { return c.udp.Close() }

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error { return c.udp.SetDeadline(t) }

// SetReadDeadline ends a waiting ReadFrom at t.
func (c *conn) SetReadDeadline(t time.Time) error { return c.udp.SetReadDeadline(t) }

// SetWriteDeadline ends a waiting WriteTo at t.
func (c *conn) SetWriteDeadline(t time.Time) error { return c.udp.SetWriteDeadline(t) }

// SetReadBuffer asks for a size of the kernel's receive buffer.
func (c *conn) SetReadBuffer(octets int) error { return c.udp.SetReadBuffer(octets) }

// SetWriteBuffer asks for a size of the kernel's send buffer.
func (c *conn) SetWriteBuffer(octets int) error { return c.udp.SetWriteBuffer(octets) }
