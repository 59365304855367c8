package announcer

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// fleetSize is the number of processes in a fleet.
type fleetSize struct{ keepers, agents int }

// fleetSizes returns the fleet sizes to measure, only the smallest with -short.
func fleetSizes() []fleetSize {
	all := []fleetSize{{3, 10}, {10, 50}, {30, 150}}
	if testing.Short() {
		return all[:1]
	}
	return all
}

// TestFailureDetectionTime checks that no balancer considers an upstream eligible
// for new flows for longer than _exclusionBound after the upstream's process was
// killed, its host became unreachable, or its process was paused. It prints the
// times with -v.
func TestFailureDetectionTime(t *testing.T) {
	for _, size := range fleetSizes() {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, size.keepers, size.agents)
			defer f.close()
			time.Sleep(_settleTime)
			var delays []time.Duration
			for n := range 6 {
				agent := (n * 7) % size.agents
				heal := func() {}
				switch n % 3 {
				case 0:
					f.killAgent(agent)
				case 1:
					heal = f.isolate(agent)
				case 2:
					f.set(f.paused, agentAddr(agent), true)
					heal = func() { f.set(f.paused, agentAddr(agent), false) }
				}
				delays = append(delays, f.timeUntilIneligible(agent))
				heal()
				time.Sleep(10*time.Second + time.Duration(n)*130*time.Millisecond)
			}
			slices.Sort(delays)
			t.Logf("%d keepers, %d agents: median %v, maximum %v", size.keepers, size.agents, delays[len(delays)/2], delays[len(delays)-1])
			assert.Check(t, delays[len(delays)-1] <= _exclusionBound)
		})
	}
}

// isolate cuts an agent off from all keepers until heal is called.
func (f *fleet) isolate(agent int) (heal func()) {
	setCuts := func(cut bool) {
		for n := range len(f.keepers) {
			f.setCut(agentAddr(agent), memberAddr(n), cut)
		}
	}
	setCuts(true)
	return func() { setCuts(false) }
}

// timeUntilIneligible waits until no balancer considers the agent eligible for new
// flows, or for a minute, and returns the time that it waited.
func (f *fleet) timeUntilIneligible(agent int) time.Duration {
	const tick = 40 * time.Millisecond
	for waited := time.Duration(0); ; waited += tick {
		eligible := false
		for n := range f.keepers {
			eligible = eligible || slices.Contains(f.eligible(n), agent)
		}
		if !eligible || waited > time.Minute {
			return waited
		}
		time.Sleep(tick)
	}
}
