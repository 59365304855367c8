// Package datagram provides the UDP sockets of relays and sidecars. A goroutine passes each
// received datagram to a function. Writes do not wait, and failed writes are only counted.
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
	// _maxSize is the size of the read buffer, in bytes. No UDP datagram is larger.
	_maxSize = 1 << 16
	// _bufferSize is the size of a socket's receive buffer in the kernel, in bytes. It
	// counts towards the memory of the process.
	_bufferSize = 1 << 20
)

// Socket is a UDP socket over IPv4.
type Socket struct {
	tomb      tomb.Tomb
	conn      *net.UDPConn
	deliver   func(netip.AddrPort, []byte)
	onRefused func()
	onPanic   func(cause any)
	unsent    atomic.Uint64
}

// Option configures a Socket.
type Option func(*Socket)

// WithRefusedHandler sets a function that is called when the destination's host reports that no
// process listens at the destination (ECONNREFUSED).
func WithRefusedHandler(handle func()) Option { return func(s *Socket) { s.onRefused = handle } }

// WithPanicHandler sets a function that is called with the cause when the handler of datagrams
// panics. That datagram is lost, and the socket keeps reading. Without it, a panic ends the
// process, and the same datagram may be sent again to the restarted process.
func WithPanicHandler(handle func(cause any)) Option {
	return func(s *Socket) { s.onPanic = handle }
}

// WithSourceHandler replaces the function that receives datagrams by one that also gets the
// sender's address.
func WithSourceHandler(take func(from netip.AddrPort, datagram []byte)) Option {
	return func(s *Socket) { s.deliver = take }
}

// Listen opens a socket at local. It calls take for each received datagram, one at a time.
// take must not retain the slice.
func Listen(local netip.AddrPort, take func([]byte), opts ...Option) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, trace.Wrap(err, "listen for datagrams at %s", local)
	}
	return start(conn, take, opts), nil
}

// Dial opens a socket that only exchanges datagrams with remote. take is called as by
// Listen.
func Dial(local netip.Addr, remote netip.AddrPort, take func([]byte), opts ...Option) (*Socket, error) {
	conn, err := net.DialUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(local, 0)), net.UDPAddrFromAddrPort(remote))
	if err != nil {
		return nil, trace.Wrap(err, "open a socket to %s", remote)
	}
	return start(conn, take, opts), nil
}

func start(conn *net.UDPConn, take func([]byte), opts []Option) *Socket {
	s := &Socket{conn: conn, deliver: func(_ netip.AddrPort, datagram []byte) { take(datagram) }, onRefused: func() {}}
	for _, opt := range opts {
		opt(s)
	}
	// If this fails, the socket works with a smaller buffer, but drops bursts earlier.
	_ = conn.SetReadBuffer(_bufferSize)
	s.tomb.Go(s.loop)
	return s
}

// Send writes a datagram to an address. Failures are counted, see Unsent.
func (s *Socket) Send(to netip.AddrPort, datagram []byte) {
	if _, err := s.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		s.countSendError(err)
	}
}

// Write writes a datagram to the remote address of Dial. Failures are counted, see Unsent.
func (s *Socket) Write(datagram []byte) {
	if _, err := s.conn.Write(datagram); err != nil {
		s.countSendError(err)
	}
}

// Unsent returns the number of datagrams that could not be written.
func (s *Socket) Unsent() uint64 { return s.unsent.Load() }

// Local returns the socket's address.
func (s *Socket) Local() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close closes the socket and waits until no more datagrams are delivered.
func (s *Socket) Close() error {
	s.tomb.Kill(nil)
	s.conn.Close()
	return s.tomb.Wait()
}

func (s *Socket) countSendError(err error) {
	s.unsent.Add(1)
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.onRefused()
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
			s.onRefused()
		case !s.tomb.Alive():
			return nil
		}
	}
}

func (s *Socket) handle(from netip.AddrPort, datagram []byte) {
	if s.onPanic != nil {
		defer func() {
			if cause := recover(); cause != nil {
				s.onPanic(cause)
			}
		}()
	}
	s.deliver(from, datagram)
}
