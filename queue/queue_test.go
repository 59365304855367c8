package queue_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/queue"
)

// model is the reference model of a queue: the sets of waiting and running
// requests, to which the queue is compared after each step.
type model struct {
	q       *queue.Queue
	now     time.Duration
	limits  queue.Limits
	drained bool
	nextID  queue.ID
	waiting map[queue.ID]queue.Request
	running map[queue.ID]queue.Request
	ended   map[queue.ID]bool
}

func (m *model) longRunning() (n int) {
	for _, r := range m.running {
		if r.Class == queue.Long {
			n++
		}
	}
	return n
}

// apply checks actions against the model and applies them to it. offered is the
// request being offered, or nil.
func (m *model) apply(t *rapid.T, actions []queue.Action, offered *queue.Request) {
	for _, action := range actions {
		id := action.Request()
		r, waits := m.waiting[id]
		if offered != nil && offered.ID == id {
			r, waits = *offered, true
			delete(m.waiting, id)
		}
		assert.Assert(t, waits, "%T for request %d, which is not waiting", action, id)
		switch a := action.(type) {
		case queue.Start:
			assert.Assert(t, len(m.running) < m.limits.Slots, "started although all %d slots are in use", m.limits.Slots)
			assert.Assert(t, r.Class == queue.Short || m.longRunning() < m.limits.Slots-m.limits.ReservedSlots, "long request started in a reserved slot")
			assert.Assert(t, m.now < r.Deadline, "started after its deadline")
			delete(m.waiting, id)
			m.running[id] = r
		case queue.Wait:
			m.waiting[id] = r
			assert.Assert(t, len(m.waiting) <= max(m.limits.Length, 0), "more requests wait than the queue's length")
			assert.Assert(t, !m.drained || r.Pinned, "queued while draining")
		case queue.Refuse:
			assert.Assert(t, a.Reason != 0 && a.RetryAfter >= time.Second, "%v", a)
			delete(m.waiting, id)
			m.ended[id] = true
		}
	}
}

// check asserts the invariants that hold between steps.
func (m *model) check(t *rapid.T) {
	assert.Equal(t, m.q.Running(), len(m.running))
	assert.Equal(t, m.q.Waiting(), len(m.waiting))
	for id, r := range m.waiting {
		assert.Assert(t, m.now < r.Deadline, "request %d waits past its deadline", id)
		free := r.Class == queue.Short && len(m.running) < m.q.Limit(m.now)
		assert.Assert(t, !free, "short request %d waits although a slot is free", id)
	}
}

// TestQueueInvariants checks with random calls that a queue keeps its limits and
// that every offered request starts, waits or is refused.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := rapid.Custom(func(t *rapid.T) queue.Limits {
			slots := rapid.IntRange(1, 6).Draw(t, "slots")
			return queue.Limits{
				Slots:         slots,
				ReservedSlots: rapid.IntRange(0, slots-1).Draw(t, "reserved"),
				Length:        rapid.IntRange(0, 8).Draw(t, "length"),
			}
		})
		m := &model{
			limits:  limits.Draw(t, "limits"),
			waiting: make(map[queue.ID]queue.Request),
			running: make(map[queue.ID]queue.Request),
			ended:   make(map[queue.ID]bool),
		}
		q, err := queue.New(m.limits, 0)
		assert.NilError(t, err)
		m.q = q
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"offer": func(t *rapid.T) {
				m.nextID++
				class := rapid.SampledFrom([]queue.Class{queue.Short, queue.Long}).Draw(t, "class")
				r := queue.Request{
					ID:       m.nextID,
					Route:    fmt.Sprint(class),
					Class:    class,
					Deadline: m.now + time.Duration(rapid.IntRange(0, 5000).Draw(t, "deadline"))*time.Millisecond,
					MaxWait:  time.Duration(rapid.IntRange(0, 1).Draw(t, "max wait")) * time.Millisecond,
					Pinned:   rapid.Bool().Draw(t, "pinned"),
				}
				m.apply(t, q.Offer(nil, m.now, r), &r)
				_, waits := m.waiting[r.ID]
				_, runs := m.running[r.ID]
				assert.Assert(t, waits || runs || m.ended[r.ID], "no action for the offered request")
			},
			"finish": func(t *rapid.T) {
				id, ok := drawRequest(t, m.running)
				if !ok {
					t.Skip("nothing runs")
				}
				delete(m.running, id)
				result := rapid.SampledFrom([]queue.Result{queue.Done, queue.Failed, queue.Aborted}).Draw(t, "result")
				m.apply(t, q.Finish(nil, m.now, id, result), nil)
			},
			"cancel": func(t *rapid.T) {
				id, ok := drawRequest(t, m.waiting)
				if !ok {
					id, ok = drawRequest(t, m.running)
				}
				if !ok {
					t.Skip("nothing to cancel")
				}
				_, waited := m.waiting[id]
				delete(m.waiting, id)
				actions, cancelled := q.Cancel(nil, m.now, id)
				assert.Equal(t, cancelled, waited)
				m.apply(t, actions, nil)
			},
			"advance": func(t *rapid.T) {
				span := time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
				end := m.now + span
				for at, ok := q.NextTick(m.now); ok && at <= end; at, ok = q.NextTick(m.now) {
					assert.Assert(t, at > m.now, "the next tick is not in the future")
					m.now = at
					m.apply(t, q.Tick(nil, m.now), nil)
				}
				m.now = end
				m.apply(t, q.Tick(nil, m.now), nil)
			},
			"limits": func(t *rapid.T) {
				m.limits = limits.Draw(t, "limits")
				actions, err := q.SetLimits(nil, m.now, m.limits)
				assert.NilError(t, err)
				m.apply(t, actions, nil)
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					m.drained = true
					q.Drain()
				}
			},
		})
	})
}

