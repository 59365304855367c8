// Package admission decides when an upstream gets the requests that its sidecar has for it,
// and which of them are refused. It is a state machine without clock, socket, goroutine or
// log; times are arguments and count from any fixed start.
//
// It is made for the case that all upstreams of a service are busy for a while: a peak of
// calls, a crash, or callers that return after an outage. An upstream that got every flow
// would work on requests whose answers are already too late, and refuse others only after a
// long wait. The upstream therefore gets few more new flows than it has slots, and the others
// wait at the sidecar.
//
// Late flows get only free slots: one that waits inside the upstream would delay a flow
// that can still be answered in time.
//
// A waiting flow has two deadlines. It is late once it can no longer be answered within
// its route's target latency. Flows that are not late go first, in the order of priority
// and age, and late ones follow, since a late answer is better than none. The second
// deadline is the latest start from which the answer still arrives before the caller's
// timeout. A flow that is expected to miss this deadline is refused at once, and its
// caller may retry.
//
// A flow may stay open and carry further requests. They can't be refused here, since only the
// upstream can answer them. If work is admitted by priority (Limits.Prioritized), they are
// considered as follows: a new flow that is more important than such requests may queue
// inside the upstream, up to the capacity that is learned from the upstream's own refusals
// (see capacity.go), and a request on an open flow is held back for a short time if more
// important flows will take all places at the upstream (see hold.go).
package admission

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// _timeoutMargin is the fraction of a route's timeout that is reserved for the answer,
	// unless the answer is expected to take longer.
	_timeoutMargin = 0.1
	// _maxWait bounds how long a flow waits in all, from its arrival at the first relay,
	// even if its route has no timeout. Callers repeat an opening packet for 1.4 s.
	_maxWait = 1200 * time.Millisecond
	// _defaultTargetWait is the time after which a flow is late if its route is not known
	// or has no target latency.
	_defaultTargetWait = 100 * time.Millisecond
	// _maxWaitShare is the fraction of the wait that a flow's target allows which the
	// expected wait of an accepted flow may take if work is admitted by priority. Without
	// this margin, the queue of a busy upstream is as long as the target allows, and most
	// flows are late by a little. Otherwise there is no margin: after an outage, fewer of the
	// flows that waited meanwhile would be served.
	_maxWaitShare = 0.6
	// Priorities is the number of priorities that are distinguished. Larger ones count as the
	// largest.
	Priorities = 8
)

// Limits are what the upstream can do at the time of a decision.
type Limits struct {
	// Slots is the number of requests that the upstream works on at a time, at least 1.
	Slots int
	// OnTrial is set while the upstream gets one flow at a time, since it has failed requests.
	OnTrial bool
	// ColdRoom is the number of opening packets that the upstream may get now, and
	// ColdInterval is the mean time between two of them. They are math.MaxInt and zero unless
	// the upstream is cold and the rate that it bears is stated.
	ColdRoom     int
	ColdInterval time.Duration
	// Prioritized is set if work is admitted by priority.
	Prioritized bool
}

// Class is what a route says of its requests.
type Class struct {
	Route netip.AddrPort
	// Priority is 0 for the most important requests.
	Priority int
	// TargetLatency and Timeout are zero if they are not set.
	TargetLatency, Timeout time.Duration
}

// Work is the present request of a flow, or the opening of the flow. F is the caller's type
// for flows.
type Work[F any] struct {
	Flow *F
	// Arrived is when a relay first received the opening packet. The flow is late from
	// TargetStart on, and refused if the upstream cannot get it by LatestStart.
	Arrived, TargetStart, LatestStart time.Duration
	// route holds what is known of the route, or is nil before the first call of SetDeadlines.
	route *routeStats
	// expected is the expected run time.
	expected time.Duration
	// startedAt is when the request got a slot, if running is set, and when it was held back,
	// if held is set.
	startedAt time.Duration
	// ahead is the number of requests that were at the upstream when this one arrived there.
	ahead int32
	// priority is the route's priority.
	priority int32
	// LastResort is set if the relay has already tried other sidecars.
	LastResort bool

	// waiting, inProgress, atUpstream and held are set while the work is counted in the
	// fields of a Controller of the same names.
	waiting, inProgress, atUpstream, held bool
	// onOpenFlow is set if the request arrived on an open flow.
	onOpenFlow bool
	// running is set once the request got a slot, if the upstream starts requests in the order
	// of their arrival.
	running bool
	// counted is set while the flow is counted as one of its route's open flows.
	counted bool
}

