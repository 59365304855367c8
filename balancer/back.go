package balancer

import (
	"errors"
	"net"
	"net/netip"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"dandelionhitch.example/packet"
)

// back is the socket towards agents. Its loop alone uses buf.
type back struct {
	balancer *Balancer
	conn     *net.UDPConn
	addr     netip.AddrPort
	buf      [packet.MaxWrapped + 1]byte
}

func openBack(b *Balancer, addr netip.AddrPort) (*back, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, trace.Wrap(err, "listening for agents on %s", addr)
	}
	if err := grow(conn); err != nil {
		conn.Close()
		return nil, trace.Wrap(err, "listening for agents on %s", addr)
	}
	return &back{balancer: b, conn: conn, addr: localAddr(conn)}, nil
}

// loop delivers agents' replies until the socket is closed.
func (k *back) loop() error {
	for {
		n, _, err := k.conn.ReadFromUDPAddrPort(k.buf[:])
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			k.balancer.options.logger.Debug("datagram from an agent not read", zap.Error(err))
			continue
		}
		k.deliver(k.buf[:n])
	}
}

// deliver sends a reply to its caller. Only a genuine reply that names this
// balancer, and an address that belongs to its service, is sent anywhere: a
// balancer is no open relay. See packet.Unwrap for replies that are sent again.
func (k *back) deliver(wrapped []byte) {
	b := k.balancer
	header, datagram, err := packet.Unwrap(b.keys.Load(), wrapped)
	if err != nil {
		b.counters.forged.Add(1)
		return
	}
	if header.Kind != packet.Reply || header.Balancer != k.addr || !b.serves(header) {
		b.counters.foreign.Add(1)
		return
	}
	f := b.fronts.Load().find(header.Address)
	if f == nil {
		b.counters.foreign.Add(1)
		return
	}
	if err := f.send(datagram, header.Caller, header.Address); err != nil {
		b.counters.unsent.Add(1)
		return
	}
	b.counters.replies.Add(1)
}

func (b *Balancer) serves(header packet.Header) bool {
	id, ok := b.table.Load().ServiceAt(header.Address)
	return ok && id == header.Service
}