// drawRequest draws the ID of one of the requests, or returns false if there are none.
func drawRequest(t *rapid.T, from map[queue.ID]queue.Request) (queue.ID, bool) {
	if len(from) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(from))).Draw(t, "request"), true
}

// newQueue returns the queue of an upstream that has served for an hour, so that
// its ramp is over.
func newQueue(t testing.TB, limits queue.Limits) *queue.Queue {
	q, err := queue.New(limits, -time.Hour)
	assert.NilError(t, err)
	return q
}

// checkin returns a short request on the route POST/checkin.
func checkin(id queue.ID, deadline time.Duration) queue.Request {
	return queue.Request{ID: id, Route: "POST/checkin", Class: queue.Short, Deadline: deadline}
}

// starts appends the IDs of the requests that actions start to dst.
func starts(dst []queue.ID, actions []queue.Action) []queue.ID {
	for _, a := range actions {
		if s, ok := a.(queue.Start); ok {
			dst = append(dst, s.ID)
		}
	}
	return dst
}

// runRequests runs n requests of one route and returns the limit afterwards. The
// requests are offered in batches, whose size is the parameter concurrent. run
// returns the run time and result of the batch that begins with request i, given
// the number of running requests.
func runRequests(q *queue.Queue, now *time.Duration, id *queue.ID, n, concurrent int, run func(i, running int) (time.Duration, queue.Result)) int {
	for i := 0; i < n; i += concurrent {
		var started []queue.ID
		for range concurrent {
			*id++
			started = starts(started, q.Offer(nil, *now, checkin(*id, *now+time.Minute)))
		}
		for len(started) > 0 {
			span, result := run(i, q.Running())
			*now += span
			var next []queue.ID
			for _, id := range started {
				next = starts(next, q.Finish(nil, *now, id, result))
			}
			started = next
		}
	}
	return q.Limit(*now)
}

