package distribution

import "time"

const (
	// _initialTimeout is the timeout of a request before any answer has been measured: several
	// scheduling rounds of a slow process. Later timeouts are between _minTimeout, which is two
	// ticks, and _maxTimeout.
	_initialTimeout = 150 * time.Millisecond
	_minTimeout     = 40 * time.Millisecond
	_maxTimeout     = time.Second
	// A new measurement enters the mean and the deviation with weights of 1/_meanDivisor and
	// 1/_deviationDivisor. The timeout is the mean plus _deviationFactor deviations (RFC 6298).
	_meanDivisor      = 8
	_deviationDivisor = 4
	_deviationFactor  = 4
)

// roundTrip estimates the round-trip time of a request to a holder.
type roundTrip struct{ mean, deviation time.Duration }

// observe adds a measured round-trip time to the estimate.
func (r *roundTrip) observe(d time.Duration) {
	if r.mean == 0 {
		r.mean, r.deviation = d, d/2
		return
	}
	r.deviation += (max(r.mean-d, d-r.mean) - r.deviation) / _deviationDivisor
	r.mean += (d - r.mean) / _meanDivisor
}

// timeout returns how long to wait for an answer.
func (r *roundTrip) timeout() time.Duration {
	if r.mean == 0 {
		return _initialTimeout
	}
	return min(max(r.mean+_deviationFactor*r.deviation, _minTimeout), _maxTimeout)
}
