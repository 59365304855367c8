// Package queue decides which requests run at one upstream, which wait, and
// which are refused.
//
// An upstream has a few slots. Without a decision in front of it, short
// requests wait behind work that runs a hundred times longer, and at a crest
// of demand every request waits until its caller has given up, so that the
// upstream works for nobody. A Queue keeps slots for short requests, bounds
// the wait, refuses at once what cannot be answered in time, and lowers the
// number of slots in use when the measured run times show that the upstream is
// overloaded, whatever its health endpoint says.
//
// A Queue is a state machine without clock, socket or goroutine: each method
// takes the monotonic time since the process began and returns what is to be
// done as Action values. Its owner calls it from one goroutine:
//
//	Offer ──► Start | Wait | Refuse      (the answer for the offered request)
//	Finish, Cancel, SetLimits, Tick ──►  Start and Refuse for requests that waited
package queue

import (
	"container/heap"
	"math"
	"time"
)

// Request is one request that asks to run.
type Request struct {
	ID ID
	// Route is the request's RouteOf.
	Route string
	// Class is the request's class, or zero to go by the route's run times.
	Class Class
	// Deadline is when the answer is worthless, on the queue's clock.
	Deadline time.Duration
	// Jitter is a random number in [0, 1) that spreads RetryAfter.
	Jitter float64
	// Bound says that the request can run at no other upstream, so that it is
	// taken even while draining.
	Bound bool
	// MaxWait, if it is not zero, says to refuse the request as Busy rather
	// than let it wait longer. It is set for requests that were handed over,
	// which have a place to go back to.
	MaxWait time.Duration
	// Again says that the request was offered here before, so that it does not
	// count twice as demand.
	Again bool
}

// Queue decides which requests run at one upstream. It is not safe for
// concurrent use. Times are monotonic, on one clock, and never go back.
type Queue struct {
	limits      Limits
	began       time.Duration
	draining    bool
	routes      routes
	concurrency concurrency
	demand      demand

	running map[ID]*entry
	waiting [Long + 1]list
	lapses  lapseHeap
	byID    map[ID]*entry

	shortRunning int
	longRunning  int

	occupancy  float64
	occupiedAt time.Duration
}

// New returns a queue for an upstream that begins to serve at now. A new
// upstream gets its slots one by one over the first seconds.
func New(limits Limits, now time.Duration) (*Queue, error) {
	if err := limits.Validate(); err != nil {
		return nil, err
	}
	return &Queue{
		limits:      limits,
		began:       now,
		routes:      newRoutes(),
		concurrency: newConcurrency(limits.Slots),
		occupiedAt:  now,
		running:     make(map[ID]*entry),
		byID:        make(map[ID]*entry),
	}, nil
}

// Offer decides about a new request. The actions appended to dst include one
// for it. An ID that is still waiting or running is ignored.
func (q *Queue) Offer(dst []Action, now time.Duration, r Request) []Action {
	if _, known := q.byID[r.ID]; known {
		return dst
	}
	dst = q.Tick(dst, now)
	e := q.newEntry(now, r)
	if e.class == Short && r.MaxWait == 0 && !r.Again {
		q.demand.add(now, e.run)
	}
	if q.draining && !r.Bound {
		return append(dst, q.refusal(now, e, Draining))
	}
	if e.deadline <= now {
		return append(dst, q.refusal(now, e, Late))
	}
	if q.waiting[e.class].len == 0 && q.free(now, e.class) {
		return append(dst, q.start(now, e))
	}
	expected := q.expectedWait(now, e.class)
	if r.MaxWait > 0 && expected > r.MaxWait {
		return append(dst, q.refusal(now, e, Busy))
	}
	if reason := q.reject(now, e, expected); reason != 0 {
		return append(dst, q.refusal(now, e, reason))
	}
	q.enqueue(e)
	return append(dst, Wait{ID: e.id, Expected: expected})
}

// Finish frees the slot of a request that ran.
func (q *Queue) Finish(dst []Action, now time.Duration, id ID, result Result) []Action {
	e, ok := q.running[id]
	if !ok {
		return dst
	}
	q.occupy(now)
	delete(q.running, id)
	delete(q.byID, id)
	q.countRunning(e.class, -1)
	q.learn(now, e, result)
	return q.Tick(dst, now)
}

// Cancel forgets a request that waits. It reports false for one that runs or
// is unknown: a run ends with Finish alone.
func (q *Queue) Cancel(dst []Action, now time.Duration, id ID) ([]Action, bool) {
	e, ok := q.byID[id]
	if !ok || !e.queued {
		return dst, false
	}
	q.occupy(now)
	q.dequeue(e)
	return q.Tick(dst, now), true
}

// SetLimits puts new limits in force. Lowering them ends no run: requests end
// on their own, and none starts until their number fits.
func (q *Queue) SetLimits(dst []Action, now time.Duration, limits Limits) ([]Action, error) {
	if err := limits.Validate(); err != nil {
		return dst, err
	}
	if limits.Slots > q.limits.Slots && q.concurrency.limit == q.limits.Slots {
		q.concurrency.limit = limits.Slots
	}
	q.limits = limits
	q.concurrency.limit = min(limits.Slots, max(q.lowest(), q.concurrency.limit))
	return q.Tick(dst, now), nil
}

// Drain refuses all requests offered from now on. Those that wait still run.
func (q *Queue) Drain() { q.draining = true }

