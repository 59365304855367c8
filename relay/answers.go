package relay

import "time"

// answerTime estimates how long sidecars take to answer offers, as TCP does its
// round-trip time (RFC 6298). It includes the time that answers wait for this
// relay to read them, so that a relay that is busy does not blame sidecars.
type answerTime struct {
	mean, deviation time.Duration
	// since is when this process last went on after it was held up.
	since time.Duration
}

// took notes the time of one answer.
func (a *answerTime) took(t time.Duration) {
	if a.mean == 0 {
		a.mean, a.deviation = t, t/2
		return
	}
	a.deviation += ((t - a.mean).Abs() - a.deviation) / 4
	a.mean += (t - a.mean) / 8
}

// heldUp notes that the process did nothing for a while.
func (a *answerTime) heldUp(now time.Duration) { a.since = now }

// timeout returns how long an answer may take.
func (a *answerTime) timeout() time.Duration {
	return min(max(a.mean+4*a.deviation, _minOfferTimeout), _maxOfferTimeout)
}
