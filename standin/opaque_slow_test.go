package standin_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/standin"
)

// slowLoad is a service of which some upstreams turn slow for a while, and go on
// answering.
type slowLoad struct {
	playedLoad
	// slow is how many of the upstreams turn slow, and factor how many times as long
	// they take then.
	slow   int
	factor float64
}

// Times of a slowLoad.
const (
	_slowFrom = _worldStart + 2*_seconds
	_slowFor  = 6 * _seconds
)

func (l slowLoad) play(seed uint64) *day {
	l.adjust = func(d *day) {
		for _, vm := range d.orders[:l.slow] {
			work := vm.Upstream.Work
			vm.Upstream.Work = func() time.Duration {
				took := work()
				if since := d.Now() - _slowFrom; since >= 0 && since < _slowFor {
					took = time.Duration(float64(took) * l.factor)
				}
				return took
			}
		}
	}
	return l.playedLoad.play(seed)
}

// whileSlow returns the share of the calls that were answered within the aim while
// upstreams were slow, and the share that slow upstreams answered.
func (l slowLoad) whileSlow(d *day) (inTime, bySlow float64) {
	slow := make(map[string]bool)
	for _, vm := range d.orders[:l.slow] {
		slow[vm.Upstream.Name] = true
	}
	all, good, late := 0, 0, 0
	for _, c := range d.Calls {
		if c.Began < _slowFrom || c.Began >= _slowFrom+_slowFor {
			continue
		}
		all++
		if c.State == standin.CallAnswered && c.Ended-c.Began <= l.aim {
			good++
		}
		if slow[c.By] {
			late++
		}
	}
	return float64(good) / float64(all), float64(late) / float64(all)
}

// TestSlowUpstreamsGetFewFlows turns 6 of 40 upstreams slow. They must get less than
// half of what they would at the speed of the others. The bounds in time are our aim of worth
// on the large deployment, 0.95, with the prices of 0.04 that every day pays there, and
// where the target is hardly more than a slow run the least that a day should have.
func TestSlowUpstreamsGetFewFlows(t *testing.T) {
	skipUnderRaceDetector(t)
	large := playedLoad{
		zones: 5, relays: 20, hosts: 40, slots: 2, work: 26 * time.Millisecond, timeout: 4 * time.Second, length: 9 * _seconds,
	}
	for _, tt := range []struct {
		name    string
		use     float64
		factor  float64
		aim     time.Duration
		atLeast float64
	}{
		{"calm", 0.4, 5, 400 * time.Millisecond, 0.99},
		{"busy", 0.65, 5, 400 * time.Millisecond, 0.99},
		{"busy, narrow target", 0.65, 5, 150 * time.Millisecond, 0.88},
		{"calm, narrow target", 0.4, 5, 120 * time.Millisecond, 0.88},
		{"very slow", 0.5, 8, 250 * time.Millisecond, 0.88},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := slowLoad{playedLoad: large, slow: 6, factor: tt.factor}
			l.use, l.aim = tt.use, tt.aim
			d := l.play(1)
			assert.Assert(t, len(d.Violations) == 0, "%v", d.Violations)
			inTime, bySlow := l.whileSlow(d)
			fair := float64(l.slow) / float64(l.hosts)
			t.Logf("%.4f in time, %.4f at slow upstreams, a fair share is %.3f", inTime, bySlow, fair)
			assert.Assert(t, inTime >= tt.atLeast)
			assert.Assert(t, bySlow < fair/2)
			assert.Equal(t, d.tooEarly, 0, "a healthy upstream is taken for one that fails")
		})
	}
}
