package standin_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/directory"
	"dandelionhitch.example/standin"
)

const (
	_seconds = time.Second
	// _callsStart is when calls begin. It is some seconds after the start of the relays,
	// since relays refuse no calls in their first seconds.
	_callsStart = 5 * _seconds
)

var (
	_ordersAddr = netip.MustParseAddrPort("198.18.0.1:443")
	_photosAddr = netip.MustParseAddrPort("198.18.0.2:443")
)

// twoServiceTable returns a configuration with one address for each of the services
// orders and photos.
func twoServiceTable(version uint64) directory.Table {
	return directory.New(version, 15*_seconds, []directory.Route{
		{Address: _ordersAddr, Shares: []directory.Share{{Service: "orders", Weight: 1}}},
		{Address: _photosAddr, Shares: []directory.Share{{Service: "photos", Weight: 1}}},
	})
}

// scenario is a simulation with the VMs of its fleet.
type scenario struct {
	*standin.Simulation
	relays, orders, photos []*standin.SimulatedVM
	// earlyAnswers counts how often a sidecar took its upstream for a failing one because
	// of answers that came too early.
	earlyAnswers int
	// runTimes are the run times of requests, in the order of their starts.
	runTimes []time.Duration
}

// skipUnderRaceDetector skips a long simulation in short mode, in which tests run with
// the race detector. A simulation has one goroutine, so there is no race to find.
func skipUnderRaceDetector(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("a simulation has one goroutine and would take minutes under the race detector")
	}
}

// newScenario returns a fleet like that of a user's deployment: two relays in each of three
// zones, seven hosts of orders and three of photos.
func newScenario(seed uint64) *scenario {
	s := &scenario{Simulation: standin.NewSimulation(seed)}
	zones := []string{"a", "b", "c"}
	for i := range 6 {
		s.relays = append(s.relays, s.AddRelay(zones[i%3]))
	}
	for i := range 7 {
		s.orders = append(s.orders, s.AddHost(zones[i%3], "orders", s.upstreamConfig(26*time.Millisecond, 2000)))
	}
	for i := range 3 {
		s.photos = append(s.photos, s.AddHost(zones[i%3], "photos", s.upstreamConfig(4*time.Millisecond, 40_000)))
	}
	s.SetTable(twoServiceTable(1))
	return s
}

// upstreamConfig returns a configure function for AddHost. It sets the size of an
// upstream's answers, and makes the upstream draw its run times with draw.
func (s *scenario) upstreamConfig(mean time.Duration, size int) func(*standin.OpaqueUpstream) {
	return func(u *standin.OpaqueUpstream) {
		u.Size = size
		u.RunTime = func(string) time.Duration { return draw(s.Random(), mean) }
	}
}

// draw returns a random run time from 0.5 to 1.5 times mean; 3% of run times are
// seven times as long. The users' data sheet specifies this distribution.
func draw(random *rand.Rand, mean time.Duration) time.Duration {
	runTime := time.Duration(float64(mean) * (0.5 + random.Float64()))
	if random.Float64() < 0.03 {
		runTime *= 7
	}
	return runTime
}

// startCalls starts perSecond calls per second from _callsStart until the given time.
func (s *scenario) startCalls(perSecond float64, until time.Duration) {
	var next func()
	next = func() {
		zone := []string{"a", "b", "c"}[s.Random().IntN(3)]
		address := _ordersAddr
		if s.Random().IntN(10) == 0 {
			address = _photosAddr
		}
		s.Call(zone, address, 2500*time.Millisecond)
		if at := s.Now() + time.Duration(s.Random().ExpFloat64()*float64(_seconds)/perSecond); at < until {
			s.At(at, next)
		}
	}
	s.At(_callsStart, next)
}

