package announcer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/keeper"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
)

// network carries calls between processes in one synctest bubble and injects
// faults.
type network struct {
	t  *testing.T
	mu sync.Mutex
	// endpoints holds the keepers that listen, by control address. down and paused
	// mark ended and paused processes; cut marks pairs that can't reach each other.
	// octets counts the octets that each process has sent and received, and calls
	// counts the calls of each method.
	endpoints    map[netip.AddrPort]*keeper.Endpoint
	down, paused map[netip.AddrPort]bool
	cut          map[[2]netip.AddrPort]bool
	octets       map[netip.AddrPort]int
	calls        map[string]int
}

func newNetwork(t *testing.T) *network {
	return &network{
		t: t, endpoints: make(map[netip.AddrPort]*keeper.Endpoint),
		down: make(map[netip.AddrPort]bool), paused: make(map[netip.AddrPort]bool),
		cut: make(map[[2]netip.AddrPort]bool), octets: make(map[netip.AddrPort]int), calls: make(map[string]int),
	}
}

var errNoReply = errors.New("no reply")

// processNet is the network access of one process.
type processNet struct {
	*network
	addr netip.AddrPort
}

// connectivity returns what a connection attempt between two processes yields. A
// paused process still listens, since its kernel accepts connections.
func (n *network) connectivity(from, to netip.AddrPort) roster.ProbeResult {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.cut[[2]netip.AddrPort{from, to}], n.cut[[2]netip.AddrPort{to, from}], n.paused[from]:
		return roster.NoAnswer
	case n.down[to]:
		return roster.Refused
	}
	return roster.Listening
}

// Probe returns what a connection attempt from this process yields.
func (p processNet) Probe(ctx context.Context, to netip.AddrPort) roster.ProbeResult {
	result := p.connectivity(p.addr, to)
	if result == roster.NoAnswer {
		<-ctx.Done()
	}
	return result
}

// Call encodes the request, calls the method of the keeper at to, and decodes the
// reply. It fails once ctx ends if a fault suppresses the request or the reply.
func (p processNet) Call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
	time.Sleep(time.Millisecond)
	result := p.connectivity(p.addr, to)
	p.mu.Lock()
	endpoint, unresponsive := p.endpoints[to], p.paused[to] || p.down[p.addr]
	p.mu.Unlock()
	switch {
	case result == roster.NoAnswer || unresponsive:
		<-ctx.Done()
		return errNoReply
	case result == roster.Refused || endpoint == nil:
		return errors.New("refused")
	}
	answer, err := dispatch(p, to, endpoint, method, args)
	if err != nil {
		return err
	}
	time.Sleep(time.Millisecond)
	if p.connectivity(p.addr, to) != roster.Listening {
		<-ctx.Done()
		return errNoReply
	}
	return p.transmit(to, p.addr, 2*_segmentOverhead+_recordOverhead+_replyFrameOverhead, answer, reply)
}

func dispatch(p processNet, to netip.AddrPort, e *keeper.Endpoint, method string, args any) (any, error) {
	p.mu.Lock()
	p.calls[method]++
	p.mu.Unlock()
	switch method {
	case keeper.MethodHeartbeat:
		return handle(p, to, method, args, e.Heartbeat)
	case keeper.MethodExchange:
		return handle(p, to, method, args, e.Exchange)
	case keeper.MethodSync:
		return handle(p, to, method, args, e.Sync)
	}
	return nil, fmt.Errorf("no method %s", method)
}

func handle[Q, A any](p processNet, to netip.AddrPort, name string, args any, method func(*Q, *A) error) (any, error) {
	request, answer := new(Q), new(A)
	overhead := _segmentOverhead + _recordOverhead + _requestFrameOverhead + len(name)
	if err := p.transmit(p.addr, to, overhead, args, request); err != nil {
		return nil, err
	}
	return answer, method(request, answer)
}

// transmit encodes a message, counts its octets and the overhead for both
// processes, decodes the message into another value and validates this value.
func (n *network) transmit(from, to netip.AddrPort, overhead int, message, into any) error {
	data, err := cbor.Marshal(message)
	assert.Check(n.t, err)
	n.mu.Lock()
	n.octets[from] += len(data) + overhead
	n.octets[to] += len(data) + overhead
	n.mu.Unlock()
	assert.Check(n.t, cbor.Unmarshal(data, into))
	assert.Check(n.t, into.(interface{ Validate() error }).Validate())
	return nil
}

func (n *network) set(m map[netip.AddrPort]bool, addr netip.AddrPort, value bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m[addr] = value
}

func (n *network) setCut(a, b netip.AddrPort, value bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]netip.AddrPort{a, b}] = value
}

// memoryStore is a platform.Store in memory that can simulate outages.
type memoryStore struct {
	mu      sync.Mutex
	objects map[string]platform.Object
	version platform.Version
	outage  bool
	calls   int
}

// checkOutage counts a call and returns an error during an outage. The caller must
// hold s.mu.
func (s *memoryStore) checkOutage() error {
	s.calls++
	if s.outage {
		return trace.ConnectionProblem(nil, "outage")
	}
	return nil
}

func (s *memoryStore) Get(_ context.Context, key string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, found := s.objects[key]
	if err := s.checkOutage(); err != nil || found {
		return object, err
	}
	return object, trace.NotFound("%s", key)
}

