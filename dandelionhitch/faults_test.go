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

// TestKilledAgentFlowsAreReset kills an agent. New flows must go to the other agent
// of the service, and the flow that the killed agent had must be reset.
func TestKilledAgentFlowsAreReset(t *testing.T) {
	t.Parallel()
	f := startFaultFleet(t)
	const label = "rutetjeneste-1"
	flow, otherServiceFlow := f.openFlowAt(label), f.openFlowAt("fotoarkiv-1")
	f.signal(label, syscall.SIGKILL)
	assert.ErrorContains(t, f.wait(label), "killed")
	f.awaitAvoided(label)
	f.awaitReset(flow)
	f.requireUsable(otherServiceFlow)
}

// TestAgentRestartedAtSameAddress kills an agent and restarts it immediately. Flows of
// the earlier run must be reset, and the later run must get new flows.
func TestAgentRestartedAtSameAddress(t *testing.T) {
	f := startFaultFleet(t)
	const label = "rutetjeneste-1"
	flows := []*standin.Caller{f.openFlowAt(label), f.openFlowAt(label), f.openFlowAt(label)}
	f.signal(label, syscall.SIGKILL)
	assert.ErrorContains(t, f.wait(label), "killed")
	f.start("agent", label, f.agentFile(f.plan.hosts[f.hostIndex(label)]))
	for _, flow := range flows {
		f.awaitReset(flow)
	}
	f.requireUsable(f.openFlowAt(label))
}

// TestPausedAgentKeepsFlows pauses an agent with a request in progress until new flows
// avoid it. Its open flows and the request must survive the pause.
func TestPausedAgentKeepsFlows(t *testing.T) {
	t.Parallel()
	f := startFaultFleet(t)
	const label = "rutetjeneste-1"
	idle, busy := f.openFlowAt(label), f.openFlowAt(label)
	long := f.startLongRequest(busy, label)
	f.signal(label, syscall.SIGSTOP)
	pausedAt := time.Now()
	f.awaitAvoided(label)
	time.Sleep(time.Until(pausedAt.Add(_minPause)))
	f.signal(label, syscall.SIGCONT)
	long.wait(t)
	f.requireUsable(idle, busy, f.openFlowAt(label))
}

// TestResumedBalancerCatchesUpOnSettings pauses a balancer, to which the fabric still
// sends datagrams, and changes the settings meanwhile. Open flows must survive. The
// resumed balancer must adopt the new revision and never go back to an older one.
func TestResumedBalancerCatchesUpOnSettings(t *testing.T) {
	t.Parallel()
	f := startFaultFleet(t)
	flows := []*standin.Caller{f.openFlowAt("rutetjeneste-1"), f.openFlowAt("rutetjeneste-2"), f.openFlowAt("fotoarkiv-1")}
	const balancer = 1
	f.signal("balancer-2", syscall.SIGSTOP)
	pausedAt := time.Now()
	f.mustRun(f.settingsSet("-author ada -reason dawn oslo max_flows=4000"))
	f.requireUsable(flows...)
	time.Sleep(time.Until(pausedAt.Add(_minPause)))
	f.requireUsable(flows...)
	f.signal("balancer-2", syscall.SIGCONT)
	f.mustRun(f.command("settings", "status", "-wait", "-revision", "2"))
	last := f.revisionAt(balancer)
	f.retry("revision 2 in force", func() error {
		revision := f.revisionAt(balancer)
		assert.Assert(t, revision >= last, "revision %d after %d", revision, last)
		if last = revision; revision < 2 {
			return fmt.Errorf("revision %d", revision)
		}
		return nil
	})
	f.mustRun(f.settingsSet("-author ada -reason dusk -wait oslo max_flows=2000"))
	assert.Equal(t, f.revisionAt(balancer), 3)
	f.requireUsable(flows...)
}