// Classified reports whether the deadlines of the work were set.
func (w *Work[F]) Classified() bool { return w.route != nil }

// Priority returns the priority of the work's route, below Priorities.
func (w *Work[F]) Priority() int { return ClampPriority(int(w.priority)) }

// Waiting reports whether the opening waits for the upstream.
func (w *Work[F]) Waiting() bool { return w.waiting }

// InProgress reports whether the request is in progress at the upstream, or is expected there.
func (w *Work[F]) InProgress() bool { return w.inProgress }

// Held reports whether the request is held back.
func (w *Work[F]) Held() bool { return w.held }

// ClampPriority returns a route's priority as a number below Priorities.
func ClampPriority(priority int) int { return min(max(priority, 0), Priorities-1) }

// late reports whether the work can no longer be answered within its target.
func (w *Work[F]) late(now time.Duration) bool { return now >= w.TargetStart }

// Verdict is the decision about an opening.
type Verdict int

// Verdicts.
const (
	// Run means that the upstream should get the opening now.
	Run Verdict = iota
	// Wait means that the opening should wait.
	Wait
	// Overloaded means that the opening would wait for too long.
	Overloaded
	// NoRoom means that the upstream has just refused a request that is as important.
	NoRoom
)

// Controller decides about the work of one upstream. It is not safe for concurrent use.
type Controller[F any] struct {
	// limits returns the upstream's limits at a time.
	limits func(now time.Duration) Limits
	// busy is the number of requests in progress or expected, and busyWork is the sum of
	// their expected run times.
	busy     int
	busyWork time.Duration
	// waiting holds the openings that wait, in the order of priority and age.
	waiting []*Work[F]
	// atUpstream holds the requests at the upstream in the order of their arrival there, and
	// held the requests that are held back in the order of their arrival.
	atUpstream, held []*Work[F]
	// inProgress counts the requests in progress or expected, by priority.
	inProgress [Priorities]int
	// onOpenFlows counts the requests at the upstream that came on open flows, by priority.
	onOpenFlows [Priorities]int
	// capacity is the learned capacity of the upstream, or zero if it is not known.
	capacity int
	// upstreamRefusedAt is when the upstream last refused a request on an open flow, by
	// priority, or zero.
	upstreamRefusedAt [Priorities]time.Duration
	// targetWaits are the waits that the targets of the flows of each priority allow, as
	// last seen, or zero.
	targetWaits [Priorities]time.Duration
	timings     timings
	lateStarts  lateStarts
	routes      routeTable
	// order decides the order of openings of the same priority.
	order order
	// refused is reused between calls.
	refused []*Work[F]
}

// New returns a controller without work. limits returns the upstream's limits at a time.
func New[F any](limits func(now time.Duration) Limits) *Controller[F] {
	return &Controller[F]{limits: limits, timings: newTimings(), routes: make(routeTable), order: byArrival}
}

// Busy returns the number of requests that are in progress or expected.
func (c *Controller[F]) Busy() int { return c.busy }

// Waiting returns the openings that wait, in the order of priority and age. The caller must
// not modify the slice.
func (c *Controller[F]) Waiting() []*Work[F] { return c.waiting }

// RunTime returns the mean run time of a request.
func (c *Controller[F]) RunTime() time.Duration { return c.timings.runTime.value }

// Load returns the number of flows that precede a new one: those in progress and those
// that wait and are not late. Late flows do not count, since they only get slots that
// no other flow needs.
func (c *Controller[F]) Load(now time.Duration) int {
	load := c.busy
	for _, w := range c.waiting {
		if !w.late(now) {
			load++
		}
	}
	return load
}

// LateCount returns the number of waiting openings that are late.
func (c *Controller[F]) LateCount(now time.Duration) int {
	return c.busy + len(c.waiting) - c.Load(now)
}

// SetDeadlines sets the work's route and deadlines.
func (c *Controller[F]) SetDeadlines(now time.Duration, w *Work[F], class Class) {
	r := c.routes.use(now, class)
	w.route, w.priority = r, int32(class.Priority)
	l := c.limits(now)
	runTime := c.timings.runTime.value
	if l.Prioritized {
		runTime = c.runTimeOf(r)
	}
	answer := c.timings.answerTime(runTime)
	targetWait, maxWait := _defaultTargetWait, _maxWait
	if class.TargetLatency > 0 {
		targetWait = max(class.TargetLatency-answer, 0)
	}
	if class.Timeout > 0 {
		margin := time.Duration(_timeoutMargin * float64(class.Timeout))
		maxWait = min(max(class.Timeout-max(answer, margin), 0), _maxWait)
	}
	c.targetWaits[w.Priority()] = targetWait
	if c.queuesInside(l, w.Priority()) {
		targetWait += c.insideMargin()
	}
	w.TargetStart, w.LatestStart = w.Arrived+targetWait, w.Arrived+maxWait
	if w.inProgress {
		return // its work is part of a sum
	}
	w.expected = runTime
	if l.Prioritized { // the requests that the flow sends within _rateHorizon count, too
		w.expected += time.Duration(r.requestsPerFlow(now) * float64(runTime))
	}
}