func (s *memoryStore) List(_ context.Context, prefix string) ([]platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []platform.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			out = append(out, object)
		}
	}
	slices.SortFunc(out, func(a, b platform.Object) int { return strings.Compare(a.Key, b.Key) })
	return out, s.checkOutage()
}

func (s *memoryStore) Put(_ context.Context, key string, value json.RawMessage, expected platform.Version) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkOutage(); err != nil {
		return 0, err
	}
	if s.objects[key].Version != expected {
		return 0, trace.CompareFailed("%s", key)
	}
	s.version++
	s.objects[key] = platform.Object{Key: key, Value: value, Version: s.version}
	return s.version, nil
}

func (s *memoryStore) Delete(_ context.Context, key string, expected platform.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkOutage(); err != nil {
		return err
	}
	if s.objects[key].Version != expected {
		return trace.CompareFailed("%s", key)
	}
	delete(s.objects, key)
	return nil
}

func (s *memoryStore) Watch(ctx context.Context, _ string, _ platform.Version) (platform.Object, error) {
	<-ctx.Done()
	return platform.Object{}, ctx.Err()
}

func (s *memoryStore) setOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
}

// fleet runs balancers' keepers and agents' announcers on one network.
type fleet struct {
	*network
	store   *memoryStore
	keepers map[int]*keeper.Keeper
	agents  map[int]*Announcer
	// services is the number of services, to which the agents are assigned in turn.
	services int
	// gone holds the incarnations of agents that have ended, by the agent's number.
	gone map[int]service.Incarnation
}

func newFleet(t *testing.T, keepers, agents int) *fleet {
	f := &fleet{
		network: newNetwork(t), store: &memoryStore{objects: make(map[string]platform.Object)},
		keepers: make(map[int]*keeper.Keeper), agents: make(map[int]*Announcer), gone: make(map[int]service.Incarnation),
		services: max(2, agents/5),
	}
	for n := range keepers {
		f.startKeeper(n, keeper.WithStore(f.store))
	}
	for n := range agents {
		f.startAgent(n, 100)
	}
	return f
}

func memberAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(n)}), 7000)
}

func agentAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(n >> 8), byte(n)}), 7000)
}

func (f *fleet) startKeeper(n int, opts ...keeper.Option) {
	f.t.Helper()
	addr := memberAddr(n)
	p := processNet{f.network, addr}
	opts = append(opts, keeper.WithProber(p), keeper.WithSeed(uint64(n)+1))
	k, err := keeper.New(roster.Member{
		Name: fmt.Sprintf("entry-%d", n), Place: service.Place(fmt.Sprintf("oslo-%c", 'a'+n%3)),
		Data: addr, Control: addr, Incarnation: service.IncarnationAt(time.Now()),
	}, p, opts...)
	assert.NilError(f.t, err)
	f.set(f.down, addr, false)
	f.mu.Lock()
	f.endpoints[addr] = k.Endpoint()
	f.mu.Unlock()
	f.keepers[n] = k
}

func (f *fleet) startAgent(n int, incarnation service.Incarnation) {
	f.t.Helper()
	addr := agentAddr(n)
	a, err := New(roster.Upstream{
		Service: service.ID(1 + n%f.services), Name: "orders", Place: "oslo-a", Data: addr, Control: addr,
		Incarnation: incarnation, State: service.Serving, Weight: 1,
	}, processNet{f.network, addr}, []netip.AddrPort{memberAddr(0), memberAddr(1)}, WithSeed(uint64(n)+1), WithStore(f.store))
	assert.NilError(f.t, err)
	f.set(f.down, addr, false)
	f.agents[n] = a
}

// kill ends a process without notice: nothing that it sends is delivered any more.
func (f *fleet) kill(addr netip.AddrPort) {
	f.mu.Lock()
	delete(f.endpoints, addr)
	f.mu.Unlock()
	f.set(f.down, addr, true)
}

func (f *fleet) killAgent(n int) {
	f.kill(agentAddr(n))
	f.gone[n] = f.agents[n].Self().Incarnation
	assert.NilError(f.t, f.agents[n].Close())
	delete(f.agents, n)
}

func (f *fleet) killKeeper(n int) {
	f.kill(memberAddr(n))
	assert.NilError(f.t, f.keepers[n].Close())
	delete(f.keepers, n)
}

func (f *fleet) close() {
	for _, a := range f.agents {
		assert.NilError(f.t, a.Close())
	}
	for _, k := range f.keepers {
		assert.NilError(f.t, k.Close())
	}
}

// eligible returns the agents that balancer n considers eligible for new flows.
func (f *fleet) eligible(n int) []int {
	var out []int
	for _, candidates := range f.keepers[n].View().Services {
		for _, c := range candidates {
			ip := c.Data.Addr().As4()
			out = append(out, int(ip[2])<<8|int(ip[3]))
		}
	}
	slices.Sort(out)
	return out
}

// checkNoFalseGone checks that every run of an agent that a balancer has declared
// gone has ended.
func (f *fleet) checkNoFalseGone() {
	f.t.Helper()
	for n, k := range f.keepers {
		for _, gone := range k.View().Gone {
			ip := gone.Data.Addr().As4()
			// Agents start with incarnation 100 or adopt a higher one, so lower ones may be declared gone.
			ended := max(f.gone[int(ip[2])<<8|int(ip[3])], 99)
			assert.Check(f.t, gone.Incarnation <= ended, "balancer %d: %v has not ended", n, gone)
		}
	}
}
