package relay_test

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/directory"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/placement"
	"dandelionhitch.example/relay"
)

// Parameters of the played load. They follow the deployment P of
// docs/design/priority-admission.md at half of its size, with its interval of reports.
const (
	_playedRelays   = 12
	_playedSidecars = 24
	_playedSlots    = 2
	_playedTarget   = 200 * time.Millisecond
	_playedTimeout  = 2 * time.Second
	_playedMaxWait  = 1200 * time.Millisecond
	_playedRunTime  = 15 * time.Millisecond
	// A share of _playedLongShare of the requests takes _playedLongFactor times as long.
	_playedLongShare, _playedLongFactor = 0.03, 7
	_playedMeanRunTime                  = time.Duration(1.18 * float64(_playedRunTime))
	_playedHandshake                    = 6 * time.Millisecond
	_playedAnswerTime                   = 2*_playedHandshake + 3*_playedMeanRunTime/2
	_playedRetryDelay                   = 10 * time.Millisecond
	_playedCallerLatency                = 3 * time.Millisecond
	_playedPeerLatency                  = time.Millisecond
	_playedReportInterval               = 300 * time.Millisecond
	_playedPeerInterval                 = 150 * time.Millisecond
	_playedRoutes                       = 3 // of the priorities 0 to 2
)

// playedShares are the shares of the routes in the load, by priority.
var _playedShares = [_playedRoutes]float64{0, 0.25, 0.75}

// unservedPolicy is what sidecars do with flows that they can't serve in time.
type unservedPolicy int

const (
	refuseOverloaded unservedPolicy = iota // refuse them unless they are offered as a last resort, as sidecar does
	refuseAtOnce                           // refuse them
	serveLate                              // serve them as long as callers wait
	dropUnserved                           // leave them without an answer
)

// playedConfig describes a played load.
type playedConfig struct {
	enabled bool
	// loads are the loads of successive periods, relative to the capacity.
	loads  []float64
	period time.Duration
	// older is the number of sidecars of a build that reports no capacity by priority.
	older int
	// lost is the share of lost reports.
	lost float64
	// staleFrom is when relay 0 ceases to receive reports, or zero if it doesn't.
	staleFrom time.Duration
	policy    unservedPolicy
}

// playedLoad plays the callers and sidecars of one service against relays on a virtual clock.
type playedLoad struct {
	playedConfig
	// arrivals draws the requests, so that loads with one seed have the same requests.
	arrivals, random *rand.Rand
	now              time.Duration
	events           playedEvents
	sequence         int
	relays           []*playedRelay
	sidecars         []*playedSidecar
	requests         []*playedRequest
	// slotTime is the time for which slots were in use, by period.
	slotTime []time.Duration
	// messages counts the messages between processes other than reports, and refusals those of
	// them that tell other relays of refused callers.
	messages, refusals int
}

// playedEvent is something that happens at a time.
type playedEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type playedEvents []playedEvent

func (e playedEvents) Len() int { return len(e) }
func (e playedEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].sequence, e[j].sequence)) < 0
}
func (e playedEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *playedEvents) Push(x any)   { *e = append(*e, x.(playedEvent)) }
func (e *playedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// playedRequest is a request of a caller, which tries up to three times.
type playedRequest struct {
	id, priority, tries int
	began, work         time.Duration
	// endedAt is when the caller got its answer or its last refusal, or zero.
	endedAt  time.Duration
	answered bool
}

func (r *playedRequest) inTime() bool { return r.answered && r.endedAt-r.began <= _playedTarget }

// playedRelay is a relay whose messages are delivered after a delay.
type playedRelay struct {
	*relay.Core
	load *playedLoad
	addr netip.Addr
}

// playedWire encodes the number of the request, the try and the priority.
type playedWire struct{}

func (playedWire) Decode(b []byte) (flow.Packet, error) {
	if len(b) != 6 {
		return flow.Packet{}, errShort
	}
	return flow.Packet{
		Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), 1000+uint16(b[4])),
		Destination: playedAddress(int(b[5])), Flags: flow.SYN, Seq: 10,
	}, nil
}

func (playedWire) AppendReset(b []byte, key flow.Key, _ uint32) []byte {
	caller := key.Caller.Addr().As4()
	return append(append(b, caller[:]...), byte(key.Caller.Port()-1000), 0)
}

func playedAddress(priority int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(priority)}), 443)
}

func (r *playedRelay) ToCaller(_ netip.Addr, b []byte) {
	id := int(binary.BigEndian.Uint32(b))
	r.load.after(_playedCallerLatency, func() { r.load.refused(r.load.requests[id]) })
}