// insideMargin returns how much later than others an opening that queues inside the upstream may
// start: its handshake completes meanwhile, and a request that takes no longer than the mean is
// still answered within its target.
func (c *Controller[F]) insideMargin() time.Duration {
	handshakes := 3 * c.timings.handshakeTime.value / 2 // all but the answer's way to the caller
	return handshakes + time.Duration((_maxRunTimeFactor-1)*float64(c.timings.runTime.value))
}

// runTimeOf returns the mean run time of a route's requests.
func (c *Controller[F]) runTimeOf(r *routeStats) time.Duration {
	if r != nil && r.runTime.samples > 0 {
		return r.runTime.value
	}
	return c.timings.runTime.value
}

// Decide returns the decision about an opening whose deadlines are set. If it waits as a last
// resort, it counts as late at once, since flows that can be answered in time go first. With
// admission by priority, only flows that are late on arrival wait like that, as after an outage:
// under overload, the slots that late flows get are lacking for others soon after.
func (c *Controller[F]) Decide(now time.Duration, w *Work[F]) Verdict {
	l := c.limits(now)
	switch {
	case c.hasPlace(now, l, w):
		return Run
	case l.Prioritized && c.refusedAsImportant(now, w.Priority()):
		return NoRoom
	case c.startsInTime(now, l, w):
		return Wait
	case w.LastResort && (!l.Prioritized || w.late(now)) && c.lateStart(now, l, c.LateCount(now)) <= w.LatestStart:
		w.TargetStart = min(w.TargetStart, now)
		return Wait
	default:
		return Overloaded
	}
}

// openingLimit returns how many flows the upstream may have in progress if all work is
// equally important: as many as it has slots, plus half that number, but at least one, for
// flows that complete their handshakes meanwhile. An upstream on trial gets one flow at a
// time.
func (c *Controller[F]) openingLimit(l Limits) int {
	if l.OnTrial {
		return 1
	}
	limit := l.Slots + max(1, l.Slots/2)
	if l.ColdRoom < limit {
		return min(limit, c.busy+l.ColdRoom)
	}
	return limit
}

// hasPlace reports whether the upstream should get an opening now.
func (c *Controller[F]) hasPlace(now time.Duration, l Limits, w *Work[F]) bool {
	if c.busy < c.openingLimit(l) {
		return true
	}
	return c.queuesInside(l, w.Priority()) && !c.full(c.busy) && now+c.startWait(l, c.busy, c.busyWork) <= w.TargetStart
}

// queuesInside reports whether an opening of a priority may queue inside the upstream: less
// important requests on open flows are in progress there, which can't be refused.
func (c *Controller[F]) queuesInside(l Limits, priority int) bool {
	if !l.Prioritized || l.OnTrial || l.ColdRoom == 0 {
		return false
	}
	for _, count := range c.onOpenFlows[priority+1:] {
		if count > 0 {
			return true
		}
	}
	return false
}

// startsInTime reports whether the upstream is expected to get an opening early enough for an
// answer within the target latency.
func (c *Controller[F]) startsInTime(now time.Duration, l Limits, w *Work[F]) bool {
	allowed := w.TargetStart - w.Arrived
	if l.Prioritized && !c.queuesInside(l, w.Priority()) {
		allowed = time.Duration(_maxWaitShare * float64(allowed))
	}
	return now+c.expectedWait(now, l, w) <= w.Arrived+allowed
}

// expectedWait returns the expected time until the upstream has a place for an opening.
func (c *Controller[F]) expectedWait(now time.Duration, l Limits, w *Work[F]) time.Duration {
	if !l.Prioritized {
		return c.wait(l, c.Load(now))
	}
	ahead, work := c.busy, c.busyWork
	for _, other := range c.waiting {
		if !other.late(now) && !c.precedes(w, other) {
			ahead++
			work += other.expected
		}
	}
	return c.priorityWait(l, w.Priority(), ahead, work)
}

