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

// Bounds of the fault tests.
const (
	// _faultTimeout bounds each wait. It is below the callers' idle timeout, so that a
	// test does not mistake a flow that times out for one that was reset.
	_faultTimeout = 25 * time.Second
	// _minPause is the minimum time for which a process is paused. It is longer than
	// the time after which balancers notice that an upstream is silent.
	_minPause = 4 * time.Second
	// _attemptTimeout bounds one attempt of an operation that is retried.
	_attemptTimeout = time.Second
	// _avoidingFlows is how many flows in a row must open at another upstream before a test
	// concludes that new flows avoid an upstream. If two upstreams both get new flows, 12
	// flows in a row avoid one of the two by chance once in 4,096 times.
	_avoidingFlows = 12
)

// faultFleet is a processFleet with the helpers of the fault tests.
type faultFleet struct {
	*processFleet
	// lastNumber is the number of the latest request.
	lastNumber uint64
}

// startFaultFleet starts a fleet and waits until each upstream has received a flow.
func startFaultFleet(t *testing.T) *faultFleet {
	t.Helper()
	f := &faultFleet{processFleet: startProcesses(t)}
	for _, host := range f.plan.hosts {
		f.openFlowAt(host.label)
	}
	return f
}

// retry calls attempt until it returns no error. It fails the test after _faultTimeout.
func (f *faultFleet) retry(what string, attempt func() error) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if err := attempt(); err != nil {
			return poll.Continue("%s: %v", what, err)
		}
		return poll.Success()
	}, poll.WithTimeout(_faultTimeout), poll.WithDelay(20*time.Millisecond))
}

// openFlow opens one flow to the service of the host, and returns it with the label of
// the upstream that answers a request on it.
func (f *faultFleet) openFlow(host int) (*standin.Caller, string, error) {
	s := f.serviceOf(host)
	ctx, cancel := context.WithTimeout(f.t.Context(), _attemptTimeout)
	defer cancel()
	caller, err := standin.Dial(ctx, s.name, s.address, f.callerTLS())
	if err != nil {
		return nil, "", err
	}
	f.t.Cleanup(caller.Close)
	f.lastNumber++
	answer, err := caller.Do(ctx, standin.Request{Number: f.lastNumber, Path: standin.PathShort, Download: 1000})
	if err != nil {
		caller.Close()
	}
	return caller, answer.Upstream, err
}

