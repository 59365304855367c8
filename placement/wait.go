package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

// Choice by the expected wait: the cost of a candidate is the expected time until its answer
// begins, plus the cost of crossing to its zone. Other than a share of slots, a time can be compared
// between upstreams with different run times, and with the time that a crossing takes.
const (
	// _maxZones bounds the zones that are told apart. Deployments have up to five zones.
	_maxZones = 16
	// _runTimeWeight is the weight of the run time against the expected wait. A request that runs longer
	// at a slow upstream occupies a slot that others use less, and most are still answered in
	// time, so its run time counts less than a wait.
	_runTimeWeight = 0.3
	// _freshAge is the age up to which a reported load counts in full, about the interval of reports in a fleet of
	// 50 sidecars. An older one counts less, and the mean load of the upstream's zone more. With a shorter
	// age, an upstream that has just refused a flow was soon offered the next one, and the more
	// important flows that fit into the capacity were served late.
	_freshAge = time.Second
	// _loadVariance is the variance of the number of requests that arrive at an upstream or end there
	// between a report and the arrival of an offer. An upstream with a free slot by its last report
	// therefore has a short expected wait.
	_loadVariance = 1
	// _waitJitter is the range of a random cost as a fraction of the expected wait, and
	// _runTimeJitter of one as a fraction of the run time. They are less than the difference
	// between a free slot and none, so that a free slot is always preferred.
	_waitJitter    = 0.1
	_runTimeJitter = 0.1
	// _runTimeShrinkage is the weight of the mean run time of all candidates against the reported
	// run time of one. A run time is a mean of about 20 requests, whose standard error due to
	// rare long requests is about the spread among healthy upstreams.
	_runTimeShrinkage = 0.5
	// _passOnRunTimes is by how many run times the answer of a peer must be earlier than that of
	// the local upstream for a flow to be passed on. It has the same reasons as _passOnMargin.
	_passOnRunTimes = 0.25
	// _visitorFactor is by how much the expected wait of a flow from another zone is multiplied
	// when a sidecar decides whether to pass it on, so that visitors leave before the
	// flows of the own zone. With 1.2, the callers of a zone with three times the load of others had a
	// fraction in time that was lower by 0.12 at a load of 1.3, as visitors were passed back.
	_visitorFactor = 1.05
)

// NormalSlowdown is the slowdown of an upstream that was compared with its peers and isn't slow.
const NormalSlowdown = 100

// fleetMeans are the means over a set of candidates.
type fleetMeans struct {
	// runTime is the mean run time of candidates that aren't known to be slow.
	runTime float64
	// utilization is the mean load by zone as a fraction of the slots, and may exceed 1.
	utilization [_maxZones]float64
	// own is the index of the zone of the process that chooses, or -1 if no candidate is in it, and
	// others are the zones of the other candidates.
	own        int
	others     [_maxZones]int
	otherCount int
}

// means returns the means over candidates. known is false if the run time of any is unknown.
func means(candidates []Candidate) (m fleetMeans, known bool) {
	var busy, slots [_maxZones]int
	var all, healthy float64
	healthyCount := 0
	m.own = -1
	for i := range candidates {
		c := &candidates[i]
		if c.RunTime <= 0 {
			return m, false
		}
		all += float64(c.RunTime)
		if c.Slowdown <= NormalSlowdown {
			healthy += float64(c.RunTime)
			healthyCount++
		}
		zone := c.zone()
		busy[zone] += c.Reported
		switch {
		case c.SameZone:
			m.own = zone
		case slots[zone] == 0:
			m.others[m.otherCount] = zone
			m.otherCount++
		}
		slots[zone] += max(c.Slots, 1)
	}
	m.runTime = all / float64(len(candidates))
	if healthyCount > 0 {
		m.runTime = healthy / float64(healthyCount)
	}
	for zone := range slots {
		if slots[zone] > 0 {
			m.utilization[zone] = float64(busy[zone]) / float64(slots[zone])
		}
	}
	return m, true
}

// zone returns the index of the candidate's zone, below _maxZones.
func (c *Candidate) zone() int { return min(max(c.Zone, 0), _maxZones-1) }

