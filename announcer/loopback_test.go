package announcer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/control"
	"dandelionhitch.example/keeper"
	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
)

// _loopbackTimeout bounds each wait for an event that takes a few seconds, so that
// a fault fails the test instead of hanging it.
const _loopbackTimeout = 30 * time.Second

// loopbackConfig returns a TLS configuration for clients and servers on 127.0.0.1.
func loopbackConfig(t testing.TB) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	pool.AddCert(certificate)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, RootCAs: pool, ClientCAs: pool,
	}
}

// loopback is the control plane of one balancer on TCP and TLS connections.
type loopback struct {
	server *control.Server
	client *control.Client
	keeper *keeper.Keeper
	addr   netip.AddrPort
	// done receives the result of Serve.
	done chan error
}

func newLoopback(t testing.TB) *loopback {
	t.Helper()
	config := loopbackConfig(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &loopback{
		server: control.NewServer(config), client: control.NewClient(config),
		addr: netip.MustParseAddrPort(listener.Addr().String()), done: make(chan error, 1),
	}
	l.keeper, err = keeper.New(roster.Member{
		Name: "entry", Place: "oslo-a", Data: l.addr, Control: l.addr, Incarnation: 1,
	}, l.client)
	assert.NilError(t, err)
	assert.NilError(t, l.keeper.Register(l.server))
	go l.run(listener)
	return l
}

func (l *loopback) run(listener net.Listener) { l.done <- l.server.Serve(listener) }

func (l *loopback) close(t testing.TB) {
	assert.NilError(t, l.keeper.Close())
	assert.NilError(t, l.client.Close())
	assert.NilError(t, l.server.Close())
	assert.NilError(t, <-l.done)
}

// waitForView waits until the condition holds for the keeper's view. It fails the
// test after _loopbackTimeout.
func (l *loopback) waitForView(t testing.TB, want string, condition func(roster.View) bool) {
	t.Helper()
	timeout := time.After(_loopbackTimeout)
	for !condition(l.keeper.View()) {
		receive(t, want, l.keeper.Updates(), timeout)
	}
}

// receive waits for a value. If timeout fires first, it fails the test with want,
// which describes the expected state.
func receive(t testing.TB, want string, values <-chan struct{}, timeout <-chan time.Time) {
	t.Helper()
	select {
	case <-values:
	case <-timeout:
		t.Fatalf("timed out after %v waiting until %s", _loopbackTimeout, want)
	}
}

// eligibleCount returns the condition that n upstreams of service 1 are eligible
// for new flows.
func eligibleCount(n int) func(roster.View) bool {
	return func(v roster.View) bool { return len(v.Services[1]) == n }
}

// runGone returns the condition that the first record in the list of ended runs
// has the incarnation.
func runGone(incarnation service.Incarnation) func(roster.View) bool {
	return func(v roster.View) bool { return v.Gone[0].Incarnation == incarnation }
}

// TestMembershipOverTLS runs an announcer and a keeper over TLS on loopback. The
// agent's process ends without notice, and the keeper must declare the run gone
// because the connection is refused. Then the agent restarts, drains and closes; the
// keeper's view must follow.
func TestMembershipOverTLS(t *testing.T) {
	defer goleak.VerifyNone(t)
	l := newLoopback(t)
	receive(t, "the balancer serves", l.keeper.Joined(), time.After(_loopbackTimeout))
	port, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := netip.MustParseAddrPort(port.Addr().String())
	record := roster.Upstream{
		Service: 1, Name: "orders", Place: "oslo-a", Data: addr, Control: addr, Incarnation: 7,
		State: service.Serving, Weight: 1,
	}
	a, err := New(record, l.client, []netip.AddrPort{l.addr})
	assert.NilError(t, err)
	l.waitForView(t, "the upstream is eligible", eligibleCount(1))

	// The agent's process ends without notice: its port is closed and its heartbeats stop.
	a.tomb.Kill(nil)
	assert.NilError(t, a.tomb.Wait())
	port.Close()
	l.waitForView(t, "the dead upstream is ineligible", eligibleCount(0))
	l.waitForView(t, "its run is declared gone", runGone(record.Incarnation))

	record.Incarnation = 8
	a, err = New(record, l.client, []netip.AddrPort{l.addr})
	assert.NilError(t, err)
	l.waitForView(t, "the next run is eligible", eligibleCount(1))
	ctx, cancel := context.WithTimeout(t.Context(), _loopbackTimeout)
	defer cancel()
	assert.NilError(t, a.Drain(ctx))
	l.waitForView(t, "the draining upstream is ineligible", eligibleCount(0))
	var records keeper.RecordsReply
	assert.NilError(t, l.client.Call(ctx, l.addr, keeper.MethodRecords, &keeper.RecordsRequest{}, &records))
	assert.Equal(t, records.Upstreams[0].State, service.Draining)
	assert.NilError(t, a.Close())
	var members keeper.MembersReply
	assert.NilError(t, l.client.Call(ctx, l.addr, keeper.MethodMembers, &keeper.MembersRequest{}, &members))
	assert.Equal(t, members.Members[0].Name, "entry")
	l.close(t)
}

// BenchmarkHeartbeat sends heartbeats over TLS on loopback. Bytes are counted in
// the TCP streams, so they include TLS but no TCP and IP headers.
func BenchmarkHeartbeat(b *testing.B) {
	l := newLoopback(b)
	defer l.close(b)
	receive(b, "the balancer serves", l.keeper.Joined(), time.After(_loopbackTimeout))
	ctx := context.Background()
	record := roster.Upstream{
		Service: 1, Name: "orders", Place: "oslo-a", Data: l.addr, Control: l.addr, Incarnation: 90_000_000, Seq: 1,
		State: service.Serving, Weight: 1, Load: 1,
	}
	request := &keeper.HeartbeatRequest{Data: l.addr, Incarnation: record.Incarnation, Seq: 1, Record: &record, WantPeers: true, Load: 50}
	reply := &keeper.HeartbeatReply{}
	assert.NilError(b, l.client.Call(ctx, l.addr, keeper.MethodHeartbeat, request, reply))
	request.Choices = keeper.ChoicesHash(reply.Choices)
	request.Record = nil
	before := l.client.Counters()
	b.ReportAllocs()
	for b.Loop() {
		assert.NilError(b, l.client.Call(ctx, l.addr, keeper.MethodHeartbeat, request, &keeper.HeartbeatReply{}))
	}
	after := l.client.Counters()
	b.ReportMetric(float64(after.BytesOut-before.BytesOut)/float64(b.N), "B-out/op")
	b.ReportMetric(float64(after.BytesIn-before.BytesIn)/float64(b.N), "B-in/op")
}
