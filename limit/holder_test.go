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

// _seed is the default rapid.seed, with which the state machine takes the same
// steps in each run.
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

// TestSharesNeverExceedTheLimit checks the guarantees of the package documentation
// under random faults, and that demand below the limit is met after the faults
// have ended.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newRandomSimulation(t)
		t.Repeat(sim.actions())
		sim.endFaults()
		sim.checkDemandMet(t)
	})
}

// TestRaisedLimitCanBeLoweredAgain raises the limit of a place and lowers it below
// the number of open flows. No open flow may be terminated, and no flow admitted
// until fewer flows than the lowered limit are open. In the end the shares must be
// as they were before the limit was raised.
func TestRaisedLimitCanBeLoweredAgain(t *testing.T) {
	sim := newExactSimulation(t, testPace(), 0, _hosts, limit.Limits{})
	set := func(flows int) {
		limits := limit.Limits{Revision: settings.Revision(len(sim.allLimits) + 1), Flows: flows, FlowsPerUpstream: 1000, MaxHosts: _hosts}
		sim.allLimits = append(sim.allLimits, limits)
		for _, h := range sim.hosts {
			h.limits = limits
			h.holder.SetLimits(sim.clock(h), limits)
		}
	}
	each := func(flows int) func(*host) int { return func(*host) int { return flows } }
	open := func() int { return -sim.unmetFlows(each(0)) }
	shares := func() (units []limit.Units) {
		for _, h := range sim.hosts {
			entry, _ := sim.store[len(sim.store)-1].Share.Entry(h.run)
			units = append(units, entry.Floor, entry.Leased)
		}
		return units
	}

	set(100)
	sim.runFor(time.Hour, each(20))
	before := shares()
	assert.Equal(t, open(), 60)

	set(1000)
	sim.runFor(time.Hour, each(200))
	assert.Equal(t, open(), 600)

	set(100)
	sim.runFor(time.Hour, each(200))
	assert.Equal(t, open(), 600, "no flow is terminated and none is admitted")
	for open() > 100 {
		for _, h := range sim.hosts {
			sim.release(h, 20)
		}
		most := max(open(), 100)
		sim.runFor(10*time.Minute, each(200))
		assert.Assert(t, open() <= most, "%d flows open, want at most %d", open(), most)
	}
	for _, h := range sim.hosts {
		sim.release(h, h.flows-20)
	}
	sim.runFor(time.Hour, each(20))
	assert.Equal(t, open(), 60)
	assert.DeepEqual(t, shares(), before)
}

