package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"dandelionhitch.example/standin"
)

// Bounds of the tests of faults.
const (
	// _faultWithin is how long anything is waited for. It is below the callers'
	// idle timeout, so that a flow that ends by that is not taken for one that was reset.
	_faultWithin = 25 * time.Second
	// _faultSpan is how long a process is paused at least; it is above the time
	// after which an upstream's silence is noticed.
	_faultSpan = 4 * time.Second
	// _faultTry bounds one attempt at something that is tried again.
	_faultTry = time.Second
	// _newFlows is how many flows in a row must open elsewhere. By chance alone
	// two upstreams that both get new flows do that once in 4,096 times.
	_newFlows = 12
)

// faultFleet is a processFleet with what the tests of faults ask of it.
type faultFleet struct {
	*processFleet
	number uint64
}

func startFaultFleet(t *testing.T) *faultFleet {
	t.Helper()
	f := &faultFleet{processFleet: startProcesses(t)}
	for _, host := range f.plan.hosts {
		f.flowAt(host.label)
	}
	return f
}

// until tries again until there is no error.
func (f *faultFleet) until(what string, try func() error) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if err := try(); err != nil {
			return poll.Continue("%s: %v", what, err)
		}
		return poll.Success()
	}, poll.WithTimeout(_faultWithin), poll.WithDelay(20*time.Millisecond))
}

// tryFlow opens one flow to the service of the host and asks which upstream has it.
func (f *faultFleet) tryFlow(host int) (*standin.Caller, string, error) {
	s := f.serviceOf(host)
	ctx, cancel := context.WithTimeout(f.t.Context(), _faultTry)
	defer cancel()
	caller, err := standin.Dial(ctx, s.name, s.address, f.callerTLS())
	if err != nil {
		return nil, "", err
	}
	f.t.Cleanup(caller.Close)
	f.number++
	answer, err := caller.Do(ctx, standin.Work{Number: f.number, Path: standin.PathShort, Download: 1000})
	if err != nil {
		caller.Close()
	}
	return caller, answer.Upstream, err
}

func (f *faultFleet) host(label string) int {
	for i, host := range f.plan.hosts {
		if host.label == label {
			return i
		}
	}
	f.t.Fatalf("no host %s", label)
	return 0
}

func (f *faultFleet) serviceOf(host int) plannedService {
	for _, s := range f.plan.services {
		if s.name == f.plan.hosts[host].config.service {
			return s
		}
	}
	return plannedService{}
}

// flowAt opens flows until one is at the upstream.
func (f *faultFleet) flowAt(label string) *standin.Caller {
	f.t.Helper()
	var flow *standin.Caller
	f.until("flow at "+label, func() error {
		caller, got, err := f.tryFlow(f.host(label))
		if err != nil {
			return err
		}
		if got != label {
			caller.Close()
			return fmt.Errorf("is at %s", got)
		}
		flow = caller
		return nil
	})
	return flow
}

// awaitAvoided waits until new flows to the service of an upstream go elsewhere.
func (f *faultFleet) awaitAvoided(label string) {
	f.t.Helper()
	f.until("new flows beside "+label, func() error {
		for range _newFlows {
			caller, got, err := f.tryFlow(f.host(label))
			if err != nil {
				return err
			}
			caller.Close()
			if got == label {
				return fmt.Errorf("one is at %s", got)
			}
		}
		return nil
	})
}

// goOn sends a request on each flow, which must stand.
func (f *faultFleet) goOn(flows ...*standin.Caller) {
	f.t.Helper()
	for _, flow := range flows {
		ctx, cancel := context.WithTimeout(f.t.Context(), _faultWithin)
		f.number++
		answer, err := flow.Do(ctx, standin.Work{Number: f.number, Path: standin.PathShort, Upload: 2000, Download: 5000})
		cancel()
		assert.NilError(f.t, err)
		assert.Equal(f.t, answer.Status, 200)
		assert.NilError(f.t, flow.Err())
	}
}