func (r *playedRelay) ToPeer(addr netip.Addr, b []byte) {
	message := slices.Clone(b)
	index := int(addr.As4()[3])
	toSidecar, isReport := addr.As4()[2] == 1, peer.Kind(b[0]) == peer.KindRelay
	if !isReport {
		r.load.messages++
	}
	if peer.Kind(b[0]) == peer.KindRefusal {
		r.load.refusals++
	}
	r.load.after(_playedPeerLatency, func() {
		switch {
		case !toSidecar:
			r.load.relays[index].PeerMessage(r.load.now, message)
		case peer.Kind(message[0]) == peer.KindOffer:
			r.load.sidecars[index].offer(message)
		}
	})
}

func (*playedRelay) LogDecision(decision.Record)              {}
func (*playedRelay) LogBelief(decision.Belief)                {}
func (*playedRelay) ObserveSpan(decision.Span, time.Duration) {}

// playedFlow is a flow at a sidecar.
type playedFlow struct {
	request                  *playedRequest
	key                      flow.Key
	origin                   netip.Addr
	targetStart, latestStart time.Duration
}

// playedSidecar decides as a sidecar does whose callers open a flow for each request.
type playedSidecar struct {
	load       *playedLoad
	addr       netip.Addr
	older      bool
	inProgress int // delivered flows that were not answered yet
	executing  int
	waiting    []*playedFlow
	requests   []*playedFlow // requests that wait in the upstream for a slot
	// reported is the last report to relays, and peerBusy the load last reported to peers.
	reported            peer.UpstreamReport
	reportedAt, peersAt time.Duration
	peerBusy            int
}

func playLoad(seed uint64, config playedConfig) *playedLoad {
	l := &playedLoad{
		playedConfig: config, arrivals: rand.New(rand.NewPCG(seed, 1)), random: rand.New(rand.NewPCG(seed, 2)), slotTime: make([]time.Duration, len(config.loads)),
	}
	var routes []directory.Route
	for priority := range _playedRoutes {
		routes = append(routes, directory.Route{
			Address: playedAddress(priority), Shares: []directory.Share{{Service: "orders", Weight: 1}},
			TargetLatency: _playedTarget, Timeout: _playedTimeout, Priority: priority,
		})
	}
	for i := range _playedRelays {
		r := &playedRelay{load: l, addr: netip.AddrFrom4([4]byte{10, 1, 0, byte(i)})}
		r.Core = relay.NewCore(relay.Identity{Addr: r.addr, Zone: "a", Incarnation: 1}, playedWire{}, r, 100_000,
			rand.New(rand.NewPCG(seed, uint64(3+i))), relay.WithPriorityAdmission(config.enabled))
		r.SetTable(0, directory.New(1, 0, routes), "test")
		l.relays = append(l.relays, r)
	}
	for i := range _playedSidecars {
		s := &playedSidecar{load: l, addr: netip.AddrFrom4([4]byte{10, 1, 1, byte(i)}), older: i < config.older}
		s.reported = peer.UpstreamReport{Sidecar: s.addr, Incarnation: 1, Service: "orders", Zone: "a", State: peer.Ready, Slots: _playedSlots}
		l.sidecars = append(l.sidecars, s)
	}
	addrs := make([]netip.Addr, 0, _playedRelays)
	for _, r := range l.relays {
		addrs = append(addrs, r.addr)
	}
	for _, r := range l.relays {
		r.AddRelays(0, addrs)
	}
	l.tick()
	l.at(_playedStart, l.arrive)
	end := _playedStart + time.Duration(len(config.loads))*config.period + _playedTimeout
	for len(l.events) > 0 && l.events[0].at < end {
		e := heap.Pop(&l.events).(playedEvent)
		l.now = e.at
		e.do()
	}
	return l
}

// _playedStart is when the load begins, after the startup period of the relays.
const _playedStart = 5 * time.Second

func (l *playedLoad) at(at time.Duration, do func()) {
	l.sequence++
	heap.Push(&l.events, playedEvent{at: at, sequence: l.sequence, do: do})
}

func (l *playedLoad) after(d time.Duration, do func()) { l.at(l.now+d, do) }

func (l *playedLoad) tick() {
	for _, r := range l.relays {
		r.Tick(l.now)
	}
	for _, s := range l.sidecars {
		s.update()
	}
	l.after(20*time.Millisecond, l.tick)
}

// periodAt returns the number of the period at a time, or -1 if there is none.
func (l *playedLoad) periodAt(at time.Duration) int {
	i := int((at - _playedStart) / l.period)
	if at < _playedStart || i >= len(l.loads) {
		return -1
	}
	return i
}

