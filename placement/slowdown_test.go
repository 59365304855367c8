package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/placement"
)

// slowdownLoad draws the run times of one upstream and of its peers.
type slowdownLoad struct {
	random *rand.Rand
	now    time.Duration
	// usual is the mean run time that peers report. Its error is that of a median of 16 means
	// of about 20 requests.
	usual time.Duration
}

const _slowdownRunTime = 26 * time.Millisecond

func newSlowdownLoad(seed uint64) *slowdownLoad {
	return &slowdownLoad{random: rand.New(rand.NewPCG(seed, 3)), usual: _slowdownRunTime * 118 / 100}
}

// next adds a request of a zone at an upstream that is slower by a factor. A fraction of 0.03 of the
// requests takes 7 times as long.
func (l *slowdownLoad) next(s *placement.Slowdown, zone string, factor float64) bool {
	l.now += 30 * time.Millisecond
	took := factor * float64(_slowdownRunTime) * (0.5 + l.random.Float64())
	if l.random.Float64() < 0.03 {
		took *= 7
	}
	usual := time.Duration(float64(l.usual) * (0.92 + 0.16*l.random.Float64()))
	return s.Add(l.now, zone, time.Duration(took), usual)
}

var _callerZones = []string{"a", "b", "c"}

// TestHealthyUpstreamIsNotSlow guards against taking a healthy upstream for slow because of rare long requests:
// in 20,000 requests of each of 50 upstreams, no zone may see a slowdown.
func TestHealthyUpstreamIsNotSlow(t *testing.T) {
	for seed := range uint64(50) {
		l, s := newSlowdownLoad(seed), placement.Slowdown{}
		for i := range 20_000 {
			assert.Assert(t, !l.next(&s, _callerZones[l.random.IntN(3)], 1), "seed %d, request %d", seed, i)
		}
		assert.Equal(t, s.MaxPercent(l.now), placement.NormalSlowdown)
	}
}

// TestSlowUpstreamIsDetected requires that an upstream which becomes slower by a factor of 2.5 or more
// is detected within 40 requests, for all its callers or for those of one zone. The other zones must not
// count it as slow in the second case.
func TestSlowUpstreamIsDetected(t *testing.T) {
	for _, factor := range []float64{2.5, 4, 7} {
		latest := 0
		for seed := range uint64(500) {
			l, s := newSlowdownLoad(seed), placement.Slowdown{}
			for range 200 {
				l.next(&s, _callerZones[l.random.IntN(3)], 1)
			}
			n := 1
			for ; s.Percent(l.now, "a") <= placement.NormalSlowdown || s.Percent(l.now, "b") <= placement.NormalSlowdown; n++ {
				assert.Assert(t, n <= 40, "seed %d, factor %v", seed, factor)
				l.next(&s, _callerZones[l.random.IntN(3)], factor)
			}
			latest = max(latest, n-1)

			l, s = newSlowdownLoad(seed), placement.Slowdown{}
			for range 200 {
				l.next(&s, _callerZones[l.random.IntN(3)], 1)
			}
			for n = 0; n < 40; { // requests of zone b
				zone := _callerZones[l.random.IntN(3)]
				if zone == "b" {
					l.next(&s, zone, factor)
					n++
				} else {
					l.next(&s, zone, 1)
				}
			}
			assert.Assert(t, s.Percent(l.now, "b") > placement.NormalSlowdown, "seed %d, factor %v", seed, factor)
			assert.Equal(t, s.Percent(l.now, "a"), placement.NormalSlowdown, "seed %d, factor %v", seed, factor)
		}
		t.Logf("factor %v: detected within %d requests", factor, latest)
	}
}

// TestSlowUpstreamIsTriedAgain requires that the reported slowdown of an upstream without requests falls, so that it
// gets requests, that it rises again if they are slow, and that the upstream recovers within 20 healthy
// requests.
func TestSlowUpstreamIsTriedAgain(t *testing.T) {
	for seed := range uint64(100) {
		l, s := newSlowdownLoad(seed), placement.Slowdown{}
		for range 60 {
			l.next(&s, "a", 4)
		}
		before := s.Percent(l.now, "a")
		assert.Assert(t, before > 200, "seed %d: %d", seed, before)
		l.now += 8 * time.Second
		assert.Assert(t, s.Percent(l.now, "a") < 150, "seed %d: %d", seed, s.Percent(l.now, "a"))
		l.next(&s, "a", 4)
		assert.Assert(t, s.Percent(l.now, "a") > 200, "seed %d: %d", seed, s.Percent(l.now, "a"))
		n := 0
		for ; s.MaxPercent(l.now) > placement.NormalSlowdown; n++ {
			assert.Assert(t, n < 20, "seed %d", seed)
			l.next(&s, "a", 1)
		}
	}
}
