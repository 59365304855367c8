package sidecar

import "time"

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
	// _lateSlotShare is the fraction of the slots that late flows are assumed to get. It is
	// optimistic, since peaks pass and a flow should only be refused if it is certain to be
	// too late.
	_lateSlotShare = 0.5
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

// timings are a sidecar's estimates of how fast its upstream serves flows.
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

// addHandshake adds the handshake time of a flow whose caller has sent its request.
func (t *timings) addHandshake(f *flowState) {
	if f.deliveredAt > 0 && f.consented {
		t.handshakeTime.add(min(f.firstRequestAt-f.deliveredAt, _handshakeTimeout))
	}
}

// endInterval returns the mean interval between the ends of requests at full load.
func (t *timings) endInterval(slots int) time.Duration { return t.runTime.value / time.Duration(slots) }

// lateStartInterval returns the mean interval between the starts of late flows.
func (t *timings) lateStartInterval(slots int) time.Duration {
	return time.Duration(float64(t.endInterval(slots)) / _lateSlotShare)
}

// answerTime returns how long most flows take from the caller's first packet to the
// answer, without the wait for a slot.
func (t *timings) answerTime() time.Duration {
	return 2*t.handshakeTime.value + time.Duration(_maxRunTimeFactor*float64(t.runTime.value))
}
