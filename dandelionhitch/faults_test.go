package main

import (
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"dandelionhitch.example/standin"
)

// TestFlowsOfAKilledAgentAreReset kills an agent. New flows go to the other
// one, and a flow from before is reset.
func TestFlowsOfAKilledAgentAreReset(t *testing.T) {
	t.Parallel()
	f := startFaultFleet(t)
	const label = "rutetjeneste-1"
	flow, other := f.flowAt(label), f.flowAt("fotoarkiv-1")
	f.signal(label, syscall.SIGKILL)
	assert.ErrorContains(t, f.wait(label), "killed")
	f.awaitAvoided(label)
	f.awaitReset(flow)
	f.goOn(other)
}

// TestAKilledAgentServesAgainAtItsAddress kills an agent and starts it again
// at once. Flows of the earlier run are reset, and the later run gets new ones.
func TestAKilledAgentServesAgainAtItsAddress(t *testing.T) {
	f := startFaultFleet(t)
	const label = "rutetjeneste-1"
	flows := []*standin.Caller{f.flowAt(label), f.flowAt(label), f.flowAt(label)}
	f.signal(label, syscall.SIGKILL)
	assert.ErrorContains(t, f.wait(label), "killed")
	f.start("agent", label, f.agentFile(f.plan.hosts[f.host(label)]))
	for _, flow := range flows {
		f.awaitReset(flow)
	}
	f.goOn(f.flowAt(label))
}

// TestAPausedAgentKeepsItsFlows pauses an agent with a request in progress
// until new flows avoid it. Nothing that was open may end.
func TestAPausedAgentKeepsItsFlows(t *testing.T) {
	t.Parallel()
	f := startFaultFleet(t)
	const label = "rutetjeneste-1"
	silent, busy := f.flowAt(label), f.flowAt(label)
	long := f.startLong(busy, label)
	f.signal(label, syscall.SIGSTOP)
	paused := time.Now()
	f.awaitAvoided(label)
	time.Sleep(time.Until(paused.Add(_faultSpan)))
	f.signal(label, syscall.SIGCONT)
	long.wait(t)
	f.goOn(silent, busy, f.flowAt(label))
}

// TestAPausedBalancerComesBackUpToDate pauses a balancer that the fabric goes
// on handing datagrams to, and changes the settings meanwhile.
func TestAPausedBalancerComesBackUpToDate(t *testing.T) {
	t.Parallel()
	f := startFaultFleet(t)
	flows := []*standin.Caller{f.flowAt("rutetjeneste-1"), f.flowAt("rutetjeneste-2"), f.flowAt("fotoarkiv-1")}
	const balancer = 1
	f.signal("balancer-2", syscall.SIGSTOP)
	paused := time.Now()
	f.mustRun(f.set("-author ada -reason dawn oslo max_flows=4000"))
	f.goOn(flows...)
	time.Sleep(time.Until(paused.Add(_faultSpan)))
	f.goOn(flows...)
	f.signal("balancer-2", syscall.SIGCONT)
	f.mustRun(f.command("settings", "status", "-wait", "-revision", "2"))
	seen := f.revisionAt(balancer)
	f.until("revision 2", func() error {
		now := f.revisionAt(balancer)
		assert.Assert(t, now >= seen, "revision %d after %d", now, seen)
		if seen = now; now < 2 {
			return fmt.Errorf("revision %d", now)
		}
		return nil
	})
	f.mustRun(f.set("-author ada -reason dusk -wait oslo max_flows=2000"))
	assert.Equal(t, f.revisionAt(balancer), 3)
	f.goOn(flows...)
}

