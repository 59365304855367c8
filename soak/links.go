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
	"dandelionhitch.example/standin"
)

// ports are the ports that every VM uses. The proxy listens at peer, to which other
// processes send, and the VM's own process at peerListen.
type ports struct {
	ingress, ready, control, outbound, upstream, peer, peerListen uint16
}

// reservation holds ports that no other run on this machine gets. All runs use the
// same IP addresses, so their ports must differ.
type reservation struct {
	ports     ports
	listeners []net.Listener
}

// reservePorts reserves free ports by listening on 127.0.0.1, which no VM uses. The
// ports stay reserved until the reservation is closed.
func reservePorts() (*reservation, error) {
	r := &reservation{}
	p := &r.ports
	for _, port := range []*uint16{&p.ingress, &p.ready, &p.control, &p.outbound, &p.upstream, &p.peer, &p.peerListen} {
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

// impairment describes what a link, one direction between two VMs, does to messages.
type impairment struct {
	cut      bool
	lossRate float64
	delay    time.Duration
	// duplicateRate is the share of messages that are delivered again _duplicateDelay later, from 0 to 1.
	duplicateRate float64
}

// _duplicateDelay is the delay of a duplicate after the original, long enough that most
// flows have ended by then.
const _duplicateDelay = 1500 * time.Millisecond

// proxy carries the messages between the processes. It receives them at the peer port
// of each VM, and forwards them to the VM's process as the impairment of the link says.
type proxy struct {
	ports       ports
	mu          sync.Mutex
	random      *rand.Rand
	impairments map[[2]netip.Addr]impairment
	// sender sends the forwarded datagrams; sockets are all sockets to close, sender included.
	sender    *datagram.Socket
	sockets   []*datagram.Socket
	listeners []net.Listener
	wg        sync.WaitGroup

	// orders holds the messages that were sent to each sidecar's process. orderMu is held while
	// one is sent, so that they are recorded in the order in which they are sent.
	orderMu sync.Mutex
	orders  map[netip.Addr]standin.PacketOrder
}

func newProxy(p ports, seed uint64) (*proxy, error) {
	sender, err := datagram.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func([]byte) {})
	if err != nil {
		return nil, err
	}
	return &proxy{
		ports: p, random: rand.New(rand.NewPCG(seed, 1)), impairments: make(map[[2]netip.Addr]impairment),
		sender: sender, sockets: []*datagram.Socket{sender}, orders: make(map[netip.Addr]standin.PacketOrder),
	}, nil
}

// deliver sends a message to the process at target, and records it.
func (p *proxy) deliver(target netip.AddrPort, message []byte) {
	p.orderMu.Lock()
	defer p.orderMu.Unlock()
	order := p.orders[target.Addr()]
	if order == nil {
		order = make(standin.PacketOrder)
		p.orders[target.Addr()] = order
	}
	order.Arrive(0, message)
	p.sender.Send(target, message)
}

// inOrder reports whether the sidecar at addr may deliver a packet to its upstream now.
func (p *proxy) inOrder(addr netip.Addr, packet []byte) bool {
	p.orderMu.Lock()
	defer p.orderMu.Unlock()
	_, ok := p.orders[addr].Deliver(0, packet)
	return ok
}

// add starts to accept datagrams and TCP connections for the VM at addr.
func (p *proxy) add(addr netip.Addr) error {
	target := netip.AddrPortFrom(addr, p.ports.peerListen)
	socket, err := datagram.Listen(netip.AddrPortFrom(addr, p.ports.peer), nil,
		datagram.WithSourceHandler(func(from netip.AddrPort, message []byte) { p.forward(from.Addr(), target, message) }))
	if err != nil {
		return err
	}
	p.sockets = append(p.sockets, socket)
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(addr, p.ports.peer).String())
	if err != nil {
		return trace.Wrap(err, "start proxy of %v", addr)
	}
	p.listeners = append(p.listeners, listener)
	p.wg.Go(func() { p.runTCP(listener, addr, target) })
	return nil
}

// setLink sets the impairment of the link from one VM to another; the zero impairment removes it.
func (p *proxy) setLink(from, to netip.Addr, fault impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fault == (impairment{}) {
		delete(p.impairments, [2]netip.Addr{from, to})
		return
	}
	p.impairments[[2]netip.Addr{from, to}] = fault
}

// impair draws what happens to a message on a link: whether it is lost, how long it is
// delayed, and whether a duplicate is delivered later, even if the original is lost.
func (p *proxy) impair(from, to netip.Addr) (lost bool, delay time.Duration, duplicated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	link := p.impairments[[2]netip.Addr{from, to}]
	lost = link.cut || p.random.Float64() < link.lossRate
	return lost, link.delay, link.duplicateRate > 0 && p.random.Float64() < link.duplicateRate
}

// sendMalformed sends invalid datagrams to the process of a VM: messages of unknown
// kinds, truncated messages, messages with invalid content, and an empty datagram.
func (p *proxy) sendMalformed(to netip.Addr) {
	target := netip.AddrPortFrom(to, p.ports.peerListen)
	for kind := range byte(_messageKinds) {
		for _, size := range []int{1, 5, 17} {
			message := make([]byte, size)
			for i := range message {
				message[i] = byte(i * 37)
			}
			message[0] = kind
			p.sender.Send(target, message)
		}
	}
	p.sender.Send(target, nil)
}

// _messageKinds is more than the number of kinds of messages, so that sendMalformed
// sends unknown kinds too.
const _messageKinds = 16

// forward sends a datagram on to the process at target, subject to the impairment of
// the link.
func (p *proxy) forward(from netip.Addr, target netip.AddrPort, message []byte) {
	lost, delay, duplicated := p.impair(from, target.Addr())
	if duplicated {
		message := append([]byte(nil), message...)
		time.AfterFunc(_duplicateDelay, func() { p.deliver(target, message) })
	}
	switch {
	case lost:
	case delay == 0:
		p.deliver(target, message)
	default:
		message = append([]byte(nil), message...)
		time.AfterFunc(delay, func() { p.deliver(target, message) })
	}
}

// runTCP accepts the TCP connections to a VM and forwards each to the process at target.
func (p *proxy) runTCP(listener net.Listener, to netip.Addr, target netip.AddrPort) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // closed
		}
		p.wg.Go(func() { p.runConnection(conn, to, target) })
	}
}

// runConnection forwards a TCP connection. The impairments are drawn once, when it
// opens: if either direction loses messages, the connection stays open and silent.
func (p *proxy) runConnection(conn net.Conn, to netip.Addr, target netip.AddrPort) {
	defer conn.Close()
	from := conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	requestLost, delay, _ := p.impair(from, to)
	responseLost, _, _ := p.impair(to, from)
	time.Sleep(delay)
	if requestLost || responseLost {
		_, _ = io.Copy(io.Discard, conn) // until the client closes the connection
		return
	}
	process, err := net.DialTimeout("tcp4", target.String(), time.Second)
	if err != nil {
		return // the process is not running; the client gets a closed connection
	}
	defer process.Close()
	p.wg.Go(func() {
		_, _ = io.Copy(process, conn) // ends when either side closes
		process.Close()
	})
	_, _ = io.Copy(conn, process)
}

func (p *proxy) close() {
	for _, s := range p.sockets {
		_ = s.Close() // an error at the end of the run does not matter
	}
	for _, s := range p.listeners {
		s.Close()
	}
}
