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

// _socketBuffer is the requested size of the socket's kernel buffers, in octets.
const _socketBuffer = 4 << 20

// conn is the net.PacketConn of the QUIC transport. It unwraps the packets that
// balancers forward, carries out the decisions about them, and wraps replies.
//
// It must not embed *net.UDPConn: quic-go would find the methods of that type for
// control messages and use the UDP socket directly, without wrapping.
type conn struct {
	agent *Agent
	udp   *net.UDPConn
	// readBuf, writeBuf, sealer and peers are used only by ReadFrom, which QUIC
	// calls from one goroutine, so they need no lock.
	readBuf  [packet.MaxWrapped + 1]byte
	writeBuf [packet.MaxWrapped]byte
	sealer   packet.Sealer
	peers    peers
	// buffers holds the *buffer values in which replies are wrapped.
	buffers sync.Pool
}

var _ net.PacketConn = (*conn)(nil)

// buffer has room for one wrapped reply.
type buffer [packet.MaxWrapped]byte

func listen(a *Agent, addr netip.AddrPort) (*conn, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, trace.Wrap(err, "listening on %s", addr)
	}
	c := &conn{agent: a, udp: udp}
	c.buffers.New = func() any { return new(buffer) }
	if err := c.setSocketBuffers(); err != nil {
		udp.Close()
		return nil, trace.Wrap(err, "listening on %s", addr)
	}
	return c, nil
}

func (c *conn) setSocketBuffers() error {
	if err := c.udp.SetReadBuffer(_socketBuffer); err != nil {
		return err
	}
	return c.udp.SetWriteBuffer(_socketBuffer)
}

// ReadFrom returns the next datagram for QUIC. Its address is a *path or an *opening.
func (c *conn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, _, err := c.udp.ReadFromUDPAddrPort(c.readBuf[:])
		if err != nil {
			return 0, nil, err
		}
		if datagram, addr := c.receive(c.readBuf[:n]); addr != nil {
			return copy(p, datagram), addr, nil
		}
	}
}

// receive handles one wrapped packet. It returns the datagram in it and the
// address under which QUIC takes it, or a nil address if QUIC does not get it.
func (c *conn) receive(wrapped []byte) ([]byte, net.Addr) {
	a := c.agent
	keys := a.keys.Load()
	header, datagram, err := packet.Unwrap(keys, wrapped)
	if err != nil {
		a.counters.forged.Add(1)
		return nil, nil
	}
	if header.Kind == packet.Notice {
		c.handleNotice(header, datagram)
		return nil, nil
	}
	parsed, err := packet.ParseQUIC(datagram)
	if err != nil {
		a.counters.dropped.Add(1)
		return nil, nil
	}
	in := arrival{header: header, kind: parsed.Type}
	in.cid, err = c.sealer.Open(keys, parsed.DCID)
	in.validCID = err == nil
	s := agentState{self: a.addr, service: a.service, incarnation: a.incarnation, keeperAnswered: true}
	var key initialKey
	if in.kind == packet.Initial {
		key = newInitialKey(header.Caller, parsed.DCID)
		c.addOfferState(&s, &in, key)
	}
	return datagram, c.act(decide(s, in), in, key, datagram)
}

// addOfferState completes the agent's state and the arrival with what only the
// decision about an Initial needs: the recorded outcome of the Initial's flow, and
// the loads of this agent and its peers. If the caller retransmits an Initial that
// was passed on, the load of the peer that got the Initial is invalidated, since
// the peer may be dead.
func (c *conn) addOfferState(s *agentState, in *arrival, key initialKey) {
	a := c.agent
	now := a.options.now()
	if known, ok := a.admissions.lookup(key); ok {
		in.held, in.refused, in.passedTo = known.held, known.refused, known.passedTo
		in.passed = !known.held && !known.refused
		in.retransmitted = !known.held && now.Sub(known.at) >= _retransmitAfter
	}
	if in.retransmitted && in.passed {
		c.peers.invalidate(in.passedTo.target)
	}
	s.state = a.State()
	s.keeperAnswered = a.keeperAnswered(now)
	s.handshakesFull = a.handshakes.Load() >= int64(a.options.maxHandshakes)
	s.level, s.flowLevel = a.level(), a.flowLevel()
	in.estimates = c.peers.estimate(&in.header, s.level, s.flowLevel, now.Sub(a.start))
}

