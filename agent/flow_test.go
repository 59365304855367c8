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

func assertRefused(t *testing.T, err error) {
	var refused *quic.TransportError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.ErrorCode, quic.ConnectionRefused)
}

// assertReset wants the flow to end by a stateless reset, at the next request or before.
func (r *rig) assertReset(client *http.Client, conn *quic.Conn) {
	_ = r.call(client, 0, 10)
	<-conn.Context().Done()
	var reset *quic.StatelessResetError
	assert.Assert(r.t, errors.As(context.Cause(conn.Context()), &reset), "%v", context.Cause(conn.Context()))
}

// TestWhole sends requests of two services over balancers that come and go. The
// answers name the service that gave them.
func TestWhole(t *testing.T) {
	r := newRig(t, 4, 2, 2)
	var wg sync.WaitGroup
	steps := make(chan struct{}, 8)
	for i := range 8 {
		wg.Go(func() {
			svc := i % 2
			client := r.client(svc)
			for range 6 {
				assert.Check(t, r.call(client, svc, 50_000))
				steps <- struct{}{}
			}
		})
	}
	wait := func(n int) {
		for range n {
			<-steps
		}
	}
	wait(10)
	// A balancer dies while the fabric still sends to it.
	assert.NilError(t, r.balancers[0].Close())
	wait(2)
	r.balancers = r.balancers[1:]
	r.spray()
	wait(10)
	r.addBalancer()
	wait(48 - 22)
	wg.Wait()
}

