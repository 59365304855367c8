package standin_test

import (
	"fmt"
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

const (
	_seconds = time.Second
	// _worldStart is when calls begin: relays refuse nothing in their first seconds.
	_worldStart = 5 * _seconds
)

var (
	_orders = netip.MustParseAddrPort("198.18.0.1:443")
	_photos = netip.MustParseAddrPort("198.18.0.2:443")
)

// opaqueTable leads one address to each of the two services.
func opaqueTable(version uint64) directory.Table {
	return directory.New(version, 15*_seconds, []directory.Route{
		{Address: _orders, Shares: []directory.Share{{Service: "orders", Weight: 1}}},
		{Address: _photos, Shares: []directory.Share{{Service: "photos", Weight: 1}}},
	})
}

// day is a world of the size of a users' deployment, with calls spread evenly.
type day struct {
	*standin.Simulation
	relays, orders, photos []*standin.SimulatedVM
	// tooEarly counts the times that a sidecar took its upstream for one that fails,
	// since it answered too early.
	tooEarly int
	// worked are the run times of requests, in the order of their starts.
	worked []time.Duration
}

// skipUnderRaceDetector leaves a long played load to the runs without the race
// detector, which has nothing to find: a world is one goroutine.
func skipUnderRaceDetector(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("one goroutine, and minutes under the race detector")
	}
}

// newDay starts two relays in each of three zones, seven upstreams of orders
// and three of photos.
func newDay(seed uint64) *day {
	d := &day{Simulation: standin.NewSimulation(seed)}
	zones := []string{"a", "b", "c"}
	for i := range 6 {
		d.relays = append(d.relays, d.AddRelay(zones[i%3]))
	}
	for i := range 7 {
		d.orders = append(d.orders, d.AddHost(zones[i%3], "orders", d.work(26*time.Millisecond, 2000)))
	}
	for i := range 3 {
		d.photos = append(d.photos, d.AddHost(zones[i%3], "photos", d.work(4*time.Millisecond, 40_000)))
	}
	d.SetTable(opaqueTable(1))
	return d
}

// work gives an upstream run times with the sheet's spread and tail.
func (d *day) work(mean time.Duration, size int) func(*standin.OpaqueUpstream) {
	return func(u *standin.OpaqueUpstream) {
		u.Size = size
		u.Work = func() time.Duration { return drawWork(d.Random(), mean) }
	}
}

// drawWork draws a run time: 3% of them are seven times as long.
func drawWork(random *rand.Rand, mean time.Duration) time.Duration {
	work := time.Duration(float64(mean) * (0.5 + random.Float64()))
	if random.Float64() < 0.03 {
		work *= 7
	}
	return work
}

// load starts perSecond calls a second from _worldStart until a time.
func (d *day) load(perSecond float64, until time.Duration) {
	var next func()
	next = func() {
		zone := []string{"a", "b", "c"}[d.Random().IntN(3)]
		address := _orders
		if d.Random().IntN(10) == 0 {
			address = _photos
		}
		d.Call(zone, address, 2500*time.Millisecond)
		if at := d.Now() + time.Duration(d.Random().ExpFloat64()*float64(_seconds)/perSecond); at < until {
			d.At(at, next)
		}
	}
	d.At(_worldStart, next)
}

// check fails the test if a promise was broken or too few calls were answered.
func (d *day) check(t *testing.T, share float64) {
	t.Helper()
	assert.Assert(t, len(d.Violations) == 0, "%d promises broken, the first: %v", len(d.Violations), d.Violations[:min(len(d.Violations), 3)])
	answered := d.Outcomes()[standin.CallAnswered]
	assert.Assert(t, float64(answered) >= share*float64(len(d.Calls)), "%d of %d calls answered: %v", answered, len(d.Calls), d.Outcomes())
	for request, runs := range d.Runs {
		assert.Assert(t, runs == 1, "request %s ran %d times", request, runs)
	}
}

// within returns the share of calls that were answered within a time.
func within(calls []*standin.OpaqueCall, aim time.Duration) float64 {
	n := 0
	for _, c := range calls {
		if c.State == standin.CallAnswered && c.Ended-c.Began <= aim {
			n++
		}
	}
	return float64(n) / float64(len(calls))
}

func TestOpaqueCalmDay(t *testing.T) {
	for seed := range uint64(3) {
		d := newDay(seed)
		d.load(300, 10*_seconds)
		d.Run(14 * _seconds)
		d.check(t, 1)
		assert.Equal(t, d.StrayPackets(), 0)
	}
}