// arrive begins a request and schedules the next one.
func (l *playedLoad) arrive() {
	period := l.periodAt(l.now)
	if period < 0 {
		return
	}
	r := &playedRequest{id: len(l.requests), began: l.now}
	r.work = time.Duration((0.7 + 0.6*l.arrivals.Float64()) * float64(_playedRunTime))
	if l.arrivals.Float64() < _playedLongShare {
		r.work *= _playedLongFactor
	}
	for point := l.arrivals.Float64(); r.priority < _playedRoutes-1 && point >= _playedShares[r.priority]; r.priority++ {
		point -= _playedShares[r.priority]
	}
	l.requests = append(l.requests, r)
	l.try(r)
	interval := float64(_playedMeanRunTime) / (_playedSidecars * _playedSlots) / l.loads[period]
	l.after(time.Duration(l.arrivals.ExpFloat64()*interval), l.arrive)
}

// try sends the opening packet of a request's next flow to any relay.
func (l *playedLoad) try(r *playedRequest) {
	packet := append(binary.BigEndian.AppendUint32(nil, uint32(r.id)), byte(r.tries), byte(r.priority))
	r.tries++
	to := l.relays[l.random.IntN(len(l.relays))]
	l.after(_playedCallerLatency, func() { to.CallerPacket(l.now, packet) })
}

// refused lets a caller try again, or give up after its second retry.
func (l *playedLoad) refused(r *playedRequest) {
	if r.tries < 3 && l.now-r.began+_playedRetryDelay < _playedTimeout {
		l.after(_playedRetryDelay, func() { l.try(r) })
		return
	}
	r.endedAt = l.now
}

// load returns how many flows precede a new one of a priority.
func (s *playedSidecar) ahead(priority int) int {
	ahead := s.inProgress
	for _, f := range s.waiting {
		if s.load.now < f.targetStart && f.request.priority <= priority {
			ahead++
		}
	}
	return ahead
}

func (s *playedSidecar) busy() int { return s.ahead(_playedRoutes) }

func (s *playedSidecar) expectedWait(ahead int) time.Duration {
	return time.Duration(max(ahead-_playedSlots, 0)) * _playedMeanRunTime / _playedSlots
}

// offer handles an offer of a relay or a peer.
func (s *playedSidecar) offer(message []byte) {
	m, err := peer.DecodeCarried(message)
	if err != nil {
		panic(err)
	}
	if s.inProgress >= _playedSlots && m.Hops < 2 {
		var peers []placement.Candidate
		var sidecars []*playedSidecar
		for _, p := range s.load.sidecars {
			if p != s {
				peers = append(peers, placement.Candidate{Busy: p.peerBusy, Slots: _playedSlots, SameZone: true})
				sidecars = append(sidecars, p)
			}
		}
		if best := placement.PassOn(placement.Candidate{Busy: s.busy(), Slots: _playedSlots, SameZone: true}, peers, s.load.random); best >= 0 {
			sidecars[best].peerBusy++
			m.Hops++
			passed := m.Append(nil)
			s.load.messages++
			s.load.after(_playedPeerLatency, func() { sidecars[best].offer(passed) })
			return
		}
	}
	header, _ := playedWire{}.Decode(m.Packet)
	f := &playedFlow{request: s.load.requests[binary.BigEndian.Uint32(m.Packet)], key: header.FromCaller(), origin: m.Origin}
	arrived := s.load.now - m.Waited
	f.targetStart, f.latestStart = arrived+_playedTarget-_playedAnswerTime, arrived+_playedMaxWait
	switch s.load.policy {
	case refuseAtOnce:
		f.latestStart = f.targetStart
	case serveLate:
		f.latestStart = arrived + _playedTimeout
	}
	if s.inProgress > _playedSlots && !s.accepts(f, m.LastResort) {
		if s.load.policy != dropUnserved {
			s.answer(f, peer.Overloaded, m.Packet)
			return
		}
	} else {
		s.waiting = append(s.waiting, f)
	}
	s.answer(f, peer.Accepted, nil)
	s.update()
}

// accepts reports whether a flow may wait.
func (s *playedSidecar) accepts(f *playedFlow, lastResort bool) bool {
	wait := s.expectedWait(s.ahead(f.request.priority))
	if s.load.now+wait <= f.targetStart || s.load.policy == serveLate {
		return true
	}
	late := len(s.waiting) - (s.busy() - s.inProgress)
	return s.load.policy == refuseOverloaded && lastResort && s.load.now+s.expectedWait(s.busy())+time.Duration(late)*_playedMeanRunTime <= f.latestStart
}

