package announcer

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Overhead of a message on the wire in octets, and the bound on all control traffic.
const (
	// _segmentOverhead is the size of the IP and TCP headers with the timestamp
	// option. A call takes three segments: request, reply and acknowledgement.
	_segmentOverhead = 52
	// _recordOverhead is the size of a TLS 1.3 record's header, tag and content type.
	_recordOverhead = 22
	// _requestFrameOverhead is the size of the length prefix, sequence number and
	// CBOR keys in the frame of a request, without the method's name.
	// _replyFrameOverhead is the size of these parts in the frame of a reply.
	_requestFrameOverhead = 4 + 7
	_replyFrameOverhead   = 4 + 5
	// _maxControlRate is the documented bound on the control traffic of one process
	// in octets per second.
	_maxControlRate = 11_000
)

// TestControlTraffic checks that the control traffic of each process in the steady
// state, in both directions together, stays below _maxControlRate. It prints the
// rates with -v.
func TestControlTraffic(t *testing.T) {
	for _, size := range fleetSizes() {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, size.keepers, size.agents)
			defer f.close()
			time.Sleep(20 * time.Second)
			f.mu.Lock()
			clear(f.octets)
			clear(f.calls)
			f.mu.Unlock()
			const duration = 30 * time.Second
			time.Sleep(duration)
			f.mu.Lock()
			defer f.mu.Unlock()
			report := func(kind string, n int, addr func(int) netip.AddrPort) {
				largest, sum := 0, 0
				for i := range n {
					largest = max(largest, f.octets[addr(i)])
					sum += f.octets[addr(i)]
				}
				mean := float64(sum) / float64(n) / duration.Seconds()
				maximum := float64(largest) / duration.Seconds()
				t.Logf("%d keepers, %d agents: %s mean %.0f, maximum %.0f octets/s", size.keepers, size.agents, kind, mean, maximum)
				assert.Check(t, maximum < _maxControlRate)
			}
			report("balancer", size.keepers, memberAddr)
			report("agent", size.agents, agentAddr)
			for method, calls := range f.calls {
				t.Logf("%d keepers, %d agents: %s %.1f calls/s", size.keepers, size.agents, method, float64(calls)/duration.Seconds())
			}
		})
	}
}
