package admission

import (
	"math"
	"net/netip"
	"time"
)

// Weights and initial values of the estimates of an upstream's run and handshake times.
const (
	// _averageWeight is the weight of a new sample in an average.
	_averageWeight = 0.05
	// _initialRunTime and _initialHandshakeTime are the estimates before the first
	// sample: the run time of a short request, and the handshake time of a caller in the
	// same region.
	_initialRunTime       = 20 * time.Millisecond
	_initialHandshakeTime = 4 * time.Millisecond
	// Most requests of one kind take at most _maxRunTimeFactor times the mean run time.
	_maxRunTimeFactor = 1.5
	// _lateSlotShare is the fraction of the slots that late flows are assumed to get before
	// any of them has started or has waited for long. It is optimistic, since peaks pass and
	// a flow should only be refused if it is certain to be too late.
	_lateSlotShare = 0.5
	// _maxHandshake bounds a sample of the handshake time. After that time, a flow without a
	// request no longer counts as one in progress.
	_maxHandshake = 60 * time.Millisecond
	// _maxRoutes bounds the routes whose run times are kept.
	_maxRoutes = 64
	// _rateSpan is the span over which the requests of long-lived flows are counted.
	_rateSpan = 2 * time.Second
	// _rateHorizon is the time within which the further requests of a new flow count as its
	// work.
	_rateHorizon = time.Second
)

// average is an exponentially weighted mean. Its first samples have a higher weight, so
// that the initial value is soon forgotten.
type average struct {
	value   time.Duration
	samples int
}

func (a *average) add(d time.Duration) {
	a.samples++
	weight := max(_averageWeight, 1/float64(a.samples+1))
	a.value += time.Duration(weight * float64(d-a.value))
}

// timings are estimates of how fast an upstream serves flows.
type timings struct {
	// runTime is how long a request takes in a slot.
	runTime average
	// handshakeTime is the time from the delivery of an opening packet to the caller's
	// request.
	handshakeTime average
}

func newTimings() timings {
	return timings{runTime: average{value: _initialRunTime}, handshakeTime: average{value: _initialHandshakeTime}}
}

// addRun adds the time that a request took. busy is the number of requests in progress
// meanwhile. Requests beyond the number of slots wait inside the upstream, so only the
// fraction slots/busy of the time counts as run time.
func (t *timings) addRun(took time.Duration, busy, slots int) {
	t.runTime.add(took * time.Duration(slots) / time.Duration(max(busy, slots)))
}

// endInterval returns the mean interval between the ends of requests at full load.
func (t *timings) endInterval(slots int) time.Duration { return t.runTime.value / time.Duration(slots) }

// lateStartInterval returns the mean interval between the starts of late flows.
func (t *timings) lateStartInterval(slots int) time.Duration {
	return time.Duration(float64(t.endInterval(slots)) / _lateSlotShare)
}

// answerTime returns how long most flows take from the caller's first packet to the
// answer, without the wait for a slot. runTime is the mean run time of their requests.
func (t *timings) answerTime(runTime time.Duration) time.Duration {
	return 2*t.handshakeTime.value + time.Duration(_maxRunTimeFactor*float64(runTime))
}

// _lateIntervalHalfLife is the time without evidence in which the observed interval between
// starts of late flows halves. Otherwise the interval of a long overload would have late
// flows refused in the next short peak.
const _lateIntervalHalfLife = time.Second

// lateStarts observes how often late flows start. A fixed share of the slots is no
// prediction under sustained overload, since flows that are not late may take all slots.
type lateStarts struct {
	// interval is the mean interval between starts, and observedAt the time of the last
	// evidence for it.
	interval   average
	observedAt time.Duration
	// waiting is set while late flows wait, and since is when the last one of them started
	// or, if none has, when they began to wait.
	waiting bool
	since   time.Duration
}

// noteWaiting notes whether late flows wait.
func (l *lateStarts) noteWaiting(now time.Duration, waiting bool) {
	if waiting && !l.waiting {
		l.since = now
	}
	l.waiting = waiting
}

// noteStart notes that a late flow starts.
func (l *lateStarts) noteStart(now time.Duration) {
	l.noteWaiting(now, true)
	l.interval.value = l.mean(now)
	l.interval.add(now - l.since)
	l.since, l.observedAt = now, now
}

// noteMissed notes that a late flow is refused since it cannot start in time. The interval
// is at least the time since the last start.
func (l *lateStarts) noteMissed(now time.Duration) {
	if elapsed := l.elapsed(now); elapsed > l.mean(now) {
		l.interval.value, l.observedAt = elapsed, now
		l.interval.samples++
	}
}

// mean returns the observed mean interval, which decreases with its age.
func (l *lateStarts) mean(now time.Duration) time.Duration {
	return time.Duration(float64(l.interval.value) * math.Exp2(-float64(now-l.observedAt)/float64(_lateIntervalHalfLife)))
}

// elapsed returns how long late flows have waited without a start.
func (l *lateStarts) elapsed(now time.Duration) time.Duration {
	if !l.waiting {
		return 0
	}
	return now - l.since
}

// wait returns the expected time until a late flow starts that has ahead late flows before
// it. initial is the interval that is assumed before there is evidence.
func (l *lateStarts) wait(now time.Duration, ahead int, initial time.Duration) time.Duration {
	elapsed := l.elapsed(now)
	if l.interval.samples == 0 && elapsed <= initial {
		return time.Duration(ahead) * initial
	}
	interval := initial
	if l.interval.samples > 0 {
		interval = max(l.mean(now), min(initial, l.interval.value))
	}
	interval = max(interval, elapsed)
	return time.Duration(ahead+1) * interval
}

// routeStats are what is known of the requests of one route.
type routeStats struct {
	class   Class
	runTime average
	usedAt  time.Duration
	// openFlows is the number of flows of the route that are open at the upstream. further
	// counts their requests after the first one, with weights that decrease over _rateSpan,
	// as of furtherAt.
	openFlows int
	further   float64
	furtherAt time.Duration
}

// countFurther counts a request on an open flow.
func (r *routeStats) countFurther(now time.Duration) {
	r.further = r.furtherNow(now) + 1
	r.furtherAt = now
}

func (r *routeStats) furtherNow(now time.Duration) float64 {
	return r.further * math.Exp(-float64(now-r.furtherAt)/float64(_rateSpan))
}

// requestsPerFlow returns how many requests a flow of the route is expected to send within
// _rateHorizon after its first one.
func (r *routeStats) requestsPerFlow(now time.Duration) float64 {
	if r.further == 0 || r.openFlows == 0 {
		return 0
	}
	return r.furtherNow(now) * float64(_rateHorizon) / float64(_rateSpan) / float64(r.openFlows)
}

// routeTable holds the statistics of the routes that were used last.
type routeTable map[netip.AddrPort]*routeStats

// use returns the statistics of a route with the given class. If there are too many routes, it
// drops the one that was not used for the longest time.
func (t routeTable) use(now time.Duration, class Class) *routeStats {
	r, known := t[class.Route]
	if !known {
		if len(t) >= _maxRoutes {
			t.dropOldest()
		}
		r = new(routeStats)
		t[class.Route] = r
	}
	r.class, r.usedAt = class, now
	return r
}

func (t routeTable) dropOldest() {
	var oldest netip.AddrPort
	for route, r := range t {
		if o := t[oldest]; o == nil || r.usedAt < o.usedAt || r.usedAt == o.usedAt && route.Compare(oldest) < 0 {
			oldest = route
		}
	}
	delete(t, oldest)
}