func (s *playedSidecar) answer(f *playedFlow, outcome peer.Outcome, packet []byte) {
	v := peer.Verdict{
		Outcome: outcome, Sidecar: s.addr, Flow: f.key, Busy: uint16(s.busy()), Slots: _playedSlots, Version: 1, Packet: packet,
	}.Append(nil)
	s.load.messages++
	s.load.after(_playedPeerLatency, func() { s.load.relays[f.origin.As4()[3]].PeerMessage(s.load.now, v) })
}

// update delivers flows to the upstream, refuses those that are too late, and reports.
func (s *playedSidecar) update() {
	now := s.load.now
	s.waiting = slices.DeleteFunc(s.waiting, func(f *playedFlow) bool {
		tooLate := now > f.latestStart
		if tooLate {
			s.answer(f, peer.Ended, nil)
			s.load.after(_playedCallerLatency, func() { s.load.refused(f.request) })
		}
		return tooLate
	})
	slices.SortStableFunc(s.waiting, func(a, b *playedFlow) int {
		lateA, lateB := now >= a.targetStart, now >= b.targetStart
		switch {
		case lateA && !lateB:
			return 1
		case lateB && !lateA:
			return -1
		}
		return cmp.Or(cmp.Compare(a.request.priority, b.request.priority), cmp.Compare(a.targetStart, b.targetStart))
	})
	for len(s.waiting) > 0 {
		f := s.waiting[0]
		if s.inProgress > _playedSlots || s.inProgress >= _playedSlots && now >= f.targetStart {
			break
		}
		s.waiting = s.waiting[1:]
		s.inProgress++
		s.load.after(_playedHandshake, func() {
			s.requests = append(s.requests, f)
			s.run()
		})
	}
	s.report()
}

// run starts requests while slots are free.
func (s *playedSidecar) run() {
	for len(s.requests) > 0 && s.executing < _playedSlots {
		f := s.requests[0]
		s.requests = s.requests[1:]
		s.executing++
		if period := s.load.periodAt(s.load.now); period >= 0 {
			s.load.slotTime[period] += f.request.work
		}
		s.load.after(f.request.work, func() {
			s.executing--
			s.inProgress--
			s.load.after(_playedCallerLatency, func() {
				if s.load.now-f.request.began < _playedTimeout {
					f.request.answered, f.request.endedAt = true, s.load.now
				}
			})
			s.run()
			s.update()
		})
	}
}

// noRoomFrom returns the value of peer.UpstreamReport.NoRoomFrom.
func (s *playedSidecar) noRoomFrom() uint8 {
	for priority := range _playedRoutes {
		if s.inProgress > _playedSlots && s.expectedWait(s.ahead(priority)) > _playedTarget-_playedAnswerTime {
			return uint8(priority + 1)
		}
	}
	return 0
}

// report sends a report to relays and peers if one is due.
func (s *playedSidecar) report() {
	now, r := s.load.now, s.reported
	if now-s.peersAt >= _playedPeerInterval {
		s.peersAt, s.peerBusy = now, s.busy()
	}
	r.Busy, r.RunTime = uint16(s.busy()), uint16(_playedMeanRunTime/peer.RunTimeUnit)
	if !s.older {
		r.NoRoomFrom = s.noRoomFrom()
	}
	if since := now - s.reportedAt; r.Sequence > 0 && (since < _playedReportInterval || r == s.reported && since < time.Second) {
		return
	}
	r.Sequence++
	s.reported, s.reportedAt = r, now
	b, err := peer.AppendUpstream(nil, r)
	if err != nil {
		panic(err)
	}
	for i, to := range s.load.relays {
		if s.load.random.Float64() < s.load.lost || i == 0 && s.load.staleFrom > 0 && now >= s.load.staleFrom {
			continue
		}
		s.load.after(_playedPeerLatency, func() { to.PeerMessage(s.load.now, b) })
	}
}

// playedResult is what callers of one period got.
type playedResult struct {
	requests              [_playedRoutes]int
	inTime, late, refused [_playedRoutes]float64 // shares
	slotsInUse            float64
	offersPerRequest      float64
	noRoom, probes        uint64
}

// answered returns the share of the requests of a priority that were answered.
func (r playedResult) answered(priority int) float64 { return r.inTime[priority] + r.late[priority] }

