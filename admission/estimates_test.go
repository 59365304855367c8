package admission

import (
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// newController returns a controller of an upstream with 2 slots that admits work by priority.
func newController() *Controller[int] {
	return New[int](func(time.Duration) Limits { return Limits{Slots: 2, ColdRoom: math.MaxInt, Prioritized: true} })
}

// serve plays a request on an open flow that is answered after a time.
func serve(c *Controller[int], at time.Duration, w *Work[int], class Class, took time.Duration) Outcome {
	c.SetDeadlines(at, w, class)
	c.Begin(at, w, true)
	outcome := c.Answer(at+took, w, took)
	c.End(at+took, w)
	return outcome
}

// assertNear checks that a duration deviates by at most a tenth from the wanted one.
func assertNear(t *testing.T, got, want time.Duration) {
	t.Helper()
	assert.Assert(t, (got-want).Abs() <= want/10, "%v, want %v", got, want)
}

// TestWorkIsLearnedByRoute checks that the expected work of an opening is that of its route,
// with the further requests of long-lived flows, and that a bounded number of routes is kept.
func TestWorkIsLearnedByRoute(t *testing.T) {
	c := newController()
	short, long := Class{Route: netip.MustParseAddrPort("198.18.0.1:1")}, Class{Route: netip.MustParseAddrPort("198.18.0.2:1")}
	flow := new(Work[int])
	now := time.Duration(0)
	for range 400 { // 5 requests a second on one open flow
		now += 100 * time.Millisecond
		serve(c, now, new(Work[int]), short, 10*time.Millisecond)
		now += 100 * time.Millisecond
		serve(c, now, flow, long, 40*time.Millisecond)
		c.OpenFlow(flow)
	}
	opening := new(Work[int])
	c.SetDeadlines(now, opening, short)
	assertNear(t, opening.expected, 10*time.Millisecond)
	c.SetDeadlines(now, opening, long)
	assertNear(t, opening.expected, 240*time.Millisecond) // a request and 5 further ones
	c.Reserve(opening)
	assertNear(t, c.busyWork, 40*time.Millisecond) // at the upstream, the first request counts
	c.End(now, opening)
	c.CloseFlow(flow)
	c.SetDeadlines(now, opening, long)
	assertNear(t, opening.expected, 40*time.Millisecond)
	for port := range uint16(200) {
		c.SetDeadlines(now+time.Duration(port), opening, Class{Route: netip.AddrPortFrom(short.Route.Addr(), 2+port)})
	}
	assert.Equal(t, len(c.routes), _maxRoutes)
}

// TestCapacityIsLearned checks that the capacity is the smallest number of requests in progress
// at which an answer can only be a refusal, that it rises by one when a request is queued there,
// and that refusals count as no run time.
func TestCapacityIsLearned(t *testing.T) {
	c := newController()
	class := Class{Priority: 2}
	begin := func() *Work[int] {
		w := new(Work[int])
		c.SetDeadlines(0, w, class)
		c.Begin(0, w, true)
		return w
	}
	for range 5 {
		begin()
	}
	refused := new(Work[int])
	assert.Equal(t, serve(c, time.Millisecond, refused, class, time.Millisecond), RefusedByUpstream)
	assert.Equal(t, c.Capacity(), 5)
	assert.Equal(t, c.RunTime(), _initialRunTime)
	assert.Equal(t, serve(c, 10*time.Millisecond, refused, class, 30*time.Millisecond), Served, "it was queued")
	assert.Equal(t, c.Capacity(), 6)
	for len(c.atUpstream) > 1 {
		c.End(40*time.Millisecond, c.atUpstream[0])
	}
	assert.Equal(t, serve(c, 50*time.Millisecond, refused, class, time.Millisecond), Served, "it had a slot")
}

// TestLostAnswersFreeTheirPlaces checks that a request whose answer was lost does not take a
// place for ever.
func TestLostAnswersFreeTheirPlaces(t *testing.T) {
	c := newController()
	w := new(Work[int])
	c.SetDeadlines(0, w, Class{Timeout: time.Second})
	c.Begin(0, w, true)
	assert.Assert(t, c.Overdue(time.Second) == nil)
	assert.Assert(t, c.Overdue(1001*time.Millisecond) == w)
}

// TestStartsOfLateFlows checks the prediction of the start of a late flow: from the assumed
// interval at first, from the time without a start, from observed intervals, and from the
// assumed interval again long after an overload.
func TestStartsOfLateFlows(t *testing.T) {
	const initial = 20 * time.Millisecond
	var l lateStarts
	assert.Equal(t, l.wait(0, 3, initial), 3*initial)
	l.noteWaiting(time.Second, true)
	assert.Equal(t, l.wait(1200*time.Millisecond, 0, initial), 200*time.Millisecond)
	l.noteStart(1200 * time.Millisecond)
	l.noteStart(1400 * time.Millisecond)
	assertNear(t, l.wait(1400*time.Millisecond, 1, initial), 2*l.interval.value)
	l.noteMissed(2 * time.Second)
	assert.Equal(t, l.wait(2*time.Second, 0, initial), 600*time.Millisecond)
	l.noteWaiting(2*time.Second, false)
	assert.Equal(t, l.wait(time.Minute, 0, initial), initial)
}

// TestCountsOfWork plays random openings, requests, answers and releases. The number of requests
// in progress, their expected work and the numbers by priority must be those of the requests
// that are in progress, and the openings must be delivered in the order of priority.
func TestCountsOfWork(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c, now := newController(), time.Second
		flows := make([]*Work[int], 12)
		for i := range flows {
			flows[i] = new(Work[int])
		}
		anyFlow := func(t *rapid.T) *Work[int] { return rapid.SampledFrom(flows).Draw(t, "flow") }
		classify := func(t *rapid.T, w *Work[int]) {
			priority := rapid.IntRange(0, 3).Draw(t, "priority")
			w.Arrived = now
			c.SetDeadlines(now, w, Class{
				Route: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(priority)), Priority: priority, TargetLatency: 300 * time.Millisecond, Timeout: time.Second,
			})
		}
		rt.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				w := anyFlow(t)
				if w.waiting || w.inProgress || w.held {
					return
				}
				classify(t, w)
				switch c.Decide(now, w) {
				case Run:
					c.Reserve(w)
				case Wait:
					c.Enqueue(now, w)
					c.DisplacedBy(now, w)
				}
			},
			"request": func(t *rapid.T) {
				w := anyFlow(t)
				if w.waiting || w.held {
					return
				}
				if !w.inProgress {
					classify(t, w)
				}
				if !c.ShouldHold(now, w) {
					c.Begin(now, w, !w.inProgress)
				}
			},
			"answer": func(t *rapid.T) {
				w := anyFlow(t)
				c.Answer(now, w, time.Millisecond)
				c.End(now, w)
			},
			"next": func(t *rapid.T) {
				first := c.First(now)
				if w := c.Next(now); w != nil {
					assert.Assert(t, w == first)
					c.Reserve(w)
				}
			},
			"tick": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
				c.TooLate(now)
				for w := c.Release(now, now); w != nil; w = c.Release(now, now) {
					c.Begin(now, w, true)
				}
			},
			"": func(t *rapid.T) {
				busy, work, onOpenFlows, waiting, held := 0, time.Duration(0), [Priorities]int{}, 0, 0
				for _, w := range flows {
					if w.inProgress {
						busy++
						work += w.expected
					}
					if w.atUpstream && w.onOpenFlow {
						onOpenFlows[w.Priority()]++
					}
					if w.waiting {
						waiting++
					}
					if w.held {
						held++
					}
				}
				assert.Equal(t, busy, c.busy)
				assert.Equal(t, work, c.busyWork)
				assert.Equal(t, onOpenFlows, c.onOpenFlows)
				assert.Equal(t, waiting, len(c.waiting))
				assert.Equal(t, held, len(c.held))
				assert.Assert(t, slices.IsSortedFunc(c.waiting, func(a, b *Work[int]) int { return int(a.priority - b.priority) }))
			},
		})
	})
}
