package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"dandelionhitch.example/dispatcher"
	"dandelionhitch.example/queue"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
	"dandelionhitch.example/ticket"
)

var (
	errConnLost    = errors.New("connection lost")
	errAgentKilled = errors.New("agent was killed")
	_ticketKeys, _ = ticket.NewKeys(1, ticket.Key{Number: 1, Ticket: []byte("a secret of octets")})
)

// cluster is a few agents of one service with their upstreams, connected by transports
// that delay and lose messages. It runs in a synctest bubble.
type cluster struct {
	mu           sync.Mutex
	random       *rand.Rand
	agents       map[netip.AddrPort]*agentProcess // the running agents
	processes    []*agentProcess                  // all runs of all agents, in the order of their start
	runs         map[string]int                   // number of runs by operation
	runsByTicket map[string]int                   // number of runs by operation and ticket

	lossRate      float64 // share of messages and answers that are lost while faulty is set
	faulty        bool
	handOvers     int         // handovers that reached a peer
	staleSettings atomic.Bool // the agents' settings mark no route as non-repeatable
}

// agentProcess is one run of an agent. Its ctx ends when the run is killed.
type agentProcess struct {
	c           *cluster
	addr        netip.AddrPort
	incarnation service.Incarnation
	d           *dispatcher.Dispatcher
	ctx         context.Context
	kill        context.CancelFunc
	resumed     chan struct{} // closed when a pause ends; nil unless paused
}

// selfAddr returns the address of the agent under test.
func selfAddr() netip.AddrPort { return netip.MustParseAddrPort("10.0.0.1:7443") }

// newCluster starts a cluster of the given number of agents.
func newCluster(seed uint64, agents int, lossRate float64) *cluster {
	c := &cluster{
		random:       rand.New(rand.NewPCG(seed, 0)),
		agents:       make(map[netip.AddrPort]*agentProcess),
		runs:         make(map[string]int),
		runsByTicket: make(map[string]int),
		lossRate:     lossRate,
		faulty:       true,
	}
	for i := range agents {
		c.start(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7443), 1)
	}
	return c
}

// start starts a new run of the agent at addr.
func (c *cluster) start(addr netip.AddrPort, incarnation service.Incarnation) {
	a := &agentProcess{c: c, addr: addr, incarnation: incarnation}
	a.ctx, a.kill = context.WithCancel(context.Background())
	policy := testPolicy()
	policy.Limits = settings.Limits{Slots: 2, ReservedSlots: 1, QueueLength: 3}
	currentPolicy := func() settings.Service {
		policy := policy
		if c.staleSettings.Load() {
			policy.Requests.NonRepeatableRoutes = nil
		}
		return policy
	}
	d, err := dispatcher.New(&url.URL{Scheme: "http", Host: "upstream"}, currentPolicy,
		dispatcher.WithIdentity(dispatcher.Identity{Service: 7, Address: addr, Incarnation: incarnation}),
		dispatcher.WithTicketKeys(_ticketKeys),
		dispatcher.WithTransport(transportFunc(a.serveUpstream)),
		dispatcher.WithPeers(a, transportFunc(c.sendToPeer)),
		dispatcher.WithRandom(c.randomFloat))
	if err != nil {
		panic(err)
	}
	a.d = d
	c.mu.Lock()
	defer c.mu.Unlock()
	c.agents[addr] = a
	c.processes = append(c.processes, a)
}

// restart kills the agent at addr and starts its next run after the downtime.
func (c *cluster) restart(addr netip.AddrPort, downtime time.Duration) {
	c.mu.Lock()
	a := c.agents[addr]
	delete(c.agents, addr)
	c.mu.Unlock()
	if a == nil {
		return
	}
	a.kill()
	time.Sleep(downtime)
	c.start(addr, a.incarnation+1)
}

// pause holds up all requests to the agent at addr and all its answers for the given
// span.
func (c *cluster) pause(addr netip.AddrPort, span time.Duration) {
	c.mu.Lock()
	a := c.agents[addr]
	if a == nil || a.resumed != nil {
		c.mu.Unlock()
		return
	}
	resumed := make(chan struct{})
	a.resumed = resumed
	c.mu.Unlock()
	time.Sleep(span)
	c.mu.Lock()
	a.resumed = nil
	c.mu.Unlock()
	close(resumed)
}

// awaitResume waits until the agent is not paused. It returns an error if ctx ends or
// the agent is killed first.
func (a *agentProcess) awaitResume(ctx context.Context) error {
	a.c.mu.Lock()
	resumed := a.resumed
	a.c.mu.Unlock()
	if resumed == nil {
		return nil
	}
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-a.ctx.Done():
		return errAgentKilled
	}
}

// randomFloat returns a random number in [0, 1). It is safe for concurrent use.
func (c *cluster) randomFloat() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64()
}

// chance returns true at random, for the given share of calls, while faulty is set.
// Otherwise it returns false.
func (c *cluster) chance(share float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faulty && c.random.Float64() < share
}