// wait returns the expected time until the upstream has a place for an opening that load
// flows precede, if all are equally important.
func (c *Controller[F]) wait(l Limits, load int) time.Duration {
	excess := load - c.openingLimit(l) + 1
	return time.Duration(max(excess, 0)) * max(c.timings.endInterval(l.Slots), l.ColdInterval)
}

// priorityWait returns the expected time until the upstream has a place for an opening of a
// priority that a number of flows with the given sum of run times precede.
func (c *Controller[F]) priorityWait(l Limits, priority, ahead int, work time.Duration) time.Duration {
	if c.queuesInside(l, priority) {
		return max(c.startWait(l, ahead, work), c.coldWait(l, ahead))
	}
	excess := max(ahead-c.openingLimit(l)+1, 0)
	return max(share(work, excess, ahead)/time.Duration(l.Slots), c.coldWait(l, ahead))
}

// startWait returns the expected time until a request gets a slot that a number of requests
// with the given sum of run times precede.
func (c *Controller[F]) startWait(l Limits, ahead int, work time.Duration) time.Duration {
	return share(work, max(ahead-l.Slots+1, 0), ahead) / time.Duration(l.Slots)
}

// coldWait returns the expected time until a cold upstream may get an opening that a number
// of flows precede.
func (c *Controller[F]) coldWait(l Limits, ahead int) time.Duration {
	return time.Duration(max(ahead-c.openingLimit(l)+1, 0)) * l.ColdInterval
}

// share returns the part of the work that falls to some of a number of requests.
func share(work time.Duration, some, of int) time.Duration {
	if of == 0 {
		return 0
	}
	return work * time.Duration(some) / time.Duration(of)
}

// lateStart returns when the upstream is expected to get a late flow. ahead is the number of
// other late flows that precede this flow. The result allows for new flows, which precede
// late ones.
func (c *Controller[F]) lateStart(now time.Duration, l Limits, ahead int) time.Duration {
	return now + c.wait(l, c.Load(now)) + c.lateStarts.wait(now, ahead, c.timings.lateStartInterval(l.Slots))
}

// precedes reports whether an opening goes before another one that began to wait earlier, if
// both are late or neither is.
func (c *Controller[F]) precedes(w, earlier *Work[F]) bool {
	if w.priority != earlier.priority {
		return w.priority < earlier.priority
	}
	return c.orderKey(w) < c.orderKey(earlier)
}

func (c *Controller[F]) orderKey(w *Work[F]) time.Duration {
	if w.route == nil {
		return w.Arrived
	}
	return c.order(w.Arrived, w.route.class.TargetLatency, w.expected)
}

// order returns the key of an opening, given its arrival, the target latency of its route and
// its expected run time. The smallest key goes first. The arguments are values since a pointer to
// the work would move it to the heap.
type order func(arrived, targetLatency, expected time.Duration) time.Duration

// byArrival orders openings by the arrival of their first try. Orders by deadline or by work answer
// fewer requests in time, or about as many (see docs/design/cost-of-refusals.md).
func byArrival(arrived, _, _ time.Duration) time.Duration { return arrived }

// Enqueue adds an opening to those that wait.
func (c *Controller[F]) Enqueue(now time.Duration, w *Work[F]) {
	prioritized := c.limits(now).Prioritized
	w.waiting = true
	at := len(c.waiting)
	for at > 0 && (w.priority < c.waiting[at-1].priority || prioritized && c.precedes(w, c.waiting[at-1])) {
		at--
	}
	c.waiting = slices.Insert(c.waiting, at, w)
	c.lateStarts.noteWaiting(now, c.LateCount(now) > 0)
}

// Dequeue removes an opening from those that wait, if it is one of them.
func (c *Controller[F]) Dequeue(now time.Duration, w *Work[F]) {
	if w.waiting {
		w.waiting = false
		c.waiting = remove(c.waiting, w)
		c.lateStarts.noteWaiting(now, c.LateCount(now) > 0)
	}
}

