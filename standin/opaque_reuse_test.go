package standin_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/standin"
)

// Times of a reuse, after _callsStart.
const (
	_reuseFreedAt = _callsStart + 4500*time.Millisecond
	// _minAddressFree is the least time after which the platform gives an address out again.
	_minAddressFree = 2 * _seconds
	// _callerPause is how long some callers pause on their open flows. It exceeds the time for
	// which the address is free, so that the flows outlive it.
	_callerPause = 4 * _seconds
	_reuseEnd    = _callsStart + 13*_seconds
)

// reuse is the reuse of a host's address by an upstream of another service.
type reuse struct {
	name string
	// service is the service of the host before.
	service string
	// free is how long nothing answers at the address.
	free time.Duration
	// frozenFor is how long the host is frozen, from the moment at which the upstream ends.
	frozenFor time.Duration
	// newSidecarAfter is how long after the new upstream a sidecar of its service starts, and
	// negative if none does. The sidecar before goes on until then, unless it has ended with
	// its upstream.
	newSidecarAfter time.Duration
	sidecarEnds     bool
}

// run simulates the reuse and returns the scenario after its end, and the host.
func (r reuse) run(seed uint64) (*scenario, *standin.SimulatedVM) {
	s := newScenario(seed)
	host, next, configure := s.orders[0], "photos", s.upstreamConfig(4*time.Millisecond, 40_000)
	if r.service == "photos" {
		host, next, configure = s.photos[0], "orders", s.upstreamConfig(26*time.Millisecond, 2000)
	}
	s.startCalls(200, _reuseEnd)
	s.startPausingCalls(40, _reuseEnd)
	s.At(_reuseFreedAt, func() {
		host.KillUpstream()
		if r.sidecarEnds {
			host.KillProcess()
		}
		if r.frozenFor > 0 {
			host.Freeze()
			s.At(s.Now()+r.frozenFor, host.Thaw)
		}
	})
	s.At(_reuseFreedAt+r.free, func() { host.ReplaceUpstream(next, configure) })
	if r.newSidecarAfter >= 0 {
		s.At(_reuseFreedAt+r.free+r.newSidecarAfter, host.StartSidecar)
	}
	s.Run(_reuseEnd)
	return s, host
}

// startPausingCalls starts perSecond calls per second from _callsStart until the given time.
// Their callers pause for _callerPause on the open flow, and then repeat the request until it
// is answered or times out.
func (s *scenario) startPausingCalls(perSecond float64, until time.Duration) {
	var next func()
	next = func() {
		address := _ordersAddr
		if s.Random().IntN(3) == 0 {
			address = _photosAddr
		}
		s.Call([]string{"a", "b", "c"}[s.Random().IntN(3)], address, 2*_callerPause).Pause = _callerPause
		if at := s.Now() + time.Duration(s.Random().ExpFloat64()*float64(_seconds)/perSecond); at < until {
			s.At(at, next)
		}
	}
	s.At(_callsStart, next)
}

// check fails the test if an invariant was violated in the simulation of a seed, or if the new
// upstream got no flow from a sidecar of its service.
func (r reuse) check(t *testing.T, seed uint64) {
	t.Helper()
	s, host := r.run(seed)
	wrong, answered := 0, 0
	for _, v := range s.Violations {
		if strings.Contains(v, "to which no route of its address leads") {
			wrong++
		}
	}
	for _, c := range s.Calls {
		if c.State == standin.CallAnswered && c.Upstream == host.Addr.String()+"#2" {
			answered++
		}
	}
	t.Logf("seed %d: %d flows at the wrong service, %d calls answered by the new upstream", seed, wrong, answered)
	assert.Check(t, len(s.Violations) == 0, "seed %d: %d invariants violated, %d flows at the wrong service, the first: %v",
		seed, len(s.Violations), wrong, s.Violations[:min(len(s.Violations), 3)])
	assert.Check(t, r.newSidecarAfter < 0 || answered > 0, "seed %d: the new sidecar serves nothing", seed)
}

// TestReusedAddressGetsNoFlowsOfFormerService guards against flows at an upstream of another
// service that took over the address of the sidecar's own.
func TestReusedAddressGetsNoFlowsOfFormerService(t *testing.T) {
	checkReuses(t, []reuse{
		{name: "shortest time", free: _minAddressFree, newSidecarAfter: -1},
		{name: "second service", service: "photos", free: _minAddressFree, newSidecarAfter: -1},
		{name: "after silence", free: 3500 * time.Millisecond, newSidecarAfter: -1},
		{name: "later restart of sidecar", free: _minAddressFree, newSidecarAfter: 4 * _seconds},
		{name: "frozen until after", free: _minAddressFree, frozenFor: 3 * _seconds, newSidecarAfter: -1},
		{name: "frozen for a moment", free: _minAddressFree, frozenFor: 1800 * time.Millisecond, newSidecarAfter: -1},
	})
}

// TestReusedMachineAddressGetsNoFlowsOfFormerService guards against relays that send flows to
// the address of a machine whose sidecar now has another service.
func TestReusedMachineAddressGetsNoFlowsOfFormerService(t *testing.T) {
	checkReuses(t, []reuse{
		{name: "first service", free: _minAddressFree, sidecarEnds: true},
		{name: "second service", service: "photos", free: _minAddressFree, sidecarEnds: true},
		{name: "sidecar after upstream", free: _minAddressFree, sidecarEnds: true, newSidecarAfter: _seconds},
		{name: "after all pauses", free: 6 * _seconds, sidecarEnds: true},
	})
}

// checkReuses checks each reuse with several seeds.
func checkReuses(t *testing.T, reuses []reuse) {
	t.Helper()
	skipUnderRaceDetector(t)
	for _, r := range reuses {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				r.check(t, seed)
			}
		})
	}
}
