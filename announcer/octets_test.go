package announcer

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Octets around the body of a message on the wire.
const (
	// _segment is the headers of IP and TCP with timestamps. A call has three
	// segments: request, answer and acknowledgement.
	_segment = 52
	// _record is a TLS 1.3 record's header, tag and type.
	_record = 22
	// _requestFrame is the length, sequence number and keys of a request's frame;
	// the method's name comes on top. _answerFrame is that of an answer.
	_requestFrame = 4 + 7
	_answerFrame  = 4 + 5
	// _budget is the stated bound of control for one process in octets a second.
	_budget = 11_000
)

// TestControlOctets prints, with -v, what control costs each process in the
// steady state, both directions together.
func TestControlOctets(t *testing.T) {
	for _, size := range sizes() {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, size.keepers, size.agents)
			defer f.close()
			time.Sleep(20 * time.Second)
			f.mu.Lock()
			clear(f.octets)
			clear(f.calls)
			f.mu.Unlock()
			const span = 30 * time.Second
			time.Sleep(span)
			f.mu.Lock()
			defer f.mu.Unlock()
			report := func(kind string, n int, addr func(int) netip.AddrPort) {
				most, sum := 0, 0
				for i := range n {
					most = max(most, f.octets[addr(i)])
					sum += f.octets[addr(i)]
				}
				mean := float64(sum) / float64(n) / span.Seconds()
				highest := float64(most) / span.Seconds()
				t.Logf("%d/%d: %s mean %.0f, most %.0f octets/s", size.keepers, size.agents, kind, mean, highest)
				assert.Check(t, highest < _budget)
			}
			report("balancer", size.keepers, memberAddr)
			report("agent", size.agents, agentAddr)
			for method, calls := range f.calls {
				t.Logf("%d/%d: %s %.1f calls/s", size.keepers, size.agents, method, float64(calls)/span.Seconds())
			}
		})
	}
}
