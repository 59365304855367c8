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

// _serverName is a name in the certificate.
const _serverName = "example.com"

var _loopback = netip.MustParseAddrPort("127.0.0.1:0")

// sprayer is a fabric for one service address: it hands each datagram of a
// caller to a random balancer.
type sprayer struct {
	front   *net.UDPConn
	address netip.AddrPort
	loops   sync.WaitGroup

	mu      sync.Mutex
	random  *mathrand.Rand
	targets []netip.AddrPort
	// lanes are the sockets that stand for the callers.
	lanes map[netip.AddrPort]*net.UDPConn
}

func newSprayer(t testing.TB, seed uint64) *sprayer {
	s := &sprayer{lanes: map[netip.AddrPort]*net.UDPConn{}, random: mathrand.New(mathrand.NewPCG(seed, 1))}
	s.front, s.address = listenUDP(t)
	s.loops.Go(func() {
		pump(s.front, func(datagram []byte, caller netip.AddrPort) {
			if lane, target := s.pick(caller); lane != nil {
				_, _ = lane.WriteToUDPAddrPort(datagram, target)
			}
		})
	})
	t.Cleanup(func() {
		s.setTargets()
		s.front.Close()
		s.rebind()
		s.loops.Wait()
	})
	return s
}

func (s *sprayer) setTargets(targets ...netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = targets
}

// rebind gives every caller another address, as a NAT that has lost track does.
func (s *sprayer) rebind() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lane := range s.lanes {
		lane.Close()
	}
	clear(s.lanes)
}

func (s *sprayer) pick(caller netip.AddrPort) (*net.UDPConn, netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.targets) == 0 {
		return nil, netip.AddrPort{}
	}
	lane := s.lanes[caller]
	if lane == nil {
		lane, _ = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(_loopback))
		s.lanes[caller] = lane
		s.loops.Go(func() {
			pump(lane, func(datagram []byte, _ netip.AddrPort) { _, _ = s.front.WriteToUDPAddrPort(datagram, caller) })
		})
	}
	return lane, s.targets[s.random.IntN(len(s.targets))]
}

// pump hands each datagram to f until the socket is closed.
func pump(conn *net.UDPConn, f func(datagram []byte, from netip.AddrPort)) {
	buf := make([]byte, 2048)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		f(buf[:n], from)
	}
}

func listenUDP(t testing.TB) (*net.UDPConn, netip.AddrPort) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(_loopback))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// gate admits up to limit flows; zero is no limit.
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

// rig is some balancers and services with agents on loopback.
type rig struct {
	t         testing.TB
	keys      *packet.Keys
	cert      tls.Certificate
	pool      *x509.CertPool
	balancers []*balancer.Balancer
	sprayers  []*sprayer
	agents    [][]*Agent
	gates     [][]*gate
	started   chan struct{}
	finish    chan struct{}
	release   func()
	killed    map[*Agent]bool
	versions  []quic.Version
}

func newRig(t testing.TB, balancers, services, agents int, opts ...Option) *rig {
	r := &rig{t: t, keys: testKeys(t, 1), started: make(chan struct{}, 16), finish: make(chan struct{}), killed: map[*Agent]bool{}}
	r.release = sync.OnceFunc(func() { close(r.finish) })
	server := httptest.NewTLSServer(nil) // for its certificate
	defer server.Close()
	r.cert, r.pool = server.TLS.Certificates[0], x509.NewCertPool()
	r.pool.AddCert(server.Certificate())
	for i := range services {
		r.sprayers = append(r.sprayers, newSprayer(t, uint64(i)))
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
		Handler: r.echo(svc),
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

// kill ends an agent without a word to anyone, as kill -9 does.
func (r *rig) kill(a *Agent) {
	r.killed[a] = true
	a.conn.udp.Close()
	_ = a.Close()
}

// holder is the agent of a service that has a flow.
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
	for _, s := range r.sprayers {
		cfg.Listeners = append(cfg.Listeners, balancer.Listener{Bind: _loopback, Address: s.address})
	}
	b, err := balancer.New(cfg)
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { assert.NilError(r.t, b.Close()) })
	r.balancers = append(r.balancers, b)
	r.setTable()
	r.spray()
}

// spray tells the fabric which balancers there are.
func (r *rig) spray() {
	for i, s := range r.sprayers {
		var targets []netip.AddrPort
		for _, b := range r.balancers {
			targets = append(targets, b.Listeners()[i])
		}
		s.setTargets(targets...)
	}
}

func (r *rig) setTable(gone ...route.Gone) {
	var services []route.Service
	for i, agents := range r.agents {
		s := route.Service{ID: service.ID(i + 1), Addresses: []netip.AddrPort{r.sprayers[i].address}}
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

// client returns an HTTP client that holds one flow to the service.
func (r *rig) client(svc int) *http.Client {
	c, _ := r.clientConn(svc)
	return c
}

// clientConn returns a client and the connection of its first flow, once it has one.
func (r *rig) clientConn(svc int) (*http.Client, <-chan *quic.Conn) {
	address := r.sprayers[svc].address.String()
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

// call sends a body and wants it back with the service's number.
func (r *rig) call(c *http.Client, svc, size int) error {
	return r.callPath(c, "/", svc, size)
}

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
		return fmt.Errorf("answer of %d octets, want %d of service %d", len(answer), len(want), svc)
	}
	return nil
}

// echo answers with the service's number and the request's body. A request for
// /wait says on started that it runs, and waits for finish.
func (r *rig) echo(svc int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.URL.Path == "/wait" {
			r.started <- struct{}{}
			<-r.finish
		}
		_, _ = fmt.Fprintf(w, "%d:%s", svc, body)
	})
}

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

// dial returns a bare socket towards a service.
func (r *rig) dial(svc int) *net.UDPConn {
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(r.sprayers[svc].address))
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { conn.Close() })
	return conn
}
