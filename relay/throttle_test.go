package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// throttleLoad is a load of openings of one priority at a relay. The upstreams accept a limited
// number of them a second and report whether they refuse any, 150 ms later.
type throttleLoad struct {
	perSecond, accepted float64
	duration            time.Duration
}

// play returns how many openings were accepted and offered in the second half of the load, and
// how many could have been accepted.
func (l throttleLoad) play(t *throttle, seed uint64, start time.Duration) (accepted, offered, possible float64) {
	const delay = 150 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, seed))
	var capacity float64
	var refusedAt []time.Duration
	last := start
	for now := start; now < start+l.duration; now += time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second)) {
		capacity = min(capacity+(now-last).Seconds()*l.accepted, 10)
		last = now
		late := now > start+l.duration/2
		reports := room{eligible: 1}
		for _, at := range refusedAt {
			if age := now - at; age >= delay && age < 2*delay {
				reports.reported = 1
			}
		}
		if late {
			possible += min(1, l.accepted/l.perSecond)
		}
		if t.refuses(now, reports, random) {
			t.noteRefused(now)
			continue
		}
		if late {
			offered++
		}
		if capacity < 1 {
			t.noteRefused(now)
			refusedAt = append(refusedAt, now)
			continue
		}
		capacity--
		t.noteAccepted(now, false)
		if late {
			accepted++
		}
	}
	return accepted, offered, possible
}

// TestThrottleKeepsUpstreamsBusy guards against a limit that refuses openings for which there is
// capacity, and against offers that all upstreams refuse, which fill small links.
func TestThrottleKeepsUpstreamsBusy(t *testing.T) {
	for _, tt := range []struct {
		name string
		load throttleLoad
	}{
		{"0.7 of the capacity", throttleLoad{perSecond: 140, accepted: 200, duration: 10 * time.Second}},
		{"0.95 of the capacity", throttleLoad{perSecond: 190, accepted: 200, duration: 10 * time.Second}},
		{"1.3 of the capacity", throttleLoad{perSecond: 260, accepted: 200, duration: 10 * time.Second}},
		{"2.5 of the capacity", throttleLoad{perSecond: 500, accepted: 200, duration: 10 * time.Second}},
		{"20 times the capacity", throttleLoad{perSecond: 1000, accepted: 50, duration: 10 * time.Second}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(3) {
				accepted, offered, possible := tt.load.play(&throttle{}, seed, time.Second)
				t.Logf("seed %d: %.0f accepted of %.0f possible, %.0f offered", seed, accepted, possible, offered)
				assert.Assert(t, accepted >= 0.97*possible, "%.0f accepted, %.0f possible", accepted, possible)
				assert.Assert(t, offered <= 3*accepted, "%.0f offered for %.0f accepted", offered, accepted)
			}
		})
	}
}

// TestThrottleEndsWithOverload guards against a limit that lasts when capacity is back: once the
// reports of no capacity have ended, every opening is offered.
func TestThrottleEndsWithOverload(t *testing.T) {
	limit := &throttle{}
	throttleLoad{perSecond: 500, accepted: 10, duration: 5 * time.Second}.play(limit, 1, time.Second)
	random := rand.New(rand.NewPCG(1, 1))
	assert.Assert(t, limit.excess(6*time.Second) > 0.8)
	assert.Assert(t, !limit.refuses(6*time.Second, room{eligible: 4, reported: 1}, random))
	assert.Assert(t, limit.excess(8*time.Second) == 0, "the counts of the overload are older than the window")
}

// TestThrottlesAreBounded guards against a count for each of an unlimited number of services.
func TestThrottlesAreBounded(t *testing.T) {
	all := make(throttles)
	for priority := range 2 * _maxThrottles {
		all.get("orders", priority)
	}
	assert.Equal(t, len(all), _maxThrottles)
	var none *throttle
	assert.Assert(t, !none.refuses(0, room{}, nil))
}

func BenchmarkThrottle(b *testing.B) {
	limit, random := &throttle{}, rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		limit.refuses(now, room{eligible: 2, reported: 2}, random)
		limit.noteAccepted(now, false)
	}
}
