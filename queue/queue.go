// Package queue decides which requests run at one upstream, which wait, and
// which are refused.
//
// An upstream has a few slots, each of which runs one request at a time.
// Without admission control, short requests wait behind requests that run a
// hundred times longer, and in a surge of demand every request waits until its
// caller has given up, so that the upstream computes answers that nobody
// receives. A Queue reserves slots for short requests, bounds the wait, refuses
// immediately the requests that cannot be answered in time, and lowers the
// number of slots in use when measured run times show that the upstream is
// overloaded, whatever its health endpoint reports.
//
// A Queue is a state machine without clock, socket or goroutine: each method
// takes the monotonic time since the process began, and returns what its owner
// has to do as Action values. The owner calls it from one goroutine:
//
//	Offer ──► Start | Wait | Refuse      (for the offered request)
//	Finish, Cancel, SetLimits, Tick ──►  Start and Refuse (for waiting requests)
package queue

import (
	"container/heap"
	"math"
	"time"
)

// Request describes a request that is offered to a Queue.
type Request struct {
	ID ID
	// Route is the route of the request, as returned by RouteOf.
	Route string
	// Class is the request's class, or zero to derive it from the route's run times.
	Class Class
	// Deadline is when the caller stops waiting for the answer, on the queue's clock.
	Deadline time.Duration
	// Jitter is a random number in [0, 1) that spreads the retries of refused
	// requests; see RetryAfter.
	Jitter float64
	// Pinned says that the request can run at no other upstream, so that it is
	// accepted even while the queue is draining.
	Pinned bool
	// MaxWait is the longest expected wait at which the request is accepted; zero
	// means no limit. With a longer expected wait, the request is refused as Busy.
	// MaxWait is set for requests that were handed over from another upstream,
	// whose queue can take them back.
	MaxWait time.Duration
	// Reoffered says that the request was offered to this queue before, so that it
	// is not counted twice as demand.
	Reoffered bool
}

// Queue decides which requests run at one upstream. It is not safe for
// concurrent use. Times are monotonic, on one clock, and never go back.
type Queue struct {
	limits       Limits
	servingSince time.Duration
	draining     bool
	routes       routes
	concurrency  concurrencyLimiter
	demand       demand

	// running has the requests that run, and byID all requests that wait or run.
	running       map[ID]*entry
	waiting       [Long + 1]entryList
	byLatestStart latestStartHeap
	byID          map[ID]*entry

	shortRunning int
	longRunning  int

	// occupancy is the average load at occupancyAt, as a share of the limit.
	occupancy   float64
	occupancyAt time.Duration
}

// New returns a queue for an upstream that begins to serve at now. The upstream
// is given its slots one by one over the first seconds. New returns an error if
// the limits are invalid.
func New(limits Limits, now time.Duration) (*Queue, error) {
	if err := limits.Validate(); err != nil {
		return nil, err
	}
	return &Queue{
		limits:       limits,
		servingSince: now,
		routes:       newRoutes(),
		concurrency:  newConcurrencyLimiter(limits.Slots),
		occupancyAt:  now,
		running:      make(map[ID]*entry),
		byID:         make(map[ID]*entry),
	}, nil
}

// Offer decides whether a new request starts, waits or is refused. The actions
// that it appends to dst include one for this request. An offer with the ID of a
// request that waits or runs is ignored.
func (q *Queue) Offer(dst []Action, now time.Duration, r Request) []Action {
	if _, known := q.byID[r.ID]; known {
		return dst
	}
	dst = q.Tick(dst, now)
	e := q.newEntry(now, r)
	if e.class == Short && r.MaxWait == 0 && !r.Reoffered {
		q.demand.add(now, e.expectedRun)
	}
	if q.draining && !r.Pinned {
		return append(dst, q.refuse(now, e, Draining))
	}
	if e.deadline <= now {
		return append(dst, q.refuse(now, e, Late))
	}
	if q.waiting[e.class].len == 0 && q.canStart(now, e.class) {
		return append(dst, q.start(now, e))
	}
	expected := q.expectedWait(now, e.class)
	if r.MaxWait > 0 && expected > r.MaxWait {
		return append(dst, q.refuse(now, e, Busy))
	}
	if reason := q.refusalReason(now, e, expected); reason != 0 {
		return append(dst, q.refuse(now, e, reason))
	}
	q.enqueue(e)
	return append(dst, Wait{ID: e.id, Expected: expected})
}

