package limit_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/limit"
	"dandelionhitch.example/settings"
)

const (
	_hosts         = 3
	_drainDeadline = 30 * time.Minute
)

// _testPace has a floor term that a test's time can pass.
func _testPace() limit.Pace {
	pace := limit.DefaultPace()
	pace.FloorTerm = 3 * time.Hour
	return pace
}

// world is the oracle: it knows the true time, all that the store ever held,
// and every run's flows, and adds up.
type simulation struct {
	t             assert.TestingT
	pace          limit.Pace
	now           time.Duration
	store         []limit.ReadDone
	delayedWrites []limit.Write
	outage        bool
	limitsHistory []limit.Limits
	hosts         []*host
	gone          map[limit.Run]bool
	runCount      uint32
	// constant says that the operator does not change the limit, so that the
	// bound on open flows is tight.
	constantLimits bool
}

// host is one address with the run that is alive there, if any.
type host struct {
	run        limit.Run
	holder     *limit.Holder
	monoOffset time.Duration
	wallOffset time.Duration
	clockRate  float64
	// freezes says that its monotonic clock stands still in a pause; else its
	// wall clock may be set back.
	monoStops   bool
	paused      bool
	partitioned bool
	flows       int
	limits      limit.Limits
	// silent is how long since the last write of the run took effect, without
	// outages, in which others cannot see that it is silent.
	silent time.Duration
	// outlived are its flows that were open when the drain deadline had passed.
	flowsPastDrain int
	// answer is under way to the run and arrives at due, lag after the call.
	answer   limit.Event
	answerAt time.Duration
	latency  time.Duration
	// fate befalls the run's calls while it works.
	outcome outcome
}

func newRandomSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, pace: _testPace(), store: make([]limit.ReadDone, 1), gone: make(map[limit.Run]bool)}
	w.constantLimits = rapid.Bool().Draw(t, "constant")
	w.changeLimits(t)
	for range _hosts {
		h := &host{
			monoOffset: time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "mono")),
			wallOffset: time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "wall")),
			clockRate:  rapid.SampledFrom([]float64{0.98, 1, 1.02}).Draw(t, "rate"),
			monoStops:  rapid.Bool().Draw(t, "freezes"),
		}
		w.hosts = append(w.hosts, h)
		w.start(h)
	}
	return w
}

// newPlainWorld returns hosts with exact clocks. The limits' revision is 1.
func newExactSimulation(t assert.TestingT, pace limit.Pace, seed uint32, hosts int, limits limit.Limits) *simulation {
	w := &simulation{t: t, pace: pace, store: make([]limit.ReadDone, 1), runCount: seed}
	w.limitsHistory = append(w.limitsHistory, limits)
	for range hosts {
		h := &host{clockRate: 1}
		w.hosts = append(w.hosts, h)
		w.start(h)
	}
	return w
}

func (w *simulation) start(h *host) {
	w.runCount++
	address := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:443", w.index(h)+1))
	h.run = limit.Run{Address: address, Incarnation: 7, Nonce: w.runCount}
	h.holder = limit.NewHolder(w.clock(h), h.run, w.pace, uint64(w.runCount))
	h.flows, h.answer, h.silent, h.flowsPastDrain = 0, nil, 0, 0
	h.latency, h.outcome = 0, _answered
	h.limits = w.latestLimits()
	h.holder.SetLimits(w.clock(h), h.limits)
}

func (w *simulation) index(h *host) int {
	for i, other := range w.hosts {
		if other == h {
			return i
		}
	}
	return len(w.hosts)
}

func (w *simulation) latestLimits() limit.Limits { return w.limitsHistory[len(w.limitsHistory)-1] }

// clock reads the host's clocks, which differ from the true time.
func (w *simulation) clock(h *host) limit.Instant {
	return limit.Instant{
		Mono: h.monoOffset + time.Duration(float64(w.now)*h.clockRate),
		Wall: h.wallOffset + w.now,
	}
}

func (w *simulation) advance(d time.Duration) {
	w.now += d
	for _, h := range w.hosts {
		if h.paused && h.monoStops {
			h.monoOffset -= time.Duration(float64(d) * h.clockRate)
		}
	}
	if !w.outage {
		w.addSilence(d)
	}
}

// silence counts time in which others may see that a run is silent, at most
// what two looks take, because in between there has to be another look.
func (w *simulation) addSilence(d time.Duration) {
	for _, h := range w.hosts {
		h.silent += min(d, 2*w.pace.Poll)
		if h.silent >= w.pace.Term+_drainDeadline {
			h.flowsPastDrain = h.flows
		}
	}
}

func (w *simulation) endOutage() {
	if w.outage {
		w.addSilence(w.pace.Poll * 2)
	}
	w.outage = false
}

// accept is the operator's change of the limits.
func (w *simulation) changeLimits(t *rapid.T) {
	w.limitsHistory = append(w.limitsHistory, limit.Limits{
		Revision:         settings.Revision(len(w.limitsHistory) + 1),
		Flows:            rapid.SampledFrom([]int{0, 1, 7, 24, 100, 997}).Draw(t, "flows"),
		FlowsPerUpstream: 1 << 20,
		MaxHosts:         rapid.IntRange(1, _hosts+1).Draw(t, "max hosts"),
		DrainDeadline:    settings.Duration(_drainDeadline),
	})
}

