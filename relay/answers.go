package relay

import "time"

// rttEstimator estimates a round-trip time as TCP does (RFC 6298). For the answers of
// sidecars to offers, the measured times include the time that an answer waits in
// this relay's socket, so that a busy relay allows for its own delay and does not
// consider sidecars unresponsive.
type rttEstimator struct {
	mean, deviation time.Duration
	// resumedAt is when this process last resumed after a stall.
	resumedAt time.Duration
}

// observe adds the round-trip time of one offer to the estimate.
func (e *rttEstimator) observe(t time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = t, t/2
		return
	}
	e.deviation += ((t - e.mean).Abs() - e.deviation) / 4
	e.mean += (t - e.mean) / 8
}

// noteStall records that the process did not run for a while and resumed at now. The
// timeout of an offer that was sent earlier then starts again.
func (e *rttEstimator) noteStall(now time.Duration) { e.resumedAt = now }

// timeout returns how long to wait for the answer to an offer.
func (e *rttEstimator) timeout() time.Duration {
	return e.bounded(_minOfferTimeout, _minOfferTimeout, _maxOfferTimeout)
}

// bounded returns the time that almost all round trips take, between lower and upper, or
// initial if none was observed.
func (e *rttEstimator) bounded(initial, lower, upper time.Duration) time.Duration {
	if e.mean == 0 {
		return initial
	}
	return min(max(e.mean+4*e.deviation, lower), upper)
}
