package standin_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/standin"
)

// silentDay plays a load on orders and photos and silences the first upstream of
// orders at 7 s. It returns when its sidecar last gave it a new flow after that,
// when a relay last offered it one, and how many offers there were.
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

// TestSilentUpstreamGetsNoFlows crashes an upstream. Its sidecar must notice by
// the opening packets that it does not answer, which takes 150 ms and two ticks
// of 20 ms, and give it none beyond a fifth of a second.
func TestSilentUpstreamGetsNoFlows(t *testing.T) {
	skipUnderRaceDetector(t)
	for seed := range uint64(5) {
		lastAccepted, lastOffer, _ := runWithSilentUpstream(seed, (*standin.SimulatedVM).KillUpstream)
		t.Logf("seed %d: last given after %v, last offered after %v", seed, lastAccepted, lastOffer)
		assert.Assert(t, lastAccepted <= 200*time.Millisecond, "seed %d: given a flow %v after the crash", seed, lastAccepted)
	}
}

// TestFrozenHostGetsFewOffers freezes a host with its sidecar. Each of the six
// relays learns by itself that offers are not answered; it may then try once in
// 0.5 s, and more rarely each time.
func TestFrozenHostGetsFewOffers(t *testing.T) {
	skipUnderRaceDetector(t)
	const relays, retriesIn3s = 6, 3 // after 0.5, 1.5 and 3.5 s
	for seed := range uint64(5) {
		_, lastOffer, offers := runWithSilentUpstream(seed, (*standin.SimulatedVM).Freeze)
		t.Logf("seed %d: %d offers, the last after %v", seed, offers, lastOffer)
		assert.Assert(t, offers <= relays*(2+retriesIn3s), "seed %d: %d offers to a frozen host in 3 s", seed, offers)
	}
}
