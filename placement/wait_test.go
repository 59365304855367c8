package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/placement"
)

// TestChooseByWaitPlayed plays loads of 0.7, 0.95 and 1.3 of the capacity: even, with rare long requests, with
// three times the load in one zone, with slow upstreams, and combinations. It compares the choice by the
// expected wait with that by utilization and with one central queue.
func TestChooseByWaitPlayed(t *testing.T) {
	t.Parallel()
	for name, l := range playedLoads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			byUtilization, byWait := l.compare(t)
			checkPlayed(t, l, byUtilization, byWait)
			if l.load < 1 {
				assert.Check(t, byWait.spread() <= 0.04, "zones differ by %.3f", byWait.spread())
			}
		})
	}
}

// TestZonesPlayedInOverload plays the loads of 1.3 of the capacity. The zones' fractions in time must not differ by
// more than 0.04. The other checks of these loads are in TestChooseByWaitPlayed.
func TestZonesPlayedInOverload(t *testing.T) {
	t.Parallel()
	for name, l := range playedLoads() {
		if l.load < 1 {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, byWait := l.compare(t)
			assert.Check(t, byWait.spread() <= 0.04, "zones differ by %.3f", byWait.spread())
		})
	}
}

// compare plays the load with the choice by utilization and with that by the expected wait.
func (l played) compare(t *testing.T) (byUtilization, byWait playedResults) {
	t.Helper()
	byUtilization = l.play()
	l.byWait = true
	byWait = l.play()
	t.Logf("by utilization: %v", byUtilization)
	t.Logf("by wait: %v", byWait)
	return byUtilization, byWait
}

// playedLoads returns the loads by name. The fleets are those of the two deployments on which demand exceeds the
// capacity.
func playedLoads() map[string]played {
	loads := make(map[string]played)
	lending := played{
		zones: 3, relays: 18, hosts: 42, runTime: 26 * time.Millisecond, target: 300 * time.Millisecond,
		oneWay: 3500 * time.Microsecond, callers: 3 * time.Millisecond, weights: []float64{0.34, 0.33, 0.33}, seed: 1,
	}
	feed := lending
	feed.runTime, feed.target, feed.oneWay = 15*time.Millisecond, 200*time.Millisecond, 1400*time.Microsecond
	fleets := map[string]played{"lending": lending, "feed": feed}
	if testing.Short() {
		delete(fleets, "feed")
	}
	uneven := []float64{0.2, 0.2, 0.6}
	for fleet, base := range fleets {
		for _, load := range []float64{0.7, 0.95, 1.3} {
			for _, tt := range []struct {
				name       string
				slow, long float64
				weights    []float64
			}{
				{name: "even"},
				{name: "long", long: 0.03},
				{name: "uneven", weights: uneven},
				{name: "slow", slow: 0.3},
				{name: "slow and long", slow: 0.3, long: 0.03},
				{name: "slow, long and uneven", slow: 0.3, long: 0.03, weights: uneven},
			} {
				l := base
				l.load, l.slow, l.long = load, tt.slow, tt.long
				if tt.weights != nil {
					l.weights = tt.weights
				}
				loads[fmt.Sprintf("%s %.2f %s", fleet, load, tt.name)] = l
			}
		}
	}
	return loads
}

