package limit_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/limit"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
)

const (
	_hosts         = 3
	_drainDeadline = 30 * time.Minute
)

// testPace returns the default pace with a floor term short enough to lapse in a
// test.
func testPace() limit.Pace {
	pace := limit.DefaultPace()
	pace.FloorTerm = 3 * time.Hour
	return pace
}

// simulation is a place with several hosts and one store on a virtual clock. It
// knows the true time, all versions of the Share and every run's flows, and
// checks the guarantees of the package against them.
type simulation struct {
	t    assert.TestingT
	pace limit.Pace
	now  time.Duration
	// store has all versions of the Share, the latest last.
	store []limit.ReadDone
	// delayedWrites have not reached the store yet.
	delayedWrites []limit.Write
	outage        bool
	epoch         platform.Epoch
	// allLimits has all limits that the operator set, the latest last.
	allLimits []limit.Limits
	hosts     []*host
	// gone has the runs that are confirmed gone.
	gone     map[limit.Run]bool
	runCount uint32
	// constantLimits says that the operator does not change the limits, so that
	// the number of open flows is compared with the limit in force.
	constantLimits bool
}

// host is one address and its live run; holder is nil if the host has no live run.
type host struct {
	run        limit.Run
	holder     *limit.Holder
	monoOffset time.Duration
	wallOffset time.Duration
	clockRate  float64
	// monoStops says that the monotonic clock stops during a pause. Otherwise,
	// the wall clock may be set back.
	monoStops   bool
	paused      bool
	partitioned bool
	flows       int
	// limits are the latest limits that the run knows.
	limits limit.Limits
	// silent is the time since the last write of the run took effect, except for
	// outages, in which other runs cannot observe its silence.
	silent time.Duration
	// flowsPastDrain is the number of flows that were open when the drain deadline
	// passed and still are.
	flowsPastDrain int
	// answer is the pending answer to the run's call. It arrives at answerAt,
	// which is latency after the call.
	answer   limit.Event
	answerAt time.Duration
	latency  time.Duration
	// outcome is the outcome of the calls that the method step makes for the run.
	outcome outcome
}

// newRandomSimulation returns a simulation of hosts with random clocks and limits.
func newRandomSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, pace: testPace(), store: make([]limit.ReadDone, 1), gone: make(map[limit.Run]bool)}
	sim.constantLimits = rapid.Bool().Draw(t, "constant")
	sim.changeLimits(t)
	for range _hosts {
		h := &host{
			monoOffset: time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "mono")),
			wallOffset: time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "wall")),
			clockRate:  rapid.SampledFrom([]float64{0.98, 1, 1.02}).Draw(t, "rate"),
			monoStops:  rapid.Bool().Draw(t, "monotonic clock stops"),
		}
		sim.hosts = append(sim.hosts, h)
		sim.start(h)
	}
	return sim
}

// newExactSimulation returns a simulation of this number of hosts, which have exact
// clocks and know the limits. The seed varies the jitter of the runs.
func newExactSimulation(t assert.TestingT, pace limit.Pace, seed uint32, hosts int, limits limit.Limits) *simulation {
	sim := &simulation{t: t, pace: pace, store: make([]limit.ReadDone, 1), runCount: seed}
	sim.allLimits = append(sim.allLimits, limits)
	for range hosts {
		h := &host{clockRate: 1}
		sim.hosts = append(sim.hosts, h)
		sim.start(h)
	}
	return sim
}

// start starts a new run on h.
func (sim *simulation) start(h *host) {
	sim.runCount++
	address := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:443", sim.index(h)+1))
	h.run = limit.Run{Address: address, Incarnation: 7, Nonce: sim.runCount}
	h.holder = limit.NewHolder(sim.clock(h), h.run, sim.pace, uint64(sim.runCount))
	h.flows, h.answer, h.silent, h.flowsPastDrain = 0, nil, 0, 0
	h.latency, h.outcome = 0, _answered
	h.limits = sim.latestLimits()
	h.holder.SetLimits(sim.clock(h), h.limits)
}

func (sim *simulation) index(h *host) int {
	for i, other := range sim.hosts {
		if other == h {
			return i
		}
	}
	return len(sim.hosts)
}

// latestLimits returns the limits that the operator set last.
func (sim *simulation) latestLimits() limit.Limits { return sim.allLimits[len(sim.allLimits)-1] }

