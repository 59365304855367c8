package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionhitch.example/placement"
)

// played is a load on one service that is played on a virtual clock: callers, relays that choose
// by delayed reports and by the answers to their offers, sidecars that queue, pass on and
// refuse requests, and their upstreams.
type played struct {
	zones, relays, hosts int
	runTime, target      time.Duration
	// oneWay is the latency between zones, and callers that between a caller and its zone.
	oneWay, callers time.Duration
	// load is the offered work as a fraction of the capacity, and weights are the zones' shares of it.
	load    float64
	weights []float64
	// slow is the fraction of upstreams that are _slowFactor times as slow, and long the fraction
	// of requests that take _longFactor times as long.
	slow, long float64
	// byWait is set for the choice by the expected wait, and unset for that by utilization.
	byWait bool
	seed   uint64
}

const (
	_playedSlots = 2
	_playedFrom  = time.Second
	_playedUntil = 9 * time.Second
	_slowFactor  = 4
	_longFactor  = 7
	// _relayInterval and _peerInterval are the intervals of reports at 52 sidecars.
	_relayInterval  = time.Second
	_peerInterval   = 200 * time.Millisecond
	_inZoneLatency  = 100 * time.Microsecond
	_nearNeighbours = 12
	_farNeighbours  = 4
	_playedWindow   = 200 * time.Millisecond
)

// playedRequest is a request of a caller.
type playedRequest struct {
	zone, relay int
	began, work time.Duration
	// waited is the time from the arrival at the relay that the last message told, and arrived the time of that
	// arrival as the sidecar computes it.
	waited, arrived time.Duration
	hops            int
	lastResort      bool
	// refusedZone is the zone of the sidecar that has refused the request, if lastResort is set.
	refusedZone int
	// tried are the upstreams to which the relay has offered the request.
	tried []int
}

// seen is what a process knows of an upstream.
type seen struct {
	busy, reported, slowdown int
	runTime, at              time.Duration
	known                    bool
}

type playedHost struct {
	zone       int
	factor     float64
	busy       int
	waiting    []*playedRequest
	runTime    time.Duration
	samples    int
	slowdown   placement.Slowdown
	zones      placement.Zones
	peers      []seen
	neighbours []int
	reported   int
	reportedAt time.Duration
}

func (h *playedHost) load() int { return h.busy + len(h.waiting) }

type playedEvent struct {
	at    time.Duration
	order int
	run   func()
}

type playedHeap []playedEvent

