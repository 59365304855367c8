package limit_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/limit"
	"dandelionhitch.example/settings"
)

// _seed makes the state machine take the same steps in each run, unless
// another seed is asked for.
const _seed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set(_seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestSharesNeverExceedTheLimit is the proof of promises 1 to 4 of the package,
// and that demand below the limit is met once the faults are over.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRandomSimulation(t)
		t.Repeat(w.actions())
		w.endFaults()
		w.checkDemandMet(t)
	})
}

// TestRaisedLimitCanBeLoweredAgain follows one place through the story that
// the package exists for. Nothing is cut, the open flows only fall until they
// are below the lowered limit, and in the end each host has what it had before.
func TestRaisedLimitCanBeLoweredAgain(t *testing.T) {
	w := newExactSimulation(t, _testPace(), 0, _hosts, limit.Limits{})
	set := func(flows int) {
		limits := limit.Limits{Revision: settings.Revision(len(w.limitsHistory) + 1), Flows: flows, FlowsPerUpstream: 1000, MaxHosts: _hosts}
		w.limitsHistory = append(w.limitsHistory, limits)
		for _, h := range w.hosts {
			h.limits = limits
			h.holder.SetLimits(w.clock(h), limits)
		}
	}
	each := func(flows int) func(*host) int { return func(*host) int { return flows } }
	open := func() int { return -w.unmetFlows(each(0)) }
	shares := func() (units []limit.Units) {
		for _, h := range w.hosts {
			entry, _ := w.store[len(w.store)-1].Share.Entry(h.run)
			units = append(units, entry.Floor, entry.Leased)
		}
		return units
	}

	set(100)
	w.runFor(time.Hour, each(20))
	before := shares()
	assert.Equal(t, open(), 60)

	set(1000)
	w.runFor(time.Hour, each(200))
	assert.Equal(t, open(), 600)

	set(100)
	w.runFor(time.Hour, each(200))
	assert.Equal(t, open(), 600, "no flow is cut and none is admitted")
	for open() > 100 {
		for _, h := range w.hosts {
			w.release(h, 20)
		}
		most := max(open(), 100)
		w.runFor(10*time.Minute, each(200))
		assert.Assert(t, open() <= most, "%d flows open after %d", open(), most)
	}
	for _, h := range w.hosts {
		w.release(h, h.flows-20)
	}
	w.runFor(time.Hour, each(20))
	assert.Equal(t, open(), 60)
	assert.DeepEqual(t, shares(), before)
}

// TestPaceByFleetSize checks what fleets of all sizes may ask of the
// platform, and that a run that waits to join hears of a smaller fleet.
func TestPaceByFleetSize(t *testing.T) {
	for hosts := 1; hosts <= 5900; hosts++ {
		pace := limit.PaceFor(hosts)
		each := time.Duration(hosts) * time.Second
		assert.Assert(t, 300*pace.Spread >= each && 300*pace.Join >= each, "%d hosts: %+v", hosts, pace)
		assert.Assert(t, 100*pace.Poll >= each, "%d hosts: %+v", hosts, pace)
	}
	assert.Equal(t, limit.PaceFor(0), limit.DefaultPace())
	const joinWithin = 100 * time.Millisecond
	for seed := range uint64(20) {
		h := limit.NewHolder(limit.Instant{}, limit.Run{}, limit.DefaultPace(), seed)
		h.SetPace(limit.Instant{}, limit.PaceFor(10))
		_, reads := h.Act(limit.Instant{Mono: joinWithin}, nil).(limit.Read)
		assert.Assert(t, reads)
		write, _ := answerEmptyRead(h, joinWithin).(limit.Write)
		assert.Equal(t, len(write.Share.Entries), 1)
	}
}

// readNothing answers a run's read of a Share that does not exist, and returns
// what it does next.
func answerEmptyRead(h *limit.Holder, now time.Duration) limit.Action {
	h.Handle(limit.Instant{Mono: now}, limit.ReadDone{})
	return h.Act(limit.Instant{Mono: now}, func(limit.Run) bool { return false })
}

