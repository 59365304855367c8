package standin_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/standin"
)

// request is what a caller wants: it tries again, on a new flow, when a try was
// reset or did not open, until its time is over.
type request struct {
	zone     string
	began    time.Duration
	tries    []*standin.OpaqueCall
	ended    time.Duration
	answered bool
}

// returnDay loses all processes and upstreams at once. They come back before the
// configuration does, so that calls pile up at the relays.
type returnDay struct {
	*day
	timeout  time.Duration
	requests []*request
	// back is when the relays get the configuration.
	back time.Duration
}

const _maxTries = 3

// Times of a returnDay, like those of a played day on which the store is away
// while power is lost.
const (
	_lostAt         = _worldStart + 2*_seconds
	_startedAfter   = 1300 * time.Millisecond
	_backAfter      = 1900 * time.Millisecond
	_sidecarsBehind = 60 * time.Millisecond
	_coldFor        = 3 * _seconds
	_coldFactor     = 1.6
	// _freshFor and _waitedFor are the spans of the requests that are looked at, after and
	// before the configuration is back.
	_freshFor  = 700 * time.Millisecond
	_waitedFor = 700 * time.Millisecond
)

// The service of a returnDay.
const (
	_returnHosts, _returnSlots = 7, 2
	_returnWork                = 13 * time.Millisecond
	_returnUse                 = 0.35
	_returnTarget              = 100 * time.Millisecond
)

func playReturn(seed uint64) *returnDay {
	l := playedLoad{
		zones: 3, relays: 4, hosts: _returnHosts, slots: _returnSlots, work: _returnWork, use: _returnUse,
		aim: _returnTarget, timeout: _seconds,
	}
	table := l.table()
	d := &returnDay{timeout: l.timeout, back: _lostAt + _backAfter}
	d.day = l.build(seed, func(d *day) time.Duration {
		took := drawWork(d.Random(), l.work)
		if since := d.Now() - _lostAt - _startedAfter; since >= 0 && since < _coldFor {
			took = time.Duration(float64(took) * _coldFactor)
		}
		return took
	})
	d.At(_lostAt, func() {
		d.StoreAway = true
		for _, vm := range slices.Concat(d.relays, d.orders) {
			vm.KillProcess()
		}
		for _, vm := range d.orders {
			vm.KillUpstream()
		}
	})
	d.At(_lostAt+_startedAfter, func() {
		for _, vm := range d.orders {
			vm.StartUpstream()
			vm.StartSidecar()
		}
		for _, vm := range d.relays {
			vm.StartRelay()
		}
	})
	d.At(d.back, func() {
		for _, vm := range d.relays {
			vm.SetTable(table)
		}
	})
	d.At(d.back+_sidecarsBehind, func() { d.SetTable(table) })
	d.send(l.rate(), _lostAt+7*_seconds)
	d.Run(_lostAt + 9*_seconds)
	return d
}

// send begins perSecond requests a second until a time, and tries again where callers do.
func (d *returnDay) send(perSecond float64, until time.Duration) {
	var begin, again func()
	begin = func() {
		r := &request{zone: fmt.Sprint(d.Random().IntN(3)), began: d.Now()}
		d.requests = append(d.requests, r)
		r.tries = append(r.tries, d.Call(r.zone, _orders, d.timeout))
		if d.Now() < until {
			d.At(d.Now()+time.Duration(d.Random().ExpFloat64()*float64(_seconds)/perSecond), begin)
		}
	}
	again = func() {
		for _, r := range d.requests {
			d.retry(r)
		}
		d.At(d.Now()+5*time.Millisecond, again)
	}
	d.At(_worldStart, begin)
	d.At(_worldStart, again)
}

func (d *returnDay) retry(r *request) {
	last := r.tries[len(r.tries)-1]
	left := d.timeout - (d.Now() - r.began)
	switch {
	case r.ended > 0 || !last.Done():
	case last.State == standin.CallAnswered:
		r.ended, r.answered = last.Ended, true
	case left <= 0 || len(r.tries) == _maxTries:
		r.ended = d.Now()
	default:
		r.tries = append(r.tries, d.Call(r.zone, _orders, left))
	}
}