// clock returns a reading of the host's clocks, which may differ from the true time.
func (sim *simulation) clock(h *host) limit.Instant {
	return limit.Instant{
		Mono: h.monoOffset + time.Duration(float64(sim.now)*h.clockRate),
		Wall: h.wallOffset + sim.now,
	}
}

// advance lets time d pass.
func (sim *simulation) advance(d time.Duration) {
	sim.now += d
	for _, h := range sim.hosts {
		if h.paused && h.monoStops {
			h.monoOffset -= time.Duration(float64(d) * h.clockRate)
		}
	}
	if !sim.outage {
		sim.addSilence(d)
	}
}

// addSilence adds d to the time for which other runs may have observed each run
// as silent. At most two poll intervals count, because runs count no more time
// between two reads of the Share.
func (sim *simulation) addSilence(d time.Duration) {
	for _, h := range sim.hosts {
		h.silent += min(d, 2*sim.pace.Poll)
		if h.silent >= sim.pace.Term+_drainDeadline {
			h.flowsPastDrain = h.flows
		}
	}
}

// endOutage ends an outage, of which runs may count two poll intervals as silence.
func (sim *simulation) endOutage() {
	if sim.outage {
		sim.addSilence(sim.pace.Poll * 2)
	}
	sim.outage = false
}

// changeLimits draws new limits, which the operator sets. The runs do not know them
// yet.
func (sim *simulation) changeLimits(t *rapid.T) {
	sim.allLimits = append(sim.allLimits, limit.Limits{
		Revision:         settings.Revision(len(sim.allLimits) + 1),
		Flows:            rapid.SampledFrom([]int{0, 1, 7, 24, 100, 997}).Draw(t, "flows"),
		FlowsPerUpstream: 1 << 20,
		MaxHosts:         rapid.IntRange(1, _hosts+1).Draw(t, "max hosts"),
		DrainDeadline:    settings.Duration(_drainDeadline),
	})
}

// put is the store's conditional update; it returns false on a version conflict.
// Decoding the share checks that its units do not exceed the Whole.
func (sim *simulation) put(write limit.Write) bool {
	before := sim.store[len(sim.store)-1]
	if write.Expected != before.Version {
		return false
	}
	value, err := json.Marshal(write.Share)
	assert.NilError(sim.t, err)
	after := limit.ReadDone{Version: platform.NewVersion(sim.epoch, before.Version.Revision()+1)}
	assert.NilError(sim.t, json.Unmarshal(value, &after.Share))
	sim.store = append(sim.store, after)
	for _, h := range sim.hosts {
		old, _ := before.Share.Entry(h.run)
		entry, _ := after.Share.Entry(h.run)
		if entry.Seq > old.Seq {
			h.silent = 0
		}
	}
	return true
}

// restore replaces the Share by one of its latest versions, or by none, as a store that is
// restored from a copy does. Floors that runs have claimed since are not covered by the
// guarantees, so that versions without them are not chosen.
func (sim *simulation) restore(t *rapid.T) {
	last := len(sim.store) - 1
	copied := max(0, last-rapid.IntRange(0, 3).Draw(t, "versions lost"))
	for _, h := range sim.hosts {
		now, _ := sim.store[last].Share.Entry(h.run)
		then, _ := sim.store[copied].Share.Entry(h.run)
		if then.Floor < now.Floor {
			t.Skip("a floor would be lost")
		}
	}
	sim.epoch++
	restored := sim.store[copied]
	if restored.Version > 0 {
		restored.Version = platform.NewVersion(sim.epoch, restored.Version.Revision())
	}
	sim.store = append(sim.store[:copied:copied], restored)
	sim.delayedWrites = nil
}

// outcome is the outcome of a call to the platform.
type outcome int

const (
	_answered outcome = iota
	_refused          // has no effect
	_lost             // takes effect, but the answer is lost
	_delayed          // fails, and a write takes effect later
	_stale            // reads the version before the latest
)

// act performs the next action of a run with this outcome, or delivers the
// pending answer. It returns false if nothing is due.
func (sim *simulation) act(h *host, o outcome) bool {
	if h.answer != nil && sim.now < h.answerAt {
		return false
	}
	if h.answer != nil {
		h.holder.Handle(sim.clock(h), h.answer)
		h.answer = nil
		return true
	}
	h.answerAt = sim.now + h.latency
	if sim.outage || h.partitioned {
		o = _refused
	}
	switch a := h.holder.Act(sim.clock(h), func(r limit.Run) bool { return sim.gone[r] }).(type) {
	case limit.Read:
		h.answer = sim.answerRead(o)
	case limit.Write:
		h.answer = sim.answerWrite(a, o)
	default:
		return false
	}
	return true
}

