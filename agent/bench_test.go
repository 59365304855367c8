package agent

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/service"
)

// BenchmarkFlowMemory opens flows with one request each, forgets the callers'
// ends without telling the agent, and reports what a flow holds at the agent.
func BenchmarkFlowMemory(b *testing.B) {
	const flows = 1000
	r := newRig(b, 1, 1, 1)
	a := r.agents[0][0]
	for b.Loop() {
		before := heldOctets()
		open := a.Flows()
		r.openAndForget(b, flows)
		held := heldOctets() - before
		assert.Equal(b, a.Flows()-open, flows)
		b.ReportMetric(float64(held)/flows, "octets/flow")
	}
	b.ReportMetric(0, "ns/op")
}

func (r *rig) openAndForget(b *testing.B, flows int) {
	conn, _ := listenUDP(b)
	transport := &quic.Transport{Conn: conn}
	defer transport.Close()
	var wg sync.WaitGroup
	limit := make(chan struct{}, 20)
	for range flows {
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			assert.Check(b, r.openOne(transport))
		})
	}
	wg.Wait()
}

func (r *rig) openOne(transport *quic.Transport) error {
	config := &tls.Config{RootCAs: r.pool, ServerName: _serverName, NextProtos: []string{http3.NextProtoH3}}
	conn, err := transport.Dial(context.Background(), net.UDPAddrFromAddrPort(r.sprayers[0].address), config, &quic.Config{})
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodGet, "https://"+_serverName, nil)
	if err != nil {
		return err
	}
	response, err := new(http3.Transport).NewClientConn(conn).RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

func heldOctets() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkReceive is one packet of an established flow on its way to QUIC.
func BenchmarkReceive(b *testing.B) {
	r := newRig(b, 1, 1, 1)
	a := r.agents[0][0]
	var s packet.Sealer
	cid, err := s.Seal(r.keys, 1, packet.CID{Service: 1, Agent: a.Addr(), Incarnation: 1, Nonce: packet.MaxNonce})
	assert.NilError(b, err)
	buf := make([]byte, packet.MaxWrapped)
	buf[packet.HeaderLen] = 0x40
	copy(buf[packet.HeaderLen+1:], cid[:])
	h := packet.Header{
		Kind: packet.Flow, Service: service.ID(1), Caller: addrOf(1), Address: addrOf(2), Balancer: r.balancers[0].Addr(),
	}
	wrapped, err := packet.Wrap(r.keys, &h, buf, 1200)
	assert.NilError(b, err)
	c := &conn{agent: a}
	b.ReportAllocs()
	for b.Loop() {
		c.receive(wrapped)
	}
}

// BenchmarkRefuse has a crowd of callers come at once to a service that is full,
// and reports how long they wait for the refusal.
func BenchmarkRefuse(b *testing.B) {
	const callers = 300
	for b.Loop() {
		r := newRig(b, 3, 1, 2)
		for _, a := range r.agents[0] {
			a.draining.Do(a.startDraining)
		}
		spans := make([]time.Duration, callers)
		var wg sync.WaitGroup
		for i := range spans {
			client := r.client(0)
			wg.Go(func() {
				start := time.Now()
				assert.Check(b, r.call(client, 0, 10) != nil)
				spans[i] = time.Since(start)
			})
		}
		wg.Wait()
		slices.Sort(spans)
		b.ReportMetric(spans[callers/2].Seconds()*1000, "p50-ms")
		b.ReportMetric(spans[callers-1].Seconds()*1000, "max-ms")
	}
	b.ReportMetric(0, "ns/op")
}