// TestOpaqueRotation stops, kills and adds relays, so that nearly all flows move
// to other relays several times.
func TestOpaqueRotation(t *testing.T) {
	for seed := range uint64(3) {
		d := newDay(seed)
		d.load(300, 12*_seconds)
		d.At(6*_seconds, func() { d.relays[0].Relay.Leave(6 * _seconds) })
		d.At(7*_seconds, d.relays[1].KillProcess)
		d.At(8*_seconds, func() { d.AddRelay("a") })
		d.At(9*_seconds, d.relays[1].StartRelay)
		d.At(10*_seconds, func() { d.AddRelay("b") })
		d.Run(16 * _seconds)
		d.check(t, 0.98) // a killed relay's packets are lost until routers have missed it twice
	}
}

// TestOpaqueRelaysForget restarts all relays at once while flows are open.
func TestOpaqueRelaysForget(t *testing.T) {
	d := newDay(1)
	d.load(300, 9*_seconds)
	d.At(7*_seconds, func() {
		for _, r := range d.relays {
			r.KillProcess()
			r.StartRelay()
		}
	})
	d.Run(13 * _seconds)
	d.check(t, 0.9)
}

// TestOpaqueSidecarForgets kills sidecars beside living upstreams. The flows go
// on after the restart, and none is reset.
func TestOpaqueSidecarForgets(t *testing.T) {
	for seed := range uint64(3) {
		d := newDay(seed)
		d.load(300, 10*_seconds)
		d.At(7*_seconds, d.orders[0].KillProcess)
		d.At(7*_seconds, d.photos[0].KillProcess)
		d.At(7300*time.Millisecond, d.orders[0].StartSidecar)
		d.At(7300*time.Millisecond, d.photos[0].StartSidecar)
		d.At(8*_seconds, func() { d.orders[1].KillProcess(); d.orders[1].StartSidecar() })
		d.Run(14 * _seconds)
		d.check(t, 0.99)
	}
}

// TestOpaqueUpstreamCrash kills an upstream. New flows go elsewhere at once, and
// after its next start callers of the old flows get resets.
func TestOpaqueUpstreamCrash(t *testing.T) {
	d := newDay(1)
	d.load(300, 10*_seconds)
	crash := 7 * _seconds
	d.At(crash, d.orders[0].KillUpstream)
	d.Run(14 * _seconds)
	assert.Assert(t, len(d.Violations) == 0, "%v", d.Violations)
	late := 0
	for _, c := range d.Calls {
		if c.Began > crash+500*time.Millisecond && c.State != standin.CallAnswered {
			late++
		}
	}
	assert.Equal(t, late, 0, "calls that began half a second after the crash failed")
	for _, c := range d.Calls {
		assert.Assert(t, c.State == standin.CallAnswered || c.Began > crash-_seconds, "%v", c.Key)
	}
}

// TestOpaqueDeadFlowsAreReset kills and restarts an upstream: the callers of its
// flows are told, and do not wait until their time is over.
func TestOpaqueDeadFlowsAreReset(t *testing.T) {
	d := newDay(1)
	d.load(300, 9*_seconds)
	for _, vm := range d.orders[:4] {
		d.At(7*_seconds, vm.KillUpstream)
		d.At(7200*time.Millisecond, vm.StartUpstream)
	}
	d.Run(14 * _seconds)
	assert.Assert(t, len(d.Violations) == 0, "%v", d.Violations)
	resets := 0
	for _, c := range d.Calls {
		if c.State == standin.CallReset {
			resets++
		}
		assert.Assert(t, c.State != standin.CallTimedOut, "call %v of %v timed out", c.Key, c.Began)
	}
	assert.Assert(t, resets > 0 && resets < 20, "%d resets", resets)
}

// TestOpaqueDrain drains all upstreams one after the other while others start.
// The world checks that none is opened at one that leaves.
func TestOpaqueDrain(t *testing.T) {
	d := newDay(2)
	d.load(250, 14*_seconds)
	for i, vm := range d.orders[:5] {
		at := 6*_seconds + time.Duration(i)*_seconds
		d.At(at-500*time.Millisecond, func() { d.AddHost(vm.Zone, "orders", d.work(26*time.Millisecond, 2000)) })
		d.At(at, func() { vm.Drain(3 * _seconds) })
	}
	d.Run(18 * _seconds)
	d.check(t, 1)
}

// TestOpaqueFreeze freezes a relay and a host and lets them go on.
func TestOpaqueFreeze(t *testing.T) {
	for seed := range uint64(3) {
		d := newDay(seed)
		d.load(250, 12*_seconds)
		for _, vm := range []*standin.SimulatedVM{d.relays[0], d.orders[0]} {
			d.At(7*_seconds, vm.Freeze)
			d.At(10*_seconds, vm.Thaw)
		}
		d.Run(16 * _seconds)
		d.check(t, 0.93)
	}
}