func (sim *simulation) answerRead(o outcome) limit.Event {
	version := len(sim.store) - 1
	switch o {
	case _refused, _lost:
		return limit.Failed{}
	case _stale:
		version = max(0, version-1)
	}
	return sim.store[version]
}

func (sim *simulation) answerWrite(write limit.Write, o outcome) limit.Event {
	switch o {
	case _refused:
		return limit.Failed{}
	case _delayed:
		sim.delayedWrites = append(sim.delayedWrites, write)
		return limit.Failed{}
	}
	applied := sim.put(write)
	switch {
	case o == _lost:
		return limit.Failed{}
	case !applied:
		return limit.Failed{Conflict: true}
	default:
		return limit.WriteDone{Version: sim.store[len(sim.store)-1].Version}
	}
}

// runFor advances the simulation by d, while each run that is not paused acts and
// tries to admit the demanded number of flows.
func (sim *simulation) runFor(d time.Duration, demand func(*host) int) {
	const tick = 20 * time.Second
	for end := sim.now + d; sim.now < end; sim.advance(tick) {
		sim.deliverDelayedWrite()
		sim.step(demand)
		sim.check()
	}
}

// step performs the due actions of each run that is not paused, and then admits
// flows up to the demand.
func (sim *simulation) step(demand func(*host) int) {
	for _, h := range sim.hosts {
		for h.holder != nil && !h.paused && sim.act(h, h.outcome) {
		}
	}
	for _, h := range sim.hosts {
		for h.holder != nil && !h.paused && h.flows < demand(h) && sim.admit(h) {
		}
	}
}

// unmetFlows returns how many of the demanded flows are not open.
func (sim *simulation) unmetFlows(demand func(*host) int) (flows int) {
	for _, h := range sim.hosts {
		flows += demand(h) - h.flows
	}
	return flows
}

// deliverDelayedWrite applies the oldest delayed write, if any, to the store.
func (sim *simulation) deliverDelayedWrite() {
	if len(sim.delayedWrites) > 0 {
		sim.put(sim.delayedWrites[0])
		sim.delayedWrites = sim.delayedWrites[1:]
	}
}

// admit reports whether the run on h admitted a flow.
func (sim *simulation) admit(h *host) bool {
	_, err := h.holder.TryAdmit(sim.clock(h))
	if err == nil {
		h.flows++
	}
	return err == nil
}

// release ends this number of flows of h, or all if there are fewer.
func (sim *simulation) release(h *host, flows int) {
	for range min(flows, h.flows) {
		h.holder.Release()
		h.flows--
	}
}

// check asserts the bounds on the number of flows that all runs together may admit,
// and on the number that they have open.
func (sim *simulation) check() {
	largestKnown, largestEver, open := 0, 0, 0
	allowed, allowedPart := 0, 0.0
	for _, limits := range sim.allLimits {
		largestEver = max(largestEver, limits.Flows)
	}
	for _, h := range sim.hosts {
		if h.holder == nil {
			continue
		}
		snapshot := h.holder.Snapshot(sim.clock(h))
		assert.Assert(sim.t, snapshot.FlowLimit <= h.limits.Flows)
		assert.Equal(sim.t, snapshot.Open, h.flows)
		largestKnown = max(largestKnown, snapshot.FlowLimit)
		allowed += snapshot.Allowed
		if snapshot.FlowLimit > 0 {
			allowedPart += float64(snapshot.Allowed) / float64(snapshot.FlowLimit)
		}
		h.flowsPastDrain = min(h.flowsPastDrain, h.flows)
		open += h.flows - h.flowsPastDrain
	}
	assert.Assert(sim.t, allowed <= largestKnown, "%d flows allowed, limit %d", allowed, largestKnown)
	assert.Assert(sim.t, allowedPart < 1+1e-9, "%f of the limit allowed, want at most 1", allowedPart)
	assert.Assert(sim.t, open <= largestEver, "%d flows open, limit never above %d", open, largestEver)
}