// share returns the share of the requests that began in a span of time, from the
// return of the configuration on, and were answered within a time.
func (d *returnDay) share(from, to, within time.Duration) float64 {
	return d.shareOf(from, to, within, func(r *request) (time.Duration, bool) { return r.ended - r.began, r.answered })
}

// shareOf is share with answers of a model: how long each took, if there was one.
func (d *returnDay) shareOf(from, to, within time.Duration, answer func(*request) (time.Duration, bool)) float64 {
	all, good := 0, 0
	for _, r := range d.requests {
		if r.began < d.back+from || r.began >= d.back+to {
			continue
		}
		all++
		if took, ok := answer(r); ok && took <= within {
			good++
		}
	}
	return float64(good) / float64(all)
}

// oracle returns the shares that one queue before all slots would reach if it
// knew which requests are tries of old ones: it serves those that can be in time
// first, then the others, the oldest first, and none that would be too late.
func (d *returnDay) oracle() (fresh, waited float64) {
	const (
		step = time.Millisecond
		aim  = _returnTarget - _networkTime
	)
	random := rand.New(rand.NewPCG(1, 4))
	free := make([]time.Duration, _returnHosts*_returnSlots)
	took := make(map[*request]time.Duration)
	for now := d.back; now < d.back+2*_seconds; now += step {
		for i := range free {
			if r := d.next(now, aim, took); r != nil && free[i] <= now {
				free[i] = now + time.Duration(float64(drawWork(random, _returnWork))*_coldFactor)
				took[r] = free[i] - r.began
			}
		}
	}
	answer := func(r *request) (time.Duration, bool) {
		t, ok := took[r]
		return t, ok
	}
	return d.shareOf(0, _freshFor, aim, answer), d.shareOf(-_waitedFor, 0, d.timeout, answer)
}

// next returns the request that the oracle serves next, nil if there is none.
func (d *returnDay) next(now, aim time.Duration, served map[*request]time.Duration) *request {
	const mean = time.Duration(float64(_returnWork) * _coldFactor)
	var late *request
	for _, r := range d.requests {
		age := now - r.began
		if _, ok := served[r]; ok || age < 0 || age+mean > d.timeout {
			continue
		}
		if age+mean <= aim {
			return r
		}
		if late == nil {
			late = r
		}
	}
	return late
}

// TestCallersThatWaitForTheConfiguration plays the load of kowhai-rounds, a third
// of the slots, through the loss of all processes while the store is away. Those
// that come once it is back must not wait for those that came before: the bound is
// the least worth that a day should have, 0.88. And of those that came before, at
// least half as many must be answered as an oracle could.
func TestCallersThatWaitForTheConfiguration(t *testing.T) {
	skipUnderRaceDetector(t)
	const inTime = 0.88
	for seed := range uint64(3) {
		d := playReturn(seed)
		assert.Assert(t, len(d.Broken) == 0, "%v", d.Broken)
		fresh, later := d.share(0, _freshFor, _returnTarget), d.share(_freshFor, 2*_seconds, _returnTarget)
		waited := d.share(-_waitedFor, 0, d.timeout)
		bestFresh, bestWaited := d.oracle()
		t.Logf("seed %d: %.3f of the fresh in time, of an oracle's %.3f, then %.3f; %.3f of the waiting answered, of an oracle's %.3f",
			seed, fresh, bestFresh, later, waited, bestWaited)
		assert.Assert(t, fresh >= inTime && later >= inTime, "seed %d: %.3f in time at first, then %.3f", seed, fresh, later)
		assert.Assert(t, waited >= bestWaited/2, "seed %d: %.3f of the waiting answered, an oracle %.3f", seed, waited, bestWaited)
	}
}