// TestFleetLivesThroughAnOutage cuts the platform off, kills a balancer, and
// lets an operator try a change whose id is settled afterwards.
func TestFleetLivesThroughAnOutage(t *testing.T) {
	t.Parallel()
	f := startFaultFleet(t)
	flows := []*standin.Caller{f.flowAt("rutetjeneste-1"), f.flowAt("fotoarkiv-2")}
	f.platform.SetFaults(standin.PlatformFaults{Outage: true})
	f.signal("balancer-3", syscall.SIGKILL)
	assert.ErrorContains(t, f.wait("balancer-3"), "killed")
	f.goOn(flows...)
	f.removeBalancer(2)
	f.goOn(flows...)
	f.goOn(f.flowAt("rutetjeneste-1"))

	f.start("balancer", "balancer-3", f.balancerFile(f.plan.balancers[2]))
	f.fabric.SetBalancers(f.plan.balancerAddresses()[2])
	f.goOn(f.flowAt("rutetjeneste-2"))
	f.goOn(flows...)

	const id = "00112233445566778899aabbccddeeff"
	const change = "-author ada -reason dawn -wait -change-id " + id + " -revision 1 oslo max_flows=4000"
	out, ok := f.runTogether(f.set(change))
	assert.Assert(t, !ok[0], "%s", out[0])
	t.Logf("during the outage: %s", out[0])
	assert.Assert(t, cmp.Regexp(`not known whether|platform|connection`, out[0]))

	f.platform.SetFaults(standin.PlatformFaults{})
	first := f.mustRun(f.set(change))
	again := f.mustRun(f.set(change))
	assert.Assert(t, cmp.Contains(first, id))
	assert.Assert(t, cmp.Contains(again, "revision 2 "))
	assert.Equal(t, strings.Count(f.mustRun(f.command("settings", "history", "-json")), id), 1)
	assert.Equal(t, f.revisionAt(2), 2)
	f.goOn(flows...)
}

// TestAnAgentIsPausedWhileAnotherIsDrained takes both upstreams of a service
// away at once, and expects the flows of the paused one to go on afterwards.
func TestAnAgentIsPausedWhileAnotherIsDrained(t *testing.T) {
	f := startFaultFleet(t)
	paused, drained := f.flowAt("rutetjeneste-1"), f.flowAt("rutetjeneste-2")
	f.signal("rutetjeneste-1", syscall.SIGSTOP)
	f.signal("rutetjeneste-2", syscall.SIGTERM)
	assert.NilError(t, f.wait("rutetjeneste-2"))
	f.awaitMoved(drained)
	f.signal("rutetjeneste-1", syscall.SIGCONT)
	f.goOn(paused, f.flowAt("rutetjeneste-1"))
}

// TestADrainedAgentEndsItsRequests tells an agent to stop under a long request.
func TestADrainedAgentEndsItsRequests(t *testing.T) {
	f := startFaultFleet(t)
	const label = "rutetjeneste-1"
	flow := f.flowAt(label)
	long := f.startLong(flow, label)
	f.signal(label, syscall.SIGTERM)
	f.awaitAvoided(label)
	long.wait(t)
	assert.Equal(t, long.answer.Upstream, label)
	assert.NilError(t, f.wait(label))
	f.awaitMoved(flow)
	assert.Equal(t, f.upstreams[f.host(label)].Runs(long.work.Number), 1)
}

// TestTwoOperatorsAtOnce runs two changes that are based on the same revision:
// of the same node one lands, and of different branches both do.
func TestTwoOperatorsAtOnce(t *testing.T) {
	f := startFaultFleet(t)
	const ada, kari = "-revision %d -author ada -reason dawn ", "-revision %d -author kari -reason crest "
	for _, tt := range []struct {
		name, first, second string
		base, land          int
		shown               []string
	}{
		{"the same node", ada + "oslo max_flows=4000", kari + "oslo max_flows=5000", 1, 1, []string{"+ max_flows: 4000", "+ max_flows: 5000"}},
		{"a node and one below it", ada + "oslo max_flows=6000", kari + "oslo/oslo-a/fotoarkiv slots=3", 2, 1, []string{"+ max_flows: 6000", "+ slots: 3"}},
		{"different branches", ada + "oslo/oslo-a/rutetjeneste slots=3", kari + "oslo/oslo-b/rutetjeneste slots=2", 3, 2, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			out, ok := f.runTogether(f.set(fmt.Sprintf(tt.first, tt.base)), f.set(fmt.Sprintf(tt.second, tt.base)))
			landed := 0
			for i := range ok {
				if ok[i] {
					landed++
					continue
				}
				for _, want := range append(tt.shown, "refused", "your change:", "accepted since:", "dawn", "crest") {
					assert.Check(t, cmp.Contains(out[i], want))
				}
			}
			assert.Equal(t, landed, tt.land, "%q", out)
			f.mustRun(f.command("settings", "status", "-wait", "-revision", strconv.Itoa(tt.base+tt.land)))
		})
	}
}
