package balancer

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// _measureTime is the duration of one measurement of a rate.
const _measureTime = 200 * time.Millisecond

// BenchmarkForward compares the datagrams per second that pass a balancer and a plain
// UDP relay. Each round measures one after the other, with a sender that sends as fast
// as it can. The ratio is the rate through the balancer divided by that through the
// relay.
func BenchmarkForward(b *testing.B) {
	for _, octets := range []int{64, 1200} {
		b.Run(fmt.Sprintf("octets=%d", octets), func(b *testing.B) {
			h := newHarness(b)
			compareWithRelay(b, h.balancer.Listeners()[0], h.agent, h.shortPacket(1, 2, octets))
		})
	}
	b.Run("wildcard", func(b *testing.B) {
		h := newHarness(b)
		compareWithRelay(b, h.useWildcard()[0], h.agent, h.shortPacket(1, 2, 1200))
	})
	b.Run("reply", func(b *testing.B) {
		h := newHarness(b)
		compareWithRelay(b, h.balancer.Addr(), h.caller, h.wrapReply(h.keys, nil))
	})
}

func compareWithRelay(b *testing.B, balancer netip.AddrPort, sink *net.UDPConn, datagram []byte) {
	relay := startRelay(b, localAddr(sink))
	received := countReceived(b, sink)
	var balancerRate, relayRate float64
	for b.Loop() {
		balancerRate += throughput(b, balancer, datagram, received)
		relayRate += throughput(b, relay, datagram, received)
	}
	b.ReportMetric(balancerRate/float64(b.N), "datagrams/s")
	b.ReportMetric(relayRate/float64(b.N), "relay-datagrams/s")
	b.ReportMetric(balancerRate/relayRate, "ratio")
	b.ReportMetric(0, "ns/op")
}

// throughput sends datagrams as fast as possible and returns how many per second arrive.
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
	time.Sleep(_measureTime / 4) // until the buffers are full
	from, start := received.Load(), time.Now()
	time.Sleep(_measureTime)
	arrived, span := received.Load()-from, time.Since(start)
	stop.Store(true)
	wg.Wait()
	time.Sleep(_measureTime / 4) // until the buffers are empty
	return float64(arrived) / span.Seconds()
}

// startRelay starts a plain UDP relay, a loop that only reads datagrams and sends
// them to the given address. It returns the relay's address.
func startRelay(b *testing.B, to netip.AddrPort) netip.AddrPort {
	conn, addr := listenUDP(b)
	readLoop(b, conn, func(datagram []byte) { _, _ = conn.WriteToUDPAddrPort(datagram, to) })
	return addr
}

// countReceived returns a counter of the datagrams that arrive on conn.
func countReceived(b *testing.B, conn *net.UDPConn) *atomic.Int64 {
	var count atomic.Int64
	readLoop(b, conn, func([]byte) { count.Add(1) })
	return &count
}

// readLoop starts a goroutine that calls handle for each datagram on conn. The
// goroutine ends with the benchmark.
func readLoop(b *testing.B, conn *net.UDPConn, handle func(datagram []byte)) {
	assert.NilError(b, setSocketBuffers(conn))
	var wg sync.WaitGroup
	wg.Go(func() {
		var buf [2048]byte
		for {
			n, _, err := conn.ReadFromUDPAddrPort(buf[:])
			if err != nil {
				return
			}
			handle(buf[:n])
		}
	})
	b.Cleanup(func() {
		conn.Close()
		wg.Wait()
	})
}