// result returns what the callers of a period got.
func (l *playedLoad) result(period int) playedResult {
	var out playedResult
	for _, r := range l.requests {
		if l.periodAt(r.began) != period {
			continue
		}
		out.requests[r.priority]++
		switch {
		case r.inTime():
			out.inTime[r.priority]++
		case r.answered:
			out.late[r.priority]++
		default:
			out.refused[r.priority]++
		}
	}
	for p, n := range out.requests {
		out.inTime[p] /= float64(max(n, 1))
		out.late[p] /= float64(max(n, 1))
		out.refused[p] /= float64(max(n, 1))
	}
	out.slotsInUse = l.slotTime[period].Seconds() / l.period.Seconds() / (_playedSidecars * _playedSlots)
	offers := uint64(0)
	for _, r := range l.relays {
		counts := r.Counts()
		offers += counts.Offers
		out.noRoom += counts.NoRoom
		out.probes += counts.Probes
	}
	out.offersPerRequest = float64(offers) / float64(len(l.requests))
	return out
}

// TestPlayedLoad compares relays with and without the setting under overload, after which the
// load falls. It guards against relays that leave slots free or let the load oscillate between
// upstreams because reports are delayed, lost, stale or absent, against less important flows that
// take capacity from important ones, and against a priority that stays excluded.
func TestPlayedLoad(t *testing.T) {
	// The first period of the overload fills the queues, and in the first after it they are
	// worked off.
	const overload, after = 1, 3
	faults := []struct {
		name string
		playedConfig
	}{
		{name: "all well"},
		{"half of the sidecars of an older build", playedConfig{older: _playedSidecars / 2}},
		{"half of the reports lost", playedConfig{lost: 0.5}},
		{"a relay with a stale state", playedConfig{staleFrom: _playedStart + time.Second}},
	}
	for _, load := range []float64{0.7, 0.95, 1.3, 2.5} {
		for _, fault := range faults {
			t.Run(fmt.Sprintf("load %v, %s", load, fault.name), func(t *testing.T) {
				config := fault.playedConfig
				if testing.Short() && (load < 2.5 || fault.older > 0 || fault.lost > 0) {
					t.Skip("short tests, which look for data races, play the highest load only")
				}
				config.loads, config.period = []float64{load, load, 0.7, 0.7}, time.Second
				without := playLoad(1, config)
				config.enabled = true
				with := playLoad(1, config)
				was, is := without.result(overload), with.result(overload)
				t.Logf("without: %+v", was)
				t.Logf("with:    %+v", is)
				t.Logf("after: without %v, with %v", without.result(after).inTime, with.result(after).inTime)
				if load == 0.7 {
					assert.Equal(t, is, was)
					return
				}
				assert.Assert(t, math.Abs(is.slotsInUse-was.slotsInUse) <= 0.03)
				assert.Assert(t, is.inTime[1] >= 0.97, "requests of priority 1 fit into the capacity")
				assert.Assert(t, is.answered(2) > 0.9*was.answered(2), "slots serve priority 2 as far as they are free")
				assert.Assert(t, with.result(after).inTime[2] >= without.result(after).inTime[2]-0.01, "priority 2 stays excluded")
			})
		}
	}
}

// BenchmarkUnserved plays loads above the capacity to relays with the setting, and to sidecars that
// refuse at once what they can't serve in time, serve it late, or leave it without an answer. It measures
// what callers get, how long those wait for the outcome who are not served in time, and the
// messages between processes that a request takes. A late answer counts 0.2.
func BenchmarkUnserved(b *testing.B) {
	const lateValue = 0.2
	policies := []struct {
		name string
		unservedPolicy
	}{{"refused", refuseAtOnce}, {"late", serveLate}, {"no answer", dropUnserved}}
	for _, load := range []float64{1.3, 2.5} {
		for _, policy := range policies {
			b.Run(fmt.Sprintf("%s/load %v", policy.name, load), func(b *testing.B) {
				var l *playedLoad
				for b.Loop() {
					l = playLoad(1, playedConfig{enabled: true, loads: []float64{load}, period: 4 * time.Second, policy: policy.unservedPolicy})
				}
				var value, inTime, late, wait, unserved float64
				for _, r := range l.requests {
					took := _playedTimeout
					if r.endedAt > 0 {
						took = min(took, r.endedAt-r.began)
					}
					switch {
					case r.inTime():
						inTime++
						value++
						continue
					case r.answered:
						late++
						value += lateValue
					}
					unserved++
					wait += took.Seconds()
				}
				requests := float64(len(l.requests))
				b.ReportMetric(value/requests, "value/request")
				b.ReportMetric(inTime/requests, "in-time/request")
				b.ReportMetric(late/requests, "late/request")
				b.ReportMetric(1000*wait/max(unserved, 1), "ms-until-unserved-know")
				b.ReportMetric(float64(l.messages)/requests, "messages/request")
				b.ReportMetric(float64(l.refusals)/requests, "refusal-messages/request")
			})
		}
	}
}
