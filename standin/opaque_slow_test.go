package standin_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/standin"
)

// slowLoad is a load during which some upstreams are slow for a while, but continue to
// answer.
type slowLoad struct {
	loadProfile
	// slow is the number of slow upstreams, and factor the ratio by which their run times
	// are longer.
	slow   int
	factor float64
}

// Start and length of the span in which upstreams are slow.
const (
	_slowFrom = _callsStart + 2*_seconds
	_slowSpan = 6 * _seconds
)

// run simulates the load and returns the scenario after its end.
func (l slowLoad) run(seed uint64) *scenario { return l.runWith(seed, func(*scenario) {}) }

// runWith is run with a function that is called before the simulation runs.
func (l slowLoad) runWith(seed uint64, adjust func(*scenario)) *scenario {
	l.adjust = func(s *scenario) {
		adjust(s)
		for _, vm := range s.orders[:l.slow] {
			runTime := vm.Upstream.RunTime
			vm.Upstream.RunTime = func(request string) time.Duration {
				took := runTime(request)
				if since := s.Now() - _slowFrom; since >= 0 && since < _slowSpan {
					took = time.Duration(float64(took) * l.factor)
				}
				return took
			}
		}
	}
	return l.loadProfile.run(seed)
}

// fractionsWhileSlow returns, of the calls that began while upstreams were slow, the
// fraction answered within the target and the fraction answered by slow upstreams.
func (l slowLoad) fractionsWhileSlow(s *scenario) (inTime, bySlow float64) {
	slow := make(map[string]bool)
	for _, vm := range s.orders[:l.slow] {
		slow[vm.Upstream.Name] = true
	}
	all, onTime, atSlow := 0, 0, 0
	for _, c := range s.Calls {
		if c.Began < _slowFrom || c.Began >= _slowFrom+_slowSpan {
			continue
		}
		all++
		if c.State == standin.CallAnswered && c.Ended-c.Began <= l.target {
			onTime++
		}
		if slow[c.Upstream] {
			atSlow++
		}
	}
	return float64(onTime) / float64(all), float64(atSlow) / float64(all)
}

// TestSlowUpstreamsGetFewFlows makes 6 of 40 upstreams slow. They must answer less than
// half of a fair share of the calls. Each case has a minimum fraction of calls answered in
// time. The minimum is 0.95, the score (from 0 to 1) that users of large deployments aim at
// for a simulated day, plus 0.04, which every such day loses for the price of machines and
// connections. Where the target time is hardly longer than a slow request runs, the minimum
// is the lowest score that users accept.
func TestSlowUpstreamsGetFewFlows(t *testing.T) {
	skipUnderRaceDetector(t)
	t.Parallel()
	large := loadProfile{
		zones: 5, relays: 20, hosts: 40, slots: 2, runTime: 26 * time.Millisecond, timeout: 4 * time.Second, duration: 9 * _seconds,
	}
	for _, tt := range []struct {
		name        string
		utilization float64
		factor      float64
		target      time.Duration
		minInTime   float64
	}{
		{"calm", 0.4, 5, 400 * time.Millisecond, 0.99},
		{"busy", 0.65, 5, 400 * time.Millisecond, 0.99},
		{"busy, narrow target", 0.65, 5, 150 * time.Millisecond, 0.88},
		{"calm, narrow target", 0.4, 5, 120 * time.Millisecond, 0.88},
		{"very slow", 0.5, 8, 250 * time.Millisecond, 0.88},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := slowLoad{loadProfile: large, slow: 6, factor: tt.factor}
			l.utilization, l.target = tt.utilization, tt.target
			s := l.run(1)
			assert.Assert(t, len(s.Violations) == 0, "%v", s.Violations)
			inTime, bySlow := l.fractionsWhileSlow(s)
			fair := float64(l.slow) / float64(l.hosts)
			t.Logf("%.4f of calls in time, %.4f at slow upstreams, a fair share is %.3f", inTime, bySlow, fair)
			assert.Assert(t, inTime >= tt.minInTime)
			assert.Assert(t, bySlow < fair/2)
			assert.Equal(t, s.earlyAnswers, 0, "times that a healthy upstream was taken for a failing one")
		})
	}
}