// TestPaceByFleetSize checks that fleets of all sizes stay within the rates of
// calls to the platform, and that a run that is waiting to join at a large fleet's
// pace joins sooner once SetPace sets a small fleet's pace.
func TestPaceByFleetSize(t *testing.T) {
	for hosts := 1; hosts <= 5900; hosts++ {
		pace := limit.PaceFor(hosts)
		each := time.Duration(hosts) * time.Second
		assert.Assert(t, 300*pace.Spread >= each && 300*pace.JoinSpread >= each, "%d hosts: %+v", hosts, pace)
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

// answerEmptyRead answers the read of a Share that does not exist, and returns the
// next action.
func answerEmptyRead(h *limit.Holder, now time.Duration) limit.Action {
	h.Handle(limit.Instant{Mono: now}, limit.ReadDone{})
	return h.Act(limit.Instant{Mono: now}, func(limit.Run) bool { return false })
}

// actions returns the actions of the state machine: all events that may happen
// between two checks.
func (sim *simulation) actions() map[string]func(*rapid.T) {
	alive := func(act func(t *rapid.T, h *host)) func(*rapid.T) {
		return func(t *rapid.T) {
			h := sim.hosts[rapid.IntRange(0, _hosts-1).Draw(t, "host")]
			if h.holder == nil {
				t.Skip("the host has no run")
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
		"": func(*rapid.T) { sim.check() },
		"elapse": func(t *rapid.T) {
			sim.advance(rapid.SampledFrom(spans).Draw(t, "span"))
		},
		"pace": running(func(t *rapid.T, h *host) {
			pace := limit.PaceFor(rapid.SampledFrom([]int{0, 10, 600, 5900}).Draw(t, "fleet"))
			pace.FloorTerm = sim.pace.FloorTerm
			h.holder.SetPace(sim.clock(h), pace)
		}),
		"act": running(func(t *rapid.T, h *host) {
			sim.act(h, rapid.SampledFrom([]outcome{_answered, _answered, _refused, _lost, _delayed, _stale}).Draw(t, "outcome"))
		}),
		"work": func(t *rapid.T) {
			demand := make(map[*host]int)
			for _, h := range sim.hosts {
				demand[h] = rapid.SampledFrom([]int{0, 3, 40, 1000}).Draw(t, "demand")
				h.outcome = rapid.SampledFrom([]outcome{_answered, _answered, _answered, _lost, _delayed, _stale}).Draw(t, "outcome")
				h.latency = rapid.SampledFrom([]time.Duration{0, 0, 30 * time.Second, 9 * time.Minute}).Draw(t, "latency")
			}
			span := rapid.SampledFrom([]time.Duration{time.Minute, 13 * time.Minute, 50 * time.Minute, 5 * time.Hour}).Draw(t, "span")
			sim.runFor(span, func(h *host) int { return demand[h] })
		},
		"late write": func(t *rapid.T) {
			if len(sim.delayedWrites) == 0 {
				t.Skip("no delayed write")
			}
			sim.deliverDelayedWrite()
		},
		"admit": running(func(t *rapid.T, h *host) {
			for range rapid.SampledFrom([]int{1, 5, 60, 1000}).Draw(t, "flows") {
				if !sim.admit(h) {
					break
				}
			}
		}),
		"release": running(func(t *rapid.T, h *host) {
			sim.release(h, rapid.SampledFrom([]int{1, 10, 1000}).Draw(t, "flows"))
		}),
		"pause":   alive(func(_ *rapid.T, h *host) { h.paused = true }),
		"resume":  alive(func(_ *rapid.T, h *host) { h.paused = false }),
		"cut":     alive(func(_ *rapid.T, h *host) { h.partitioned = true }),
		"join":    alive(func(_ *rapid.T, h *host) { h.partitioned = false }),
		"outage":  func(*rapid.T) { sim.outage = true },
		"recover": func(*rapid.T) { sim.endOutage() },
		"restore": func(t *rapid.T) { sim.restore(t) },
		"kill": alive(func(t *rapid.T, h *host) {
			sim.kill(h)
			sim.gone[h.run] = rapid.Bool().Draw(t, "confirmed")
		}),
		"start": func(t *rapid.T) {
			h := sim.hosts[rapid.IntRange(0, _hosts-1).Draw(t, "host")]
			if h.holder != nil {
				t.Skip("the host has a run")
			}
			sim.start(h)
		},
		"leave": running(func(_ *rapid.T, h *host) {
			sim.release(h, h.flows)
			h.holder.Leave(sim.clock(h))
		}),
		"set the wall clock": alive(func(t *rapid.T, h *host) {
			step := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "step"))
			if !h.monoStops && rapid.Bool().Draw(t, "back") {
				step = -step
			}
			h.wallOffset += step
		}),
		"operator": func(t *rapid.T) {
			if sim.constantLimits {
				t.Skip("the limits are constant")
			}
			sim.changeLimits(t)
		},
		"settings arrive": running(func(t *rapid.T, h *host) {
			limits := sim.allLimits[rapid.IntRange(int(h.limits.Revision)-1, len(sim.allLimits)-1).Draw(t, "revision")]
			h.limits = limits
			h.holder.SetLimits(sim.clock(h), limits)
		}),
	}
}

// kill ends the run of h and its flows.
func (sim *simulation) kill(h *host) {
	h.holder, h.flows, h.paused = nil, 0, false
}

// endFaults ends all faults and starts a new run on every host.
func (sim *simulation) endFaults() {
	sim.endOutage()
	sim.delayedWrites = nil
	for _, h := range sim.hosts {
		sim.release(h, h.flows)
		sim.kill(h)
		h.partitioned = false
		sim.start(h)
	}
}

// checkDemandMet simulates unequal demands of the hosts, whose sum may be above
// the limit. It asserts that all demands are met, or that open flows and floors
// use the whole limit except for at most one flow.
func (sim *simulation) checkDemandMet(t *rapid.T) {
	limits := sim.latestLimits()
	demand := make(map[*host]int)
	for _, h := range sim.hosts {
		demand[h] = rapid.IntRange(0, limits.Flows/2).Draw(t, "demand")
	}
	sim.runFor(90*time.Minute, func(h *host) int { return demand[h] })
	used, unmet := 0, 0
	for _, h := range sim.hosts {
		used += max(h.flows, h.holder.Snapshot(sim.clock(h)).Floor)
		unmet += demand[h] - h.flows
	}
	assert.Assert(sim.t, unmet == 0 || used >= limits.Flows-1, "%d flows missing, %d of %d used", unmet, used, limits.Flows)
}