// checkPlayed checks what must hold for the choice by the expected wait.
func checkPlayed(t *testing.T, l played, byUtilization, byWait playedResults) {
	t.Helper()
	assert.Check(t, byWait.total() >= byWait.oracle-0.05)
	assert.Check(t, byWait.total() >= byUtilization.total()-0.02)
	assert.Check(t, byWait.falseAlarms == 0, "%d healthy upstreams taken for slow ones", byWait.falseAlarms)
	if l.load == 0.7 {
		if l.slow == 0 {
			assert.Check(t, math.Abs(byWait.total()-byUtilization.total()) <= 0.005)
		}
		assert.Check(t, byWait.total() >= byUtilization.total()-0.005)
		assert.Check(t, byWait.crossed() <= byUtilization.crossed())
		assert.Check(t, byWait.away <= byUtilization.away)
	}
	if l.weights[2] > l.weights[0] {
		assert.Check(t, byWait.spread() <= byUtilization.spread()+0.005)
		for zone := range 2 {
			assert.Check(t, byWait.fraction(zone) >= byWait.fraction(2)-0.01, "zone %d gives capacity and is worse off", zone)
		}
	}
	if l.slow > 0 && l.load < 1 && byWait.bySlow >= 100 {
		assert.Check(t, float64(byWait.slowInTime) >= 0.9*float64(byWait.bySlow), "slow upstreams got work that they can't serve in time")
	}
	for i, window := range byWait.windows {
		if offers := window[0] + window[1] + window[2]; offers >= 20 {
			assert.Check(t, 4*max(window[0], window[1]) <= 3*offers, "in span %d, relays of one zone offer %v to the zones", i, window)
		}
	}
}

func TestChooseByWait(t *testing.T) {
	const ms = time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	assert.Equal(t, placement.ChooseByWait(nil, random), -1)
	for _, tt := range []struct {
		name       string
		candidates []placement.Candidate
		want       int
	}{
		{"free slot", []placement.Candidate{{Busy: 2, Slots: 2, RunTime: 20 * ms}, {Busy: 1, Slots: 2, RunTime: 20 * ms}}, 1},
		{
			"short queue of long requests, long queue of short ones",
			[]placement.Candidate{{Busy: 4, Slots: 2, RunTime: 200 * ms}, {Busy: 6, Slots: 2, RunTime: 10 * ms}},
			1,
		},
		{
			"crossing costs more than the wait that it saves",
			[]placement.Candidate{{Busy: 2, Slots: 2, RunTime: 20 * ms, Reported: 2}, {Zone: 1, Slots: 2, RunTime: 20 * ms, ZoneCost: 28 * ms}},
			0,
		},
		{
			"crossing saves a longer wait",
			[]placement.Candidate{{Busy: 8, Slots: 2, RunTime: 20 * ms, Reported: 8}, {Zone: 1, Slots: 2, RunTime: 20 * ms, ZoneCost: 28 * ms}},
			1,
		},
		{
			"an old report counts less than the load of the zone",
			[]placement.Candidate{
				{Busy: 5, Slots: 2, RunTime: 20 * ms, Reported: 1, Age: 10 * time.Second},
				{Busy: 3, Slots: 2, RunTime: 20 * ms, Reported: 1},
			},
			0,
		},
		{
			"slow upstream", []placement.Candidate{
				{Slots: 2, RunTime: 20 * ms, Slowdown: 400}, {Busy: 2, Slots: 2, RunTime: 20 * ms, Slowdown: 100, Reported: 1},
			}, 1,
		},
		{
			"slow upstream if others have a longer wait",
			[]placement.Candidate{
				{Slots: 2, RunTime: 20 * ms, Slowdown: 400}, {Busy: 12, Slots: 2, RunTime: 20 * ms, Slowdown: 100, Reported: 12},
			},
			0,
		},
		{"utilization if a run time is unknown", []placement.Candidate{{Busy: 3, Slots: 4, RunTime: ms}, {Busy: 0, Slots: 4}}, 1},
	} {
		for range 100 {
			assert.Equal(t, placement.ChooseByWait(tt.candidates, random), tt.want, tt.name)
		}
	}
}

func TestPassOnByWait(t *testing.T) {
	const ms = time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	idle := []placement.Candidate{{Slots: 2, SameZone: true, RunTime: 20 * ms, Slowdown: 100}}
	local := placement.Candidate{Busy: 1, Slots: 2, SameZone: true, RunTime: 20 * ms, Slowdown: 100}
	assert.Equal(t, placement.PassOnByWait(local, idle, false, random), -1, "the local upstream has a free slot")
	slow := local
	slow.Slowdown = 400
	assert.Equal(t, placement.PassOnByWait(slow, idle, false, random), 0, "the local upstream is slow")
	local.Busy = 4
	assert.Equal(t, placement.PassOnByWait(local, idle, false, random), 0)
	assert.Equal(t, placement.PassOnByWait(local, nil, false, random), -1)
	same := []placement.Candidate{{Busy: 4, Slots: 2, SameZone: true, RunTime: 20 * ms, Slowdown: 100, Reported: 4}}
	assert.Equal(t, placement.PassOnByWait(local, same, false, random), -1, "the peer has the same wait")
}

