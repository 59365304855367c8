package admission

import "time"

// An upstream works on as many requests as it has slots and queues a few more. It refuses
// further ones at once, and the sidecar can't read the answer. An answer that begins within a
// few ms, although more requests than slots were before it, can only be a refusal. The
// capacity of the upstream is learned from such answers. It is kept when the upstream is
// replaced, since all upstreams of a service are configured alike.
const (
	// _minRefusalTime and _refusalFraction, as a fraction of the mean run time, bound the time
	// within which a refusal begins: the larger one counts.
	_minRefusalTime  = 2 * time.Millisecond
	_refusalFraction = 0.15
	// _refusalSpan is how long a refusal by the upstream shows that it has no capacity for
	// openings that are not more important.
	_refusalSpan = 200 * time.Millisecond
	// _maxRequestTime is how long a request counts as being at the upstream if its route has
	// no timeout. Its answer may have been lost with its flow.
	_maxRequestTime = 10 * time.Second
)

// Outcome says what the beginning of an answer shows.
type Outcome int

// Outcomes.
const (
	// NoRequest means that no request was in progress on the flow.
	NoRequest Outcome = iota
	// Served means that the request has run.
	Served
	// RefusedByUpstream means that the upstream has refused the request.
	RefusedByUpstream
)

// Capacity returns the learned number of requests that the upstream works on and queues, or
// zero if it is not known.
func (c *Controller[F]) Capacity() int { return c.capacity }

// full reports whether the upstream refuses a request that arrives after a number of others.
func (c *Controller[F]) full(ahead int) bool { return c.capacity > 0 && ahead >= c.capacity }

// Begin notes that a request or a further packet of it goes to the upstream now. onOpenFlow
// is set if the flow carried requests before. The deadlines of the work must be set.
func (c *Controller[F]) Begin(now time.Duration, w *Work[F], onOpenFlow bool) {
	l := c.limits(now)
	if w.atUpstream {
		c.leaveUpstream(now, w) // the upstream starts a request when its last packet has arrived
	} else {
		c.noteNewRequest(now, l, w, onOpenFlow)
	}
	c.Reserve(w)
	w.atUpstream, w.ahead, w.running = true, int32(len(c.atUpstream)), false
	c.atUpstream = append(c.atUpstream, w)
	if w.onOpenFlow {
		c.onOpenFlows[w.Priority()]++
	}
	c.startRequests(now, l)
}

func (c *Controller[F]) noteNewRequest(now time.Duration, l Limits, w *Work[F], onOpenFlow bool) {
	if c.capacity <= l.Slots {
		c.capacity = 0 // learned from another upstream with fewer slots
	}
	w.onOpenFlow = onOpenFlow
	w.route.usedAt = now
	if onOpenFlow && l.Prioritized {
		w.route.countFurther(now)
	}
}

// startRequests notes which requests the upstream has started to work on, if it does so in the
// order of their arrival.
func (c *Controller[F]) startRequests(now time.Duration, l Limits) {
	for _, w := range c.atUpstream[:min(l.Slots, len(c.atUpstream))] {
		if !w.running {
			w.running, w.startedAt = true, now
		}
	}
}

// leaveUpstream removes a request from those at the upstream.
func (c *Controller[F]) leaveUpstream(now time.Duration, w *Work[F]) {
	if !w.atUpstream {
		return
	}
	w.atUpstream = false
	c.atUpstream = remove(c.atUpstream, w)
	if w.onOpenFlow {
		c.onOpenFlows[w.Priority()]--
	}
	c.startRequests(now, c.limits(now))
}

// Answer notes that the upstream's answer to the request of a flow begins. took is the time
// since the last packet of the request. Refusals count as no run time. The caller must then
// call End.
func (c *Controller[F]) Answer(now time.Duration, w *Work[F], took time.Duration) Outcome {
	l := c.limits(now)
	if !w.inProgress || !w.atUpstream {
		return NoRequest
	}
	if !l.Prioritized {
		c.timings.addRun(took, c.busy, l.Slots)
		return Served
	}
	if c.isRefusal(l, w, took) {
		if !c.full(int(w.ahead)) {
			// One at a time: answers that have not been counted yet make the number before a
			// refused request too low at times.
			if c.capacity == 0 {
				c.capacity = int(w.ahead)
			} else {
				c.capacity--
			}
		}
		if w.onOpenFlow {
			c.upstreamRefusedAt[w.Priority()] = now
		}
		return RefusedByUpstream
	}
	if c.full(int(w.ahead)) {
		c.capacity++
	}
	if !w.running { // it has overtaken others
		w.startedAt = now - took*time.Duration(l.Slots)/time.Duration(max(c.busy, l.Slots))
	}
	c.timings.runTime.add(now - w.startedAt)
	w.route.runTime.add(now - w.startedAt)
	return Served
}

// isRefusal reports whether an answer can only be a refusal.
func (c *Controller[F]) isRefusal(l Limits, w *Work[F], took time.Duration) bool {
	bound := max(_minRefusalTime, time.Duration(_refusalFraction*float64(c.timings.runTime.value)))
	return int(w.ahead) > l.Slots && !w.running && took < bound
}

// refusedAsImportant reports whether the upstream has recently refused a request of the given
// or a higher priority on an open flow.
func (c *Controller[F]) refusedAsImportant(now time.Duration, priority int) bool {
	for _, at := range c.upstreamRefusedAt[:priority+1] {
		if at > 0 && now-at < _refusalSpan {
			return true
		}
	}
	return false
}

// Overdue returns a request that has been at the upstream for longer than its caller waits, or
// nil. Its answer was lost, or the caller has gone.
func (c *Controller[F]) Overdue(now time.Duration) *Work[F] {
	if !c.limits(now).Prioritized {
		return nil
	}
	for _, w := range c.atUpstream {
		timeout := w.route.class.Timeout
		if timeout == 0 {
			timeout = _maxRequestTime
		}
		if w.running && now-w.startedAt > timeout {
			return w
		}
	}
	return nil
}

// OpenFlow counts a flow among the open ones of its route. The deadlines of the work must be
// set.
func (c *Controller[F]) OpenFlow(w *Work[F]) {
	if !w.counted {
		w.counted = true
		w.route.openFlows++
	}
}

// CloseFlow ends the count of a flow among the open ones of its route.
func (c *Controller[F]) CloseFlow(w *Work[F]) {
	if w.counted {
		w.counted = false
		w.route.openFlows--
	}
}
