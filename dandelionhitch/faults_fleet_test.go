package main

import (
	"bytes"
	"context"
	"fmt"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"
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
func (r *longRequest) wait(t testing.TB) {
	t.Helper()
	assert.NilError(t, r.tomb.Wait())
	assert.Equal(t, r.answer.Status, 200)
}

// set returns an operator's change of settings, with words separated by blanks.
func (f *faultFleet) set(words string) *exec.Cmd {
	f.t.Helper()
	return f.command(append([]string{"settings", "set"}, strings.Fields(words)...)...)
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