// Tick refuses the waiting requests whose deadline cannot be met any more and
// starts those that a slot is free for.
func (q *Queue) Tick(dst []Action, now time.Duration) []Action {
	q.occupy(now)
	q.reclass(now)
	for len(q.lapses) > 0 && q.lapses[0].lapse <= now {
		e := q.lapses[0]
		q.dequeue(e)
		dst = append(dst, q.refusal(now, e, Late))
	}
	for e := q.next(now); e != nil; e = q.next(now) {
		q.dequeue(e)
		q.byID[e.id] = e
		dst = append(dst, q.start(now, e))
	}
	return dst
}

// NextTick returns when Tick has something to do by the passing of time alone.
func (q *Queue) NextTick(now time.Duration) (time.Duration, bool) {
	if len(q.lapses) == 0 {
		return 0, false
	}
	at := q.lapses[0].lapse
	if ramp := q.nextRamp(now); ramp > now {
		at = min(at, ramp)
	}
	if head := q.waiting[Long].head; head != nil && head.overdue() > now {
		at = min(at, head.overdue())
	}
	return at, true
}

// Running returns how many requests run.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return len(q.lapses) }

// Limit returns how many requests may run at once now: Slots, or fewer while
// the upstream is new or overloaded.
func (q *Queue) Limit(now time.Duration) int {
	ramp := rampLimit(q.limits.Slots, q.lowest(), now-q.began)
	return min(q.concurrency.limit, ramp)
}

// Load returns how loaded the upstream has been of late for a short request: 0
// when idle, BusyLoad when all slots are in use, up to MaxLoad when nearly as
// many short requests wait, or at once when it takes no more. It is an average,
// because others hear of it late: that all slots are in use now says little
// about a second from now. Long requests that wait leave slots free for short
// ones and do not count.
func (q *Queue) Load(now time.Duration) int {
	if q.draining || q.concurrency.failing(now) {
		return MaxLoad
	}
	q.occupy(now)
	return min(MaxLoad, int(BusyLoad*q.occupancy))
}

// occupy averages the load, as a share of the limit, up to now.
func (q *Queue) occupy(now time.Duration) {
	share := float64(q.Running()+q.waiting[Short].len) / float64(q.Limit(now))
	weight := 1 - math.Exp(-float64(now-q.occupiedAt)/float64(_loadSpan))
	q.occupancy += (share - q.occupancy) * weight
	q.occupiedAt = now
}

// lowest is the fewest slots that leave one for long work.
func (q *Queue) lowest() int { return q.limits.ReservedSlots + 1 }

// nextRamp is when a new upstream gets its next slot.
func (q *Queue) nextRamp(now time.Duration) time.Duration {
	age := now - q.began
	if age >= _rampTime {
		return 0
	}
	step := _rampTime / time.Duration(q.limits.Slots)
	return q.began + (age/step+1)*step
}

// newEntry classes a request and estimates its run time.
func (q *Queue) newEntry(now time.Duration, r Request) *entry {
	known := q.routes.lookup(r.Route)
	class := r.Class
	if class == 0 {
		class = known.class
	}
	if class == 0 {
		class = q.probe(r.Route)
	}
	e := &entry{
		id:       r.ID,
		route:    r.Route,
		class:    class,
		marked:   r.Class != 0,
		run:      known.recent,
		deadline: r.Deadline,
		jitter:   r.Jitter,
		index:    -1,
	}
	e.arrived = now
	e.lapse = r.Deadline - min(_runMargin*e.run, (r.Deadline-now)/2)
	return e
}

// start gives e a slot.
func (q *Queue) start(now time.Duration, e *entry) Action {
	q.occupy(now)
	e.started = now
	q.running[e.id] = e
	q.byID[e.id] = e
	q.countRunning(e.class, 1)
	e.quiet = len(q.running) <= q.lowest() && q.occupancy < _quietOccupancy
	if len(q.running) >= q.concurrency.limit {
		q.concurrency.window.reached = true
	}
	return Start{ID: e.id}
}

func (q *Queue) countRunning(class Class, n int) {
	if class == Long {
		q.longRunning += n
	} else {
		q.shortRunning += n
	}
}

// learn takes the run time of e into account.
func (q *Queue) learn(now time.Duration, e *entry, result Result) {
	run := now - e.started
	known := q.routes.lookup(e.route)
	if result == TimedOut && known.runs > 0 && run >= _runMargin*known.baseline {
		result = Failed
	}
	if result == Aborted || result == TimedOut {
		return
	}
	ratio := known.ratio(run)
	failed := result == Failed
	if !failed {
		q.routes.observe(e.route, run, e.quiet)
	}
	q.concurrency.observe(now, ratio, failed, q.lowest(), q.limits.Slots)
}

// reclass counts short requests that have run long as long ones, before the
// end of the first such run can teach it.
func (q *Queue) reclass(now time.Duration) {
	after := q.routes.longAfter()
	if q.shortRunning == 0 || q.routes.typical == 0 {
		return
	}
	for _, e := range q.running {
		if e.class != Short || e.marked || now-e.started < after {
			continue
		}
		e.class = Long
		q.countRunning(Short, -1)
		q.countRunning(Long, 1)
		q.routes.observeRunning(e.route, now-e.started)
	}
}

// enqueue puts e at the end of its class.
func (q *Queue) enqueue(e *entry) {
	e.queued = true
	q.byID[e.id] = e
	q.waiting[e.class].push(e)
	heap.Push(&q.lapses, e)
}

// dequeue takes e out of the queue.
func (q *Queue) dequeue(e *entry) {
	e.queued = false
	delete(q.byID, e.id)
	q.waiting[e.class].remove(e)
	heap.Remove(&q.lapses, e.index)
}
