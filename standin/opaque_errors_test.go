package standin_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/standin"
)

// _errorLoad is the load of the users' large deployments on a service with a few
// dozen upstreams.
var _errorLoad = loadProfile{
	name: "errors", zones: 3, relays: 12, hosts: 21, slots: 2, runTime: 26 * time.Millisecond, utilization: 0.5,
	target: 250 * time.Millisecond, timeout: 2500 * time.Millisecond, duration: 8 * _seconds,
}

// setErrorRate makes the hosts' upstreams answer a fraction of their requests with an
// error at once.
func setErrorRate(hosts []*standin.SimulatedVM, s *scenario, rate float64) {
	for _, vm := range hosts {
		vm.Upstream.FailsNext = func() bool { return s.Random().Float64() < rate }
	}
}

// failedFraction returns the fraction of calls that were answered with an error, among the
// calls that began at the given time or later.
func failedFraction(calls []*standin.OpaqueCall, from time.Duration) float64 {
	all, failed := 0, 0
	for _, c := range calls {
		if c.Began >= from {
			all++
			if c.Failed {
				failed++
			}
		}
	}
	return float64(failed) / float64(all)
}

// TestFailingUpstreamsGetFewFlows checks that upstreams whose errors are quick, so that
// they look idle, do not attract flows. One in seven upstreams answers 40 % of its requests
// with errors. Callers must get at most half of the errors that a random choice of
// upstreams would give them.
func TestFailingUpstreamsGetFewFlows(t *testing.T) {
	skipUnderRaceDetector(t)
	t.Parallel()
	const failing, errorRate = 3, 0.4
	l := _errorLoad
	l.adjust = func(s *scenario) {
		s.At(_callsStart+2*_seconds, func() { setErrorRate(s.orders[:failing], s, errorRate) })
	}
	s := l.run(1)
	assert.Assert(t, len(s.Violations) == 0, "%v", s.Violations)
	byChance := errorRate * failing / float64(l.hosts)
	got := failedFraction(s.Calls, _callsStart+3*_seconds)
	t.Logf("%.4f of calls failed, %.4f would with random upstreams; %s", got, byChance, l.summary(s))
	assert.Assert(t, got <= byChance/2, "%.4f of calls failed, %.4f would with random upstreams", got, byChance)
	assert.Assert(t, fractionWithin(s.Calls, l.target) >= 0.94)
}

// TestRecoveredUpstreamsGetFlows checks that upstreams get at least half of a fair share
// of the flows again six seconds after they stopped answering with errors.
func TestRecoveredUpstreamsGetFlows(t *testing.T) {
	skipUnderRaceDetector(t)
	t.Parallel()
	const failing = 3
	l := _errorLoad
	var before []int
	l.duration = 14 * _seconds
	l.adjust = func(s *scenario) {
		s.At(_callsStart+_seconds, func() { setErrorRate(s.orders[:failing], s, 0.4) })
		s.At(_callsStart+4*_seconds, func() { setErrorRate(s.orders[:failing], s, 0) })
		s.At(_callsStart+10*_seconds, func() {
			for _, vm := range s.orders {
				before = append(before, int(vm.Sidecar.Counts().Accepted))
			}
		})
	}
	s := l.run(1)
	accepted := 0
	for i, vm := range s.orders {
		if i < failing {
			accepted += int(vm.Sidecar.Counts().Accepted) - before[i]
		}
	}
	all := 0
	for i, vm := range s.orders {
		all += int(vm.Sidecar.Counts().Accepted) - before[i]
	}
	fair := float64(all) * failing / float64(l.hosts)
	assert.Assert(t, float64(accepted) >= fair/2, "%d flows at recovered upstreams, a fair share is %.0f", accepted, fair)
}

// TestQuickAnswersAreNotTakenForErrors checks that quick answers alone do not make an
// upstream count as failing. In one case, all upstreams answer some requests from a cache;
// in the other, some upstreams are slow for a while and recover.
func TestQuickAnswersAreNotTakenForErrors(t *testing.T) {
	skipUnderRaceDetector(t)
	t.Parallel()
	for _, tt := range []struct {
		name   string
		adjust func(*scenario)
	}{
		{"caches", func(s *scenario) {
			for _, vm := range s.orders {
				vm.Upstream.RunTime = func(string) time.Duration {
					if s.Random().Float64() < 0.3 {
						return time.Millisecond
					}
					return draw(s.Random(), 26*time.Millisecond)
				}
			}
		}},
		{"slow for a while", func(s *scenario) {
			for _, vm := range s.orders[:3] {
				s.At(_callsStart+_seconds, func() {
					vm.Upstream.RunTime = func(string) time.Duration { return draw(s.Random(), 200*time.Millisecond) }
				})
				s.At(_callsStart+5*_seconds, func() {
					vm.Upstream.RunTime = func(string) time.Duration { return draw(s.Random(), 26*time.Millisecond) }
				})
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := _errorLoad
			l.adjust = tt.adjust
			s := l.run(1)
			assert.Assert(t, len(s.Violations) == 0, "%v", s.Violations)
			assert.Equal(t, s.earlyAnswers, 0)
		})
	}
}

// TestThreeUpstreamsAreTooFewToCompare has one of three upstreams answer with errors. No
// upstream may be taken for failing: comparison with only two others cannot tell which
// one is the outlier.
func TestThreeUpstreamsAreTooFewToCompare(t *testing.T) {
	skipUnderRaceDetector(t)
	t.Parallel()
	l := _errorLoad
	l.hosts, l.relays, l.duration = 3, 3, 4*_seconds
	l.adjust = func(s *scenario) { setErrorRate(s.orders[:1], s, 0.4) }
	s := l.run(1)
	assert.Equal(t, s.earlyAnswers, 0)
}
