package announcer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/keeper"
	"dandelionhitch.example/service"
)

const (
	// _settled is long enough for a fleet to start and for cuts to heal.
	_settled = 40 * time.Second
	// _noNewFlows is the stated bound for upstreams that died or are leaving.
	_noNewFlows = 3 * time.Second
)

func (f *fleet) assertEligible(want ...int) {
	f.t.Helper()
	for n := range f.keepers {
		assert.DeepEqual(f.t, f.eligible(n), want)
	}
}

// assertRefuted watches an agent that some keepers cannot hear: wherever it is
// suspected, it is eligible again soon.
func (f *fleet) assertRefuted(agent int, span time.Duration) {
	f.t.Helper()
	const tick = 100 * time.Millisecond
	missing := make(map[int]time.Duration)
	for range span / tick {
		time.Sleep(tick)
		for n := range f.keepers {
			missing[n] += tick
			if slices.Contains(f.eligible(n), agent) {
				missing[n] = 0
			}
			assert.Assert(f.t, missing[n] < _noNewFlows, "balancer %d", n)
		}
	}
	f.checkGone()
}

func TestFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 6)
		defer f.close()
		time.Sleep(10 * time.Second)
		f.assertEligible(0, 1, 2, 3, 4, 5)
		f.store.setOutage(true) // Nothing below needs the platform.

		f.killAgent(5)
		time.Sleep(_noNewFlows)
		f.assertEligible(0, 1, 2, 3, 4)
		f.startAgent(5, 99) // Its clock went back.
		time.Sleep(_noNewFlows)
		f.assertEligible(0, 1, 2, 3, 4, 5)
		assert.Equal(t, f.agents[5].Self().Incarnation, service.Incarnation(101))

		f.set(f.paused, agentAddr(4), true)
		time.Sleep(_noNewFlows)
		f.assertEligible(0, 1, 2, 3, 5)
		time.Sleep(5 * time.Minute)
		f.assertEligible(0, 1, 2, 3, 5)
		f.checkGone()
		f.set(f.paused, agentAddr(4), false)
		time.Sleep(_noNewFlows)
		f.assertEligible(0, 1, 2, 3, 4, 5)

		ctx, cancel := context.WithTimeout(context.Background(), _noNewFlows)
		defer cancel()
		assert.NilError(t, f.agents[3].Drain(ctx))
		time.Sleep(_noNewFlows)
		f.assertEligible(0, 1, 2, 4, 5)

		assert.NilError(t, f.agents[2].Close())
		f.gone[2] = 100
		time.Sleep(_noNewFlows)
		f.assertEligible(0, 1, 4, 5)
		f.checkGone()

		f.killKeeper(1)
		time.Sleep(_settled)
		f.assertEligible(0, 1, 4, 5)
		for _, k := range f.keepers {
			assert.Equal(t, len(k.View().Members), 3)
		}
		f.startKeeper(1, keeper.WithPeers(memberAddr(2))) // During the outage.
		time.Sleep(_noNewFlows)
		f.assertEligible(0, 1, 4, 5)
		time.Sleep(_settled)
		f.assertEligible(0, 1, 4, 5)
	})
}

// TestCutAgent cuts an agent from one of its keepers, then from all of them.
func TestCutAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 5)
		defer f.close()
		time.Sleep(_settled)
		for n := range len(f.keepers) {
			f.setCut(agentAddr(0), memberAddr(n), true)
			if n < len(f.keepers)-1 {
				f.assertRefuted(0, time.Minute)
			}
		}
		time.Sleep(time.Minute)
		f.assertEligible(1, 2, 3, 4)
		for n := range f.keepers {
			f.setCut(agentAddr(0), memberAddr(n), false)
		}
		time.Sleep(_settled)
		f.assertEligible(0, 1, 2, 3, 4)
		f.checkGone()
	})
}

