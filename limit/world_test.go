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
	_hosts = 3
	_drain = 30 * time.Minute
)

// _testPace has a floor term that a test's time can pass.
func _testPace() limit.Pace {
	pace := limit.DefaultPace()
	pace.FloorTerm = 3 * time.Hour
	return pace
}

// world is the oracle: it knows the true time, all that the store ever held,
// and every run's flows, and adds up.
type world struct {
	t        assert.TestingT
	pace     limit.Pace
	now      time.Duration
	store    []limit.ReadDone
	late     []limit.Write
	down     bool
	accepted []limit.Limits
	hosts    []*host
	gone     map[limit.Run]bool
	runs     uint32
	// constant says that the operator does not change the limit, so that the
	// bound on open flows is tight.
	constant bool
}

// host is one address with the run that is alive there, if any.
type host struct {
	run    limit.Run
	holder *limit.Holder
	mono   time.Duration
	wall   time.Duration
	rate   float64
	// freezes says that its monotonic clock stands still in a pause; else its
	// wall clock may be set back.
	freezes bool
	paused  bool
	cut     bool
	flows   int
	known   limit.Limits
	// silent is how long since the last write of the run took effect, without
	// outages, in which others cannot see that it is silent.
	silent time.Duration
	// outlived are its flows that were open when the drain deadline had passed.
	outlived int
	// answer is under way to the run and arrives at due, lag after the call.
	answer limit.Event
	due    time.Duration
	lag    time.Duration
	// fate befalls the run's calls while it works.
	fate fate
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, pace: _testPace(), store: make([]limit.ReadDone, 1), gone: make(map[limit.Run]bool)}
	w.constant = rapid.Bool().Draw(t, "constant")
	w.accept(t)
	for range _hosts {
		h := &host{
			mono:    time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "mono")),
			wall:    time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "wall")),
			rate:    rapid.SampledFrom([]float64{0.98, 1, 1.02}).Draw(t, "rate"),
			freezes: rapid.Bool().Draw(t, "freezes"),
		}
		w.hosts = append(w.hosts, h)
		w.start(h)
	}
	return w
}

// newPlainWorld returns hosts with exact clocks. The limits' revision is 1.
func newPlainWorld(t assert.TestingT, pace limit.Pace, seed uint32, hosts int, limits limit.Limits) *world {
	w := &world{t: t, pace: pace, store: make([]limit.ReadDone, 1), runs: seed}
	w.accepted = append(w.accepted, limits)
	for range hosts {
		h := &host{rate: 1}
		w.hosts = append(w.hosts, h)
		w.start(h)
	}
	return w
}

func (w *world) start(h *host) {
	w.runs++
	address := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:443", w.index(h)+1))
	h.run = limit.Run{Address: address, Incarnation: 7, Nonce: w.runs}
	h.holder = limit.NewHolder(w.clock(h), h.run, w.pace, uint64(w.runs))
	h.flows, h.answer, h.silent, h.outlived = 0, nil, 0, 0
	h.lag, h.fate = 0, _answered
	h.known = w.latest()
	h.holder.SetLimits(w.clock(h), h.known)
}

func (w *world) index(h *host) int {
	for i, other := range w.hosts {
		if other == h {
			return i
		}
	}
	return len(w.hosts)
}

func (w *world) latest() limit.Limits { return w.accepted[len(w.accepted)-1] }

// clock reads the host's clocks, which differ from the true time.
func (w *world) clock(h *host) limit.Instant {
	return limit.Instant{
		Mono: h.mono + time.Duration(float64(w.now)*h.rate),
		Wall: h.wall + w.now,
	}
}

func (w *world) elapse(d time.Duration) {
	w.now += d
	for _, h := range w.hosts {
		if h.paused && h.freezes {
			h.mono -= time.Duration(float64(d) * h.rate)
		}
	}
	if !w.down {
		w.silence(d)
	}
}

// silence counts time in which others may see that a run is silent, at most
// what two looks take, because in between there has to be another look.
func (w *world) silence(d time.Duration) {
	for _, h := range w.hosts {
		h.silent += min(d, 2*w.pace.Look)
		if h.silent >= w.pace.Term+_drain {
			h.outlived = h.flows
		}
	}
}

func (w *world) recover() {
	if w.down {
		w.silence(w.pace.Look * 2)
	}
	w.down = false
}

