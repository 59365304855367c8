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

// BenchmarkFlowMemory reports the memory that one open flow occupies at the agent.
// It opens flows with one request each and drops the callers' connections without
// closing them, so that only the agent's side remains in memory.
func BenchmarkFlowMemory(b *testing.B) {
	const flows = 1000
	r := newRig(b, 1, 1, 1)
	a := r.agents[0][0]
	for b.Loop() {
		before := memoryInUse()
		open := a.Flows()
		r.openAndAbandon(b, flows)
		grown := memoryInUse() - before
		assert.Equal(b, a.Flows()-open, flows)
		b.ReportMetric(float64(grown)/flows, "octets/flow")
	}
	b.ReportMetric(0, "ns/op")
}

// openAndAbandon opens flows, 20 at a time, and then closes the callers' socket
// without closing the flows.
func (r *rig) openAndAbandon(b *testing.B, flows int) {
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
	conn, err := transport.Dial(context.Background(), net.UDPAddrFromAddrPort(r.fabrics[0].address), config, &quic.Config{})
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

// memoryInUse returns the octets in use on heap and stacks after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkReceive measures the handling of one packet of an open flow until QUIC
// gets it.
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

// BenchmarkRefuse reports the median and the longest time until a new flow is
// refused, when 300 callers connect at the same time to a service whose agents all
// drain.
func BenchmarkRefuse(b *testing.B) {
	const callers = 300
	for b.Loop() {
		r := newRig(b, 3, 1, 2)
		for _, a := range r.agents[0] {
			a.drainOnce.Do(a.startDraining)
		}
		waits := make([]time.Duration, callers)
		var wg sync.WaitGroup
		for i := range waits {
			client := r.client(0)
			wg.Go(func() {
				start := time.Now()
				assert.Check(b, r.call(client, 0, 10) != nil)
				waits[i] = time.Since(start)
			})
		}
		wg.Wait()
		slices.Sort(waits)
		b.ReportMetric(waits[callers/2].Seconds()*1000, "p50-ms")
		b.ReportMetric(waits[callers-1].Seconds()*1000, "max-ms")
	}
	b.ReportMetric(0, "ns/op")
}