// TestLeavingBalancer has a balancer drain and go: its agents move to others
// first, and nobody loses an upstream.
func TestLeavingBalancer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 5)
		defer f.close()
		time.Sleep(_settled)
		leaving := f.keepers[0]
		assert.NilError(t, leaving.Drain(t.Context()))
		f.assertRefuted(0, 15*time.Second)
		for _, a := range f.agents {
			assert.Assert(t, !slices.Contains(a.Balancers(), memberAddr(0)))
		}
		assert.NilError(t, leaving.Close())
		f.kill(memberAddr(0))
		delete(f.keepers, 0)
		f.assertRefuted(0, _noNewFlows)
		f.assertEligible(0, 1, 2, 3, 4)
		for _, k := range f.keepers {
			assert.Equal(t, len(k.View().Members), 3)
		}
		assert.Equal(t, len(f.store.objects), 3, "its lease is removed")
	})
}

// TestSplit cuts the balancers in two halves while agents come and go.
func TestSplit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 5)
		defer f.close()
		time.Sleep(_settled)
		f.store.setOutage(true)
		split := func(cut bool) {
			for _, pair := range [][2]int{{0, 2}, {0, 3}, {1, 2}, {1, 3}} {
				f.setCut(memberAddr(pair[0]), memberAddr(pair[1]), cut)
			}
		}
		split(true)
		f.killAgent(0)
		f.startAgent(5, 100)
		time.Sleep(2 * time.Minute)
		f.checkGone()
		split(false)
		time.Sleep(_settled)
		f.assertEligible(1, 2, 3, 4, 5)
		f.checkGone()
		for _, k := range f.keepers {
			assert.Equal(t, len(k.View().Members), 4)
			for _, m := range k.View().Members {
				assert.Assert(t, !m.Suspect)
			}
		}
	})
}

// TestFaults injects faults in a random order, two or more at once, and checks
// after each that nothing is found gone that has not ended, and in the end that
// all views are equal to the truth.
func TestFaults(t *testing.T) {
	seeds := uint64(12)
	if testing.Short() {
		seeds = 4
	}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			defer func() {
				if t.Failed() {
					t.Logf("seed %d", seed)
				}
			}()
			random := rand.New(rand.NewPCG(seed, 1))
			f := newFleet(t, 4, 6)
			defer f.close()
			time.Sleep(10 * time.Second)
			var heal []func()
			for range 12 {
				heal = append(heal, f.fault(random))
				time.Sleep(time.Duration(random.Int64N(int64(8 * time.Second))))
				f.checkGone()
				if i := random.IntN(2 * len(heal)); i < len(heal) {
					heal[i]()
					heal[i] = func() {}
				}
			}
			for _, h := range heal {
				h()
			}
			f.store.setOutage(false)
			time.Sleep(3 * time.Minute) // Longer than any timeout or back-off.
			f.checkGone()
			var alive []int
			for n := range 6 {
				if f.agents[n] != nil {
					alive = append(alive, n)
				}
			}
			f.assertEligible(alive...)
		})
	}
}

// fault injects one fault and returns what heals it.
func (f *fleet) fault(random *rand.Rand) func() {
	agent, member, other := random.IntN(6), random.IntN(4), random.IntN(4)
	cut := func(a, b netip.AddrPort) func() {
		f.setCut(a, b, true)
		return func() { f.setCut(a, b, false) }
	}
	switch random.IntN(6) {
	case 0:
		return cut(agentAddr(agent), memberAddr(member))
	case 1:
		return cut(memberAddr(other), memberAddr(member))
	case 2:
		f.set(f.paused, agentAddr(agent), true)
		return func() { f.set(f.paused, agentAddr(agent), false) }
	case 3:
		f.store.setOutage(!f.store.outage)
	case 4:
		if f.agents[agent] != nil {
			f.killAgent(agent)
		} else {
			f.startAgent(agent, f.gone[agent]+1)
		}
	case 5:
		if f.keepers[member] == nil {
			f.startKeeper(member, keeper.WithStore(f.store), keeper.WithPeers(memberAddr(other)))
		} else if len(f.keepers) > 2 {
			f.killKeeper(member)
		}
	}
	return func() {}
}
