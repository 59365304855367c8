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
type playedLoad struct {
	name                 string
	zones, relays, hosts int
	slots                int
	work                 time.Duration
	aim, timeout         time.Duration
	// use is the mean share of the slots that the calls need.
	use float64
	// swing is how much the rate goes up and down around its mean, in 15 s.
	swing float64
	// skew is the share of the calls beyond an equal one that come from the first zone.
	skew   float64
	length time.Duration
	// adjust, if set, changes the world before it is played.
	adjust func(*day)
}

// build returns the load's world before its first call. Upstreams work as long as
// work says, which is called for each request; nil stands for the load's own.
func (l playedLoad) build(seed uint64, work func(*day) time.Duration) *day {
	if work == nil {
		work = func(d *day) time.Duration {
			took := drawWork(d.Random(), l.work)
			d.worked = append(d.worked, took)
			return took
		}
	}
	d := &day{Simulation: standin.NewSimulation(seed)}
	d.OnBelief = func(_ netip.Addr, b decision.Belief) {
		if b.Reason == "answers_too_early" {
			d.tooEarly++
		}
	}
	for i := range l.relays {
		d.relays = append(d.relays, d.AddRelay(fmt.Sprint(i%l.zones)))
	}
	for i := range l.hosts {
		d.orders = append(d.orders, d.AddHost(fmt.Sprint(i%l.zones), "orders", func(u *standin.OpaqueUpstream) {
			u.Slots, u.Size = l.slots, 2000
			u.Work = func() time.Duration { return work(d) }
		}))
	}
	d.SetTable(l.table())
	return d
}

// table returns the configuration of the load's one route.
func (l playedLoad) table() directory.Table {
	return directory.New(1, 15*_seconds, []directory.Route{
		{Address: _orders, Shares: []directory.Share{{Service: "orders", Weight: 1}}, Target: l.aim, Timeout: l.timeout},
	})
}

// rate returns the mean rate of calls, in calls a second.
func (l playedLoad) rate() float64 {
	mean := l.work.Seconds() * (1 + 0.03*6)
	return l.use * float64(l.hosts*l.slots) / mean
}

// play plays a load and returns its world.
func (l playedLoad) play(seed uint64) *day {
	d, rate := l.build(seed, nil), l.rate()
	var next func()
	next = func() {
		zone := d.Random().IntN(l.zones)
		if d.Random().Float64() < l.skew {
			zone = 0
		}
		d.Call(fmt.Sprint(zone), _orders, l.timeout)
		now := rate * (1 + l.swing*math.Sin(2*math.Pi*(d.Now()-_worldStart).Seconds()/15))
		if at := d.Now() + time.Duration(d.Random().ExpFloat64()*float64(_seconds)/now); at < _worldStart+l.length {
			d.At(at, next)
		}
	}
	d.At(_worldStart, next)
	if l.adjust != nil {
		l.adjust(d)
	}
	d.Run(_worldStart + l.length + l.timeout)
	return d
}

// summary tells what callers got.
func (l playedLoad) summary(d *day) string {
	var took []time.Duration
	for _, c := range d.Calls {
		if c.State == standin.CallAnswered {
			took = append(took, c.Ended-c.Began)
		}
	}
	slices.Sort(took)
	return fmt.Sprintf("%s: %d calls, %.4f within %v, p50 %v, p99 %v, %v", l.name, len(d.Calls), within(d.Calls, l.aim), l.aim,
		took[len(took)/2].Round(time.Millisecond), took[len(took)*99/100].Round(time.Millisecond), d.Outcomes())
}

// _networkTime is what the packets of a call take at least: to and from an upstream
// in another zone for the handshake, and again for the request.
const _networkTime = 4 * (time.Millisecond + 900*time.Microsecond)

