package queue

import "time"

const (
	// _minShortWait and _maxShortWait bound how long a short request may be
	// expected to wait, and with it the queue that a crest of demand leaves
	// behind. Between them it may wait _waitRuns times its run.
	_minShortWait = 250 * time.Millisecond
	_maxShortWait = time.Second
	_waitRuns     = 5
	// _runMargin is how many times its expected run time a waiting request
	// keeps for its run: nearly all runs end within that.
	_runMargin = 4
	// _overdueRuns is how many times its run time a long request waits before
	// it may take a slot that short requests need on average.
	_overdueRuns = 2
	// _demandSpan is the time over which the demand of short work is averaged.
	_demandSpan = 2 * time.Second
	// _loadSpan is the time over which the load is averaged.
	_loadSpan = 500 * time.Millisecond
	// _quietOccupancy is the average load, as a share of the limit, below which
	// a run may count as quiet.
	_quietOccupancy = 0.9
)

// probe returns the class of a request on a route that never ran: one at a time
// goes as short, to learn from, and others beside it as long, so that a burst
// of unknown work cannot take the reserved slots.
func (q *Queue) probe(route string) Class {
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

// free reports whether a request of the class may start now.
func (q *Queue) free(now time.Duration, class Class) bool {
	limit := q.Limit(now)
	if len(q.running) >= limit {
		return false
	}
	return class == Short || q.longRunning < q.longLimit(now, limit)
}

// longLimit is how many long requests may run at once. It leaves the reserved
// slots and as many more as the short requests need. A long request that is
// overdue may have one slot more, but never a reserved one. One may always run,
// so that a long request starts at the latest when those before it have run one
// after the other, each after one more run that was in progress.
func (q *Queue) longLimit(now time.Duration, limit int) int {
	most := max(1, limit-q.limits.ReservedSlots)
	usual := max(1, limit-q.demand.slots(now))
	if head := q.waiting[Long].head; head != nil && now >= head.overdue() {
		usual++
	}
	return min(most, usual)
}

// next returns the waiting request that starts now, or nil. One long request
// goes first if none runs, so that short ones never starve it; then short
// ones, then other long ones.
func (q *Queue) next(now time.Duration) *entry {
	long, short := q.waiting[Long].head, q.waiting[Short].head
	longFree := long != nil && q.free(now, Long)
	if longFree && (q.longRunning == 0 || short == nil) {
		return long
	}
	if short != nil && q.free(now, Short) {
		return short
	}
	return nil
}

// expectedWait is how long the last request in the class will probably wait.
func (q *Queue) expectedWait(now time.Duration, class Class) time.Duration {
	limit := q.Limit(now)
	slots := max(1, limit-q.longRunning)
	if class == Long {
		slots = q.longLimit(now, limit)
	}
	run := q.meanRun(class)
	return run * time.Duration(q.waiting[class].len+1) / time.Duration(slots)
}

// meanRun is the mean expected run time of the requests of a class at hand.
func (q *Queue) meanRun(class Class) time.Duration {
	sum, n := q.waiting[class].runs, q.waiting[class].len
	for _, e := range q.running {
		if e.class == class {
			sum += e.run
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// reject returns why e cannot wait, or zero.
func (q *Queue) reject(now time.Duration, e *entry, expected time.Duration) Reason {
	switch {
	case len(q.lapses) >= q.limits.Length:
		return Full
	case e.class == Long && q.waiting[Long].len >= q.limits.longLength():
		return Full
	case e.lapse <= now+expected:
		return Late
	case e.class == Short && expected > longestWait(e.run):
		return Overloaded
	}
	return 0
}

// longestWait is the longest expected wait with which a short request that runs
// for run is queued.
func longestWait(run time.Duration) time.Duration {
	wait := min(_maxShortWait, max(_minShortWait, _waitRuns*run))
	return max(wait, run)
}

const (
	// _minRetryAfter is the least time after which a refused caller comes back.
	_minRetryAfter = time.Second
	// _retrySpread is the least span over which refused callers come back.
	_retrySpread = 4 * time.Second
)

// RetryAfter is when a refused caller should come back: once the expected wait
// is over, spread over a span by jitter, a random number in [0, 1), so that
// callers do not come back together.
func RetryAfter(expected time.Duration, jitter float64) time.Duration {
	base := max(_minRetryAfter, expected)
	spread := max(_retrySpread, base)
	return base + time.Duration(jitter*float64(spread))
}

// refusal refuses e.
func (q *Queue) refusal(now time.Duration, e *entry, reason Reason) Action {
	expected := q.expectedWait(now, e.class)
	return Refuse{ID: e.id, Reason: reason, RetryAfter: RetryAfter(expected, e.jitter)}
}