// checkResults fails the test if an invariant was violated, a request ran more than once,
// or less than the given fraction of calls was answered.
func (s *scenario) checkResults(t *testing.T, minAnswered float64) {
	t.Helper()
	assert.Assert(t, len(s.Violations) == 0,
		"%d invariants violated, the first ones: %v", len(s.Violations), s.Violations[:min(len(s.Violations), 3)])
	answered := s.Outcomes()[standin.CallAnswered]
	assert.Assert(t, float64(answered) >= minAnswered*float64(len(s.Calls)),
		"%d of %d calls answered: %v", answered, len(s.Calls), s.Outcomes())
	for request, runs := range s.Runs {
		assert.Assert(t, runs == 1, "request %s ran %d times", request, runs)
	}
}

// fractionWithin returns the fraction of calls that were answered within the target.
func fractionWithin(calls []*standin.OpaqueCall, target time.Duration) float64 {
	n := 0
	for _, c := range calls {
		if c.State == standin.CallAnswered && c.Ended-c.Began <= target {
			n++
		}
	}
	return float64(n) / float64(len(calls))
}

// TestOpaqueSteadyLoad simulates calls without faults. All calls must be answered, and no
// packet may reach an upstream while a different upstream holds the packet's flow.
func TestOpaqueSteadyLoad(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		s := newScenario(seed)
		s.startCalls(300, 10*_seconds)
		s.Run(14 * _seconds)
		s.checkResults(t, 1)
		assert.Equal(t, s.StrayPackets(), 0)
	}
}

// TestOpaqueRelaysAreReplaced drains, kills and adds relays, so that routers send nearly
// all flows to other relays several times. At least 98 % of the calls must be answered.
func TestOpaqueRelaysAreReplaced(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		s := newScenario(seed)
		s.startCalls(300, 12*_seconds)
		s.At(6*_seconds, func() { s.relays[0].Relay.Leave(6 * _seconds) })
		s.At(7*_seconds, s.relays[1].KillProcess)
		s.At(8*_seconds, func() { s.AddRelay("a") })
		s.At(9*_seconds, s.relays[1].StartRelay)
		s.At(10*_seconds, func() { s.AddRelay("b") })
		s.Run(16 * _seconds)
		s.checkResults(t, 0.98) // Packets to a killed relay are lost until it has failed two probes.
	}
}

// TestOpaqueRelaysRestart restarts all relays at once, so that they lose their state while
// flows are open. At least 90 % of the calls must be answered.
func TestOpaqueRelaysRestart(t *testing.T) {
	t.Parallel()
	s := newScenario(1)
	s.startCalls(300, 9*_seconds)
	s.At(7*_seconds, func() {
		for _, r := range s.relays {
			r.KillProcess()
			r.StartRelay()
		}
	})
	s.Run(13 * _seconds)
	s.checkResults(t, 0.9)
}

// TestOpaqueSidecarsRestart kills sidecars while their upstreams keep running. Flows must
// continue after the sidecars' restart and must not be reset.
func TestOpaqueSidecarsRestart(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		s := newScenario(seed)
		s.startCalls(300, 10*_seconds)
		s.At(7*_seconds, s.orders[0].KillProcess)
		s.At(7*_seconds, s.photos[0].KillProcess)
		s.At(7300*time.Millisecond, s.orders[0].StartSidecar)
		s.At(7300*time.Millisecond, s.photos[0].StartSidecar)
		s.At(8*_seconds, func() { s.orders[1].KillProcess(); s.orders[1].StartSidecar() })
		s.Run(14 * _seconds)
		s.checkResults(t, 0.99)
	}
}

// TestOpaqueUpstreamCrash kills an upstream. Calls that begin 0.5 s after the crash or
// later must go to other upstreams. Calls that began more than one second before the crash
// must not be affected.
func TestOpaqueUpstreamCrash(t *testing.T) {
	t.Parallel()
	s := newScenario(1)
	s.startCalls(300, 10*_seconds)
	crash := 7 * _seconds
	s.At(crash, s.orders[0].KillUpstream)
	s.Run(14 * _seconds)
	assert.Assert(t, len(s.Violations) == 0, "%v", s.Violations)
	failed := 0
	for _, c := range s.Calls {
		if c.Began > crash+500*time.Millisecond && c.State != standin.CallAnswered {
			failed++
		}
	}
	assert.Equal(t, failed, 0, "failed calls that began more than 0.5 s after the crash")
	for _, c := range s.Calls {
		assert.Assert(t, c.State == standin.CallAnswered || c.Began > crash-_seconds, "%v", c.Key)
	}
}

