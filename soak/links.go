package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/datagram"
)

// ports are the same on all VMs.
type ports struct {
	ingress, ready, control, outbound, upstream, peer, behind uint16
}

// reservation keeps ports from other runs on this machine: all runs have the same
// addresses, so two must not have the same port.
type reservation struct {
	ports     ports
	listeners []net.Listener
}

// reservePorts takes ports that are free, by listening where no VM does.
func reservePorts() (*reservation, error) {
	r := &reservation{}
	p := &r.ports
	for _, port := range []*uint16{&p.ingress, &p.ready, &p.control, &p.outbound, &p.upstream, &p.peer, &p.behind} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			r.close()
			return nil, trace.Wrap(err, "find a free port")
		}
		r.listeners = append(r.listeners, listener)
		*port = uint16(listener.Addr().(*net.TCPAddr).Port)
	}
	return r, nil
}

func (r *reservation) close() {
	for _, listener := range r.listeners {
		listener.Close()
	}
}

// link is what happens to messages in one direction between two VMs.
type link struct {
	cut   bool
	loss  float64
	delay time.Duration
	// copies is the share of the messages that come a second time, _copyDelay later.
	copies float64
}

// _copyDelay is how late second copies come: after most flows have ended.
const _copyDelay = 1500 * time.Millisecond

// links is the proxy between the processes: it takes messages at a VM's peer port
// and hands them to the process behind it, unless the link is disturbed.
type links struct {
	ports  ports
	mu     sync.Mutex
	random *rand.Rand
	state  map[[2]netip.Addr]link
	// out sends what passes; sockets take it.
	out     *datagram.Socket
	sockets []*datagram.Socket
	servers []net.Listener
	running sync.WaitGroup
}

func newLinks(p ports, seed uint64) (*links, error) {
	out, err := datagram.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func([]byte) {})
	if err != nil {
		return nil, err
	}
	return &links{
		ports: p, random: rand.New(rand.NewPCG(seed, 1)), state: make(map[[2]netip.Addr]link),
		out: out, sockets: []*datagram.Socket{out},
	}, nil
}

// add begins to take messages for a VM.
func (l *links) add(addr netip.Addr) error {
	behind := netip.AddrPortFrom(addr, l.ports.behind)
	socket, err := datagram.Listen(netip.AddrPortFrom(addr, l.ports.peer), nil,
		datagram.WithSource(func(from netip.AddrPort, message []byte) { l.pass(from.Addr(), behind, message) }))
	if err != nil {
		return err
	}
	l.sockets = append(l.sockets, socket)
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(addr, l.ports.peer).String())
	if err != nil {
		return trace.Wrap(err, "proxy of %v", addr)
	}
	l.servers = append(l.servers, listener)
	l.running.Go(func() { l.runTCP(listener, addr, behind) })
	return nil
}

// set changes the link from one VM to another; a zero link is undisturbed.
func (l *links) set(from, to netip.Addr, state link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == (link{}) {
		delete(l.state, [2]netip.Addr{from, to})
		return
	}
	l.state[[2]netip.Addr{from, to}] = state
}

// disturb returns whether a message is lost, how long it is delayed, and whether it
// comes again later.
func (l *links) disturb(from, to netip.Addr) (lost bool, delay time.Duration, again bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.state[[2]netip.Addr{from, to}]
	lost = state.cut || l.random.Float64() < state.loss
	return lost, state.delay, state.copies > 0 && l.random.Float64() < state.copies
}

// sendMalformed sends a process what no process sends: unknown kinds, reports that
// are no reports, and the beginnings of messages.
func (l *links) sendMalformed(to netip.Addr) {
	behind := netip.AddrPortFrom(to, l.ports.behind)
	for kind := range byte(_kinds) {
		for _, size := range []int{1, 5, 17} {
			message := make([]byte, size)
			for i := range message {
				message[i] = byte(i * 37)
			}
			message[0] = kind
			l.out.Send(behind, message)
		}
	}
	l.out.Send(behind, nil)
}

// _kinds is above the number of kinds of messages.
const _kinds = 16

func (l *links) pass(from netip.Addr, behind netip.AddrPort, message []byte) {
	lost, delay, again := l.disturb(from, behind.Addr())
	if again {
		message := append([]byte(nil), message...)
		time.AfterFunc(_copyDelay, func() { l.out.Send(behind, message) })
	}
	switch {
	case lost:
	case delay == 0:
		l.out.Send(behind, message)
	default:
		message = append([]byte(nil), message...)
		time.AfterFunc(delay, func() { l.out.Send(behind, message) })
	}
}

// runTCP passes connections on. A cut in either direction makes them silent.
func (l *links) runTCP(listener net.Listener, to netip.Addr, behind netip.AddrPort) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // closed
		}
		l.running.Go(func() { l.runConnection(conn, to, behind) })
	}
}

func (l *links) runConnection(conn net.Conn, to netip.Addr, behind netip.AddrPort) {
	defer conn.Close()
	from := conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	there, delay, _ := l.disturb(from, to)
	back, _, _ := l.disturb(to, from)
	time.Sleep(delay)
	if there || back {
		_, _ = io.Copy(io.Discard, conn) // until the caller gives up
		return
	}
	upstream, err := net.DialTimeout("tcp4", behind.String(), time.Second)
	if err != nil {
		return // the process does not run; the caller sees the closed connection
	}
	defer upstream.Close()
	l.running.Go(func() {
		_, _ = io.Copy(upstream, conn) // ends when either side closes
		upstream.Close()
	})
	_, _ = io.Copy(conn, upstream)
}

func (l *links) close() {
	for _, s := range l.sockets {
		_ = s.Close() // nothing is lost that matters at the end
	}
	for _, s := range l.servers {
		s.Close()
	}
}