// Finish frees the slot of a running request, which ended with result.
func (q *Queue) Finish(dst []Action, now time.Duration, id ID, result Result) []Action {
	e, ok := q.running[id]
	if !ok {
		return dst
	}
	q.updateOccupancy(now)
	delete(q.running, id)
	delete(q.byID, id)
	q.countRunning(e.class, -1)
	q.recordRun(now, e, result)
	return q.Tick(dst, now)
}

// Cancel removes a waiting request from the queue. It returns false if the
// request runs or is unknown: only Finish ends a run.
func (q *Queue) Cancel(dst []Action, now time.Duration, id ID) ([]Action, bool) {
	e, ok := q.byID[id]
	if !ok || !e.queued {
		return dst, false
	}
	q.updateOccupancy(now)
	q.dequeue(e)
	return q.Tick(dst, now), true
}

// SetLimits replaces the limits. Lower limits end no run, but no request starts
// until enough running requests have finished. SetLimits returns an error, and
// changes nothing, if the limits are invalid.
func (q *Queue) SetLimits(dst []Action, now time.Duration, limits Limits) ([]Action, error) {
	if err := limits.Validate(); err != nil {
		return dst, err
	}
	if limits.Slots > q.limits.Slots && q.concurrency.limit == q.limits.Slots {
		q.concurrency.limit = limits.Slots
	}
	q.limits = limits
	q.concurrency.limit = min(limits.Slots, max(q.minLimit(), q.concurrency.limit))
	return q.Tick(dst, now), nil
}

// Drain makes the queue refuse all requests offered from now on, except those
// that are Pinned. Waiting requests still run.
func (q *Queue) Drain() { q.draining = true }

// Tick refuses the waiting requests that would probably miss their deadline and
// starts those for which a slot is free.
func (q *Queue) Tick(dst []Action, now time.Duration) []Action {
	q.updateOccupancy(now)
	q.reclassify(now)
	for len(q.byLatestStart) > 0 && q.byLatestStart[0].latestStart <= now {
		e := q.byLatestStart[0]
		q.dequeue(e)
		dst = append(dst, q.refuse(now, e, Late))
	}
	for e := q.nextToStart(now); e != nil; e = q.nextToStart(now) {
		q.dequeue(e)
		q.byID[e.id] = e
		dst = append(dst, q.start(now, e))
	}
	return dst
}

// NextTick returns the time of the next Tick that is due even if no other method
// is called until then. It returns false if no request waits.
func (q *Queue) NextTick(now time.Duration) (time.Duration, bool) {
	if len(q.byLatestStart) == 0 {
		return 0, false
	}
	at := q.byLatestStart[0].latestStart
	if ramp := q.nextRampStep(now); ramp > now {
		at = min(at, ramp)
	}
	if head := q.waiting[Long].head; head != nil && head.overdueAt() > now {
		at = min(at, head.overdueAt())
	}
	return at, true
}

// Running returns the number of requests that run.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return len(q.byLatestStart) }

// Limit returns how many requests may run at once at now: Slots, or fewer while
// the upstream is new or overloaded.
func (q *Queue) Limit(now time.Duration) int {
	ramp := rampLimit(q.limits.Slots, q.minLimit(), now-q.servingSince)
	return min(q.concurrency.limit, ramp)
}

// Load returns the load level of the upstream for short requests: 0 when idle,
// BusyLoad when all slots are in use, and MaxLoad when, in addition, the number of
// waiting short requests is three quarters of the number of slots. It is also
// MaxLoad while the queue is draining or the upstream is failing. The level is a
// moving average, because other agents receive it with a delay, and whether all
// slots are in use at one moment says little about their use a second later.
// Waiting long requests do not count, because they leave slots free for short ones.
func (q *Queue) Load(now time.Duration) int {
	if q.draining || q.concurrency.failing(now) {
		return MaxLoad
	}
	q.updateOccupancy(now)
	return min(MaxLoad, int(BusyLoad*q.occupancy))
}