// put is the store's conditional update. Decoding checks that the share adds up.
func (w *simulation) put(write limit.Write) bool {
	before := w.store[len(w.store)-1]
	if write.Expected != before.Version {
		return false
	}
	value, err := json.Marshal(write.Share)
	assert.NilError(w.t, err)
	after := limit.ReadDone{Version: before.Version + 1}
	assert.NilError(w.t, json.Unmarshal(value, &after.Share))
	w.store = append(w.store, after)
	for _, h := range w.hosts {
		old, _ := before.Share.Entry(h.run)
		entry, _ := after.Share.Entry(h.run)
		if entry.Seq > old.Seq {
			h.silent = 0
		}
	}
	return true
}

// fate is what becomes of a call.
type outcome int

const (
	_answered outcome = iota
	_refused
	_lost
	_delayed
	_stale
)

// act lets one run take its next action, with the fate that befalls it.
func (w *simulation) act(h *host, o outcome) bool {
	if h.answer != nil && w.now < h.answerAt {
		return false
	}
	if h.answer != nil {
		h.holder.Handle(w.clock(h), h.answer)
		h.answer = nil
		return true
	}
	h.answerAt = w.now + h.latency
	if w.outage || h.partitioned {
		o = _refused
	}
	switch a := h.holder.Act(w.clock(h), func(r limit.Run) bool { return w.gone[r] }).(type) {
	case limit.Read:
		h.answer = w.answerRead(o)
	case limit.Write:
		h.answer = w.answerWrite(a, o)
	default:
		return false
	}
	return true
}

func (w *simulation) answerRead(o outcome) limit.Event {
	version := len(w.store) - 1
	switch o {
	case _refused, _lost:
		return limit.Failed{}
	case _stale:
		version = max(0, version-1)
	}
	return w.store[version]
}

func (w *simulation) answerWrite(write limit.Write, o outcome) limit.Event {
	switch o {
	case _refused:
		return limit.Failed{}
	case _delayed:
		w.delayedWrites = append(w.delayedWrites, write)
		return limit.Failed{}
	}
	applied := w.put(write)
	switch {
	case o == _lost:
		return limit.Failed{}
	case !applied:
		return limit.Failed{Conflict: true}
	default:
		return limit.WriteDone{Version: w.store[len(w.store)-1].Version}
	}
}

// settle lets the runs that are not paused act for d, while each tries to have
// as many flows as demanded.
func (w *simulation) runFor(d time.Duration, demand func(*host) int) {
	const tick = 20 * time.Second
	for end := w.now + d; w.now < end; w.advance(tick) {
		w.deliverDelayedWrite()
		w.step(demand)
		w.check()
	}
}

// work lets each run that is not paused do what is due, and then admit flows.
func (w *simulation) step(demand func(*host) int) {
	for _, h := range w.hosts {
		for h.holder != nil && !h.paused && w.act(h, h.outcome) {
		}
	}
	for _, h := range w.hosts {
		for h.holder != nil && !h.paused && h.flows < demand(h) && w.admit(h) {
		}
	}
}

// missing is how many of the demanded flows are not open.
func (w *simulation) unmetFlows(demand func(*host) int) (flows int) {
	for _, h := range w.hosts {
		flows += demand(h) - h.flows
	}
	return flows
}

// land lets the oldest late write reach the store.
func (w *simulation) deliverDelayedWrite() {
	if len(w.delayedWrites) > 0 {
		w.put(w.delayedWrites[0])
		w.delayedWrites = w.delayedWrites[1:]
	}
}

func (w *simulation) admit(h *host) bool {
	_, err := h.holder.TryAdmit(w.clock(h))
	if err == nil {
		h.flows++
	}
	return err == nil
}

func (w *simulation) release(h *host, flows int) {
	for range min(flows, h.flows) {
		h.holder.Release()
		h.flows--
	}
}

// check adds up what all runs may admit and what they have open.
func (w *simulation) check() {
	largestKnown, largestEver, open := 0, 0, 0
	allowed, allowedPart := 0, 0.0
	for _, limits := range w.limitsHistory {
		largestEver = max(largestEver, limits.Flows)
	}
	for _, h := range w.hosts {
		if h.holder == nil {
			continue
		}
		snapshot := h.holder.Snapshot(w.clock(h))
		assert.Assert(w.t, snapshot.FlowLimit <= h.limits.Flows)
		assert.Equal(w.t, snapshot.Open, h.flows)
		largestKnown = max(largestKnown, snapshot.FlowLimit)
		allowed += snapshot.Allowed
		if snapshot.FlowLimit > 0 {
			allowedPart += float64(snapshot.Allowed) / float64(snapshot.FlowLimit)
		}
		h.flowsPastDrain = min(h.flowsPastDrain, h.flows)
		open += h.flows - h.flowsPastDrain
	}
	assert.Assert(w.t, allowed <= largestKnown, "%d flows allowed, limit %d", allowed, largestKnown)
	assert.Assert(w.t, allowedPart < 1+1e-9, "%f of the limit allowed", allowedPart)
	assert.Assert(w.t, open <= largestEver, "%d flows open, limit never above %d", open, largestEver)
}
