package placement

import (
	"math"
	"time"
)

// Bounds of the measured round trip to another zone, and the weights of zone costs.
const (
	// The upper bound excludes most of the time for which answers wait in the socket of a busy relay.
	_minRoundTrip = 200 * time.Microsecond
	_maxRoundTrip = 20 * time.Millisecond
	// _defaultRoundTrip is assumed until a round trip to a zone was measured.
	_defaultRoundTrip = 2 * time.Millisecond
	// _roundTripWeight is the weight of a sample in a round-trip time, as in TCP (RFC 6298).
	_roundTripWeight = 1.0 / 8
	// _crossingRoundTrips is the number of round trips between zones that a flow with one request takes:
	// one for the handshake and one for the request.
	_crossingRoundTrips = 2
	// _crossingPrice is the factor by which the time of a crossing counts, since packets between zones
	// cost the operator money.
	_crossingPrice = 2
	// RefusalCost is the wait that costs a caller as much as the refusal of an offer. A refused
	// request is late or fails, so this is more than the target latencies of the routes. Waits alone
	// don't show which zone has capacity in an overload: queues are then as long as the targets allow
	// in all zones.
	RefusalCost = time.Second
	// _refusalWeight is the weight of an offer in the fraction of refused offers of a zone. With 0.05, a few
	// refusals by chance moved all new flows to another zone.
	_refusalWeight = 0.01
	// _ownMemory is the time constant with which the fraction of the own zone decreases while no offer to it
	// is answered, so that it is tried again. The fraction of another zone approaches that of the own one,
	// multiplied by _untriedFactor, with the time constant _otherMemory: a process whose own zone
	// refuses many offers tries others, and one whose own zone refuses few doesn't. A time
	// constant of 0.5 s discards samples before the next offer to another zone.
	_ownMemory     = 500 * time.Millisecond
	_otherMemory   = 3 * time.Second
	_untriedFactor = 0.8
)

// Zones are the costs of choices in each zone, learned by one process from the answers to its
// offers. It is not safe for concurrent use.
type Zones struct {
	// zones are the known zones, that of the process first.
	zones []zoneCosts
}

// zoneCosts is what is learned of one zone.
type zoneCosts struct {
	name string
	// roundTrip is the mean time from an offer to its answer, or zero if there was none.
	roundTrip time.Duration
	// refused is the fraction of refused offers, at the time answeredAt of the last answer.
	refused    float64
	answeredAt time.Duration
	// cost is the cost of a choice at time costAt. costKnown is unset if samples have changed since.
	cost, costAt time.Duration
	costKnown    bool
}

// NewZones returns costs without samples for a process in the zone own.
func NewZones(own string) Zones { return Zones{zones: []zoneCosts{{name: own}}} }

// Index returns the index of a zone, that of the process's own zone being 0. It adds the zone if
// it isn't known. Zones above a limit share one index.
func (z *Zones) Index(name string) int {
	for i := range z.zones {
		if z.zones[i].name == name {
			return i
		}
	}
	if len(z.zones) < _maxZones {
		z.zones = append(z.zones, zoneCosts{name: name})
	}
	return len(z.zones) - 1
}

// Answered records that a sidecar in a zone has answered an offer. roundTrip is the time from the
// offer to its answer.
func (z *Zones) Answered(zone int, roundTrip time.Duration) {
	c := &z.zones[zone]
	if c.roundTrip == 0 {
		c.roundTrip = roundTrip
	}
	c.roundTrip += time.Duration(_roundTripWeight * float64(roundTrip-c.roundTrip))
	z.dropCosts()
}

// Accepted records that the first offer of a flow, to a sidecar in a zone, was accepted. Offers of
// flows that were refused elsewhere don't count: they have less time left and are refused more
// often.
func (z *Zones) Accepted(now time.Duration, zone int) {
	c := &z.zones[zone]
	c.refused, c.answeredAt = (1-_refusalWeight)*z.refusedAt(now, zone), now
	z.dropCosts()
}

// Refused records that the first offer of a flow, to a sidecar in a zone, was refused because the
// upstreams are overloaded.
func (z *Zones) Refused(now time.Duration, zone int) {
	c := &z.zones[zone]
	c.refused, c.answeredAt = (1-_refusalWeight)*z.refusedAt(now, zone)+_refusalWeight, now
	z.dropCosts()
}

// dropCosts discards the costs that were computed. The samples of the own zone are part of all.
func (z *Zones) dropCosts() {
	for i := range z.zones {
		z.zones[i].costKnown = false
	}
}

// refusedAt returns the fraction of refused offers that is expected in a zone at time now.
func (z *Zones) refusedAt(now time.Duration, zone int) float64 {
	c := &z.zones[zone]
	if zone == 0 {
		return c.refused * math.Exp(-float64(now-c.answeredAt)/float64(_ownMemory))
	}
	untried := _untriedFactor * z.refusedAt(now, 0)
	return untried + (c.refused-untried)*math.Exp(-float64(now-c.answeredAt)/float64(_otherMemory))
}

// Cost returns the cost of a choice in a zone at time now. It includes the time that a crossing to
// another zone takes, and what refusals cost.
func (z *Zones) Cost(now time.Duration, zone int) time.Duration {
	c := &z.zones[zone]
	if !c.costKnown || c.costAt != now {
		c.cost, c.costAt, c.costKnown = z.cost(now, zone), now, true
	}
	return c.cost
}

// cost computes the cost of a choice in a zone. The round trip within the own zone is subtracted
// from that of a crossing, so that the delay of a busy process itself doesn't count.
func (z *Zones) cost(now time.Duration, zone int) time.Duration {
	c := &z.zones[zone]
	cost := time.Duration(z.refusedAt(now, zone) * float64(RefusalCost))
	if zone == 0 {
		return cost
	}
	roundTrip := _defaultRoundTrip
	if c.roundTrip > 0 {
		roundTrip = min(max(c.roundTrip-z.zones[0].roundTrip, _minRoundTrip), _maxRoundTrip)
	}
	return cost + _crossingRoundTrips*_crossingPrice*roundTrip
}