// Peers returns the other agents that are running, with their present load.
func (a *agentProcess) Peers() []dispatcher.Peer {
	a.c.mu.Lock()
	defer a.c.mu.Unlock()
	var peers []dispatcher.Peer
	for _, other := range a.c.processes {
		if other != a && a.c.agents[other.addr] == other {
			peers = append(peers, dispatcher.Peer{Address: other.addr, Incarnation: other.incarnation, Load: min(other.d.Load(), queue.CrowdedLoad-1)})
		}
	}
	return peers
}

// Endpoint returns the agent's address, at which the cluster serves its PeerHandler.
func (a *agentProcess) Endpoint(agent netip.AddrPort) (netip.AddrPort, bool) { return agent, true }

type transportFunc func(*http.Request) (*http.Response, error)

func (f transportFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// sendToPeer delivers a request from one agent to the PeerHandler of another.
func (c *cluster) sendToPeer(r *http.Request) (*http.Response, error) {
	a, err := c.connect(r.URL.Host)
	if err != nil {
		return nil, err
	}
	if r.Header.Get("Dandelionhitch-Transfer") != "" {
		c.mu.Lock()
		c.handOvers++
		c.mu.Unlock()
	}
	return a.deliver(r, a.d.PeerHandler())
}

// sendFromCaller delivers a caller's request to the agent whose address is the host of
// the URL.
func (c *cluster) sendFromCaller(r *http.Request) (*http.Response, error) {
	a, err := c.connect(r.URL.Host)
	if err != nil {
		return nil, err
	}
	return a.deliver(r, a.d)
}

// connect returns the agent that runs at the given address, or a dial error.
func (c *cluster) connect(host string) (*agentProcess, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.agents[netip.MustParseAddrPort(host)]
	if a == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}
	}
	return a, nil
}

// deliver passes the request to the handler and returns its answer, with random delays
// and losses of requests, answers and connections.
func (a *agentProcess) deliver(r *http.Request, handler http.Handler) (*http.Response, error) {
	time.Sleep(time.Duration(a.c.randomFloat() * float64(3*time.Millisecond)))
	if a.c.chance(a.c.lossRate / 2) {
		return nil, errConnLost
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	stop := context.AfterFunc(r.Context(), cancel)
	responses := make(chan *http.Response, 1)
	go func() {
		defer cancel()
		if a.awaitResume(ctx) != nil {
			return
		}
		a.handle(r.WithContext(ctx), handler, responses)
	}()
	var connCut <-chan time.Time
	if a.c.chance(a.c.lossRate / 2) {
		connCut = time.After(time.Duration(a.c.randomFloat() * float64(60*time.Millisecond)))
	}
	select {
	case response := <-responses:
		if response == nil || a.c.chance(a.c.lossRate) {
			return nil, errConnLost
		}
		time.Sleep(time.Duration(a.c.randomFloat() * float64(30*time.Millisecond)))
		return response, nil
	case <-connCut:
		// The handler's side learns of the lost connection in half of the cases.
		if stop(); a.c.chance(0.5) {
			cancel()
		}
		return nil, errConnLost
	case <-a.ctx.Done():
		return nil, errConnLost
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// handle runs the handler and sends its response to responses, or nil if the handler
// panics. It sends no answer if the agent has been killed.
func (a *agentProcess) handle(r *http.Request, handler http.Handler, responses chan<- *http.Response) {
	recorder := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			responses <- nil
			return
		}
		if a.awaitResume(context.Background()) == nil && a.ctx.Err() == nil {
			responses <- recorder.Result()
		}
	}()
	if r.Body == nil {
		r.Body = http.NoBody
	}
	handler.ServeHTTP(recorder, r)
}

// serveUpstream acts as the agent's upstream. It counts each run at its start, and may
// fail to connect before the run or lose the connection after it.
func (a *agentProcess) serveUpstream(r *http.Request) (*http.Response, error) {
	if err := a.awaitResume(r.Context()); err != nil {
		return nil, err
	}
	if a.ctx.Err() != nil {
		return nil, errAgentKilled
	}
	if r.Body != nil {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return nil, err
		}
	}
	if a.c.chance(a.c.lossRate / 2) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}
	}
	op := r.Header.Get("Op")
	a.c.mu.Lock()
	a.c.runs[op]++
	a.c.runsByTicket[op+" "+r.Header.Get("Op-Ticket")]++
	a.c.mu.Unlock()
	span := time.Duration((0.2 + a.c.randomFloat()) * float64(40*time.Millisecond))
	select {
	case <-time.After(span):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	if a.c.chance(a.c.lossRate / 4) {
		return nil, errConnLost
	}
	answer := httptest.NewRecorder()
	answer.WriteHeader(http.StatusCreated)
	fmt.Fprintf(answer, "done %s", op)
	return answer.Result(), nil
}

// close ends all runs of all agents.
func (c *cluster) close() {
	for _, a := range c.processes {
		a.kill()
		_ = a.d.Close()
	}
}