// expect returns the expected run time of a new request at the candidate and its expected wait
// for a slot, in nanoseconds.
func (c *Candidate) expect(m *fleetMeans) (runTime, wait float64) {
	runTime = float64(c.RunTime)
	if c.Slowdown > NormalSlowdown {
		runTime = max(runTime, m.runTime*float64(c.Slowdown)/NormalSlowdown)
	} else {
		runTime += _runTimeShrinkage * (m.runTime - runTime)
	}
	slots := float64(max(c.Slots, 1))
	busy := float64(c.Busy)
	if c.Age > _freshAge {
		usual := m.utilization[c.zone()] * slots
		busy = usual + (busy-usual)*float64(_freshAge)/float64(c.Age)
	}
	return runTime, runTime / slots * expectedExcess(busy+1-slots)
}

// zoneCost returns the cost of a choice in the candidate's zone in nanoseconds. A crossing costs no less than with
// Choose, also where it takes little time: traffic between zones would else increase while there is no need for it.
func (c *Candidate) zoneCost(m *fleetMeans) float64 {
	if c.SameZone {
		return float64(c.ZoneCost)
	}
	return max(float64(c.ZoneCost), _crossZoneCost*m.runTime)
}

// expectedExcess returns the expected number of requests that must end before a new one starts,
// if the last report leads to that number, which is negative if it leaves slots free.
func expectedExcess(excess float64) float64 {
	return (excess + math.Sqrt(excess*excess+_loadVariance)) / 2
}

// ChooseByWait returns the index of the candidate with the lowest expected time until the answer,
// or -1 if there are no candidates. If the run time of a candidate is unknown, it chooses as
// Choose does.
func ChooseByWait(candidates []Candidate, random *rand.Rand) int {
	m, known := means(candidates)
	if !known {
		return Choose(candidates, random)
	}
	best, _ := m.choose(candidates, random)
	return best
}

// choose returns the index and the cost, without jitter, of the candidate with the lowest cost.
// The index is -1 if there are no candidates. It considers the own zone and one other, drawn at
// random: all processes of a zone learn much the same about other zones, and would all choose the same one until
// reports of its load arrive.
func (m *fleetMeans) choose(candidates []Candidate, random *rand.Rand) (best int, cost float64) {
	best = -1
	lowest := 0.0
	drawnZone := -1
	if m.own >= 0 && m.otherCount > 1 {
		drawnZone = m.others[random.IntN(m.otherCount)]
	}
	for i := range candidates {
		c := &candidates[i]
		if drawnZone >= 0 && !c.SameZone && c.zone() != drawnZone {
			continue
		}
		runTime, wait := c.expect(m)
		mean := _runTimeWeight*runTime + wait + c.zoneCost(m)
		drawn := mean + (_waitJitter*wait+_runTimeJitter*runTime)*random.Float64()
		if best < 0 || drawn < lowest {
			best, lowest, cost = i, drawn, mean
		}
	}
	return best, cost
}

// PassOnByWait returns the index of the peer that should get a new flow instead of the sidecar's
// local upstream, or -1 if the local upstream should get it. A local upstream with a free slot gets
// the flow unless it is slow. visitor is set if the flow comes from another zone than the local
// one: it then leaves before flows of the own zone do. If a run time is unknown,
// PassOnByWait decides as PassOn does.
func PassOnByWait(local Candidate, peers []Candidate, visitor bool, random *rand.Rand) int {
	free := local.Busy < local.Slots
	if free && local.Slowdown <= NormalSlowdown || len(peers) == 0 {
		return -1
	}
	m, known := means(peers)
	if !known || local.RunTime <= 0 {
		return PassOn(local, peers, random)
	}
	runTime, wait := local.expect(&m)
	if visitor && !free {
		wait *= _visitorFactor
	}
	best, cost := m.choose(peers, random)
	if cost+_passOnRunTimes*m.runTime > _runTimeWeight*runTime+wait {
		return -1
	}
	return best
}

// AnswersSooner reports whether a peer with free slots is expected to answer a flow sooner than the
// local upstream at which the flow waits.
func AnswersSooner(peer, local Candidate) bool {
	if peer.RunTime <= 0 || local.RunTime <= 0 {
		return true
	}
	peers := [...]Candidate{peer}
	m, _ := means(peers[:])
	peerRun, peerWait := peer.expect(&m)
	localRun, localWait := local.expect(&m)
	return _runTimeWeight*peerRun+peerWait+peer.zoneCost(&m) < _runTimeWeight*localRun+localWait
}