// TestOpaqueOneWayCut loses what one relay sends to some sidecars, while it still
// hears their reports.
func TestOpaqueOneWayCut(t *testing.T) {
	d := newDay(3)
	d.load(250, 12*_seconds)
	cut := func(from, to netip.Addr) bool {
		return d.Now() > 7*_seconds && d.Now() < 10*_seconds && from == d.relays[0].Addr &&
			slices.ContainsFunc(d.orders[:3], func(vm *standin.SimulatedVM) bool { return vm.Addr == to })
	}
	d.DropMessage = cut
	d.Run(16 * _seconds)
	d.check(t, 0.97)
}

// TestOpaqueLoss loses packets between all VMs.
func TestOpaqueLoss(t *testing.T) {
	d := newDay(4)
	d.load(250, 10*_seconds)
	d.DropMessage = func(_, _ netip.Addr) bool { return d.Random().IntN(33) == 0 }
	d.Run(16 * _seconds)
	d.check(t, 0.995)
}

// TestOpaqueNowhereToGo refuses at once what nobody can serve.
func TestOpaqueNowhereToGo(t *testing.T) {
	d := newDay(1)
	for _, vm := range d.photos {
		d.At(5*_seconds, func() { vm.Drain(3 * _seconds) })
	}
	var noUpstream, noRoute *standin.OpaqueCall
	d.At(10*_seconds, func() {
		noUpstream = d.Call("a", _photos, _seconds)
		noRoute = d.Call("a", netip.MustParseAddrPort("198.18.0.9:443"), _seconds)
	})
	d.Run(12 * _seconds)
	for _, c := range []*standin.OpaqueCall{noUpstream, noRoute} {
		assert.Equal(t, c.State, standin.CallReset)
		assert.Assert(t, c.Ended-c.Began < 10*time.Millisecond, "reset after %v", c.Ended-c.Began)
	}
}

// TestOpaqueAllLost kills every process at once. Calls are answered again as
// soon as all have started.
func TestOpaqueAllLost(t *testing.T) {
	d := newDay(1)
	d.load(200, 14*_seconds)
	d.At(7*_seconds, func() {
		for _, vm := range slices.Concat(d.relays, d.orders, d.photos) {
			vm.KillProcess()
		}
	})
	d.At(8*_seconds, func() {
		for _, vm := range slices.Concat(d.orders, d.photos) {
			vm.StartSidecar()
		}
		for _, r := range d.relays {
			r.StartRelay()
		}
	})
	d.Run(18 * _seconds)
	assert.Assert(t, len(d.Violations) == 0, "%v", d.Violations)
	for _, c := range d.Calls {
		if c.Began > 10*_seconds {
			assert.Assert(t, c.State == standin.CallAnswered, "call of %v: %v", c.Began, c.State)
		}
	}
}

// TestOpaqueFlappingUpstreams lets two of seven upstreams fail all requests by
// turns while their heartbeats are good.
func TestOpaqueFlappingUpstreams(t *testing.T) {
	d := newDay(1)
	for _, vm := range d.orders[:2] {
		vm.Upstream.ResetsNext = func() bool {
			return d.Now() > 6*_seconds && d.Now() < 10*_seconds && int(d.Now()/(900*time.Millisecond))%2 == 0
		}
	}
	d.load(300, 10*_seconds)
	d.Run(14 * _seconds)
	d.check(t, 0.97) // chance alone would fail one in seven
}

// TestOpaqueAllFail lets all upstreams of a service fail for a while: they are
// still tried, since nobody else is better, and serve again at once.
func TestOpaqueAllFail(t *testing.T) {
	d := newDay(1)
	for _, vm := range d.orders {
		vm.Upstream.ResetsNext = func() bool { return d.Now() > 6*_seconds && d.Now() < 8*_seconds }
	}
	d.load(200, 13*_seconds)
	d.Run(16 * _seconds)
	assert.Assert(t, len(d.Violations) == 0, "%v", d.Violations)
	for _, c := range d.Calls {
		assert.Assert(t, c.Began < 11500*time.Millisecond || c.State == standin.CallAnswered, "call of %v: %v", c.Began, c.State)
	}
}

// TestOpaqueRunsAreRepeatable plays one seed twice.
func TestOpaqueRunsAreRepeatable(t *testing.T) {
	var runs [2]string
	for i := range runs {
		d := newDay(7)
		d.OnRecord = func(vm netip.Addr, r decision.Record) {
			runs[i] += fmt.Sprint(d.Now(), vm, r.Flow, r.Action, r.Target, "\n")
		}
		d.load(100, 7*_seconds)
		d.Run(8 * _seconds)
	}
	assert.Assert(t, runs[0] == runs[1], "two runs of one seed differ")
}
