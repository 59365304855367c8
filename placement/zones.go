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
	// _refusalCost is the wait that costs a caller as much as the refusal of an offer. A refused
	// request is late or fails, so this is more than the target latencies of the routes.
	RefusalCost = time.Second
	// _refusalWeight is the weight of an offer in the fraction of refused offers of a zone.
	_refusalWeight = 0.01
	// _refusalMemory is the time constant with which the fraction decreases while no offer is answered, so
	// that a zone is tried again.
	_refusalMemory = 500 * time.Millisecond
)

// Zones are the costs of choices in each zone, learned by one process from the answers to its
// offers. It is not safe for concurrent use.
type Zones struct {
	own   string
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
	// cost is the cost of a choice at time costAt. costKnown is unset if costs have changed since.
	cost, costAt time.Duration
	costKnown    bool
}

// NewZones returns costs without samples for a process in the zone own.
func NewZones(own string) Zones { return Zones{own: own, zones: []zoneCosts{{name: own}}} }

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

// Accepted records that an offer to a sidecar in a zone was accepted. roundTrip is the time from the
// offer to its answer, or zero if the offer was passed on and another sidecar has answered.
func (z *Zones) Accepted(now time.Duration, zone int, roundTrip time.Duration) {
	c := &z.zones[zone]
	switch {
	case roundTrip <= 0:
	case c.roundTrip == 0:
		c.roundTrip = roundTrip
	default:
		c.roundTrip += time.Duration(_roundTripWeight * float64(roundTrip-c.roundTrip))
	}
	c.refused, c.answeredAt = (1-_refusalWeight)*z.refusedAt(now, zone), now
	z.dropCosts()
}

// Refused records that an offer to a sidecar in a zone was refused because the upstreams are overloaded.
func (z *Zones) Refused(now time.Duration, zone int) {
	c := &z.zones[zone]
	c.refused, c.answeredAt = (1-_refusalWeight)*z.refusedAt(now, zone)+_refusalWeight, now
	z.dropCosts()
}

// dropCosts discards the costs that were computed. The refusals of the own zone are part of all.
func (z *Zones) dropCosts() {
	for i := range z.zones {
		z.zones[i].costKnown = false
	}
}

// refusedAt returns the fraction of refused offers that is expected in a zone at time now. Without recent
// offers to another zone, it approaches that of the own zone.
func (z *Zones) refusedAt(now time.Duration, zone int) float64 {
	c := &z.zones[zone]
	age := math.Exp(-float64(now-c.answeredAt) / float64(_refusalMemory))
	if zone == 0 {
		return c.refused * age
	}
	own := z.refusedAt(now, 0)
	return own + (c.refused-own)*age
}

// Cost returns the cost of a choice in a zone. For another zone it includes the time that the crossing
// takes. The round trip within the own zone is subtracted, so that the delay of a busy
// process itself doesn't count.
func (z *Zones) Cost(now time.Duration, zone int) time.Duration {
	c := &z.zones[zone]
	if !c.costKnown || c.costAt != now {
		c.cost, c.costAt, c.costKnown = z.cost(now, zone), now, true
	}
	return c.cost
}

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