// TestLimitFollowsMeasuredRuns checks that the limit falls when runs fail, hang
// or are slower with more concurrency, that it does not fall for other reasons,
// and that it recovers.
func TestLimitFollowsMeasuredRuns(t *testing.T) {
	const ms = time.Millisecond
	limits := queue.Limits{Slots: 8, ReservedSlots: 1, Length: 64}
	steady := func(int, int) (time.Duration, queue.Result) { return ms, queue.Done }
	tests := map[string]struct {
		concurrent int
		run        func(i, running int) (time.Duration, queue.Result)
		want       func(limit int) bool
	}{
		"no overload":     {8, steady, func(l int) bool { return l == 8 }},
		"errors":          {8, func(int, int) (time.Duration, queue.Result) { return ms, queue.Failed }, func(l int) bool { return l == 2 }},
		"hanging":         {8, func(int, int) (time.Duration, queue.Result) { return 9 * ms, queue.TimedOut }, func(l int) bool { return l == 2 }},
		"short deadlines": {8, func(int, int) (time.Duration, queue.Result) { return ms / 9, queue.TimedOut }, func(l int) bool { return l == 8 }},
		"slower under load": {8, func(_, running int) (time.Duration, queue.Result) {
			return ms * time.Duration(running*running), queue.Done
		}, func(l int) bool { return l < 8 }},
		"permanently slower": {8, func(int, int) (time.Duration, queue.Result) { return 5 * ms, queue.Done }, func(l int) bool { return l == 8 }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q, now, id := newQueue(t, limits), time.Duration(0), queue.ID(0)
			// A first run that is an outlier must not become the baseline.
			runRequests(q, &now, &id, 1, 1, func(int, int) (time.Duration, queue.Result) { return ms / 50, queue.Done })
			assert.Equal(t, runRequests(q, &now, &id, 1024, 8, steady), 8)
			limit := runRequests(q, &now, &id, 4096, test.concurrent, test.run)
			assert.Assert(t, test.want(limit), "limit %d", limit)
			if name == "errors" || name == "hanging" {
				assert.Equal(t, q.Load(now), queue.MaxLoad)
				now += 10 * time.Second
				assert.Equal(t, q.Load(now), 0, "load stays at the maximum, so that no other agent hands over requests again")
			}
			assert.Equal(t, runRequests(q, &now, &id, 20480, 8, steady), 8, "limit does not recover")
		})
	}
}

// TestUnmeasuredRoutesLeaveReservedSlotsFree checks that a burst of requests on a
// route without measured run times does not occupy the reserved slots.
func TestUnmeasuredRoutesLeaveReservedSlotsFree(t *testing.T) {
	q := newQueue(t, queue.Limits{Slots: 4, ReservedSlots: 2, Length: 8})
	var started []queue.ID
	for id, route := range []string{"GET/export", "GET/export", "GET/export", "GET/export", "GET/export", "POST/checkin"} {
		started = starts(started, q.Offer(nil, 0, queue.Request{ID: queue.ID(id), Route: route, Deadline: time.Minute}))
	}
	// One export starts as a short request and two exports start as long ones, as
	// the reserved slots stay free. Then the first request of another new route starts.
	assert.DeepEqual(t, started, []queue.ID{0, 1, 2, 5})
}

// TestNewUpstreamRampsUp checks that the limit of a new upstream rises gradually
// to the upstream's number of slots within ten seconds.
func TestNewUpstreamRampsUp(t *testing.T) {
	q, err := queue.New(queue.Limits{Slots: 8, ReservedSlots: 1, Length: 8}, 0)
	assert.NilError(t, err)
	last := 0
	for now := time.Duration(0); now <= 10*time.Second; now += time.Second {
		limit := q.Limit(now)
		assert.Assert(t, limit >= last && limit-last <= 2, "from %d to %d slots", last, limit)
		last = limit
	}
	assert.Equal(t, last, 8)
}

// TestRouteOf checks that a route has at most four path segments, and "*" in place
// of identifiers.
func TestRouteOf(t *testing.T) {
	for path, want := range map[string]string{
		"/":                           "GET",
		"/checkin":                    "GET/checkin",
		"/rounds/42/sheet/":           "GET/rounds/*/sheet",
		"/a/b/c/d/e":                  "GET/a/b/c/d",
		"//export//2026-12-04/photos": "GET/export/*/photos",
	} {
		assert.Equal(t, queue.RouteOf("GET", path), want)
	}
}

func ExampleQueue() {
	q, err := queue.New(queue.Limits{Slots: 2, ReservedSlots: 1, Length: 1}, -time.Minute)
	if err != nil {
		fmt.Println(err)
		return
	}
	for id := queue.ID(1); id <= 3; id++ {
		export := queue.Request{ID: id, Route: "GET/export", Class: queue.Long, Deadline: time.Minute}
		fmt.Printf("%T\n", q.Offer(nil, 0, export)[0])
	}
	checkin := queue.Request{ID: 4, Route: "POST/checkin", Class: queue.Short, Deadline: time.Second}
	fmt.Printf("%T\n", q.Offer(nil, 0, checkin)[0])
	// Output:
	// queue.Start
	// queue.Wait
	// queue.Refuse
	// queue.Start
}
