// Package datagram gives relays and sidecars their UDP sockets: a loop that hands
// each datagram to its owner, and writes that never wait.
package datagram

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"
)

const (
	// _maxSize is the largest datagram that is read, in bytes; UDP has no larger.
	_maxSize = 1 << 16
	// _bufferSize is what a socket keeps unread, in bytes. It counts as memory.
	_bufferSize = 1 << 20
)

// Socket is a UDP socket over IPv4.
type Socket struct {
	tomb      tomb.Tomb
	conn      *net.UDPConn
	take      func(netip.AddrPort, []byte)
	refuse    func()
	recovered func(cause any)
	unsent    atomic.Uint64
}

// Option changes a Socket.
type Option func(*Socket)

// WithRefused sets what is called when the destination's host says that no
// process listens there.
func WithRefused(refused func()) Option { return func(s *Socket) { s.refuse = refused } }

// WithRecovered sets what is called when take panics. The datagram is lost, and the
// loop goes on: one that nobody foresaw must not end the process, which would get it
// again.
func WithRecovered(recovered func(cause any)) Option {
	return func(s *Socket) { s.recovered = recovered }
}

// WithSource replaces what gets the datagrams by a function that also gets where
// each came from.
func WithSource(take func(from netip.AddrPort, datagram []byte)) Option {
	return func(s *Socket) { s.take = take }
}

// Listen opens a socket at local. take gets each datagram, one at a time; it must
// not keep it.
func Listen(local netip.AddrPort, take func([]byte), opts ...Option) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, trace.Wrap(err, "listen for datagrams at %s", local)
	}
	return start(conn, take, opts), nil
}

// Dial opens a socket that only exchanges datagrams with remote.
func Dial(local netip.Addr, remote netip.AddrPort, take func([]byte), opts ...Option) (*Socket, error) {
	conn, err := net.DialUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(local, 0)), net.UDPAddrFromAddrPort(remote))
	if err != nil {
		return nil, trace.Wrap(err, "open a socket to %s", remote)
	}
	return start(conn, take, opts), nil
}

func start(conn *net.UDPConn, take func([]byte), opts []Option) *Socket {
	s := &Socket{conn: conn, take: func(_ netip.AddrPort, datagram []byte) { take(datagram) }, refuse: func() {}}
	for _, opt := range opts {
		opt(s)
	}
	// A smaller buffer drops bursts earlier; the socket works all the same.
	_ = conn.SetReadBuffer(_bufferSize)
	s.tomb.Go(s.loop)
	return s
}

// Send writes a datagram to an address. What cannot be written is counted.
func (s *Socket) Send(to netip.AddrPort, datagram []byte) {
	if _, err := s.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		s.failed(err)
	}
}

// Write writes a datagram to the remote of Dial.
func (s *Socket) Write(datagram []byte) {
	if _, err := s.conn.Write(datagram); err != nil {
		s.failed(err)
	}
}

// Unsent returns how many datagrams could not be written.
func (s *Socket) Unsent() uint64 { return s.unsent.Load() }

// Local returns the socket's address.
func (s *Socket) Local() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close closes the socket and waits for its loop.
func (s *Socket) Close() error {
	s.tomb.Kill(nil)
	s.conn.Close()
	return s.tomb.Wait()
}

func (s *Socket) failed(err error) {
	s.unsent.Add(1)
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.refuse()
	}
}

func (s *Socket) loop() error {
	buffer := make([]byte, _maxSize)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case err == nil:
			s.handle(from, buffer[:n])
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, syscall.ECONNREFUSED):
			s.refuse()
		case !s.tomb.Alive():
			return nil
		}
	}
}

func (s *Socket) handle(from netip.AddrPort, datagram []byte) {
	if s.recovered != nil {
		defer func() {
			if cause := recover(); cause != nil {
				s.recovered(cause)
			}
		}()
	}
	s.take(from, datagram)
}