// act carries out the chosen action. It returns the address under which QUIC
// takes the packet, or nil if QUIC does not get it.
func (c *conn) act(chosen action, in arrival, key initialKey, datagram []byte) net.Addr {
	a := c.agent
	ends := pathKey{caller: in.header.Caller, address: in.header.Address}
	now := a.age()
	via := a.balancers.record(in.header.Balancer, now)
	switch chosen := chosen.(type) {
	case deliver:
		return a.paths.record(ends, via, now)
	case admit:
		err := a.gate.TryAdmit()
		c.notifyCandidates(in.header, err == nil, now)
		if err != nil {
			return c.act(chosen.fallback, in, key, datagram)
		}
		return &opening{path: newPath(ends, via, now), admission: a.admissions.add(key, a.start.Add(now))}
	case validate:
		a.counters.unproved.Add(1)
		return &opening{path: newPath(ends, via, now), needsValidation: true}
	case refuse:
		a.admissions.record(key, outcome{at: a.start.Add(now), refused: true})
		c.refuse(newPath(ends, via, now), datagram)
	case pass:
		a.admissions.record(key, outcome{at: a.start.Add(now), passedTo: chosen})
		if chosen.detour {
			c.peers.recordPass(chosen.target, a.flowLevel())
		}
		c.pass(chosen, in.header, datagram)
	case reset:
		c.reset(newPath(ends, via, now), in.header.Service, datagram)
	case drop:
		a.counters.dropped.Add(1)
	}
	return nil
}

// pass forwards the offer of a new flow to another candidate.
func (c *conn) pass(to pass, header packet.Header, datagram []byte) {
	header = withPass(header, to, c.agent.addr)
	n := copy(c.writeBuf[packet.HeaderLen:], datagram)
	wrapped, err := packet.Wrap(c.agent.keys.Load(), &header, c.writeBuf[:], n)
	if err != nil {
		c.agent.counters.dropped.Add(1)
		return
	}
	if _, err := c.udp.WriteToUDPAddrPort(wrapped, to.target); err == nil {
		c.agent.counters.passed.Add(1)
	}
}

// refuse answers an Initial with CONNECTION_REFUSED. The QUIC library could send the
// refusal, but its queue of such answers is short and drops packets when it is full,
// and many flows are refused at the same time.
func (c *conn) refuse(p *path, datagram []byte) {
	if !c.agent.refusalLimiter.Allow() {
		return
	}
	answer, err := packet.AppendRefusal(c.writeBuf[:0], datagram)
	if err != nil {
		c.agent.counters.dropped.Add(1)
		return
	}
	if err := c.reply(answer, p, c.agent.service, p.balancer.Load().addr); err == nil {
		c.agent.counters.refused.Add(1)
	}
}

// reset answers a packet of a flow of an earlier run with a stateless reset. The
// reset token is derived with the key that the connection ID names, which may
// differ from the key of this run.
func (c *conn) reset(p *path, id service.ID, datagram []byte) {
	if !c.agent.resetLimiter.Allow() {
		return
	}
	answer, err := packet.AppendReset(c.writeBuf[:0], c.agent.keys.Load(), datagram)
	if err != nil {
		c.agent.counters.dropped.Add(1)
		return
	}
	if err := c.reply(answer, p, id, p.balancer.Load().addr); err == nil {
		c.agent.counters.resets.Add(1)
	}
}

// WriteTo sends a QUIC datagram to a caller through the balancer that
// chooseBalancer selects. The address must be a *path or an *opening.
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

// reply wraps a datagram to the caller of p and sends it to a balancer. The id is
// the service that the caller uses.
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

// LocalAddr returns the address on which wrapped packets arrive.
func (c *conn) LocalAddr() net.Addr { return c.udp.LocalAddr() }

// Close closes the socket.
func (c *conn) Close() error { return c.udp.Close() }

// SetDeadline sets the read and the write deadline.
func (c *conn) SetDeadline(t time.Time) error { return c.udp.SetDeadline(t) }

// SetReadDeadline sets the deadline of ReadFrom.
func (c *conn) SetReadDeadline(t time.Time) error { return c.udp.SetReadDeadline(t) }

// SetWriteDeadline sets the deadline of WriteTo.
func (c *conn) SetWriteDeadline(t time.Time) error { return c.udp.SetWriteDeadline(t) }

// SetReadBuffer requests a size of the kernel's receive buffer, in octets.
func (c *conn) SetReadBuffer(octets int) error { return c.udp.SetReadBuffer(octets) }

// SetWriteBuffer requests a size of the kernel's send buffer, in octets.
func (c *conn) SetWriteBuffer(octets int) error { return c.udp.SetWriteBuffer(octets) }
