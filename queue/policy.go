package queue

import "time"

const (
	// A short request is queued if its expected wait is at most _maxWaitRuns
	// times its expected run time, bounded by _minShortWait and _maxShortWait.
	// This also bounds the backlog that remains after a surge of demand.
	_minShortWait = 250 * time.Millisecond
	_maxShortWait = time.Second
	_maxWaitRuns  = 5
	// A waiting request must start at least _runMargin times its expected run time
	// before its deadline, because nearly all runs end within that time. See
	// entry.latestStart for the exception. A timed-out run that lasted at least
	// _runMargin times its baseline counts as failed.
	_runMargin = 4
	// _overdueRuns is how many times its expected run time a long request waits
	// before it may use a slot that short requests need on average.
	_overdueRuns = 2
	// _demandTimeConstant is the time constant of the moving average of the
	// demand of short requests.
	_demandTimeConstant = 2 * time.Second
	// _loadTimeConstant is the time constant of the moving average of the load.
	_loadTimeConstant = 500 * time.Millisecond
	// _uncontendedOccupancy is the average load, as a share of the limit, below
	// which a run may count as uncontended.
	_uncontendedOccupancy = 0.9
)

// probeClass returns the class of a request on a route without measured run
// times. One request of the route at a time is classified as short, to measure
// its run time, and the others as long, so that a burst of requests on an
// unknown route cannot occupy the reserved slots.
func (q *Queue) probeClass(route string) Class {
	for _, e := range q.running {
		if e.route == route {
			return Long
		}
	}
	for e := q.waiting[Short].head; e != nil; e = e.next {
		if e.route == route {
			return Long
		}
	}
	return Short
}

// canStart reports whether a slot is free at now for a request of the class.
func (q *Queue) canStart(now time.Duration, class Class) bool {
	limit := q.Limit(now)
	if len(q.running) >= limit {
		return false
	}
	return class == Short || q.longRunning < q.longLimit(now, limit)
}

// longLimit returns how many long requests may run at once, out of limit slots.
// It leaves out the reserved slots and those that short requests need on
// average. If the first waiting long request is overdue, the result is one more,
// but never includes a reserved slot. One long request may always run. So the
// wait of a long request is at most the run times of the long requests before
// it, plus one other run in progress before each start.
func (q *Queue) longLimit(now time.Duration, limit int) int {
	maxLong := max(1, limit-q.limits.ReservedSlots)
	usualLong := max(1, limit-q.demand.slots(now))
	if head := q.waiting[Long].head; head != nil && now >= head.overdueAt() {
		usualLong++
	}
	return min(maxLong, usualLong)
}

// nextToStart returns the waiting request that can start at now, or nil. A long
// request has priority if no other long request runs, so that short requests never
// starve it. Then follow short requests, and then other long ones.
func (q *Queue) nextToStart(now time.Duration) *entry {
	long, short := q.waiting[Long].head, q.waiting[Short].head
	longFree := long != nil && q.canStart(now, Long)
	if longFree && (q.longRunning == 0 || short == nil) {
		return long
	}
	if short != nil && q.canStart(now, Short) {
		return short
	}
	return nil
}

// expectedWait estimates how long a request of the class will wait if it is queued
// at now.
func (q *Queue) expectedWait(now time.Duration, class Class) time.Duration {
	limit := q.Limit(now)
	slots := max(1, limit-q.longRunning)
	if class == Long {
		slots = q.longLimit(now, limit)
	}
	run := q.meanRun(class)
	return run * time.Duration(q.waiting[class].len+1) / time.Duration(slots)
}

// meanRun returns the mean expected run time of the class's waiting and running requests.
func (q *Queue) meanRun(class Class) time.Duration {
	sum, n := q.waiting[class].expectedRuns, q.waiting[class].len
	for _, e := range q.running {
		if e.class == class {
			sum += e.expectedRun
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// refusalReason returns why e is refused, or zero if e may be queued. expected is
// the expected wait of e.
func (q *Queue) refusalReason(now time.Duration, e *entry, expected time.Duration) Reason {
	switch {
	case len(q.byLatestStart) >= q.limits.Length:
		return Full
	case e.class == Long && q.waiting[Long].len >= q.limits.longLength():
		return Full
	case e.latestStart <= now+expected:
		return Late
	case e.class == Short && expected > maxExpectedWait(e.expectedRun):
		return Overloaded
	}
	return 0
}

// maxExpectedWait returns the longest expected wait at which a short request is
// still queued. run is its expected run time.
func maxExpectedWait(run time.Duration) time.Duration {
	wait := min(_maxShortWait, max(_minShortWait, _maxWaitRuns*run))
	return max(wait, run)
}

const (
	// _minRetryAfter is the minimum time after which a refused caller retries.
	_minRetryAfter = time.Second
	// _minRetrySpread is the minimum span over which the retries of refused callers are spread.
	_minRetrySpread = 4 * time.Second
)

// RetryAfter returns the time after which a refused caller should retry: the
// expected wait plus a random delay, given by jitter, a random number in [0, 1),
// so that callers do not retry at the same time.
func RetryAfter(expected time.Duration, jitter float64) time.Duration {
	base := max(_minRetryAfter, expected)
	spread := max(_minRetrySpread, base)
	return base + time.Duration(jitter*float64(spread))
}

// refuse returns the action that refuses e.
func (q *Queue) refuse(now time.Duration, e *entry, reason Reason) Action {
	expected := q.expectedWait(now, e.class)
	return Refuse{ID: e.id, Reason: reason, RetryAfter: RetryAfter(expected, e.jitter)}
}