// TestViews has two balancers that know nothing of each other's agents.
func TestViews(t *testing.T) {
	r := newRig(t, 2, 1, 2)
	for i, b := range r.balancers {
		table, err := route.New([]route.Service{{
			ID: 1, Addresses: []netip.AddrPort{r.sprayers[0].address},
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

// TestQuietCaller kills the balancer that carried a request while the caller
// waits for the answer, and lets nothing more of the caller through until the
// agent has found another balancer.
func TestQuietCaller(t *testing.T) {
	var live atomic.Pointer[[]netip.AddrPort]
	live.Store(new([]netip.AddrPort))
	r := newRig(t, 2, 1, 1, WithBalancers(func() []netip.AddrPort { return *live.Load() }))
	live.Store(&[]netip.AddrPort{r.balancers[0].Addr(), r.balancers[1].Addr()})
	s := r.sprayers[0]
	s.setTargets(r.balancers[0].Listeners()[0])
	done := make(chan error, 1)
	var wg sync.WaitGroup
	wg.Go(func() { done <- r.callPath(r.client(0), "/wait", 0, 100) })
	<-r.started
	s.setTargets()
	assert.NilError(t, r.balancers[0].Close())
	r.release()
	for r.balancers[1].Counts().Replies == 0 {
		time.Sleep(time.Millisecond)
	}
	s.setTargets(r.balancers[1].Listeners()[0])
	assert.NilError(t, <-done)
	wg.Wait()
}

// TestDrain drains an agent that the balancers go on offering flows to.
func TestDrain(t *testing.T) {
	r := newRig(t, 2, 1, 2)
	client := r.client(0)
	done := make(chan error, 1)
	var wg sync.WaitGroup
	wg.Go(func() { done <- r.callPath(client, "/wait", 0, 50_000) })
	<-r.started
	leaving := r.holder(0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorContains(t, leaving.Drain(ctx), "1 flows open")
	assert.Equal(t, leaving.State(), service.Draining)
	for range 6 {
		assert.NilError(t, r.call(r.client(0), 0, 1000))
	}
	assert.Equal(t, leaving.Flows(), 1, "a draining agent took a new flow")
	r.release()
	assert.NilError(t, <-done, "a request in progress was cut")
	wg.Wait()

	// The caller closes its flow after GOAWAY, and the drain is over.
	client.CloseIdleConnections()
	_ = client.Transport.(interface{ Close() error }).Close()
	assert.NilError(t, leaving.Drain(t.Context()))
	leaving.Serve()
	assert.Equal(t, leaving.State(), service.Draining)

	// With no agent left a new flow is refused at once.
	for _, a := range r.agents[0] {
		_ = a.Drain(ctx)
	}
	for _, version := range []quic.Version{quic.Version1, quic.Version2} {
		r.versions = []quic.Version{version}
		assertRefused(t, r.call(r.client(0), 0, 10))
	}
}

// TestFull passes flows on until both agents are full, then refuses, and takes
// one again when one has ended.
func TestFull(t *testing.T) {
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
	assert.NilError(t, r.call(second, 0, 10), "an established flow was cut")
}

// TestDeadPeer has an agent pass a flow to a peer that said it was idle and has
// died since. When the caller repeats its Initial the agent takes the flow.
func TestDeadPeer(t *testing.T) {
	r := newRig(t, 1, 1, 1)
	a := r.agents[0][0]
	for range 4 {
		assert.NilError(t, r.call(r.client(0), 0, 10))
	}
	dead, addr := listenUDP(t)
	table, err := route.New([]route.Service{{
		ID: 1, Addresses: []netip.AddrPort{r.sprayers[0].address},
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
	assert.Equal(t, a.Counts().Passed, passed, "the dead peer is still believed")
}

// TestRestart kills an agent and starts another at its address: the flow is
// reset at once. With another service there, as when an address is used again,
// the caller learns it too.
func TestRestart(t *testing.T) {
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

// TestGone kills an agent for good: once its end is confirmed to the balancers
// they reset its flows, and no others.
func TestGone(t *testing.T) {
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

// TestPause pauses an agent: its flows outlive the pause without a reset, and
// until it has heard its peers again it admits no flow.
func TestPause(t *testing.T) {
	var mu sync.Mutex
	now, heard := time.Now(), true
	set := func(f func()) {
		mu.Lock()
		defer mu.Unlock()
		f()
	}
	clock := withClock(func() (at time.Time) {
		set(func() { at = now })
		return at
	})
	fresh := WithFresh(func(time.Time) (ok bool) {
		set(func() { ok = heard })
		return ok
	})
	r := newRig(t, 2, 1, 1, clock, fresh)
	client := r.client(0)
	assert.NilError(t, r.call(client, 0, 10))
	set(func() { now, heard = now.Add(time.Hour), false })
	assert.NilError(t, r.call(client, 0, 10), "an established flow was cut")

	newcomer := r.client(0)
	done := make(chan error, 1)
	var wg sync.WaitGroup
	wg.Go(func() { done <- r.call(newcomer, 0, 10) })
	for r.agents[0][0].Counts().Dropped == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, r.agents[0][0].Flows(), 1)
	set(func() { heard = true })
	assert.NilError(t, <-done)
	wg.Wait()
	assert.Equal(t, r.agents[0][0].Counts().Resets, uint64(0))
}

// TestUnopened gives back what was admitted for packets that open no connection.
func TestUnopened(t *testing.T) {
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

// TestRebind gives a caller another address in the middle of its flow.
func TestRebind(t *testing.T) {
	r := newRig(t, 3, 1, 2)
	client := r.client(0)
	for range 4 {
		assert.NilError(t, r.call(client, 0, 50_000))
		r.sprayers[0].rebind()
	}
	assert.Equal(t, r.agents[0][0].Flows()+r.agents[0][1].Flows(), 1)
}

// TestRotation changes the key under an open flow, in the order that operators do.
func TestRotation(t *testing.T) {
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

// TestProof has callers prove their addresses while handshakes are many. Junk
// then holds nothing, and a caller gets through.
func TestProof(t *testing.T) {
	r := newRig(t, 2, 1, 2, WithHandshakes(0))
	_, err := r.dial(0).Write(junkInitial())
	assert.NilError(t, err)
	assert.NilError(t, r.call(r.client(0), 0, 50_000))
	counts := [2]Counts{r.agents[0][0].Counts(), r.agents[0][1].Counts()}
	assert.Equal(t, counts[0].Admitted+counts[1].Admitted, uint64(1))
	assert.Check(t, counts[0].Unproved+counts[1].Unproved >= 2)
	assert.Equal(t, r.gates[0][0].open.Load()+r.gates[0][1].open.Load(), int64(1))
}

// junkInitial is an Initial that opens no connection.
func junkInitial() []byte {
	return append([]byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8, 0xff}, make([]byte, 1200)...)
}