// TestOpaqueFlowsOfCrashedUpstreamsAreReset kills and restarts upstreams. The callers whose
// flows the upstreams held must get resets instead of waiting until they time out.
func TestOpaqueFlowsOfCrashedUpstreamsAreReset(t *testing.T) {
	t.Parallel()
	s := newScenario(1)
	s.startCalls(300, 9*_seconds)
	for _, vm := range s.orders[:4] {
		s.At(7*_seconds, vm.KillUpstream)
		s.At(7200*time.Millisecond, vm.StartUpstream)
	}
	s.Run(14 * _seconds)
	assert.Assert(t, len(s.Violations) == 0, "%v", s.Violations)
	resets := 0
	for _, c := range s.Calls {
		if c.State == standin.CallReset {
			resets++
		}
		assert.Assert(t, c.State != standin.CallTimedOut, "call %v, begun at %v, timed out", c.Key, c.Began)
	}
	assert.Assert(t, resets > 0 && resets < 20, "%d resets", resets)
}

// TestOpaqueDrain drains upstreams one after the other while others start. All calls must
// be answered, and the simulation checks that no flow is opened at a draining upstream.
func TestOpaqueDrain(t *testing.T) {
	t.Parallel()
	s := newScenario(2)
	s.startCalls(250, 14*_seconds)
	for i, vm := range s.orders[:5] {
		at := 6*_seconds + time.Duration(i)*_seconds
		s.At(at-500*time.Millisecond, func() { s.AddHost(vm.Zone, "orders", s.upstreamConfig(26*time.Millisecond, 2000)) })
		s.At(at, func() { vm.Drain(3 * _seconds) })
	}
	s.Run(18 * _seconds)
	s.checkResults(t, 1)
}

// TestOpaqueFrozenVMs freezes a relay and a host for 3 s. At least 93 % of the calls must
// be answered.
func TestOpaqueFrozenVMs(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		s := newScenario(seed)
		s.startCalls(250, 12*_seconds)
		for _, vm := range []*standin.SimulatedVM{s.relays[0], s.orders[0]} {
			s.At(7*_seconds, vm.Freeze)
			s.At(10*_seconds, vm.Thaw)
		}
		s.Run(16 * _seconds)
		s.checkResults(t, 0.93)
	}
}

// TestOpaqueOneWayMessageLoss loses the messages of one relay to three sidecars, while the
// sidecars' reports still reach the relay. At least 97 % of the calls must be answered.
func TestOpaqueOneWayMessageLoss(t *testing.T) {
	t.Parallel()
	s := newScenario(3)
	s.startCalls(250, 12*_seconds)
	drop := func(from, to netip.Addr) bool {
		return s.Now() > 7*_seconds && s.Now() < 10*_seconds && from == s.relays[0].Addr &&
			slices.ContainsFunc(s.orders[:3], func(vm *standin.SimulatedVM) bool { return vm.Addr == to })
	}
	s.DropMessage = drop
	s.Run(16 * _seconds)
	s.checkResults(t, 0.97)
}

// TestOpaquePacketLoss loses one in 33 of the messages between VMs, of the packets from
// callers to relays, and of the packets from upstreams to sidecars. At least 99.5 % of the
// calls must be answered.
func TestOpaquePacketLoss(t *testing.T) {
	t.Parallel()
	s := newScenario(4)
	s.startCalls(250, 10*_seconds)
	s.DropMessage = func(_, _ netip.Addr) bool { return s.Random().IntN(33) == 0 }
	s.Run(16 * _seconds)
	s.checkResults(t, 0.995)
}

