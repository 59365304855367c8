package agent

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/route"
	"dandelionhitch.example/service"
)

// assertRefused checks that err is a QUIC connection refusal.
func assertRefused(t *testing.T, err error) {
	var refused *quic.TransportError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.ErrorCode, quic.ConnectionRefused)
}

// assertReset checks that the flow ends with a stateless reset, at the latest when
// the client sends its next request.
func (r *rig) assertReset(client *http.Client, conn *quic.Conn) {
	_ = r.call(client, 0, 10)
	<-conn.Context().Done()
	var reset *quic.StatelessResetError
	assert.Assert(r.t, errors.As(context.Cause(conn.Context()), &reset), "%v", context.Cause(conn.Context()))
}

// TestRequestsWhileBalancersChange sends requests to two services while one
// balancer fails and another is added. Every request must be answered by the right
// service.
func TestRequestsWhileBalancersChange(t *testing.T) {
	r := newRig(t, 4, 2, 2)
	var wg sync.WaitGroup
	answered := make(chan struct{}, 8)
	for i := range 8 {
		wg.Go(func() {
			svc := i % 2
			client := r.client(svc)
			for range 6 {
				assert.Check(t, r.call(client, svc, 50_000))
				answered <- struct{}{}
			}
		})
	}
	waitAnswers := func(n int) {
		for range n {
			<-answered
		}
	}
	waitAnswers(10)
	// A balancer fails while the fabric still sends to it.
	assert.NilError(t, r.balancers[0].Close())
	waitAnswers(2)
	r.balancers = r.balancers[1:]
	r.updateFabrics()
	waitAnswers(10)
	r.addBalancer()
	waitAnswers(48 - 22)
	wg.Wait()
}

// TestBalancersWithDisjointTables gives each of two balancers a table without the
// other's agent. The packets of a flow must reach the agent that holds it, whichever
// balancer forwards them.
func TestBalancersWithDisjointTables(t *testing.T) {
	r := newRig(t, 2, 1, 2)
	for i, b := range r.balancers {
		table, err := route.New([]route.Service{{
			ID: 1, Addresses: []netip.AddrPort{r.fabrics[0].address},
			Candidates: []route.Candidate{{Addr: r.agents[0][i].Addr(), Weight: 1}},
		}})
		assert.NilError(t, err)
		b.SetTable(table)
	}
	for range 5 {
		client := r.client(0)
		for range 3 {
			assert.NilError(t, r.call(client, 0, 50_000))
		}
	}
}

// TestAnswerAfterBalancerFails closes the balancer that carried a request while the
// caller waits for the answer, and drops all further packets of the caller until
// the agent has sent a packet through another balancer. The answer must arrive.
func TestAnswerAfterBalancerFails(t *testing.T) {
	var live atomic.Pointer[[]netip.AddrPort]
	live.Store(new([]netip.AddrPort))
	r := newRig(t, 2, 1, 1, WithBalancers(func() []netip.AddrPort { return *live.Load() }))
	live.Store(&[]netip.AddrPort{r.balancers[0].Addr(), r.balancers[1].Addr()})
	fabric := r.fabrics[0]
	fabric.setTargets(r.balancers[0].Listeners()[0])
	done := make(chan error, 1)
	var wg sync.WaitGroup
	wg.Go(func() { done <- r.callPath(r.client(0), "/wait", 0, 100) })
	<-r.waiting
	fabric.setTargets()
	assert.NilError(t, r.balancers[0].Close())
	r.release()
	for r.balancers[1].Counts().Replies == 0 {
		time.Sleep(time.Millisecond)
	}
	fabric.setTargets(r.balancers[1].Listeners()[0])
	assert.NilError(t, <-done)
	wg.Wait()
}

