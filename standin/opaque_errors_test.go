package standin_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/standin"
)

// errorLoad is the load of the users' large deployments on a service with a few
// dozen upstreams.
var errorLoad = playedLoad{
	name: "errors", zones: 3, relays: 12, hosts: 21, slots: 2, work: 26 * time.Millisecond, use: 0.5,
	aim: 250 * time.Millisecond, timeout: 2500 * time.Millisecond, length: 8 * _seconds,
}

// errsWith makes upstreams answer a share of their requests with an error at once.
func errsWith(hosts []*standin.SimulatedVM, d *day, share float64) {
	for _, vm := range hosts {
		vm.Upstream.FailsNext = func() bool { return d.Random().Float64() < share }
	}
}

// failedShare returns the share of the calls that began from a time on and got an error.
func failedShare(calls []*standin.OpaqueCall, from time.Duration) float64 {
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

// TestUpstreamsThatErrGetFewFlows has one in seven upstreams answer 0.4 of their
// requests with errors, which are quick and make them look idle. Callers must get
// at most half of the errors that they would get from upstreams chosen by chance.
func TestUpstreamsThatErrGetFewFlows(t *testing.T) {
	skipUnderRaceDetector(t)
	const failing, share = 3, 0.4
	l := errorLoad
	l.adjust = func(d *day) {
		d.At(_worldStart+2*_seconds, func() { errsWith(d.orders[:failing], d, share) })
	}
	d := l.play(1)
	assert.Assert(t, len(d.Violations) == 0, "%v", d.Violations)
	byChance := share * failing / float64(l.hosts)
	got := failedShare(d.Calls, _worldStart+3*_seconds)
	t.Logf("%.4f failed, %.4f by chance; %s", got, byChance, l.summary(d))
	assert.Assert(t, got <= byChance/2, "%.4f failed, %.4f by chance", got, byChance)
	assert.Assert(t, within(d.Calls, l.aim) >= 0.94)
}

// TestUpstreamThatIsWellAgainGetsFlows ends the errors: within a few seconds the
// upstreams get about as many flows as the others.
func TestUpstreamThatIsWellAgainGetsFlows(t *testing.T) {
	skipUnderRaceDetector(t)
	const failing = 3
	l := errorLoad
	var before []int
	l.length = 14 * _seconds
	l.adjust = func(d *day) {
		d.At(_worldStart+_seconds, func() { errsWith(d.orders[:failing], d, 0.4) })
		d.At(_worldStart+4*_seconds, func() { errsWith(d.orders[:failing], d, 0) })
		d.At(_worldStart+10*_seconds, func() {
			for _, vm := range d.orders {
				before = append(before, int(vm.Sidecar.Counts().Accepted))
			}
		})
	}
	d := l.play(1)
	accepted := 0
	for i, vm := range d.orders {
		if i < failing {
			accepted += int(vm.Sidecar.Counts().Accepted) - before[i]
		}
	}
	all := 0
	for i, vm := range d.orders {
		all += int(vm.Sidecar.Counts().Accepted) - before[i]
	}
	fair := float64(all) * failing / float64(l.hosts)
	assert.Assert(t, float64(accepted) >= fair/2, "%d flows, a fair share is %.0f", accepted, fair)
}

// TestQuickAnswersAreNoErrors plays services whose upstreams are all well, though
// some of their answers are quick: all have a cache, or some were slow and are no
// longer. None may be taken for one that fails.
func TestQuickAnswersAreNoErrors(t *testing.T) {
	skipUnderRaceDetector(t)
	for _, tt := range []struct {
		name   string
		adjust func(*day)
	}{
		{"caches", func(d *day) {
			for _, vm := range d.orders {
				vm.Upstream.Work = func() time.Duration {
					if d.Random().Float64() < 0.3 {
						return time.Millisecond
					}
					return drawWork(d.Random(), 26*time.Millisecond)
				}
			}
		}},
		{"slow for a while", func(d *day) {
			for _, vm := range d.orders[:3] {
				d.At(_worldStart+_seconds, func() { vm.Upstream.Work = func() time.Duration { return drawWork(d.Random(), 200*time.Millisecond) } })
				d.At(_worldStart+5*_seconds, func() { vm.Upstream.Work = func() time.Duration { return drawWork(d.Random(), 26*time.Millisecond) } })
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := errorLoad
			l.adjust = tt.adjust
			d := l.play(1)
			assert.Assert(t, len(d.Violations) == 0, "%v", d.Violations)
			assert.Equal(t, d.tooEarly, 0)
		})
	}
}

// TestTwoPeersAreNoMeasure has one of three upstreams answer with errors: with two
// others, nobody can tell which of them is odd.
func TestTwoPeersAreNoMeasure(t *testing.T) {
	skipUnderRaceDetector(t)
	l := errorLoad
	l.hosts, l.relays, l.length = 3, 3, 4*_seconds
	l.adjust = func(d *day) { errsWith(d.orders[:1], d, 0.4) }
	d := l.play(1)
	assert.Equal(t, d.tooEarly, 0)
}
