package standin_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/standin"
)

// runWithSilentUpstream simulates calls to the services orders and photos, and silences the
// first host of orders at 7 s. For the time from 7 s on, it returns how long after 7 s the
// host's sidecar last accepted a flow, how long after 7 s a relay last offered a flow to
// that sidecar, and the number of the relays' offers to it.
func runWithSilentUpstream(seed uint64, silence func(*standin.SimulatedVM)) (lastAccepted, lastOffer time.Duration, offers int) {
	const at, until = 7 * _seconds, 10 * _seconds
	s := newScenario(seed)
	silent := s.orders[0]
	s.startCalls(300, until)
	s.OnRecord = func(vm netip.Addr, r decision.Record) {
		switch {
		case s.Now() < at || s.Now() > until:
		case vm == silent.Addr && r.Action == decision.Accepted:
			lastAccepted = s.Now() - at
		case r.Action == decision.Placed && r.Target == silent.Addr:
			lastOffer = s.Now() - at
			offers++
		}
	}
	s.At(at, func() { silence(silent) })
	s.Run(until)
	return lastAccepted, lastOffer, offers
}

// TestSilentUpstreamGetsNoFlows crashes an upstream without notice. Its sidecar detects
// from unanswered opening packets that the upstream is silent, which takes 150 ms and two
// ticks of 20 ms, so it must not accept a flow later than 200 ms after the crash.
func TestSilentUpstreamGetsNoFlows(t *testing.T) {
	skipUnderRaceDetector(t)
	t.Parallel()
	for seed := range uint64(5) {
		lastAccepted, lastOffer, _ := runWithSilentUpstream(seed, (*standin.SimulatedVM).KillUpstream)
		t.Logf("seed %d: last flow accepted after %v, last offer after %v", seed, lastAccepted, lastOffer)
		assert.Assert(t, lastAccepted <= 200*time.Millisecond, "seed %d: flow accepted %v after the crash", seed, lastAccepted)
	}
}

// TestFrozenHostGetsFewOffers freezes a host with its sidecar. Each of the six relays
// detects on its own that its offers are not answered. It may then retry after 0.5 s, and
// must double the delay with each retry, so that the frozen host gets few offers.
func TestFrozenHostGetsFewOffers(t *testing.T) {
	skipUnderRaceDetector(t)
	t.Parallel()
	const relays, retriesIn3s = 6, 3 // Retries come 0.5, 1.5 and 3.5 s after the detection.
	for seed := range uint64(5) {
		_, lastOffer, offers := runWithSilentUpstream(seed, (*standin.SimulatedVM).Freeze)
		t.Logf("seed %d: %d offers, the last one after %v", seed, offers, lastOffer)
		assert.Assert(t, offers <= relays*(2+retriesIn3s), "seed %d: %d offers to a frozen host in 3 s", seed, offers)
	}
}
