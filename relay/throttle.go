package relay

import (
	"math/rand/v2"
	"time"
)

// A refusal costs a relay up to four offers and as many verdicts that return the packet, about
// 1 KB on its link, and the caller is back at once. When most openings of a priority are
// refused, the offers alone fill a small link, and flows of services with free capacity wait
// behind them. A relay therefore offers no more than _offersPerAccepted times as many openings
// of a service and priority as were accepted a short time ago, and resets the others at once.
// Which ones is drawn at random.
//
// It does so only while at least half of the eligible upstreams report that they have no
// capacity for the priority. When capacity returns, the next reports end the limit.
const (
	// _offersPerAccepted leaves sidecars a choice, and lets the number of accepted openings
	// grow if upstreams work faster than before.
	_offersPerAccepted = 2
	// _minOffers is the number of openings in each _throttleWindow that are offered in any
	// case, so that a relay notices that openings are accepted again.
	_minOffers = 2
	// _throttleWindow is the time for which openings are counted, in _throttleBuckets steps.
	// It is several times as long as the interval between two reports of a sidecar.
	_throttleWindow  = time.Second
	_throttleBuckets = 10
	// _maxThrottles bounds the services and priorities that are counted, of some 200 bytes
	// each.
	_maxThrottles = 64
)

// throttleKey identifies openings that are counted together.
type throttleKey struct {
	service  string
	priority int
}

// throttles counts the openings of each service and priority.
type throttles map[throttleKey]*throttle

// get returns the count of a service and priority, or nil if there are too many.
func (t throttles) get(service string, priority int) *throttle {
	key := throttleKey{service, priority}
	if known, ok := t[key]; ok {
		return known
	}
	if len(t) >= _maxThrottles {
		return nil
	}
	t[key] = &throttle{}
	return t[key]
}

// throttle counts the openings of one service and priority, and those that were accepted.
type throttle struct {
	buckets [_throttleBuckets]struct{ openings, accepted int }
	// current is the number of the latest bucket since the start of the process.
	current            int64
	openings, accepted int
}

// advance removes the buckets that are older than _throttleWindow.
func (t *throttle) advance(now time.Duration) {
	number := int64(now / (_throttleWindow / _throttleBuckets))
	for range min(number-t.current, _throttleBuckets) {
		t.current++
		b := &t.buckets[t.current%_throttleBuckets]
		t.openings -= b.openings
		t.accepted -= b.accepted
		*b = struct{ openings, accepted int }{}
	}
	t.current = number
}

// noteRefused counts an opening that was refused, by this relay or by the first sidecar to which
// it was offered.
func (t *throttle) noteRefused(now time.Duration) {
	t.advance(now)
	t.buckets[t.current%_throttleBuckets].openings++
	t.openings++
}

// noteAccepted counts an opening that a sidecar has accepted. refusedBefore is set if another
// sidecar has refused it, so that it is counted already.
func (t *throttle) noteAccepted(now time.Duration, refusedBefore bool) {
	if !refusedBefore {
		t.noteRefused(now)
	}
	t.buckets[t.current%_throttleBuckets].accepted++
	t.accepted++
}

// excess returns the share of the openings that are not worth an offer.
func (t *throttle) excess(now time.Duration) float64 {
	t.advance(now)
	return max(float64(t.openings-_offersPerAccepted*t.accepted-_minOffers)/float64(t.openings+1), 0)
}

// refuses reports whether an opening should be refused without an offer.
func (t *throttle) refuses(now time.Duration, r room, random *rand.Rand) bool {
	return t.limits(now, r) && random.Float64() < t.excess(now)
}

// limits reports whether openings are refused without an offer now.
func (t *throttle) limits(now time.Duration, r room) bool {
	return t != nil && r.mostlyWithout() && t.excess(now) > 0
}
