package standin_test

import (
	"fmt"
	"math"
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

// playedLoad is a load on one service: many short requests, a flow each.
type loadProfile struct {
	name                 string
	zones, relays, hosts int
	slots                int
	runTime              time.Duration
	target, timeout      time.Duration
	// use is the mean share of the slots that the calls need.
	utilization float64
	// swing is how much the rate goes up and down around its mean, in 15 s.
	rateSwing float64
	// skew is the share of the calls beyond an equal one that come from the first zone.
	skew     float64
	duration time.Duration
	// adjust, if set, changes the world before it is played.
	adjust func(*scenario)
}

// build returns the load's world before its first call. Upstreams work as long as
// work says, which is called for each request; nil stands for the load's own.
func (l loadProfile) build(seed uint64, runTime func(*scenario) time.Duration) *scenario {
	if runTime == nil {
		runTime = func(s *scenario) time.Duration {
			took := drawRunTime(s.Random(), l.runTime)
			s.runTimes = append(s.runTimes, took)
			return took
		}
	}
	s := &scenario{Simulation: standin.NewSimulation(seed)}
	s.OnBelief = func(_ netip.Addr, b decision.Belief) {
		if b.Reason == "answers_too_early" {
			s.earlyAnswers++
		}
	}
	for i := range l.relays {
		s.relays = append(s.relays, s.AddRelay(fmt.Sprint(i%l.zones)))
	}
	for i := range l.hosts {
		s.orders = append(s.orders, s.AddHost(fmt.Sprint(i%l.zones), "orders", func(u *standin.OpaqueUpstream) {
			u.Slots, u.Size = l.slots, 2000
			u.Work = func() time.Duration { return runTime(s) }
		}))
	}
	s.SetTable(l.table())
	return s
}

// table returns the configuration of the load's one route.
func (l loadProfile) table() directory.Table {
	return directory.New(1, 15*_seconds, []directory.Route{
		{Address: _ordersAddr, Shares: []directory.Share{{Service: "orders", Weight: 1}}, Target: l.target, Timeout: l.timeout},
	})
}

// rate returns the mean rate of calls, in calls a second.
func (l loadProfile) rate() float64 {
	mean := l.runTime.Seconds() * (1 + 0.03*6)
	return l.utilization * float64(l.hosts*l.slots) / mean
}

// play plays a load and returns its world.
func (l loadProfile) run(seed uint64) *scenario {
	s, rate := l.build(seed, nil), l.rate()
	var next func()
	next = func() {
		zone := s.Random().IntN(l.zones)
		if s.Random().Float64() < l.skew {
			zone = 0
		}
		s.Call(fmt.Sprint(zone), _ordersAddr, l.timeout)
		currentRate := rate * (1 + l.rateSwing*math.Sin(2*math.Pi*(s.Now()-_callsStart).Seconds()/15))
		if at := s.Now() + time.Duration(s.Random().ExpFloat64()*float64(_seconds)/currentRate); at < _callsStart+l.duration {
			s.At(at, next)
		}
	}
	s.At(_callsStart, next)
	if l.adjust != nil {
		l.adjust(s)
	}
	s.Run(_callsStart + l.duration + l.timeout)
	return s
}

// summary tells what callers got.
func (l loadProfile) summary(s *scenario) string {
	var took []time.Duration
	for _, c := range s.Calls {
		if c.State == standin.CallAnswered {
			took = append(took, c.Ended-c.Began)
		}
	}
	slices.Sort(took)
	return fmt.Sprintf("%s: %d calls, %.4f within %v, p50 %v, p99 %v, %v", l.name, len(s.Calls), fractionWithin(s.Calls, l.target), l.target,
		took[len(took)/2].Round(time.Millisecond), took[len(took)*99/100].Round(time.Millisecond), s.Outcomes())
}

// _networkTime is what the packets of a call take at least: to and from an upstream
// in another zone for the handshake, and again for the request.
const _minNetworkTime = 4 * (time.Millisecond + 900*time.Microsecond)

// centralQueue returns the share of calls that a single queue before all slots
// would answer within the aim: nobody who knows less can do better.
func (l loadProfile) centralQueueFraction(s *scenario) float64 {
	free := make([]time.Duration, l.hosts*l.slots)
	return l.modelFraction(s, func(began, work time.Duration) time.Duration {
		slot := 0
		for i, at := range free {
			if at < free[slot] {
				slot = i
			}
		}
		free[slot] = max(free[slot], began) + work
		return free[slot]
	})
}

// randomHosts returns the share of calls that would be answered within the aim if
// each went to an upstream by chance.
func (l loadProfile) randomChoiceFraction(s *scenario) float64 {
	random := rand.New(rand.NewPCG(1, 3))
	free := make([][]time.Duration, l.hosts)
	for i := range free {
		free[i] = make([]time.Duration, l.slots)
	}
	return l.modelFraction(s, func(began, work time.Duration) time.Duration {
		slots := free[random.IntN(l.hosts)]
		slot := slices.Index(slots, slices.Min(slots))
		slots[slot] = max(slots[slot], began) + work
		return slots[slot]
	})
}

// serve gives the calls to a model that returns when each ends. Their run times are
// those of the played requests, since a few long ones more or less decide.
func (l loadProfile) modelFraction(s *scenario, end func(began, work time.Duration) time.Duration) float64 {
	n := 0
	for i, c := range s.Calls {
		if end(c.Began, s.runTimes[i%len(s.runTimes)])-c.Began+_minNetworkTime <= l.target {
			n++
		}
	}
	return float64(n) / float64(len(s.Calls))
}

// TestPlacementUnderLoad plays a steady load, a crest and an overload on fleets of
// the sizes of the users' deployments. The bounds are what their targets of worth,
// 0.90 on the large deployments and 0.92 on the small ones, ask for before the
// prices of about 0.04, and a share of what a central queue can do beyond that.
func TestPlacementUnderLoad(t *testing.T) {
	large := loadProfile{
		zones: 3, relays: 24, hosts: 45, slots: 2, runTime: 26 * time.Millisecond,
		target: 250 * time.Millisecond, timeout: 2500 * time.Millisecond, duration: 3 * _seconds,
	}
	skewed := large
	skewed.skew = 0.4
	small := loadProfile{
		zones: 3, relays: 7, hosts: 7, slots: 4, runTime: 26 * time.Millisecond,
		target: 150 * time.Millisecond, timeout: 2500 * time.Millisecond, duration: 5 * _seconds,
	}
	for _, tt := range []struct {
		name        string
		load        loadProfile
		utilization float64
		// answered is the share of calls that must be answered, and atLeast that
		// within the aim.
		answered, atLeast float64
	}{
		{"large, calm", large, 0.5, 1, 0.96},
		{"large, crest", large, 0.85, 0.99, 0.94},
		{"large, nearly full", large, 0.95, 0.99, 0.94},
		{"large, overload", large, 1.1, 0.9, 0.75},
		{"large, most calls in one zone", skewed, 0.7, 0.99, 0.94},
		{"small, calm", small, 0.5, 1, 0.96},
		{"small, crest", small, 0.85, 0.99, 0.94},
		{"small, overload", small, 1.1, 0.9, 0.75},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := tt.load
			l.utilization = tt.utilization
			if testing.Short() && l.hosts > small.hosts {
				l.duration = _seconds // under the race detector; a small load has too few calls in it
			}
			s := l.run(1)
			assert.Assert(t, len(s.Violations) == 0, "%v", s.Violations)
			inTime, central, byChance := fractionWithin(s.Calls, l.target), l.centralQueueFraction(s), l.randomChoiceFraction(s)
			answered := float64(s.Outcomes()[standin.CallAnswered]) / float64(len(s.Calls))
			t.Logf("%.1f MB between zones; %s; a central queue %.3f, upstreams by chance %.3f", float64(s.CrossZoneBytes)/1e6, l.summary(s), central, byChance)
			assert.Assert(t, answered >= tt.answered, "%.3f answered", answered)
			assert.Assert(t, inTime >= tt.atLeast, "%.3f in time", inTime)
			assert.Equal(t, s.earlyAnswers, 0, "a healthy upstream is taken for one that fails")
			assert.Assert(t, inTime >= byChance, "%.3f in time, %.3f by chance", inTime, byChance)
		})
	}
}