func (h playedHeap) Len() int { return len(h) }
func (h playedHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h playedHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *playedHeap) Push(e any)   { *h = append(*h, e.(playedEvent)) }
func (h *playedHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// playing is the state of a load that is played.
type playing struct {
	played
	now        time.Duration
	events     playedHeap
	order      int
	random     *rand.Rand
	hosts      []*playedHost
	views      [][]seen          // of each relay, of each host
	zonesOf    []placement.Zones // of each relay
	candidates []placement.Candidate
	indexes    []int
	arrived    []*playedRequest
	results    playedResults
}

// playedResults are the results for requests that began from _playedFrom on.
type playedResults struct {
	all, inTime []int // by zone of the caller
	offers      int
	crossings   [][]int // offers by zone of the relay and zone of the upstream
	// windows are the offers of the relays of the last zone to each zone, by spans of _playedWindow.
	windows [][]int
	// bySlow counts the requests that ran at slow upstreams, and slowInTime those in time.
	bySlow, slowInTime int
	// detected counts the slow upstreams that were detected, and falseAlarms the others.
	detected, falseAlarms int
	// oracle is the fraction in time with one central queue.
	oracle float64
	// away counts the requests that ran in another zone than the caller's.
	away int
}

func (r playedResults) fraction(zone int) float64 {
	return float64(r.inTime[zone]) / float64(max(r.all[zone], 1))
}

// spread returns the difference between the best and the worst zone.
func (r playedResults) spread() float64 {
	worst, best := 1.0, 0.0
	for zone := range r.all {
		worst, best = min(worst, r.fraction(zone)), max(best, r.fraction(zone))
	}
	return best - worst
}

func (r playedResults) total() float64 {
	all, inTime := 0, 0
	for zone := range r.all {
		all, inTime = all+r.all[zone], inTime+r.inTime[zone]
	}
	return float64(inTime) / float64(all)
}

// crossed returns the number of offers to another zone.
func (r playedResults) crossed() int {
	n := 0
	for from, row := range r.crossings {
		for to, count := range row {
			if from != to {
				n += count
			}
		}
	}
	return n
}

func (r playedResults) String() string {
	s := fmt.Sprintf("in time %.4f, oracle %.4f, zones", r.total(), r.oracle)
	for zone := range r.all {
		s += fmt.Sprintf(" %.4f", r.fraction(zone))
	}
	return s + fmt.Sprintf(", %d offers, %d crossings, %d ran in another zone, %d at slow (%d in time), %d detected, %d false",
		r.offers, r.crossed(), r.away, r.bySlow, r.slowInTime, r.detected, r.falseAlarms)
}

// play plays the load.
func (l played) play() playedResults {
	p := &playing{played: l, random: rand.New(rand.NewPCG(l.seed, 7))}
	for i := range l.hosts {
		h := &playedHost{zone: i % l.zones, zones: placement.NewZones(fmt.Sprint(i % l.zones)), factor: 1, runTime: 20 * time.Millisecond, peers: make([]seen, l.hosts)}
		// The slow upstreams are spread over the zones as evenly as the others.
		if int(float64(i/l.zones+1)*l.slow) > int(float64(i/l.zones)*l.slow) {
			h.factor = _slowFactor
		}
		p.hosts = append(p.hosts, h)
	}
	for i, h := range p.hosts {
		far := 0
		for step := 1; step < l.hosts; step++ {
			j := (i + step) % l.hosts
			if p.hosts[j].zone == h.zone && len(h.neighbours)-far < _nearNeighbours {
				h.neighbours = append(h.neighbours, j)
			} else if p.hosts[j].zone != h.zone && far < _farNeighbours {
				far++
				h.neighbours = append(h.neighbours, j)
			}
		}
		p.at(time.Duration(p.random.Int64N(int64(_peerInterval))), func() { p.reportToPeers(i) })
		p.at(time.Duration(p.random.Int64N(int64(_relayInterval))), func() { p.reportToRelays(i) })
	}
	for i := range l.relays {
		p.views = append(p.views, make([]seen, l.hosts))
		p.zonesOf = append(p.zonesOf, placement.NewZones(fmt.Sprint(i%l.zones)))
	}
	r := &p.results
	r.all, r.inTime = make([]int, l.zones), make([]int, l.zones)
	for range l.zones {
		r.crossings = append(r.crossings, make([]int, l.zones))
	}
	for range int(_playedUntil/_playedWindow) + 10 {
		r.windows = append(r.windows, make([]int, l.zones))
	}
	p.at(0, p.nextCall)
	for len(p.events) > 0 && p.now < _playedUntil+2*time.Second {
		e := heap.Pop(&p.events).(playedEvent)
		p.now = e.at
		e.run()
	}
	for _, h := range p.hosts {
		if h.slowdown.MaxPercent(p.now) > placement.NormalSlowdown && h.factor == 1 {
			r.falseAlarms++
		}
	}
	r.oracle = p.oracle()
	return *r
}

func (p *playing) at(at time.Duration, run func()) {
	p.order++
	heap.Push(&p.events, playedEvent{at, p.order, run})
}

// capacity returns the number of requests per second that the upstreams can run.
func (p *playing) capacity() float64 {
	slots := 0.0
	for _, h := range p.hosts {
		slots += _playedSlots / h.factor
	}
	return slots / (p.runTime.Seconds() * (1 + p.long*(_longFactor-1)))
}

func (p *playing) nextCall() {
	zone, drawn := 0, p.random.Float64()
	for zone < p.zones-1 && drawn >= p.weights[zone] {
		drawn -= p.weights[zone]
		zone++
	}
	r := &playedRequest{zone: zone, began: p.now, work: time.Duration(float64(p.runTime) * (0.5 + p.random.Float64()))}
	if p.random.Float64() < p.long {
		r.work *= _longFactor
	}
	// The relays of a zone have indexes that are equal to the zone modulo the number of zones.
	r.relay = zone + p.zones*p.random.IntN(p.relays/p.zones)
	p.arrived = append(p.arrived, r)
	if p.counts(r) {
		p.results.all[zone]++
	}
	p.at(p.now+p.callers, func() { p.offer(r) })
	if next := p.now + time.Duration(p.random.ExpFloat64()*float64(time.Second)/(p.load*p.capacity())); next < _playedUntil {
		p.at(next, p.nextCall)
	}
}

func (p *playing) counts(r *playedRequest) bool { return r.began >= _playedFrom }

func (p *playing) latency(a, b int) time.Duration {
	if a%p.zones == b%p.zones {
		return _inZoneLatency
	}
	return p.oneWay
}

// candidate returns what a process in a zone knows of a host as a candidate.
func (p *playing) candidate(zones *placement.Zones, zone, host int, s seen) placement.Candidate {
	c := placement.Candidate{Busy: s.busy, Slots: _playedSlots, SameZone: p.hosts[host].zone == zone}
	if p.byWait {
		c.Zone, c.RunTime, c.Slowdown, c.Age, c.Reported = p.hosts[host].zone, s.runTime, s.slowdown, p.now-s.at, s.reported
		c.ZoneCost = zones.Cost(p.now, zones.Index(fmt.Sprint(c.Zone)))
	}
	return c
}

func (p *playing) choose() int {
	var best int
	if p.byWait {
		best = placement.ChooseByWait(p.candidates, p.random)
	} else {
		best = placement.Choose(p.candidates, p.random)
	}
	if best < 0 {
		return -1
	}
	return p.indexes[best]
}

// offer offers a request to an upstream that its relay chooses.
func (p *playing) offer(r *playedRequest) {
	p.candidates, p.indexes = p.candidates[:0], p.indexes[:0]
	for i, s := range p.views[r.relay] {
		if s.known && !slices.Contains(r.tried, i) {
			c := p.candidate(&p.zonesOf[r.relay], r.zone, i, s)
			if r.lastResort && p.byWait && p.hosts[i].zone == r.refusedZone {
				c.ZoneCost += placement.RefusalCost
			}
			p.candidates, p.indexes = append(p.candidates, c), append(p.indexes, i)
		}
	}
	host := p.choose()
	if host < 0 {
		return
	}
	r.tried = append(r.tried, host)
	r.waited = p.now - r.began - p.callers
	p.views[r.relay][host].busy++
	if p.counts(r) {
		p.results.offers++
		p.results.crossings[r.zone][p.hosts[host].zone]++
		if r.zone == p.zones-1 {
			p.results.windows[p.now/_playedWindow][p.hosts[host].zone]++
		}
	}
	p.at(p.now+p.latency(r.relay, host), func() { p.receive(host, r) })
}

// own returns what a sidecar knows of its own upstream.
func (p *playing) own(host, zone int) seen {
	h := p.hosts[host]
	return seen{busy: h.load(), reported: h.load(), runTime: h.runTime, slowdown: h.slowdown.Percent(p.now, fmt.Sprint(zone)), at: p.now, known: true}
}

// receive handles an offer at a sidecar.
func (p *playing) receive(host int, r *playedRequest) {
	h := p.hosts[host]
	r.arrived = p.now - r.waited
	if r.hops < 3 {
		if to := p.betterPeer(host, r); to >= 0 {
			r.hops++
			h.peers[to].busy++
			p.at(p.now+p.latency(host, to), func() { p.receive(to, r) })
			return
		}
	}
	answer := p.latency(host, r.relay)
	noteLoad := func(load int) {
		s := &p.views[r.relay][host]
		s.busy, s.at = load, p.now
	}
	if h.busy >= _playedSlots {
		wait := time.Duration(h.load()-_playedSlots+1) * h.runTime / _playedSlots
		if p.now+wait > p.latestStart(h, r) {
			load := h.load()
			p.at(p.now+answer, func() {
				noteLoad(load)
				zones := &p.zonesOf[r.relay]
				r.refusedZone = p.hosts[r.tried[len(r.tried)-1]].zone
				if !r.lastResort {
					zones.Refused(p.now, zones.Index(fmt.Sprint(r.refusedZone)))
				}
				p.refused(r)
			})
			return
		}
		h.waiting = append(h.waiting, r)
	} else {
		p.start(host, r)
	}
	load := h.load()
	p.at(p.now+answer, func() {
		noteLoad(load)
		zones, chosen := &p.zonesOf[r.relay], r.tried[len(r.tried)-1]
		zone := zones.Index(fmt.Sprint(p.hosts[chosen].zone))
		if host == chosen {
			zones.Answered(zone, 2*answer)
		}
		if !r.lastResort {
			zones.Accepted(p.now, zone)
		}
	})
}

// latestStart returns when a request must start to be answered in time, unless it takes long.
func (p *playing) latestStart(h *playedHost, r *playedRequest) time.Duration {
	return r.arrived + p.target - h.runTime*3/2 - 4*p.callers
}

func (p *playing) betterPeer(host int, r *playedRequest) int {
	h := p.hosts[host]
	p.candidates, p.indexes = p.candidates[:0], p.indexes[:0]
	for i, s := range h.peers {
		if s.known && i != host {
			p.candidates, p.indexes = append(p.candidates, p.candidate(&h.zones, h.zone, i, s)), append(p.indexes, i)
		}
	}
	local := p.candidate(&h.zones, h.zone, host, p.own(host, r.zone))
	var to int
	if p.byWait {
		to = placement.PassOnByWait(local, p.candidates, r.zone != h.zone, p.random)
	} else {
		to = placement.PassOn(local, p.candidates, p.random)
	}
	if to < 0 {
		return -1
	}
	return p.indexes[to]
}

// refused handles a refusal at a relay: the request is offered once more, to another upstream.
func (p *playing) refused(r *playedRequest) {
	if r.lastResort {
		return
	}
	r.lastResort, r.hops = true, 0
	p.offer(r)
}

// start runs a request.
func (p *playing) start(host int, r *playedRequest) {
	h := p.hosts[host]
	h.busy++
	took := time.Duration(float64(r.work) * h.factor)
	p.at(p.now+took, func() {
		h.busy--
		h.samples++
		h.runTime += time.Duration(max(0.05, 1/float64(h.samples+1)) * float64(took-h.runTime))
		h.slowdown.Add(p.now, fmt.Sprint(r.zone), took, p.usual(h))
		if h.slowdown.MaxPercent(p.now) > placement.NormalSlowdown && h.factor > 1 && h.samples > 0 {
			p.results.detected++
			h.samples = -1 << 30 // counted once
		}
		// The handshake before the run, and the answer, travel between caller and upstream.
		ended := p.now + 3*p.callers + 3*p.latency(r.zone, host)
		if p.counts(r) {
			inTime := ended-r.began <= p.target
			if r.zone != h.zone {
				p.results.away++
			}
			if inTime {
				p.results.inTime[r.zone]++
			}
			if h.factor > 1 {
				p.results.bySlow++
				if inTime {
					p.results.slowInTime++
				}
			}
		}
		p.startWaiting(host)
	})
}

// usual returns the median run time of the peers.
func (p *playing) usual(h *playedHost) time.Duration {
	var times []time.Duration
	for _, s := range h.peers {
		if s.known {
			times = append(times, s.runTime)
		}
	}
	if len(times) < 3 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// startWaiting starts waiting requests, and tells overloaded peers if a slot stays free.
func (p *playing) startWaiting(host int) {
	h := p.hosts[host]
	for len(h.waiting) > 0 && h.busy < _playedSlots {
		r := h.waiting[0]
		h.waiting = h.waiting[1:]
		if p.now <= p.latestStart(h, r) { // A late request is refused.
			p.start(host, r)
			continue
		}
	}
	if h.busy >= _playedSlots {
		return
	}
	var overloaded []int
	for i, s := range h.peers {
		if s.known && s.busy > _playedSlots+1 {
			overloaded = append(overloaded, i)
		}
	}
	for range min(2, len(overloaded)) {
		from := overloaded[p.random.IntN(len(overloaded))]
		h.peers[from].busy--
		s := p.own(host, p.hosts[from].zone)
		p.at(p.now+p.latency(host, from), func() { p.passWaiting(from, host, s) })
	}
}

// passWaiting passes waiting requests to a peer that has reported free slots.
func (p *playing) passWaiting(from, to int, s seen) {
	h := p.hosts[from]
	h.peers[to] = s
	for free := _playedSlots - s.busy; free > 0 && len(h.waiting) > 0; free-- {
		if p.byWait && !placement.AnswersSooner(p.candidate(&h.zones, h.zone, to, s), p.candidate(&h.zones, h.zone, from, p.own(from, h.zone))) {
			return
		}
		r := h.waiting[0]
		h.waiting = h.waiting[1:]
		r.hops++
		r.waited = p.now - r.arrived
		p.at(p.now+p.latency(from, to), func() { p.receive(to, r) })
	}
}

func (p *playing) reportToPeers(host int) {
	h := p.hosts[host]
	if h.reported != h.load() || p.now-h.reportedAt >= 3*_peerInterval {
		h.reported, h.reportedAt = h.load(), p.now
		for _, to := range h.neighbours {
			s := p.own(host, p.hosts[to].zone)
			p.at(p.now+p.latency(host, to), func() {
				s.at = p.now
				p.hosts[to].peers[host] = s
			})
		}
	}
	p.at(p.now+_peerInterval, func() { p.reportToPeers(host) })
}

func (p *playing) reportToRelays(host int) {
	for relay := range p.views {
		s := p.own(host, relay%p.zones)
		p.at(p.now+p.latency(relay, host), func() {
			s.at = p.now
			p.views[relay][host] = s
		})
	}
	p.at(p.now+_relayInterval, func() { p.reportToRelays(host) })
}

// oracle returns the fraction in time with one central queue, which gives the oldest request that can
// still be answered in time to the fastest free slot, and knows run times only by their means.
func (p *playing) oracle() float64 {
	type slot struct {
		free   time.Duration
		factor float64
	}
	var slots []slot
	for _, h := range p.hosts {
		for range _playedSlots {
			slots = append(slots, slot{factor: h.factor})
		}
	}
	all, inTime := 0, 0
	for _, r := range p.arrived {
		if p.counts(r) {
			all++
		}
		best, earliest := -1, time.Duration(0)
		for i, s := range slots {
			start := max(s.free, r.began+p.callers)
			end := start + time.Duration(1.5*float64(p.runTime)*s.factor)
			if best < 0 || end < earliest {
				best, earliest = i, end
			}
		}
		if earliest+3*p.callers-r.began > p.target {
			continue
		}
		s := &slots[best]
		s.free = max(s.free, r.began+p.callers) + time.Duration(float64(r.work)*s.factor)
		if p.counts(r) && s.free+3*p.callers-r.began <= p.target {
			inTime++
		}
	}
	return float64(inTime) / float64(all)
}
