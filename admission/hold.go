package admission

import (
	"slices"
	"time"
)

// Requests on open flows are held back for a short time if more important openings wait for
// the places that they would take. If the openings' requests then fill the upstream, it
// refuses the held ones at once, and their callers may go elsewhere.
//
// They are also held back while more important requests are at the upstream, apart from those
// that fill its slots and one place of its queue. An upstream need not start requests in the
// order of their arrival: one was seen to answer requests on flows that had been open for long
// before earlier ones on new flows.
const (
	// _queuedBesideImportant is the number of requests that may wait inside the upstream
	// beside more important ones, so that no slot is idle between two requests.
	_queuedBesideImportant = 1
	// _holdFraction is the fraction of a route's target latency for which a request is held
	// at most. Its caller can lose that much time and still be answered in time.
	_holdFraction = 0.25
)

// ShouldHold reports whether a request that has arrived on an open flow should be held back,
// and if so, adds it to those that are. The deadlines of the work must be set.
func (c *Controller[F]) ShouldHold(now time.Duration, w *Work[F]) bool {
	if w.inProgress || w.held || !c.holds(now, c.limits(now), w) {
		return false
	}
	w.held, w.running, w.startedAt = true, false, now
	at := len(c.held)
	for at > 0 && w.priority < c.held[at-1].priority {
		at--
	}
	c.held = slices.Insert(c.held, at, w)
	return true
}

// holds reports whether a request should wait for a place at the upstream.
func (c *Controller[F]) holds(now time.Duration, l Limits, w *Work[F]) bool {
	if !l.Prioritized || c.capacity == 0 || c.full(len(c.atUpstream)) {
		return false
	}
	waiting := c.moreImportantWaiting(now, w.priority)
	if waiting+c.moreImportantInProgress(w.Priority()) > 0 && c.busy >= l.Slots+_queuedBesideImportant {
		return true
	}
	return c.full(c.busy + waiting)
}

// moreImportantInProgress returns the number of requests in progress or expected that are more
// important than a priority.
func (c *Controller[F]) moreImportantInProgress(priority int) int {
	count := 0
	for _, n := range c.inProgress[:priority] {
		count += n
	}
	return count
}

// moreImportantWaiting returns the number of waiting openings that are not late and are more
// important than a priority.
func (c *Controller[F]) moreImportantWaiting(now time.Duration, priority int32) int {
	count := 0
	for _, w := range c.waiting {
		if w.priority >= priority {
			break
		}
		if !w.late(now) {
			count++
		}
	}
	return count
}

// Held returns the requests that are held back, in the order of priority and arrival. The
// caller must not modify the slice.
func (c *Controller[F]) Held() []*Work[F] { return c.held }

// Release removes a held request that should go to the upstream now, and returns it, or
// returns nil if there is none. until is the time of the next call at the latest: a request
// is released before it would have been held for too long.
func (c *Controller[F]) Release(now, until time.Duration) *Work[F] {
	if len(c.held) == 0 {
		return nil
	}
	l := c.limits(now)
	for _, w := range c.held {
		if until-w.startedAt > holdTime(w.route.class) || !c.holds(now, l, w) {
			c.Unhold(w)
			return w
		}
	}
	return nil
}

// holdTime returns for how long a request of a class is held at most.
func holdTime(class Class) time.Duration {
	target := class.TargetLatency
	if target == 0 {
		target = _defaultTargetWait
	}
	return time.Duration(_holdFraction * float64(target))
}

// Unhold removes a request from those that are held back, if it is one of them.
func (c *Controller[F]) Unhold(w *Work[F]) {
	if w.held {
		w.held = false
		c.held = remove(c.held, w)
	}
}