// TestCallsAfterOutageAreInTime loses all processes for a second and a half. The calls
// that began meanwhile do not keep those that begin later from being in time.
func TestCallsAfterOutageAreInTime(t *testing.T) {
	l := loadProfile{
		zones: 3, relays: 4, hosts: 7, slots: 2, runTime: 13 * time.Millisecond,
		target: 100 * time.Millisecond, timeout: time.Second, utilization: 0.6, duration: 6 * _seconds,
	}
	outage := _callsStart + 2*_seconds
	l.adjust = func(s *scenario) {
		s.At(outage, func() {
			for _, vm := range slices.Concat(s.relays, s.orders) {
				vm.KillProcess()
			}
		})
		s.At(outage+1500*time.Millisecond, func() {
			for _, vm := range s.orders {
				vm.StartSidecar()
			}
			for _, vm := range s.relays {
				vm.StartRelay()
			}
		})
	}
	s := l.run(1)
	assert.Assert(t, len(s.Violations) == 0, "%v", s.Violations)
	var later []*standin.OpaqueCall
	for _, c := range s.Calls {
		if c.Began > outage+3500*time.Millisecond {
			later = append(later, c)
		}
	}
	assert.Assert(t, fractionWithin(later, l.target) >= 0.95, "%.3f in time two seconds after the return", fractionWithin(later, l.target))
}