// awaitReset sends requests on a flow until it has ended, which must be by a
// stateless reset.
func (f *faultFleet) awaitReset(flow *standin.Caller) {
	f.t.Helper()
	f.until("reset", func() error {
		ctx, cancel := context.WithTimeout(f.t.Context(), _faultTry/10)
		defer cancel()
		f.number++
		_, _ = flow.Do(ctx, standin.Work{Number: f.number, Path: standin.PathShort})
		if flow.Err() == nil {
			return fmt.Errorf("the flow is open")
		}
		return nil
	})
	assert.Assert(f.t, standin.IsReset(flow.Err()), "the flow ended by %v", flow.Err())
}

// awaitMoved waits until a flow has ended, which must be because the caller was
// asked to open another.
func (f *faultFleet) awaitMoved(flow *standin.Caller) {
	f.t.Helper()
	select {
	case <-flow.Done():
	case <-time.After(_faultWithin):
	}
	assert.Assert(f.t, standin.IsGoAway(flow.Err()), "the flow ended by %v", flow.Err())
}

// longRequest is a request in progress.
type longRequest struct {
	tomb   tomb.Tomb
	ctx    context.Context
	flow   *standin.Caller
	work   standin.Work
	answer standin.Answer
}

// startLong begins a long request and returns once it runs at the upstream.
func (f *faultFleet) startLong(flow *standin.Caller, label string) *longRequest {
	f.t.Helper()
	f.number++
	r := &longRequest{ctx: f.t.Context(), flow: flow, work: standin.Work{Number: f.number, Path: standin.PathLong, Upload: 2000, Download: 500_000}}
	r.tomb.Go(r.run)
	f.until("long request at "+label, func() error {
		if f.upstreams[f.host(label)].Runs(r.work.Number) == 0 {
			return fmt.Errorf("does not run")
		}
		return nil
	})
	return r
}

func (r *longRequest) run() (err error) {
	ctx, cancel := context.WithTimeout(r.ctx, _faultWithin)
	defer cancel()
	r.answer, err = r.flow.Do(ctx, r.work)
	return err
}

// wait returns once the request has ended, which must be whole.
func (r *longRequest) wait(t *testing.T) {
	t.Helper()
	assert.NilError(t, r.tomb.Wait())
	assert.Equal(t, r.answer.Status, 200)
}

// command returns an operator's command that is to be started.
func (f *faultFleet) command(args ...string) *exec.Cmd {
	f.t.Helper()
	f.write("operator.json", mustJSON(f.t, map[string]any{
		"platform": f.platform.URL().String(), "peers": f.plan.hosts[0].config.peers,
		"control_cert": f.path("control.pem"), "control_key": f.path("control.key"), "control_ca": f.path("ca.pem"),
	}))
	command := exec.Command(os.Args[0], args...)
	command.Env = append(os.Environ(), _asProgram+"=1", "DANDELIONHITCH_CONFIG="+f.path("operator.json"))
	return command
}

// set returns an operator's change of settings, with words separated by blanks.
func (f *faultFleet) set(words string) *exec.Cmd {
	f.t.Helper()
	return f.command(append([]string{"settings", "set"}, strings.Fields(words)...)...)
}

func (f *faultFleet) mustRun(command *exec.Cmd) string {
	f.t.Helper()
	out, err := command.CombinedOutput()
	assert.NilError(f.t, err, "%s", out)
	return string(out)
}

// runTogether runs commands at once and returns what each printed and whether it succeeded.
func (f *faultFleet) runTogether(commands ...*exec.Cmd) (out []string, ok []bool) {
	f.t.Helper()
	printed := make([]bytes.Buffer, len(commands))
	for i, command := range commands {
		command.Stdout, command.Stderr = &printed[i], &printed[i]
		assert.NilError(f.t, command.Start())
	}
	for i, command := range commands {
		err := command.Wait()
		out, ok = append(out, printed[i].String()), append(ok, err == nil)
	}
	return out, ok
}

var _revisionMetric = regexp.MustCompile(`(?m)^dandelionhitch_settings_revision\S* (\d+)`)

// revisionAt returns the revision that a balancer says it has in force.
func (f *faultFleet) revisionAt(balancer int) int {
	f.t.Helper()
	found := _revisionMetric.FindStringSubmatch(f.metrics(f.plan.balancers[balancer].nodeConfig))
	assert.Assert(f.t, len(found) == 2, "no revision in the metrics")
	revision, err := strconv.Atoi(found[1])
	assert.NilError(f.t, err)
	return revision
}

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