// accept is the operator's change of the limits.
func (w *world) accept(t *rapid.T) {
	w.accepted = append(w.accepted, limit.Limits{
		Revision:         settings.Revision(len(w.accepted) + 1),
		Flows:            rapid.SampledFrom([]int{0, 1, 7, 24, 100, 997}).Draw(t, "flows"),
		FlowsPerUpstream: 1 << 20,
		MaxHosts:         rapid.IntRange(1, _hosts+1).Draw(t, "max hosts"),
		DrainDeadline:    settings.Duration(_drain),
	})
}

// put is the store's conditional update. Decoding checks that the share adds up.
func (w *world) put(write limit.Write) bool {
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
type fate int

const (
	_answered fate = iota
	_refused
	_lost
	_delayed
	_stale
)

// act lets one run take its next action, with the fate that befalls it.
func (w *world) act(h *host, f fate) bool {
	if h.answer != nil && w.now < h.due {
		return false
	}
	if h.answer != nil {
		h.holder.Handle(w.clock(h), h.answer)
		h.answer = nil
		return true
	}
	h.due = w.now + h.lag
	if w.down || h.cut {
		f = _refused
	}
	switch a := h.holder.Act(w.clock(h), func(r limit.Run) bool { return w.gone[r] }).(type) {
	case limit.Read:
		h.answer = w.answerRead(f)
	case limit.Write:
		h.answer = w.answerWrite(a, f)
	default:
		return false
	}
	return true
}

func (w *world) answerRead(f fate) limit.Event {
	version := len(w.store) - 1
	switch f {
	case _refused, _lost:
		return limit.Failed{}
	case _stale:
		version = max(0, version-1)
	}
	return w.store[version]
}

func (w *world) answerWrite(write limit.Write, f fate) limit.Event {
	switch f {
	case _refused:
		return limit.Failed{}
	case _delayed:
		w.late = append(w.late, write)
		return limit.Failed{}
	}
	done := w.put(write)
	switch {
	case f == _lost:
		return limit.Failed{}
	case !done:
		return limit.Failed{Conflict: true}
	default:
		return limit.WriteDone{Version: w.store[len(w.store)-1].Version}
	}
}

// settle lets the runs that are not paused act for d, while each tries to have
// as many flows as demanded.
func (w *world) settle(d time.Duration, demand func(*host) int) {
	const tick = 20 * time.Second
	for end := w.now + d; w.now < end; w.elapse(tick) {
		w.land()
		w.work(demand)
		w.check()
	}
}

// work lets each run that is not paused do what is due, and then admit flows.
func (w *world) work(demand func(*host) int) {
	for _, h := range w.hosts {
		for h.holder != nil && !h.paused && w.act(h, h.fate) {
		}
	}
	for _, h := range w.hosts {
		for h.holder != nil && !h.paused && h.flows < demand(h) && w.admit(h) {
		}
	}
}

// missing is how many of the demanded flows are not open.
func (w *world) missing(demand func(*host) int) (flows int) {
	for _, h := range w.hosts {
		flows += demand(h) - h.flows
	}
	return flows
}

// land lets the oldest late write reach the store.
func (w *world) land() {
	if len(w.late) > 0 {
		w.put(w.late[0])
		w.late = w.late[1:]
	}
}

func (w *world) admit(h *host) bool {
	_, err := h.holder.TryAdmit(w.clock(h))
	if err == nil {
		h.flows++
	}
	return err == nil
}

func (w *world) release(h *host, flows int) {
	for range min(flows, h.flows) {
		h.holder.Release()
		h.flows--
	}
}

// check adds up what all runs may admit and what they have open.
func (w *world) check() {
	largest, ever, open := 0, 0, 0
	allowed, part := 0, 0.0
	for _, limits := range w.accepted {
		ever = max(ever, limits.Flows)
	}
	for _, h := range w.hosts {
		if h.holder == nil {
			continue
		}
		snapshot := h.holder.Snapshot(w.clock(h))
		assert.Assert(w.t, snapshot.FlowLimit <= h.known.Flows)
		assert.Equal(w.t, snapshot.Open, h.flows)
		largest = max(largest, snapshot.FlowLimit)
		allowed += snapshot.Allowed
		if snapshot.FlowLimit > 0 {
			part += float64(snapshot.Allowed) / float64(snapshot.FlowLimit)
		}
		h.outlived = min(h.outlived, h.flows)
		open += h.flows - h.outlived
	}
	assert.Assert(w.t, allowed <= largest, "%d flows allowed, limit %d", allowed, largest)
	assert.Assert(w.t, part < 1+1e-9, "%f of the limit allowed", part)
	assert.Assert(w.t, open <= ever, "%d flows open, limit never above %d", open, ever)
}