// TestDrain drains an agent to which balancers still offer new flows. The agent
// must complete its open request and pass new flows to the other agent. When both
// drain, new flows are refused.
func TestDrain(t *testing.T) {
	r := newRig(t, 2, 1, 2)
	client := r.client(0)
	done := make(chan error, 1)
	var wg sync.WaitGroup
	wg.Go(func() { done <- r.callPath(client, "/wait", 0, 50_000) })
	<-r.waiting
	draining := r.holder(0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorContains(t, draining.Drain(ctx), "1 flows open")
	assert.Equal(t, draining.State(), service.Draining)
	for range 6 {
		assert.NilError(t, r.call(r.client(0), 0, 1000))
	}
	assert.Equal(t, draining.Flows(), 1, "a draining agent admitted a new flow")
	r.release()
	assert.NilError(t, <-done, "a request in progress was aborted")
	wg.Wait()

	// The drain ends when the caller closes its flow after GOAWAY.
	client.CloseIdleConnections()
	_ = client.Transport.(interface{ Close() error }).Close()
	assert.NilError(t, draining.Drain(t.Context()))
	draining.Serve()
	assert.Equal(t, draining.State(), service.Draining)

	// When all agents drain, a new flow is refused.
	for _, a := range r.agents[0] {
		_ = a.Drain(ctx)
	}
	for _, version := range []quic.Version{quic.Version1, quic.Version2} {
		r.versions = []quic.Version{version}
		assertRefused(t, r.call(r.client(0), 0, 10))
	}
}

// TestFlowLimit opens flows until both agents are at their gate's limit. A further
// flow must be refused, and after one of the open flows has ended, a new flow must
// be admitted.
func TestFlowLimit(t *testing.T) {
	r := newRig(t, 2, 1, 2)
	for _, g := range r.gates[0] {
		g.limit.Store(1)
	}
	first, second := r.client(0), r.client(0)
	assert.NilError(t, r.call(first, 0, 10))
	assert.NilError(t, r.call(second, 0, 10))
	assertRefused(t, r.call(r.client(0), 0, 10))
	assert.Equal(t, r.agents[0][0].Flows(), 1)
	assert.Equal(t, r.agents[0][1].Flows(), 1)
	assert.NilError(t, first.Transport.(interface{ Close() error }).Close())
	for r.agents[0][0].Flows()+r.agents[0][1].Flows() > 1 {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, r.call(r.client(0), 0, 10))
	assert.NilError(t, r.call(second, 0, 10), "an open flow was aborted")
}

// TestPassToDeadPeer lets an agent pass a flow to a peer that reported a load of zero
// and then died. The agent must admit the flow when the caller retransmits its Initial,
// and pass no further flow to that peer.
func TestPassToDeadPeer(t *testing.T) {
	r := newRig(t, 1, 1, 1)
	a := r.agents[0][0]
	for range 4 {
		assert.NilError(t, r.call(r.client(0), 0, 10))
	}
	dead, addr := listenUDP(t)
	table, err := route.New([]route.Service{{
		ID: 1, Addresses: []netip.AddrPort{r.fabrics[0].address},
		Candidates: []route.Candidate{{Addr: a.Addr(), Weight: 1e12}, {Addr: addr, Weight: 1e-12}},
	}})
	assert.NilError(t, err)
	r.balancers[0].SetTable(table)
	h := packet.Header{Kind: packet.Notice, Service: 1, Caller: addr, Address: addr, Balancer: addr}
	buf := make([]byte, packet.MaxWrapped)
	packet.Load{Room: true}.Put(buf[packet.HeaderLen:])
	notice, err := packet.Wrap(r.keys, &h, buf, packet.LoadLen)
	assert.NilError(t, err)
	_, err = dead.WriteToUDPAddrPort(notice, a.Addr())
	assert.NilError(t, err)
	assert.NilError(t, r.call(r.client(0), 0, 10))
	passed := a.Counts().Passed
	assert.Check(t, passed > 0)
	assert.NilError(t, r.call(r.client(0), 0, 10))
	assert.Equal(t, a.Counts().Passed, passed, "another flow was passed to the dead peer")
}

// TestFlowResetAfterRestart kills an agent and starts a new one at its address. The
// new agent must reset the flows of the earlier run, also if the new agent belongs to
// another service, as when an address is reused.
func TestFlowResetAfterRestart(t *testing.T) {
	for name, svc := range map[string]int{"same service": 0, "other service": 1} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, 2, 1)
			client, conn := r.clientConn(0)
			assert.NilError(t, r.call(client, 0, 10))
			old := r.agents[0][0]
			r.kill(old)
			next := r.startAgent(svc, old.Addr(), 2, &gate{})
			r.assertReset(client, <-conn)
			for next.Counts().Resets == 0 {
				time.Sleep(time.Millisecond)
			}
			if svc == 0 {
				assert.NilError(t, r.call(r.client(0), 0, 10))
			}
		})
	}
}

// TestFlowResetAfterAgentIsGone kills an agent and does not restart it. When the
// routing table lists the agent as gone, the balancers must reset its flow.
func TestFlowResetAfterAgentIsGone(t *testing.T) {
	r := newRig(t, 2, 1, 2)
	client, conn := r.clientConn(0)
	assert.NilError(t, r.call(client, 0, 10))
	dead := r.holder(0)
	for r.agents[0][0].Flows() == 0 || r.agents[0][1].Flows() == 0 {
		assert.NilError(t, r.call(r.client(0), 0, 10))
	}
	r.kill(dead)
	r.setTable(route.Gone{Addr: dead.Addr(), Incarnation: dead.incarnation})
	r.assertReset(client, <-conn)
}

