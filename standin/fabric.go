package standin

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/service"
)

// _maxDatagramSize is the size of read buffers in bytes. No datagram that fits an
// Ethernet frame is larger.
const _maxDatagramSize = 2048

// Fabric forwards every datagram of a caller to a randomly chosen balancer, and
// every reply to its caller.
//
// It opens one socket per service address on the side of the callers, and one per
// caller and service address on the side of the balancers, so that each caller has
// an address of its own to which balancers reply. A datagram for a service address
// goes to the same port at the balancer's IP address.
type Fabric struct {
	tomb      tomb.Tomb
	balancers atomic.Pointer[[]netip.Addr]

	mu        sync.Mutex
	random    *rand.Rand
	loss      float64
	listeners map[netip.AddrPort]*fabricListener
}

// NewFabric returns a running fabric without service addresses and balancers. The
// seed determines the choice of balancers and the datagrams that are lost.
func NewFabric(seed uint64) *Fabric {
	f := &Fabric{
		random:    rand.New(rand.NewPCG(seed, seed)),
		listeners: make(map[netip.AddrPort]*fabricListener),
	}
	f.balancers.Store(&[]netip.Addr{})
	f.tomb.Go(f.run)
	return f
}

// Listen starts to receive datagrams at a service address.
func (f *Fabric) Listen(address netip.AddrPort) error {
	if err := service.CheckAddress("service address", address); err != nil {
		return trace.Wrap(err, "open fabric")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return trace.Wrap(err, "open fabric at %s", address)
	}
	listener := &fabricListener{
		fabric:  f,
		port:    address.Port(),
		conn:    conn,
		sockets: make(map[netip.AddrPort]*fabricCallerSocket),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners[address] = listener
	f.tomb.Go(listener.run)
	return nil
}

// SetBalancers replaces the balancers that datagrams are forwarded to.
func (f *Fabric) SetBalancers(balancers ...netip.Addr) {
	set := append([]netip.Addr(nil), balancers...)
	f.balancers.Store(&set)
}

// SetLoss sets the fraction of the callers' datagrams that are lost, from 0 to 1.
func (f *Fabric) SetLoss(fraction float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loss = fraction
}

// Close stops the fabric and waits for its goroutines to end.
func (f *Fabric) Close() error {
	f.tomb.Kill(nil)
	return f.tomb.Wait()
}

// run closes all sockets when the fabric is closed.
func (f *Fabric) run() error {
	<-f.tomb.Dying()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, listener := range f.listeners {
		listener.close()
	}
	return nil
}

// pickBalancer returns a random balancer, or false if the datagram is to be dropped.
func (f *Fabric) pickBalancer() (netip.Addr, bool) {
	balancers := *f.balancers.Load()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(balancers) == 0 || f.random.Float64() < f.loss {
		return netip.Addr{}, false
	}
	return balancers[f.random.IntN(len(balancers))], true
}

// fabricListener receives the datagrams for one service address.
type fabricListener struct {
	fabric *Fabric
	port   uint16
	conn   *net.UDPConn

	mu      sync.Mutex
	closed  bool
	sockets map[netip.AddrPort]*fabricCallerSocket
}

// run forwards datagrams from callers to balancers.
func (l *fabricListener) run() error {
	buffer := make([]byte, _maxDatagramSize)
	for {
		n, caller, err := l.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return nil
		}
		balancer, ok := l.fabric.pickBalancer()
		if !ok {
			continue
		}
		socket, err := l.callerSocket(caller)
		if err != nil {
			continue
		}
		// The write fails if the balancer has been killed. The datagram is then lost,
		// as on a real network.
		_, _ = socket.conn.WriteToUDPAddrPort(buffer[:n], netip.AddrPortFrom(balancer, l.port))
	}
}

// callerSocket returns the socket that exchanges one caller's datagrams with the
// balancers, and opens it for the caller's first datagram.
func (l *fabricListener) callerSocket(caller netip.AddrPort) (*fabricCallerSocket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if socket, ok := l.sockets[caller]; ok {
		return socket, nil
	}
	if l.closed {
		return nil, net.ErrClosed
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, trace.Wrap(err, "open fabric socket for caller %s", caller)
	}
	socket := &fabricCallerSocket{listener: l, caller: caller, conn: conn}
	l.sockets[caller] = socket
	l.fabric.tomb.Go(socket.run)
	return socket, nil
}

func (l *fabricListener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.conn.Close()
	for _, socket := range l.sockets {
		socket.conn.Close()
	}
}

// fabricCallerSocket exchanges one caller's datagrams with the balancers.
type fabricCallerSocket struct {
	listener *fabricListener
	caller   netip.AddrPort
	conn     *net.UDPConn
}

// run forwards replies from balancers to the caller.
func (s *fabricCallerSocket) run() error {
	buffer := make([]byte, _maxDatagramSize)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return nil
		}
		_, _ = s.listener.conn.WriteToUDPAddrPort(buffer[:n], s.caller)
	}
}