// centralQueue returns the share of calls that a single queue before all slots
// would answer within the aim: nobody who knows less can do better.
func (l playedLoad) centralQueue(d *day) float64 {
	free := make([]time.Duration, l.hosts*l.slots)
	return l.serve(d, func(began, work time.Duration) time.Duration {
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
func (l playedLoad) randomHosts(d *day) float64 {
	random := rand.New(rand.NewPCG(1, 3))
	free := make([][]time.Duration, l.hosts)
	for i := range free {
		free[i] = make([]time.Duration, l.slots)
	}
	return l.serve(d, func(began, work time.Duration) time.Duration {
		slots := free[random.IntN(l.hosts)]
		slot := slices.Index(slots, slices.Min(slots))
		slots[slot] = max(slots[slot], began) + work
		return slots[slot]
	})
}

// serve gives the calls to a model that returns when each ends. Their run times are
// those of the played requests, since a few long ones more or less decide.
func (l playedLoad) serve(d *day, end func(began, work time.Duration) time.Duration) float64 {
	n := 0
	for i, c := range d.Calls {
		if end(c.Began, d.worked[i%len(d.worked)])-c.Began+_networkTime <= l.aim {
			n++
		}
	}
	return float64(n) / float64(len(d.Calls))
}

// TestPlacementUnderLoad plays a steady load, a crest and an overload on fleets of
// the sizes of the users' deployments. The bounds are what their targets of worth,
// 0.90 on the large deployments and 0.92 on the small ones, ask for before the
// prices of about 0.04, and a share of what a central queue can do beyond that.
func TestPlacementUnderLoad(t *testing.T) {
	large := playedLoad{
		zones: 3, relays: 24, hosts: 45, slots: 2, work: 26 * time.Millisecond,
		aim: 250 * time.Millisecond, timeout: 2500 * time.Millisecond, length: 3 * _seconds,
	}
	skewed := large
	skewed.skew = 0.4
	small := playedLoad{
		zones: 3, relays: 7, hosts: 7, slots: 4, work: 26 * time.Millisecond,
		aim: 150 * time.Millisecond, timeout: 2500 * time.Millisecond, length: 5 * _seconds,
	}
	for _, tt := range []struct {
		name string
		load playedLoad
		use  float64
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
			l.use = tt.use
			if testing.Short() && l.hosts > small.hosts {
				l.length = _seconds // under the race detector; a small load has too few calls in it
			}
			d := l.play(1)
			assert.Assert(t, len(d.Violations) == 0, "%v", d.Violations)
			inTime, central, byChance := within(d.Calls, l.aim), l.centralQueue(d), l.randomHosts(d)
			answered := float64(d.Outcomes()[standin.CallAnswered]) / float64(len(d.Calls))
			t.Logf("%.1f MB between zones; %s; a central queue %.3f, upstreams by chance %.3f", float64(d.CrossZoneBytes)/1e6, l.summary(d), central, byChance)
			assert.Assert(t, answered >= tt.answered, "%.3f answered", answered)
			assert.Assert(t, inTime >= tt.atLeast, "%.3f in time", inTime)
			assert.Equal(t, d.tooEarly, 0, "a healthy upstream is taken for one that fails")
			assert.Assert(t, inTime >= byChance, "%.3f in time, %.3f by chance", inTime, byChance)
		})
	}
}

// TestCallersThatComeBack loses all processes for a second and a half. The calls
// that began meanwhile do not keep those that begin later from being in time.
func TestCallersThatComeBack(t *testing.T) {
	l := playedLoad{
		zones: 3, relays: 4, hosts: 7, slots: 2, work: 13 * time.Millisecond,
		aim: 100 * time.Millisecond, timeout: time.Second, use: 0.6, length: 6 * _seconds,
	}
	outage := _worldStart + 2*_seconds
	l.adjust = func(d *day) {
		d.At(outage, func() {
			for _, vm := range slices.Concat(d.relays, d.orders) {
				vm.KillProcess()
			}
		})
		d.At(outage+1500*time.Millisecond, func() {
			for _, vm := range d.orders {
				vm.StartSidecar()
			}
			for _, vm := range d.relays {
				vm.StartRelay()
			}
		})
	}
	d := l.play(1)
	assert.Assert(t, len(d.Violations) == 0, "%v", d.Violations)
	var later []*standin.OpaqueCall
	for _, c := range d.Calls {
		if c.Began > outage+3500*time.Millisecond {
			later = append(later, c)
		}
	}
	assert.Assert(t, within(later, l.aim) >= 0.95, "%.3f in time two seconds after the return", within(later, l.aim))
}
