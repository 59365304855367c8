package agent

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/balancer"
	"dandelionhitch.example/packet"
	"dandelionhitch.example/route"
	"dandelionhitch.example/service"
)

// _serverName is a DNS name in the test certificate.
const _serverName = "example.com"

var _loopback = netip.MustParseAddrPort("127.0.0.1:0")

// fabric simulates the network in front of the balancers for one service address.
// It forwards each datagram of a caller to a random balancer.
type fabric struct {
	// socket receives the callers' datagrams at the service address.
	socket  *net.UDPConn
	address netip.AddrPort
	loops   sync.WaitGroup

	mu     sync.Mutex
	random *mathrand.Rand
	// targets are the balancers' sockets. Without targets all datagrams are dropped.
	targets []netip.AddrPort
	// callerSockets maps each caller to the socket that forwards its datagrams to the
	// balancers. To them, the address of that socket is the caller's address.
	callerSockets map[netip.AddrPort]*net.UDPConn
}

func newFabric(t testing.TB, seed uint64) *fabric {
	f := &fabric{callerSockets: map[netip.AddrPort]*net.UDPConn{}, random: mathrand.New(mathrand.NewPCG(seed, 1))}
	f.socket, f.address = listenUDP(t)
	f.loops.Go(func() {
		readLoop(f.socket, func(datagram []byte, caller netip.AddrPort) {
			if socket, target := f.route(caller); socket != nil {
				_, _ = socket.WriteToUDPAddrPort(datagram, target)
			}
		})
	})
	t.Cleanup(func() {
		f.setTargets()
		f.socket.Close()
		f.rebind()
		f.loops.Wait()
	})
	return f
}

func (f *fabric) setTargets(targets ...netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets = targets
}

// rebind changes the address of every caller, like a NAT that has lost its bindings.
func (f *fabric) rebind() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, socket := range f.callerSockets {
		socket.Close()
	}
	clear(f.callerSockets)
}

// route returns the socket of a caller and a random target. It returns a nil
// socket if there is no target.
func (f *fabric) route(caller netip.AddrPort) (*net.UDPConn, netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.targets) == 0 {
		return nil, netip.AddrPort{}
	}
	socket := f.callerSockets[caller]
	if socket == nil {
		socket, _ = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(_loopback))
		f.callerSockets[caller] = socket
		f.loops.Go(func() {
			readLoop(socket, func(datagram []byte, _ netip.AddrPort) { _, _ = f.socket.WriteToUDPAddrPort(datagram, caller) })
		})
	}
	return socket, f.targets[f.random.IntN(len(f.targets))]
}

// readLoop calls handle for each datagram until conn is closed.
func readLoop(conn *net.UDPConn, handle func(datagram []byte, from netip.AddrPort)) {
	buf := make([]byte, 2048)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		handle(buf[:n], from)
	}
}

func listenUDP(t testing.TB) (*net.UDPConn, netip.AddrPort) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(_loopback))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// gate is a Gate that admits up to limit flows. A limit of zero means no limit.
type gate struct{ limit, open atomic.Int64 }

func (g *gate) TryAdmit() error {
	open, limit := g.open.Add(1), g.limit.Load()
	if limit > 0 && open > limit {
		g.open.Add(-1)
		return errors.New("full")
	}
	return nil
}

func (g *gate) Release() { g.open.Add(-1) }

// rig runs balancers, services and their agents on the loopback interface. The
// outer index of fabrics, agents and gates is that of the service.
type rig struct {
	t         testing.TB
	keys      *packet.Keys
	cert      tls.Certificate
	pool      *x509.CertPool
	balancers []*balancer.Balancer
	fabrics   []*fabric
	agents    [][]*Agent
	gates     [][]*gate
	// waiting receives a value when a request for /wait runs. Such requests are
	// answered after release, which closes released.
	waiting  chan struct{}
	released chan struct{}
	release  func()
	killed   map[*Agent]bool
	// versions are the QUIC versions that new clients use; nil means the default.
	versions []quic.Version
}

func newRig(t testing.TB, balancers, services, agents int, opts ...Option) *rig {
	r := &rig{t: t, keys: testKeys(t, 1), waiting: make(chan struct{}, 16), released: make(chan struct{}), killed: map[*Agent]bool{}}
	r.release = sync.OnceFunc(func() { close(r.released) })
	server := httptest.NewTLSServer(nil) // for its certificate
	defer server.Close()
	r.cert, r.pool = server.TLS.Certificates[0], x509.NewCertPool()
	r.pool.AddCert(server.Certificate())
	for i := range services {
		r.fabrics = append(r.fabrics, newFabric(t, uint64(i)))
		r.agents = append(r.agents, nil)
		r.gates = append(r.gates, nil)
		for range agents {
			g := &gate{}
			r.gates[i] = append(r.gates[i], g)
			r.agents[i] = append(r.agents[i], r.startAgent(i, _loopback, 1, g, opts...))
		}
	}
	for range balancers {
		r.addBalancer()
	}
	t.Cleanup(r.release)
	return r
}