// TestVisitorLeavesFirst requires that there is a load at which a flow from another zone is passed on and one of the own
// zone stays.
func TestVisitorLeavesFirst(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	peers := []placement.Candidate{{Slots: 2, RunTime: 20 * time.Millisecond, Slowdown: 100, Busy: 20, Reported: 20}}
	between := 0
	for busy := 2; busy < 60; busy++ {
		local := placement.Candidate{Busy: busy, Slots: 2, RunTime: 20 * time.Millisecond, Slowdown: 100}
		own, visitor := placement.PassOnByWait(local, peers, false, random), placement.PassOnByWait(local, peers, true, random)
		assert.Assert(t, own < 0 || visitor >= 0, "busy %d", busy)
		if own < 0 && visitor >= 0 {
			between++
		}
	}
	assert.Assert(t, between > 0)
}

// TestZoneCosts checks the bounds of the round trip, that the delay of the process itself doesn't count, and that
// a zone which refuses offers costs more until it isn't tried for a while.
func TestZoneCosts(t *testing.T) {
	const ms = time.Millisecond
	z := placement.NewZones("a")
	far := z.Index("b")
	assert.Equal(t, z.Index("a"), 0)
	assert.Equal(t, z.Index("b"), far)
	assert.Equal(t, z.Cost(0, 0), time.Duration(0))
	assert.Equal(t, z.Cost(0, far), 8*ms, "no sample")
	z.Answered(0, 3*ms)
	z.Answered(far, 10*ms)
	assert.Equal(t, z.Cost(0, far), 28*ms)
	z.Answered(z.Index("c"), time.Second)
	assert.Equal(t, z.Cost(0, z.Index("c")), 80*ms)
	for range 100 {
		z.Refused(time.Second, far)
	}
	assert.Assert(t, z.Cost(time.Second, far) > 500*ms)
	assert.Assert(t, z.Cost(20*time.Second, far) < 30*ms)
	for range 100 {
		z.Refused(20*time.Second, 0)
	}
	assert.Assert(t, z.Cost(20*time.Second, 0) > z.Cost(20*time.Second, z.Index("c")), "the own zone refuses more than one that was not tried")
	for i := range 40 {
		assert.Assert(t, z.Index(fmt.Sprint("zone", i)) < 16)
	}
}

// BenchmarkChooseByWait measures a choice among the 42 upstreams of the largest service, whose costs by zone
// change with each choice.
func BenchmarkChooseByWait(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	zones := placement.NewZones("zone-0")
	names := []string{"zone-0", "zone-1", "zone-2"}
	candidates := make([]placement.Candidate, 42)
	b.ReportAllocs()
	for n := range b.N {
		now := time.Duration(n) * time.Millisecond
		for i := range candidates {
			zone := zones.Index(names[i%3])
			candidates[i] = placement.Candidate{
				Busy: i % 4, Reported: i % 3, Slots: 2, Zone: zone, RunTime: time.Duration(20+i) * time.Millisecond, Slowdown: 100,
				Age: time.Duration(i) * 10 * time.Millisecond, ZoneCost: zones.Cost(now, zone),
			}
		}
		placement.ChooseByWait(candidates, random)
	}
}

// BenchmarkChoose measures the choice by utilization for comparison.
func BenchmarkChoose(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	candidates := make([]placement.Candidate, 42)
	b.ReportAllocs()
	for b.Loop() {
		for i := range candidates {
			candidates[i] = placement.Candidate{Busy: i % 4, Slots: 2, SameZone: i%3 == 0}
		}
		placement.Choose(candidates, random)
	}
}
