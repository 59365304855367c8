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

// _datagramSize is larger than any datagram that fits an Ethernet frame.
const _datagramSize = 2048

// Fabric hands every datagram of every caller to a balancer picked at random,
// and every reply back to its caller.
//
// It opens one socket for each service address towards the callers, and one for
// each caller and service address towards the balancers, so that a balancer sees
// a distinct caller address to reply to. A datagram for a service address goes to
// the same port at the balancer's IP address.
type Fabric struct {
	tomb      tomb.Tomb
	balancers atomic.Pointer[[]netip.Addr]

	mu     sync.Mutex
	random *rand.Rand
	loss   float64
	doors  map[netip.AddrPort]*fabricDoor
}

// NewFabric returns a fabric without addresses or balancers.
func NewFabric(seed uint64) *Fabric {
	f := &Fabric{
		random: rand.New(rand.NewPCG(seed, seed)),
		doors:  make(map[netip.AddrPort]*fabricDoor),
	}
	f.balancers.Store(&[]netip.Addr{})
	f.tomb.Go(f.run)
	return f
}

// Open starts to take datagrams at one service address.
func (f *Fabric) Open(address netip.AddrPort) error {
	if err := service.CheckAddress("service address", address); err != nil {
		return trace.Wrap(err, "open fabric")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return trace.Wrap(err, "open fabric at %s", address)
	}
	door := &fabricDoor{
		fabric:  f,
		port:    address.Port(),
		conn:    conn,
		callers: make(map[netip.AddrPort]*fabricCaller),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doors[address] = door
	f.tomb.Go(door.run)
	return nil
}

// SetBalancers replaces the set of balancers that get datagrams.
func (f *Fabric) SetBalancers(balancers ...netip.Addr) {
	set := append([]netip.Addr(nil), balancers...)
	f.balancers.Store(&set)
}

// SetLoss makes the fabric lose a share of all datagrams, from 0 to 1.
func (f *Fabric) SetLoss(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loss = share
}

// Close stops the fabric and waits for its goroutines.
func (f *Fabric) Close() error {
	f.tomb.Kill(nil)
	return f.tomb.Wait()
}

// run closes all sockets when the fabric is told to stop.
func (f *Fabric) run() error {
	<-f.tomb.Dying()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, door := range f.doors {
		door.close()
	}
	return nil
}

// pick returns a random balancer, or false if the datagram is to be lost.
func (f *Fabric) pick() (netip.Addr, bool) {
	balancers := *f.balancers.Load()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(balancers) == 0 || f.random.Float64() < f.loss {
		return netip.Addr{}, false
	}
	return balancers[f.random.IntN(len(balancers))], true
}

// fabricDoor is one service address of the fabric.
type fabricDoor struct {
	fabric *Fabric
	port   uint16
	conn   *net.UDPConn

	mu      sync.Mutex
	closed  bool
	callers map[netip.AddrPort]*fabricCaller
}

// run carries datagrams from callers to balancers.
func (d *fabricDoor) run() error {
	buffer := make([]byte, _datagramSize)
	for {
		n, caller, err := d.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return nil
		}
		balancer, ok := d.fabric.pick()
		if !ok {
			continue
		}
		leg, err := d.leg(caller)
		if err != nil {
			continue
		}
		// A balancer that was killed refuses datagrams; they are lost, as on a wire.
		_, _ = leg.conn.WriteToUDPAddrPort(buffer[:n], netip.AddrPortFrom(balancer, d.port))
	}
}

// leg returns the socket towards the balancers for one caller.
func (d *fabricDoor) leg(caller netip.AddrPort) (*fabricCaller, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if leg, ok := d.callers[caller]; ok {
		return leg, nil
	}
	if d.closed {
		return nil, net.ErrClosed
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, trace.Wrap(err, "open fabric leg for %s", caller)
	}
	leg := &fabricCaller{door: d, caller: caller, conn: conn}
	d.callers[caller] = leg
	d.fabric.tomb.Go(leg.run)
	return leg, nil
}

func (d *fabricDoor) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	d.conn.Close()
	for _, leg := range d.callers {
		leg.conn.Close()
	}
}

// fabricCaller is one caller's socket towards the balancers.
type fabricCaller struct {
	door   *fabricDoor
	caller netip.AddrPort
	conn   *net.UDPConn
}

// run carries replies from balancers to the caller.
func (c *fabricCaller) run() error {
	buffer := make([]byte, _datagramSize)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return nil
		}
		_, _ = c.door.conn.WriteToUDPAddrPort(buffer[:n], c.caller)
	}
}