// updateOccupancy brings the moving average of the load up to now.
func (q *Queue) updateOccupancy(now time.Duration) {
	share := float64(q.Running()+q.waiting[Short].len) / float64(q.Limit(now))
	weight := 1 - math.Exp(-float64(now-q.occupancyAt)/float64(_loadTimeConstant))
	q.occupancy += (share - q.occupancy) * weight
	q.occupancyAt = now
}

// minLimit returns the lowest concurrency limit, which leaves one slot for long requests.
func (q *Queue) minLimit() int { return q.limits.ReservedSlots + 1 }

// nextRampStep returns when a new upstream is given its next slot, or zero if it
// has been given all of them.
func (q *Queue) nextRampStep(now time.Duration) time.Duration {
	age := now - q.servingSince
	if age >= _rampTime {
		return 0
	}
	step := _rampTime / time.Duration(q.limits.Slots)
	return q.servingSince + (age/step+1)*step
}

// newEntry returns an entry for a request with its class and expected run time.
func (q *Queue) newEntry(now time.Duration, r Request) *entry {
	stats := q.routes.lookup(r.Route)
	class := r.Class
	if class == 0 {
		class = stats.class
	}
	if class == 0 {
		class = q.probeClass(r.Route)
	}
	e := &entry{
		id:          r.ID,
		route:       r.Route,
		class:       class,
		classGiven:  r.Class != 0,
		expectedRun: stats.mean,
		deadline:    r.Deadline,
		jitter:      r.Jitter,
		heapIndex:   -1,
	}
	e.arrived = now
	e.latestStart = r.Deadline - min(_runMargin*e.expectedRun, (r.Deadline-now)/2)
	return e
}

// start assigns a slot to e.
func (q *Queue) start(now time.Duration, e *entry) Action {
	q.updateOccupancy(now)
	e.started = now
	q.running[e.id] = e
	q.byID[e.id] = e
	q.countRunning(e.class, 1)
	e.uncontended = len(q.running) <= q.minLimit() && q.occupancy < _uncontendedOccupancy
	if len(q.running) >= q.concurrency.limit {
		q.concurrency.window.limitReached = true
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

// recordRun updates the route's run times and the concurrency limit with the
// run of e, which ended with result.
func (q *Queue) recordRun(now time.Duration, e *entry, result Result) {
	run := now - e.started
	stats := q.routes.lookup(e.route)
	if result == TimedOut && stats.baselineRuns > 0 && run >= _runMargin*stats.baseline {
		result = Failed
	}
	if result == Aborted || result == TimedOut {
		return
	}
	ratio := stats.baselineRatio(run)
	failed := result == Failed
	if !failed {
		q.routes.observe(e.route, run, e.uncontended)
	}
	q.concurrency.observe(now, ratio, failed, q.minLimit(), q.limits.Slots)
}

// reclassify turns running short requests into long ones once they have run as
// long as long requests do. The run times of a route are measured at the end of
// its runs, which may be too late to keep slots free for short requests.
func (q *Queue) reclassify(now time.Duration) {
	threshold := q.routes.longThreshold()
	if q.shortRunning == 0 || q.routes.typicalRun == 0 {
		return
	}
	for _, e := range q.running {
		if e.class != Short || e.classGiven || now-e.started < threshold {
			continue
		}
		e.class = Long
		q.countRunning(Short, -1)
		q.countRunning(Long, 1)
		q.routes.observeRunning(e.route, now-e.started)
	}
}

// enqueue appends e to the waiting requests of its class.
func (q *Queue) enqueue(e *entry) {
	e.queued = true
	q.byID[e.id] = e
	q.waiting[e.class].push(e)
	heap.Push(&q.byLatestStart, e)
}

// dequeue removes e from the waiting requests.
func (q *Queue) dequeue(e *entry) {
	e.queued = false
	delete(q.byID, e.id)
	q.waiting[e.class].remove(e)
	heap.Remove(&q.byLatestStart, e.heapIndex)
}
