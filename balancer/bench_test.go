package balancer

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// _slice is how long one measurement of a rate lasts.
const _slice = 200 * time.Millisecond

// BenchmarkForward measures the datagrams a second through a balancer and
// through a bare relay, one after the other in each round, under a sender that
// never waits. The ratio is what the balancer keeps of the relay's rate.
func BenchmarkForward(b *testing.B) {
	for _, c := range []struct {
		octets   int
		wildcard bool
	}{{64, false}, {1200, false}, {1200, true}} {
		b.Run(fmt.Sprintf("octets=%d/wildcard=%t", c.octets, c.wildcard), func(b *testing.B) {
			bench := newBench(b)
			front := bench.balancer.Listeners()[0]
			if c.wildcard {
				front = bench.wildcard()[0]
			}
			relay := startRelay(b, bench.agentAddr)
			received := countOn(b, bench.agent)
			datagram := bench.short(1, 2, c.octets)
			var through, bare float64
			for b.Loop() {
				through += throughput(b, front, datagram, received)
				bare += throughput(b, relay, datagram, received)
			}
			b.ReportMetric(through/float64(b.N), "datagrams/s")
			b.ReportMetric(bare/float64(b.N), "relay-datagrams/s")
			b.ReportMetric(through/bare, "ratio")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkReply is the way back, from an agent to a caller.
func BenchmarkReply(b *testing.B) {
	bench := newBench(b)
	relay := startRelay(b, bench.callerAddr)
	received := countOn(b, bench.caller)
	h := bench.reply(bench.keys, nil)
	var through, bare float64
	for b.Loop() {
		through += throughput(b, bench.balancer.Addr(), h, received)
		bare += throughput(b, relay, h, received)
	}
	b.ReportMetric(through/float64(b.N), "datagrams/s")
	b.ReportMetric(through/bare, "ratio")
	b.ReportMetric(0, "ns/op")
}

// throughput sends datagrams as fast as it can and returns how many a second arrive.
func throughput(b *testing.B, to netip.AddrPort, datagram []byte, received *atomic.Int64) float64 {
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(to))
	assert.NilError(b, err)
	defer conn.Close()
	var stop atomic.Bool
	var wg sync.WaitGroup
	wg.Go(func() {
		for !stop.Load() {
			_, _ = conn.Write(datagram)
		}
	})
	time.Sleep(_slice / 4) // until the buffers are full
	from, start := received.Load(), time.Now()
	time.Sleep(_slice)
	arrived, span := received.Load()-from, time.Since(start)
	stop.Store(true)
	wg.Wait()
	time.Sleep(_slice / 4) // until the buffers are empty
	return float64(arrived) / span.Seconds()
}

// startRelay runs a loop that only reads and writes.
func startRelay(b *testing.B, to netip.AddrPort) netip.AddrPort {
	conn, addr := socket(b)
	assert.NilError(b, grow(conn))
	var wg sync.WaitGroup
	wg.Go(func() {
		var buf [2048]byte
		for {
			n, _, err := conn.ReadFromUDPAddrPort(buf[:])
			if errors.Is(err, net.ErrClosed) {
				return
			}
			_, _ = conn.WriteToUDPAddrPort(buf[:n], to)
		}
	})
	b.Cleanup(func() {
		conn.Close()
		wg.Wait()
	})
	return addr
}

func countOn(b *testing.B, conn *net.UDPConn) *atomic.Int64 {
	assert.NilError(b, grow(conn))
	var count atomic.Int64
	var wg sync.WaitGroup
	wg.Go(func() {
		var buf [2048]byte
		for {
			if _, _, err := conn.ReadFromUDPAddrPort(buf[:]); err != nil {
				return
			}
			count.Add(1)
		}
	})
	b.Cleanup(func() {
		conn.Close()
		wg.Wait()
	})
	return &count
}