// TestNoAdmissionAfterPause pauses an agent. Its open flow must outlive the pause
// without a reset, but the agent must admit no new flow until a keeper has
// answered it.
func TestNoAdmissionAfterPause(t *testing.T) {
	var mu sync.Mutex
	now, answered := time.Now(), true
	set := func(f func()) {
		mu.Lock()
		defer mu.Unlock()
		f()
	}
	clock := withClock(func() (at time.Time) {
		set(func() { at = now })
		return at
	})
	answeredSince := WithAnsweredSince(func(time.Time) (ok bool) {
		set(func() { ok = answered })
		return ok
	})
	r := newRig(t, 2, 1, 1, clock, answeredSince)
	client := r.client(0)
	assert.NilError(t, r.call(client, 0, 10))
	set(func() { now, answered = now.Add(time.Hour), false })
	assert.NilError(t, r.call(client, 0, 10), "an open flow was aborted")

	newClient := r.client(0)
	done := make(chan error, 1)
	var wg sync.WaitGroup
	wg.Go(func() { done <- r.call(newClient, 0, 10) })
	for r.agents[0][0].Counts().Dropped == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, r.agents[0][0].Flows(), 1)
	set(func() { answered = true })
	assert.NilError(t, <-done)
	wg.Wait()
	assert.Equal(t, r.agents[0][0].Counts().Resets, uint64(0))
}

// TestUnclaimedAdmissionIsReleased sends an Initial for which QUIC opens no
// connection. After _claimTimeout the agent must release the admission at the gate.
func TestUnclaimedAdmissionIsReleased(t *testing.T) {
	var mu sync.Mutex
	now := time.Now()
	r := newRig(t, 1, 1, 1, withClock(func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	}))
	_, err := r.dial(0).Write(junkInitial())
	assert.NilError(t, err)
	for r.gates[0][0].open.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	mu.Lock()
	now = now.Add(_claimTimeout)
	mu.Unlock()
	for r.gates[0][0].open.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, r.agents[0][0].Counts().Unopened, uint64(1))
	assert.Equal(t, r.agents[0][0].Flows(), 0)
}

// TestCallerAddressChange changes the caller's address during a flow, like a NAT
// that has lost its bindings. The flow must continue at the same agent.
func TestCallerAddressChange(t *testing.T) {
	r := newRig(t, 3, 1, 2)
	client := r.client(0)
	for range 4 {
		assert.NilError(t, r.call(client, 0, 50_000))
		r.fabrics[0].rebind()
	}
	assert.Equal(t, r.agents[0][0].Flows()+r.agents[0][1].Flows(), 1)
}

// TestKeyRotation adds a key and then makes it the current one, each time first at
// the balancers and then at the agent, as operators do. The open flow must continue,
// and new flows must be admitted. After a restart of the agent the flow must be reset,
// although its connection ID names the old key.
func TestKeyRotation(t *testing.T) {
	r := newRig(t, 2, 1, 1)
	client, conn := r.clientConn(0)
	assert.NilError(t, r.call(client, 0, 1000))
	for _, numbers := range [][]packet.KeyNumber{{1, 2}, {2, 1}} {
		r.keys = testKeys(t, numbers...)
		for _, b := range r.balancers {
			b.SetKeys(r.keys)
			assert.NilError(t, r.call(client, 0, 50_000))
		}
		r.agents[0][0].SetKeys(r.keys)
		assert.NilError(t, r.call(client, 0, 50_000))
		assert.NilError(t, r.call(r.client(0), 0, 1000))
	}
	old := r.agents[0][0]
	r.kill(old)
	r.startAgent(0, old.Addr(), 2, &gate{})
	r.assertReset(client, <-conn)
	assert.NilError(t, r.call(r.client(0), 0, 1000))
}

// TestAddressValidation makes agents validate the address of every caller. A
// malformed Initial must then occupy no capacity, and a caller that answers the
// Retry must be served.
func TestAddressValidation(t *testing.T) {
	r := newRig(t, 2, 1, 2, WithMaxHandshakes(0))
	_, err := r.dial(0).Write(junkInitial())
	assert.NilError(t, err)
	assert.NilError(t, r.call(r.client(0), 0, 50_000))
	counts := [2]Counts{r.agents[0][0].Counts(), r.agents[0][1].Counts()}
	assert.Equal(t, counts[0].Admitted+counts[1].Admitted, uint64(1))
	assert.Check(t, counts[0].Unproved+counts[1].Unproved >= 2)
	assert.Equal(t, r.gates[0][0].open.Load()+r.gates[0][1].open.Load(), int64(1))
}

// junkInitial returns a malformed Initial, for which QUIC opens no connection.
func junkInitial() []byte {
	return append([]byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8, 0xff}, make([]byte, 1200)...)
}

// TestNoFlowAtAgentOfAnotherServiceAtSameAddress guards against new flows at an agent of
// another service that has the address of a candidate, as long as the balancers' routing
// table lists the earlier run.
func TestNoFlowAtAgentOfAnotherServiceAtSameAddress(t *testing.T) {
	r := newRig(t, 2, 2, 1)
	old := r.agents[0][0]
	r.kill(old)
	next := r.startAgent(1, old.Addr(), 2, &gate{})
	client := r.client(0)
	client.Timeout = time.Second
	assert.Assert(t, r.call(client, 0, 10) != nil)
	counts := next.Counts()
	assert.Assert(t, counts.Dropped > 0)
	assert.Equal(t, counts.Admitted, uint64(0))
	assert.Equal(t, next.Flows(), 0)
}
