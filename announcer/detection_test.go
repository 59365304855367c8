package announcer

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// size is the number of processes in a fleet.
type size struct{ keepers, agents int }

// sizes are those at which a fleet is measured.
func sizes() []size {
	all := []size{{3, 10}, {10, 50}, {30, 150}}
	if testing.Short() {
		return all[:1]
	}
	return all
}

// TestDetection prints, with -v, how long balancers give new flows to an
// upstream that was killed, whose host vanished, or that was paused.
func TestDetection(t *testing.T) {
	for _, size := range sizes() {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, size.keepers, size.agents)
			defer f.close()
			time.Sleep(_settled)
			var spans []time.Duration
			for n := range 6 {
				agent := (n * 7) % size.agents
				heal := func() {}
				switch n % 3 {
				case 0:
					f.killAgent(agent)
				case 1:
					heal = f.vanish(agent)
				case 2:
					f.set(f.paused, agentAddr(agent), true)
					heal = func() { f.set(f.paused, agentAddr(agent), false) }
				}
				spans = append(spans, f.untilAvoided(agent))
				heal()
				time.Sleep(10*time.Second + time.Duration(n)*130*time.Millisecond)
			}
			slices.Sort(spans)
			t.Logf("%d/%d: median %v, most %v", size.keepers, size.agents, spans[len(spans)/2], spans[len(spans)-1])
			assert.Check(t, spans[len(spans)-1] <= _noNewFlows)
		})
	}
}

// vanish cuts an agent off from everyone.
func (f *fleet) vanish(agent int) (heal func()) {
	set := func(cut bool) {
		for n := range len(f.keepers) {
			f.setCut(agentAddr(agent), memberAddr(n), cut)
		}
	}
	set(true)
	return func() { set(false) }
}

// untilAvoided returns how long it takes until no balancer would give the agent
// new flows.
func (f *fleet) untilAvoided(agent int) time.Duration {
	const tick = 40 * time.Millisecond
	for span := time.Duration(0); ; span += tick {
		eligible := false
		for n := range f.keepers {
			eligible = eligible || slices.Contains(f.eligible(n), agent)
		}
		if !eligible || span > time.Minute {
			return span
		}
		time.Sleep(tick)
	}
}
