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
	// _settleTime is long enough for a fleet to start or to recover from a partition.
	_settleTime = 40 * time.Second
	// _exclusionBound is the documented maximum time until balancers give no new
	// flows to an upstream that died or is draining.
	_exclusionBound = 3 * time.Second
)

// assertEligible checks that every balancer considers exactly the wanted agents
// eligible for new flows.
func (f *fleet) assertEligible(want ...int) {
	f.t.Helper()
	for n := range f.keepers {
		assert.DeepEqual(f.t, f.eligible(n), want)
	}
}

// assertSuspicionRefuted checks for the given duration that no balancer excludes
// the agent for _exclusionBound without a break. Keepers that receive no heartbeat
// suspect the agent, and the agent must refute the suspicion before then.
func (f *fleet) assertSuspicionRefuted(agent int, duration time.Duration) {
	f.t.Helper()
	const tick = 100 * time.Millisecond
	excluded := make(map[int]time.Duration)
	for range duration / tick {
		time.Sleep(tick)
		for n := range f.keepers {
			excluded[n] += tick
			if slices.Contains(f.eligible(n), agent) {
				excluded[n] = 0
			}
			assert.Assert(f.t, excluded[n] < _exclusionBound, "balancer %d excludes the agent", n)
		}
	}
	f.checkNoFalseGone()
}

// TestMembershipDuringOutage kills, restarts, pauses, drains and closes agents and
// keepers while the platform's store is down. After each of these steps every
// balancer must consider exactly the serving agents eligible.
func TestMembershipDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 6)
		defer f.close()
		time.Sleep(10 * time.Second)
		f.assertEligible(0, 1, 2, 3, 4, 5)
		f.store.setOutage(true) // Nothing below needs the platform.

		f.killAgent(5)
		time.Sleep(_exclusionBound)
		f.assertEligible(0, 1, 2, 3, 4)
		f.startAgent(5, 99) // A clock that was set back yields a lower incarnation than that of the last run.
		time.Sleep(_exclusionBound)
		f.assertEligible(0, 1, 2, 3, 4, 5)
		assert.Equal(t, f.agents[5].Self().Incarnation, service.Incarnation(101))

		f.set(f.paused, agentAddr(4), true)
		time.Sleep(_exclusionBound)
		f.assertEligible(0, 1, 2, 3, 5)
		time.Sleep(5 * time.Minute)
		f.assertEligible(0, 1, 2, 3, 5)
		f.checkNoFalseGone()
		f.set(f.paused, agentAddr(4), false)
		time.Sleep(_exclusionBound)
		f.assertEligible(0, 1, 2, 3, 4, 5)

		ctx, cancel := context.WithTimeout(context.Background(), _exclusionBound)
		defer cancel()
		assert.NilError(t, f.agents[3].Drain(ctx))
		time.Sleep(_exclusionBound)
		f.assertEligible(0, 1, 2, 4, 5)

		assert.NilError(t, f.agents[2].Close())
		f.gone[2] = 100
		time.Sleep(_exclusionBound)
		f.assertEligible(0, 1, 4, 5)
		f.checkNoFalseGone()

		f.killKeeper(1)
		time.Sleep(_settleTime)
		f.assertEligible(0, 1, 4, 5)
		for _, k := range f.keepers {
			assert.Equal(t, len(k.View().Members), 3)
		}
		f.startKeeper(1, keeper.WithPeers(memberAddr(2))) // It can't read the store, so it joins through a peer.
		time.Sleep(_exclusionBound)
		f.assertEligible(0, 1, 4, 5)
		time.Sleep(_settleTime)
		f.assertEligible(0, 1, 4, 5)
	})
}

// TestAgentPartition cuts an agent off from one keeper after another. The agent
// must stay eligible while it reaches any of them, and must not be declared gone
// once it reaches none.
func TestAgentPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 5)
		defer f.close()
		time.Sleep(_settleTime)
		for n := range len(f.keepers) {
			f.setCut(agentAddr(0), memberAddr(n), true)
			if n < len(f.keepers)-1 {
				f.assertSuspicionRefuted(0, time.Minute)
			}
		}
		time.Sleep(time.Minute)
		f.assertEligible(1, 2, 3, 4)
		for n := range f.keepers {
			f.setCut(agentAddr(0), memberAddr(n), false)
		}
		time.Sleep(_settleTime)
		f.assertEligible(0, 1, 2, 3, 4)
		f.checkNoFalseGone()
	})
}

// TestBalancerDrain drains and closes a balancer. Its agents must move to other
// keepers before it closes, and no balancer may lose an upstream.
func TestBalancerDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 5)
		defer f.close()
		time.Sleep(_settleTime)
		draining := f.keepers[0]
		assert.NilError(t, draining.Drain(t.Context()))
		f.assertSuspicionRefuted(0, 15*time.Second)
		for _, a := range f.agents {
			assert.Assert(t, !slices.Contains(a.Balancers(), memberAddr(0)))
		}
		assert.NilError(t, draining.Close())
		f.kill(memberAddr(0))
		delete(f.keepers, 0)
		f.assertSuspicionRefuted(0, _exclusionBound)
		f.assertEligible(0, 1, 2, 3, 4)
		for _, k := range f.keepers {
			assert.Equal(t, len(k.View().Members), 3)
		}
		assert.Equal(t, len(f.store.objects), 3, "the closed balancer's lease is removed")
	})
}

// TestBalancerPartition partitions the balancers into two halves. During the
// partition one agent ends and another starts. After it, all balancers must know
// both changes.
func TestBalancerPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 5)
		defer f.close()
		time.Sleep(_settleTime)
		f.store.setOutage(true)
		setPartitioned := func(cut bool) {
			for _, pair := range [][2]int{{0, 2}, {0, 3}, {1, 2}, {1, 3}} {
				f.setCut(memberAddr(pair[0]), memberAddr(pair[1]), cut)
			}
		}
		setPartitioned(true)
		f.killAgent(0)
		f.startAgent(5, 100)
		time.Sleep(2 * time.Minute)
		f.checkNoFalseGone()
		setPartitioned(false)
		time.Sleep(_settleTime)
		f.assertEligible(1, 2, 3, 4, 5)
		f.checkNoFalseGone()
		for _, k := range f.keepers {
			assert.Equal(t, len(k.View().Members), 4)
			for _, m := range k.View().Members {
				assert.Assert(t, !m.Suspect)
			}
		}
	})
}

// TestRandomFaults injects random faults, several at a time. After each fault no
// live upstream may be declared gone, and after all faults are healed every
// balancer must consider exactly the live upstreams eligible.
func TestRandomFaults(t *testing.T) {
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
				heal = append(heal, f.injectFault(random))
				time.Sleep(time.Duration(random.Int64N(int64(8 * time.Second))))
				f.checkNoFalseGone()
				if i := random.IntN(2 * len(heal)); i < len(heal) {
					heal[i]()
					heal[i] = func() {}
				}
			}
			for _, h := range heal {
				h()
			}
			f.store.setOutage(false)
			time.Sleep(3 * time.Minute) // Longer than any timeout or backoff.
			f.checkNoFalseGone()
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

// injectFault injects one random fault and returns a function that heals it. The
// returned function does nothing if the fault is the start or the end of an outage,
// or the kill or restart of a process.
func (f *fleet) injectFault(random *rand.Rand) func() {
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