// actions are all that may happen between two checks.
func (w *simulation) actions() map[string]func(*rapid.T) {
	alive := func(act func(t *rapid.T, h *host)) func(*rapid.T) {
		return func(t *rapid.T) {
			h := w.hosts[rapid.IntRange(0, _hosts-1).Draw(t, "host")]
			if h.holder == nil {
				t.Skip("no run")
			}
			act(t, h)
		}
	}
	running := func(act func(t *rapid.T, h *host)) func(*rapid.T) {
		return alive(func(t *rapid.T, h *host) {
			if h.paused {
				t.Skip("paused")
			}
			act(t, h)
		})
	}
	spans := []time.Duration{0, time.Second, 20 * time.Second, time.Minute, 4 * time.Minute, 11 * time.Minute, 35 * time.Minute, 4 * time.Hour}
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { w.check() },
		"elapse": func(t *rapid.T) {
			w.advance(rapid.SampledFrom(spans).Draw(t, "span"))
		},
		"pace": running(func(t *rapid.T, h *host) {
			pace := limit.PaceFor(rapid.SampledFrom([]int{0, 10, 600, 5900}).Draw(t, "fleet"))
			pace.FloorTerm = w.pace.FloorTerm
			h.holder.SetPace(w.clock(h), pace)
		}),
		"act": running(func(t *rapid.T, h *host) {
			w.act(h, rapid.SampledFrom([]outcome{_answered, _answered, _refused, _lost, _delayed, _stale}).Draw(t, "fate"))
		}),
		"work": func(t *rapid.T) {
			demand := make(map[*host]int)
			for _, h := range w.hosts {
				demand[h] = rapid.SampledFrom([]int{0, 3, 40, 1000}).Draw(t, "demand")
				h.outcome = rapid.SampledFrom([]outcome{_answered, _answered, _answered, _lost, _delayed, _stale}).Draw(t, "fate")
				h.latency = rapid.SampledFrom([]time.Duration{0, 0, 30 * time.Second, 9 * time.Minute}).Draw(t, "lag")
			}
			span := rapid.SampledFrom([]time.Duration{time.Minute, 13 * time.Minute, 50 * time.Minute, 5 * time.Hour}).Draw(t, "span")
			w.runFor(span, func(h *host) int { return demand[h] })
		},
		"late write": func(t *rapid.T) {
			if len(w.delayedWrites) == 0 {
				t.Skip("none")
			}
			w.deliverDelayedWrite()
		},
		"admit": running(func(t *rapid.T, h *host) {
			for range rapid.SampledFrom([]int{1, 5, 60, 1000}).Draw(t, "flows") {
				if !w.admit(h) {
					break
				}
			}
		}),
		"release": running(func(t *rapid.T, h *host) {
			w.release(h, rapid.SampledFrom([]int{1, 10, 1000}).Draw(t, "flows"))
		}),
		"pause":   alive(func(_ *rapid.T, h *host) { h.paused = true }),
		"resume":  alive(func(_ *rapid.T, h *host) { h.paused = false }),
		"cut":     alive(func(_ *rapid.T, h *host) { h.partitioned = true }),
		"join":    alive(func(_ *rapid.T, h *host) { h.partitioned = false }),
		"outage":  func(*rapid.T) { w.outage = true },
		"recover": func(*rapid.T) { w.endOutage() },
		"kill": alive(func(t *rapid.T, h *host) {
			w.kill(h)
			w.gone[h.run] = rapid.Bool().Draw(t, "confirmed")
		}),
		"start": func(t *rapid.T) {
			h := w.hosts[rapid.IntRange(0, _hosts-1).Draw(t, "host")]
			if h.holder != nil {
				t.Skip("runs")
			}
			w.start(h)
		},
		"leave": running(func(_ *rapid.T, h *host) {
			w.release(h, h.flows)
			h.holder.Leave(w.clock(h))
		}),
		"set the wall clock": alive(func(t *rapid.T, h *host) {
			step := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "step"))
			if !h.monoStops && rapid.Bool().Draw(t, "back") {
				step = -step
			}
			h.wallOffset += step
		}),
		"operator": func(t *rapid.T) {
			if w.constantLimits {
				t.Skip("constant")
			}
			w.changeLimits(t)
		},
		"settings arrive": running(func(t *rapid.T, h *host) {
			known := w.limitsHistory[rapid.IntRange(int(h.limits.Revision)-1, len(w.limitsHistory)-1).Draw(t, "revision")]
			h.limits = known
			h.holder.SetLimits(w.clock(h), known)
		}),
	}
}

func (w *simulation) kill(h *host) {
	h.holder, h.flows, h.paused = nil, 0, false
}

// heal ends all faults and restarts what was killed or left.
func (w *simulation) endFaults() {
	w.endOutage()
	w.delayedWrites = nil
	for _, h := range w.hosts {
		w.release(h, h.flows)
		w.kill(h)
		h.partitioned = false
		w.start(h)
	}
}

// checkDemandIsMet gives the hosts unequal demands, which may be above the
// limit together, and expects that all are met, or else that the limit is used
// up by open flows and floors, but for one flow.
func (w *simulation) checkDemandMet(t *rapid.T) {
	limits := w.latestLimits()
	demand := make(map[*host]int)
	for _, h := range w.hosts {
		demand[h] = rapid.IntRange(0, limits.Flows/2).Draw(t, "demand")
	}
	w.runFor(90*time.Minute, func(h *host) int { return demand[h] })
	used, unmet := 0, 0
	for _, h := range w.hosts {
		used += max(h.flows, h.holder.Snapshot(w.clock(h)).Floor)
		unmet += demand[h] - h.flows
	}
	assert.Assert(w.t, unmet == 0 || used >= limits.Flows-1, "%d flows refused, %d of %d used", unmet, used, limits.Flows)
}