// hostIndex returns the index of the host in the plan.
func (f *faultFleet) hostIndex(label string) int {
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

// openFlowAt opens flows until one is at the upstream, and returns that flow.
func (f *faultFleet) openFlowAt(label string) *standin.Caller {
	f.t.Helper()
	var flow *standin.Caller
	f.retry("open a flow at "+label, func() error {
		caller, got, err := f.openFlow(f.hostIndex(label))
		if err != nil {
			return err
		}
		if got != label {
			caller.Close()
			return fmt.Errorf("the flow is at %s", got)
		}
		flow = caller
		return nil
	})
	return flow
}

// awaitAvoided waits until new flows to the service of an upstream go to its other upstreams.
func (f *faultFleet) awaitAvoided(label string) {
	f.t.Helper()
	f.retry("new flows avoid "+label, func() error {
		for range _avoidingFlows {
			caller, got, err := f.openFlow(f.hostIndex(label))
			if err != nil {
				return err
			}
			caller.Close()
			if got == label {
				return fmt.Errorf("a new flow is at %s", got)
			}
		}
		return nil
	})
}

// requireUsable sends a request on each flow and fails the test unless it is answered.
func (f *faultFleet) requireUsable(flows ...*standin.Caller) {
	f.t.Helper()
	for _, flow := range flows {
		ctx, cancel := context.WithTimeout(f.t.Context(), _faultTimeout)
		f.lastNumber++
		answer, err := flow.Do(ctx, standin.Request{Number: f.lastNumber, Path: standin.PathShort, Upload: 2000, Download: 5000})
		cancel()
		assert.NilError(f.t, err)
		assert.Equal(f.t, answer.Status, 200)
		assert.NilError(f.t, flow.Err())
	}
}

// awaitReset sends requests on a flow until the flow has ended, and fails the test
// unless a stateless reset ended it.
func (f *faultFleet) awaitReset(flow *standin.Caller) {
	f.t.Helper()
	f.retry("flow ends", func() error {
		ctx, cancel := context.WithTimeout(f.t.Context(), _attemptTimeout/10)
		defer cancel()
		f.lastNumber++
		_, _ = flow.Do(ctx, standin.Request{Number: f.lastNumber, Path: standin.PathShort})
		if flow.Err() == nil {
			return fmt.Errorf("the flow is still open")
		}
		return nil
	})
	assert.Assert(f.t, standin.IsReset(flow.Err()), "the flow ended by %v", flow.Err())
}

// awaitGoAway waits until a flow has ended, and fails the test unless it ended because
// the service had asked the caller to open another flow.
func (f *faultFleet) awaitGoAway(flow *standin.Caller) {
	f.t.Helper()
	select {
	case <-flow.Done():
	case <-time.After(_faultTimeout):
	}
	assert.Assert(f.t, standin.IsGoAway(flow.Err()), "the flow ended by %v", flow.Err())
}

// longRequest is a request in progress.
type longRequest struct {
	tomb    tomb.Tomb
	ctx     context.Context
	flow    *standin.Caller
	request standin.Request
	answer  standin.Answer
}

// startLongRequest sends a long request and returns once it runs at the upstream.
func (f *faultFleet) startLongRequest(flow *standin.Caller, label string) *longRequest {
	f.t.Helper()
	f.lastNumber++
	r := &longRequest{ctx: f.t.Context(), flow: flow, request: standin.Request{Number: f.lastNumber, Path: standin.PathLong, Upload: 2000, Download: 500_000}}
	r.tomb.Go(r.run)
	f.retry("long request runs at "+label, func() error {
		if f.upstreams[f.hostIndex(label)].Runs(r.request.Number) == 0 {
			return fmt.Errorf("the request does not run yet")
		}
		return nil
	})
	return r
}

func (r *longRequest) run() (err error) {
	ctx, cancel := context.WithTimeout(r.ctx, _faultTimeout)
	defer cancel()
	r.answer, err = r.flow.Do(ctx, r.request)
	return err
}

// wait waits for the answer and fails the test unless the answer is complete.
func (r *longRequest) wait(t testing.TB) {
	t.Helper()
	assert.NilError(t, r.tomb.Wait())
	assert.Equal(t, r.answer.Status, 200)
}

// settingsSet returns the command "settings set" with args, which are separated by blanks.
func (f *faultFleet) settingsSet(args string) *exec.Cmd {
	f.t.Helper()
	return f.command(append([]string{"settings", "set"}, strings.Fields(args)...)...)
}

// runConcurrently runs commands concurrently and returns the output of each and
// whether it succeeded.
func (f *faultFleet) runConcurrently(commands ...*exec.Cmd) (out []string, ok []bool) {
	f.t.Helper()
	outputs := make([]bytes.Buffer, len(commands))
	for i, command := range commands {
		command.Stdout, command.Stderr = &outputs[i], &outputs[i]
		assert.NilError(f.t, command.Start())
	}
	for i, command := range commands {
		err := command.Wait()
		out, ok = append(out, outputs[i].String()), append(ok, err == nil)
	}
	return out, ok
}

var _revisionMetric = regexp.MustCompile(`(?m)^dandelionhitch_settings_revision\S* (\d+)`)

// revisionAt returns the revision that is in force according to a balancer's metrics.
func (f *faultFleet) revisionAt(balancer int) int {
	f.t.Helper()
	match := _revisionMetric.FindStringSubmatch(f.metrics(f.plan.balancers[balancer].nodeConfig))
	assert.Assert(f.t, len(match) == 2, "no revision in the metrics")
	revision, err := strconv.Atoi(match[1])
	assert.NilError(f.t, err)
	return revision
}