// TestOpaqueUnroutableCallsAreReset checks that a call to an address without a route, and
// one to a service without upstreams, is reset within 10 ms.
func TestOpaqueUnroutableCallsAreReset(t *testing.T) {
	t.Parallel()
	s := newScenario(1)
	for _, vm := range s.photos {
		s.At(5*_seconds, func() { vm.Drain(3 * _seconds) })
	}
	var noUpstream, noRoute *standin.OpaqueCall
	s.At(10*_seconds, func() {
		noUpstream = s.Call("a", _photosAddr, _seconds)
		noRoute = s.Call("a", netip.MustParseAddrPort("198.18.0.9:443"), _seconds)
	})
	s.Run(12 * _seconds)
	for _, c := range []*standin.OpaqueCall{noUpstream, noRoute} {
		assert.Equal(t, c.State, standin.CallReset)
		assert.Assert(t, c.Ended-c.Began < 10*time.Millisecond, "reset after %v", c.Ended-c.Began)
	}
}

// TestOpaqueAllProcessesRestart stops all relays and sidecars for one second. Calls that
// begin two seconds after the restart or later must be answered.
func TestOpaqueAllProcessesRestart(t *testing.T) {
	t.Parallel()
	s := newScenario(1)
	s.startCalls(200, 14*_seconds)
	s.At(7*_seconds, func() {
		for _, vm := range slices.Concat(s.relays, s.orders, s.photos) {
			vm.KillProcess()
		}
	})
	s.At(8*_seconds, func() {
		for _, vm := range slices.Concat(s.orders, s.photos) {
			vm.StartSidecar()
		}
		for _, r := range s.relays {
			r.StartRelay()
		}
	})
	s.Run(18 * _seconds)
	assert.Assert(t, len(s.Violations) == 0, "%v", s.Violations)
	for _, c := range s.Calls {
		if c.Began > 10*_seconds {
			assert.Assert(t, c.State == standin.CallAnswered, "call begun at %v is in state %v", c.Began, c.State)
		}
	}
}

// TestOpaqueFlappingUpstreams has two of seven upstreams reset all requests for 0.9 s of
// every 1.8 s, while their heartbeats report that they are ready. Relays must avoid these
// upstreams, so that at least 97 % of the calls are answered.
func TestOpaqueFlappingUpstreams(t *testing.T) {
	t.Parallel()
	s := newScenario(1)
	for _, vm := range s.orders[:2] {
		vm.Upstream.ResetsNext = func() bool {
			return s.Now() > 6*_seconds && s.Now() < 10*_seconds && int(s.Now()/(900*time.Millisecond))%2 == 0
		}
	}
	s.startCalls(300, 10*_seconds)
	s.Run(14 * _seconds)
	s.checkResults(t, 0.97) // With a random choice of upstreams, one in seven calls would fail.
}

// TestOpaqueAllUpstreamsFail has all upstreams of a service reset requests for two seconds.
// Relays must still use them, as there are no better ones: all calls that begin 3.5 s after
// the end of the failure or later must be answered.
func TestOpaqueAllUpstreamsFail(t *testing.T) {
	t.Parallel()
	s := newScenario(1)
	for _, vm := range s.orders {
		vm.Upstream.ResetsNext = func() bool { return s.Now() > 6*_seconds && s.Now() < 8*_seconds }
	}
	s.startCalls(200, 13*_seconds)
	s.Run(16 * _seconds)
	assert.Assert(t, len(s.Violations) == 0, "%v", s.Violations)
	for _, c := range s.Calls {
		assert.Assert(t, c.Began < 11500*time.Millisecond || c.State == standin.CallAnswered, "call begun at %v is in state %v", c.Began, c.State)
	}
}

// TestSimulationIsDeterministic compares the decisions in two runs with the same seed.
func TestSimulationIsDeterministic(t *testing.T) {
	t.Parallel()
	var runs [2]string
	for i := range runs {
		s := newScenario(7)
		s.OnRecord = func(vm netip.Addr, r decision.Record) {
			runs[i] += fmt.Sprint(s.Now(), vm, r.Flow, r.Action, r.Target, "\n")
		}
		s.startCalls(100, 7*_seconds)
		s.Run(8 * _seconds)
	}
	assert.Assert(t, runs[0] == runs[1], "two runs with the same seed differ")
}
