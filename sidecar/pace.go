package sidecar

import "time"

// Weights and first values of what a sidecar learns of its upstream's pace.
const (
	// _paceWeight is the weight of a new time in an average.
	_averageWeight = 0.05
	// _firstRun and _firstHandshake are the averages before any time is known: those
	// of a short request, and of a caller in the same region.
	_initialRunTime       = 20 * time.Millisecond
	_initialHandshakeTime = 4 * time.Millisecond
	// _runVariation is how many times the mean most requests of one kind run at most.
	_maxRunTimeFactor = 1.5
	// _lateShare is the part of the slots that late flows are reckoned to get: a crest
	// passes, and a refusal must be sure.
	_lateSlotShare = 0.5
)

// average is an exponentially weighted mean. Its first values count for more, so
// that it soon leaves the value that it begins with.
type average struct {
	value   time.Duration
	samples int
}

func (a *average) add(d time.Duration) {
	a.samples++
	weight := max(_averageWeight, 1/float64(a.samples+1))
	a.value += time.Duration(weight * float64(d-a.value))
}

// pace is how fast an upstream works off flows, as its sidecar has seen it.
type timings struct {
	// run is how long a request takes in a slot.
	runTime average
	// handshake is how long a caller takes from the opening packet's arrival at the
	// upstream to its request.
	handshakeTime average
}

func newTimings() timings {
	return timings{runTime: average{value: _initialRunTime}, handshakeTime: average{value: _initialHandshakeTime}}
}

// ran notes how long a request took while so many were in progress. Those beyond
// the slots wait at the upstream, which is not the time that a request runs.
func (p *timings) addRun(took time.Duration, busy, slots int) {
	p.runTime.add(took * time.Duration(slots) / time.Duration(max(busy, slots)))
}

// opened notes that the caller of a flow has sent its request.
func (p *timings) addHandshake(f *flowState) {
	if f.deliveredAt > 0 && f.consented {
		p.handshakeTime.add(min(f.firstRequestAt-f.deliveredAt, _handshakeTimeout))
	}
}

// between returns the mean time between two ends of requests at full load.
func (p *timings) departureInterval(slots int) time.Duration {
	return p.runTime.value / time.Duration(slots)
}

// betweenLate returns the mean time between two starts of late flows.
func (p *timings) lateStartInterval(slots int) time.Duration {
	return time.Duration(float64(p.departureInterval(slots)) / _lateSlotShare)
}

// answer returns how long most flows take from a caller's first packet to the
// answer, beside what they wait for a slot.
func (p *timings) answerTime() time.Duration {
	return 2*p.handshakeTime.value + time.Duration(_maxRunTimeFactor*float64(p.runTime.value))
}