func (r *rig) startAgent(svc int, addr netip.AddrPort, incarnation service.Incarnation, g *gate, opts ...Option) *Agent {
	a, err := New(Config{
		Addr: addr, Service: service.ID(svc + 1), Incarnation: incarnation, Keys: r.keys, Gate: g,
		TLS:     &tls.Config{Certificates: []tls.Certificate{r.cert}},
		Handler: r.echoHandler(svc),
	}, opts...)
	assert.NilError(r.t, err)
	a.Serve()
	r.t.Cleanup(func() {
		err := a.Close()
		assert.Check(r.t, err == nil || r.killed[a], "%v", err)
		assert.Equal(r.t, int(g.open.Load()), 0)
	})
	return a
}

// kill stops an agent without notice to its peers and callers, like kill -9.
func (r *rig) kill(a *Agent) {
	r.killed[a] = true
	a.conn.udp.Close()
	_ = a.Close()
}

// holder returns the first of the service's agents that has an open flow, and fails the
// test if there is none.
func (r *rig) holder(svc int) *Agent {
	for _, a := range r.agents[svc] {
		if a.Flows() > 0 {
			return a
		}
	}
	r.t.Fatal("no agent has a flow")
	return nil
}

func (r *rig) addBalancer() {
	cfg := balancer.Config{Addr: _loopback, Keys: r.keys}
	for _, f := range r.fabrics {
		cfg.Listeners = append(cfg.Listeners, balancer.Listener{Bind: _loopback, Address: f.address})
	}
	b, err := balancer.New(cfg)
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { assert.NilError(r.t, b.Close()) })
	r.balancers = append(r.balancers, b)
	r.setTable()
	r.updateFabrics()
}

// updateFabrics makes each fabric forward to all of the rig's balancers.
func (r *rig) updateFabrics() {
	for i, f := range r.fabrics {
		var targets []netip.AddrPort
		for _, b := range r.balancers {
			targets = append(targets, b.Listeners()[i])
		}
		f.setTargets(targets...)
	}
}

// setTable gives all balancers a routing table with the rig's agents, and with the
// agents in gone as confirmed to have ended.
func (r *rig) setTable(gone ...route.Gone) {
	var services []route.Service
	for i, agents := range r.agents {
		s := route.Service{ID: service.ID(i + 1), Addresses: []netip.AddrPort{r.fabrics[i].address}}
		for _, a := range agents {
			s.Candidates = append(s.Candidates, route.Candidate{Addr: a.Addr(), Incarnation: a.incarnation, Weight: 1})
		}
		services = append(services, s)
	}
	table, err := route.New(services, gone...)
	assert.NilError(r.t, err)
	for _, b := range r.balancers {
		b.SetTable(table)
	}
}

// client returns an HTTP client that sends its requests to the service on one flow.
func (r *rig) client(svc int) *http.Client {
	c, _ := r.clientConn(svc)
	return c
}

// clientConn returns a client for one flow to the service, and a channel that receives
// the connection of the client's first flow.
func (r *rig) clientConn(svc int) (*http.Client, <-chan *quic.Conn) {
	address := r.fabrics[svc].address.String()
	first := make(chan *quic.Conn, 1)
	transport := &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: r.pool, ServerName: _serverName},
		QUICConfig:      &quic.Config{HandshakeIdleTimeout: 5 * time.Second, Versions: r.versions},
		Dial: func(ctx context.Context, _ string, t *tls.Config, q *quic.Config) (*quic.Conn, error) {
			conn, err := quic.DialAddr(ctx, address, t, q)
			select {
			case first <- conn:
			default:
			}
			return conn, err
		},
	}
	r.t.Cleanup(func() { _ = transport.Close() })
	return &http.Client{Transport: transport, Timeout: 10 * time.Second}, first
}

// call sends a request with a body of size octets. It returns an error unless the
// answer consists of the service's index and the same body.
func (r *rig) call(c *http.Client, svc, size int) error {
	return r.callPath(c, "/", svc, size)
}

// callPath is like call, for a request with the given URL path.
func (r *rig) callPath(c *http.Client, path string, svc, size int) error {
	body := strings.Repeat("x", size)
	response, err := c.Post("https://"+_serverName+path, "text/plain", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if want := fmt.Sprintf("%d:%s", svc, body); string(answer) != want {
		return fmt.Errorf("wrong answer of %d octets, want %d octets from service %d", len(answer), len(want), svc)
	}
	return nil
}

// echoHandler answers with the service's index and the request's body. Before it
// answers a request for /wait, it sends on waiting and blocks until released is closed.
func (r *rig) echoHandler(svc int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.URL.Path == "/wait" {
			r.waiting <- struct{}{}
			<-r.released
		}
		_, _ = fmt.Fprintf(w, "%d:%s", svc, body)
	})
}

// testKeys returns keys with the given numbers, of which the first is current.
func testKeys(t testing.TB, numbers ...packet.KeyNumber) *packet.Keys {
	file := packet.KeyFile{Current: numbers[0]}
	for _, n := range numbers {
		part := func(length int) []byte { return []byte(strings.Repeat(string(rune('a'+n)), length)) }
		file.Keys = append(file.Keys, packet.KeySpec{Number: n, CID: part(16), MAC: part(16), Reset: part(32), Token: part(32)})
	}
	keys, err := packet.NewKeys(file)
	assert.NilError(t, err)
	return keys
}

// dial returns a UDP socket connected to the address of a service.
func (r *rig) dial(svc int) *net.UDPConn {
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(r.fabrics[svc].address))
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { conn.Close() })
	return conn
}
