package balancer

import (
	"errors"
	"net"
	"net/netip"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"dandelionhitch.example/packet"
)

// agentSocket is the socket for wrapped packets to and from agents. Only its loop
// uses buf.
type agentSocket struct {
	balancer *Balancer
	conn     *net.UDPConn
	addr     netip.AddrPort
	buf      [packet.MaxWrapped + 1]byte
}

func openAgentSocket(b *Balancer, addr netip.AddrPort) (*agentSocket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, trace.Wrap(err, "listening for agents on %s", addr)
	}
	if err := setSocketBuffers(conn); err != nil {
		conn.Close()
		return nil, trace.Wrap(err, "listening for agents on %s", addr)
	}
	return &agentSocket{balancer: b, conn: conn, addr: localAddr(conn)}, nil
}

// loop delivers agents' replies until the socket is closed.
func (s *agentSocket) loop() error {
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(s.buf[:])
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.balancer.options.logger.Debug("reading a datagram from an agent failed", zap.Error(err))
			continue
		}
		s.deliver(s.buf[:n])
	}
}

// deliver sends a reply to its caller. It drops every packet that is not an
// authentic reply through this balancer, or whose service does not own the service
// address in its header. Otherwise the balancer would be an open relay. See
// packet.Unwrap for replayed replies.
func (s *agentSocket) deliver(wrapped []byte) {
	b := s.balancer
	header, datagram, err := packet.Unwrap(b.keys.Load(), wrapped)
	if err != nil {
		b.counters.forged.Add(1)
		return
	}
	if header.Kind != packet.Reply || header.Balancer != s.addr || !b.serves(header) {
		b.counters.foreign.Add(1)
		return
	}
	socket := b.callerSockets.Load().find(header.Address)
	if socket == nil {
		b.counters.foreign.Add(1)
		return
	}
	if err := socket.send(datagram, header.Caller, header.Address); err != nil {
		b.counters.unsent.Add(1)
		return
	}
	b.counters.replies.Add(1)
}

// serves reports whether the routing table assigns the service address in the
// header to the service in it.
func (b *Balancer) serves(header packet.Header) bool {
	id, ok := b.table.Load().ServiceAt(header.Address)
	return ok && id == header.Service
}