func remove[F any](list []*Work[F], w *Work[F]) []*Work[F] {
	if i := slices.Index(list, w); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// First returns the waiting opening that goes before all others, or nil if none waits.
func (c *Controller[F]) First(now time.Duration) *Work[F] {
	for _, w := range c.waiting {
		if !w.late(now) {
			return w
		}
	}
	if len(c.waiting) > 0 {
		return c.waiting[0]
	}
	return nil
}

// Next removes the waiting opening that the upstream should get now, and returns it, or
// returns nil if there is none.
func (c *Controller[F]) Next(now time.Duration) *Work[F] {
	w := c.First(now)
	if w == nil {
		return nil
	}
	l := c.limits(now)
	if !c.hasPlace(now, l, w) {
		return nil
	}
	if w.late(now) {
		if c.busy >= l.Slots {
			return nil // a flow that is not late may arrive, and must not wait behind this one
		}
		c.lateStarts.noteStart(now)
	}
	c.Dequeue(now, w)
	return w
}

// TooLate removes the waiting openings that the upstream is not expected to get by their
// latest start, and returns them. The start of a late flow can be predicted, since late flows
// are delivered after all others and in the order of priority and age. The result is valid
// until the next call.
func (c *Controller[F]) TooLate(now time.Duration) []*Work[F] {
	c.refused = c.refused[:0]
	ahead, l := 0, c.limits(now)
	c.lateStarts.noteWaiting(now, c.LateCount(now) > 0)
	for _, w := range c.waiting {
		if !w.late(now) {
			continue
		}
		if now < w.LatestStart && c.lateStart(now, l, ahead) <= w.LatestStart {
			ahead++
			continue
		}
		c.lateStarts.noteMissed(now)
		c.refused = append(c.refused, w)
	}
	return c.removeRefused(now)
}

// DisplacedBy removes the less important openings that can start neither in time nor by their
// latest start after a more important one was accepted, and returns them. The result is valid
// until the next call.
func (c *Controller[F]) DisplacedBy(now time.Duration, by *Work[F]) []*Work[F] {
	c.refused = c.refused[:0]
	l := c.limits(now)
	if !l.Prioritized {
		return nil
	}
	ahead, work, late := c.busy, c.busyWork, c.LateCount(now)
	for _, w := range c.waiting {
		if w.late(now) {
			continue
		}
		if w.priority > by.priority && now+c.priorityWait(l, w.Priority(), ahead, work) > w.TargetStart {
			if c.lateStart(now, l, late) > w.LatestStart {
				c.refused = append(c.refused, w)
				continue
			}
			late++
		}
		ahead++
		work += w.expected
	}
	return c.removeRefused(now)
}

func (c *Controller[F]) removeRefused(now time.Duration) []*Work[F] {
	for _, w := range c.refused {
		c.Dequeue(now, w)
	}
	return c.refused
}

// Reserve counts an opening that is delivered to the upstream as a request that is expected
// there.
func (c *Controller[F]) Reserve(w *Work[F]) {
	if !w.inProgress {
		w.inProgress = true
		c.inProgress[w.Priority()]++
		w.expected = c.runTimeOf(w.route)
		c.busy++
		c.busyWork += w.expected
	}
}

// End ends the request of a flow, or the expectation of a request. It reports whether there
// was one. The upstream may then have a place for other work.
func (c *Controller[F]) End(now time.Duration, w *Work[F]) bool {
	if !w.inProgress {
		return false
	}
	w.inProgress = false
	c.inProgress[w.Priority()]--
	c.busy--
	c.busyWork -= w.expected
	c.leaveUpstream(now, w)
	return true
}

// ExpectedWait returns the expected time until the upstream has a place for a new opening.
func (c *Controller[F]) ExpectedWait(now time.Duration) time.Duration {
	return c.wait(c.limits(now), c.Load(now))
}

// NoRoomFrom returns one more than the smallest priority for whose openings the upstream has
// no capacity now, or zero if it has capacity for all or work is not admitted by priority. It
// considers the priorities whose targets are known.
func (c *Controller[F]) NoRoomFrom(now time.Duration) uint8 {
	l := c.limits(now)
	if !l.Prioritized || c.busy < c.openingLimit(l) {
		return 0
	}
	for priority, targetWait := range c.targetWaits {
		if targetWait == 0 {
			continue
		}
		if c.queuesInside(l, priority) {
			targetWait += c.insideMargin()
		}
		probe := Work[F]{priority: int32(priority), Arrived: now, TargetStart: now + targetWait, LatestStart: math.MinInt64}
		if verdict := c.Decide(now, &probe); verdict != Run && verdict != Wait {
			return uint8(priority + 1)
		}
	}
	return 0
}

// AddHandshake adds the time from the delivery of an opening packet to the caller's request.
func (c *Controller[F]) AddHandshake(took time.Duration) {
	c.timings.handshakeTime.add(min(took, _maxHandshake))
}