// TestBalancerRestartAndRetriedChangeDuringOutage kills and restarts a balancer during an
// outage of the platform; open flows must survive and new ones must open. A settings change
// that fails during the outage, and is retried twice under the same ID after it, must be
// accepted exactly once.
func TestBalancerRestartAndRetriedChangeDuringOutage(t *testing.T) {
	t.Parallel()
	f := startFaultFleet(t)
	flows := []*standin.Caller{f.openFlowAt("rutetjeneste-1"), f.openFlowAt("fotoarkiv-2")}
	f.platform.SetFaults(standin.PlatformFaults{Outage: true})
	f.signal("balancer-3", syscall.SIGKILL)
	assert.ErrorContains(t, f.wait("balancer-3"), "killed")
	f.requireUsable(flows...)
	f.removeBalancer(2)
	f.requireUsable(flows...)
	f.requireUsable(f.openFlowAt("rutetjeneste-1"))

	f.start("balancer", "balancer-3", f.balancerFile(f.plan.balancers[2]))
	f.fabric.SetBalancers(f.plan.balancerAddresses()[2])
	f.requireUsable(f.openFlowAt("rutetjeneste-2"))
	f.requireUsable(flows...)

	const id = "00112233445566778899aabbccddeeff"
	const change = "-author ada -reason dawn -wait -change-id " + id + " -revision 1 oslo max_flows=4000"
	out, ok := f.runConcurrently(f.settingsSet(change))
	assert.Assert(t, !ok[0], "%s", out[0])
	t.Logf("during the outage: %s", out[0])
	assert.Assert(t, cmp.Regexp(`not known whether|platform|connection`, out[0]))

	f.platform.SetFaults(standin.PlatformFaults{})
	first := f.mustRun(f.settingsSet(change))
	second := f.mustRun(f.settingsSet(change))
	assert.Assert(t, cmp.Contains(first, id))
	assert.Assert(t, cmp.Contains(second, "revision 2 "))
	assert.Equal(t, strings.Count(f.mustRun(f.command("settings", "history", "-json")), id), 1)
	assert.Equal(t, f.revisionAt(2), 2)
	f.requireUsable(flows...)
}

// TestPausedAgentKeepsFlowsWhileAnotherDrains pauses one of a service's two agents and
// drains the other, so that for a while no agent of the service accepts flows. Callers of
// the drained agent must be asked to open another flow; flows of the paused agent must
// survive.
func TestPausedAgentKeepsFlowsWhileAnotherDrains(t *testing.T) {
	f := startFaultFleet(t)
	paused, drained := f.openFlowAt("rutetjeneste-1"), f.openFlowAt("rutetjeneste-2")
	f.signal("rutetjeneste-1", syscall.SIGSTOP)
	f.signal("rutetjeneste-2", syscall.SIGTERM)
	assert.NilError(t, f.wait("rutetjeneste-2"))
	f.awaitGoAway(drained)
	f.signal("rutetjeneste-1", syscall.SIGCONT)
	f.requireUsable(paused, f.openFlowAt("rutetjeneste-1"))
}

// TestDrainingAgentFinishesRequests stops an agent during a long request. The agent must
// finish the request before it exits, and the request must run once only.
func TestDrainingAgentFinishesRequests(t *testing.T) {
	f := startFaultFleet(t)
	const label = "rutetjeneste-1"
	flow := f.openFlowAt(label)
	long := f.startLongRequest(flow, label)
	f.signal(label, syscall.SIGTERM)
	f.awaitAvoided(label)
	long.wait(t)
	assert.Equal(t, long.answer.Upstream, label)
	assert.NilError(t, f.wait(label))
	f.awaitGoAway(flow)
	assert.Equal(t, f.upstreams[f.hostIndex(label)].Runs(long.request.Number), 1)
}

// TestConcurrentSettingsChanges submits two changes based on the same revision. If the
// changes concern the same node of the settings tree, or a node and a descendant of it,
// only one change must be accepted. If they concern different branches, both must be
// accepted.
func TestConcurrentSettingsChanges(t *testing.T) {
	f := startFaultFleet(t)
	const ada, kari = "-revision %d -author ada -reason dawn ", "-revision %d -author kari -reason crest "
	for _, tt := range []struct {
		name, first, second string
		base, accepted      int
		shown               []string
	}{
		{"the same node", ada + "oslo max_flows=4000", kari + "oslo max_flows=5000", 1, 1, []string{"+ max_flows: 4000", "+ max_flows: 5000"}},
		{"a node and one below it", ada + "oslo max_flows=6000", kari + "oslo/oslo-a/fotoarkiv slots=3", 2, 1, []string{"+ max_flows: 6000", "+ slots: 3"}},
		{"different branches", ada + "oslo/oslo-a/rutetjeneste slots=3", kari + "oslo/oslo-b/rutetjeneste slots=2", 3, 2, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			out, ok := f.runConcurrently(f.settingsSet(fmt.Sprintf(tt.first, tt.base)), f.settingsSet(fmt.Sprintf(tt.second, tt.base)))
			accepted := 0
			for i := range ok {
				if ok[i] {
					accepted++
					continue
				}
				for _, want := range append(tt.shown, "refused", "your change:", "accepted since:", "dawn", "crest") {
					assert.Check(t, cmp.Contains(out[i], want))
				}
			}
			assert.Equal(t, accepted, tt.accepted, "%q", out)
			f.mustRun(f.command("settings", "status", "-wait", "-revision", strconv.Itoa(tt.base+tt.accepted)))
		})
	}
}
