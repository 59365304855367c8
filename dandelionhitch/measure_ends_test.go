package main

import (
	"context"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/roster"
	"dandelionhitch.example/standin"
)

// Fleet, load and bounds of BenchmarkUpstreamEnds. _endsBaseline is how long it measures
// the load before the event; _slowOpen is the time above which an opening counts as slow.
const (
	_endsHosts        = 4
	_endsPollInterval = 2 * time.Millisecond
	_endsTimeout      = 30 * time.Second
	_resetTimeout     = 15 * time.Second
	_endsFlowRate     = 100 // flows opened per second
	_endsBaseline     = 2 * time.Second
	_endsDialsPerHost = 16
	_slowOpen         = 250 * time.Millisecond
)

// measuredProcesses is a fleet of a benchmark whose agents, and in some benchmarks
// balancers, are separate processes.
type measuredProcesses struct {
	*processFleet
	b *testing.B
}

func newMeasuredProcesses(b *testing.B, f *fleet) *measuredProcesses {
	return &measuredProcesses{processFleet: newProcessFleet(b, f), b: b}
}

// startAgentProcesses starts the agents as processes and waits until all are eligible
// for new flows at every balancer.
func (p *measuredProcesses) startAgentProcesses() {
	for _, host := range p.plan.hosts {
		p.start("agent", host.label, p.agentFile(host))
	}
	ok := p.waitForBalancers(_endsTimeout, func(b *balancerNode) bool { return len(b.keeper.View().Services[1]) == len(p.plan.hosts) })
	assert.Assert(p.b, ok, "not all agents are eligible")
}

// waitForBalancers waits up to limit until the condition holds at every balancer, and
// reports whether it does.
func (p *measuredProcesses) waitForBalancers(limit time.Duration, holds func(*balancerNode) bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(_endsPollInterval) {
		all := true
		for _, node := range p.balancers {
			all = all && holds(node)
		}
		if all {
			return true
		}
	}
	return false
}

func isEligible(node *balancerNode, agent netip.AddrPort) bool {
	for _, c := range node.keeper.View().Services[1] {
		if c.Data == agent {
			return true
		}
	}
	return false
}

// isGone reports whether the balancer considers the run, or a later run at its address,
// gone.
func isGone(node *balancerNode, agent roster.GoneRun) bool {
	for _, run := range node.keeper.View().Gone {
		if run.Data == agent.Data && run.Incarnation >= agent.Incarnation {
			return true
		}
	}
	return false
}

// eligibleRunAt returns the eligible run at the address.
func (p *measuredProcesses) eligibleRunAt(agent netip.AddrPort) roster.GoneRun {
	for _, c := range p.balancers[0].keeper.View().Services[1] {
		if c.Data == agent {
			return roster.GoneRun{Data: agent, Incarnation: c.Incarnation}
		}
	}
	p.b.Fatalf("no agent at %s", agent)
	return roster.GoneRun{}
}

// BenchmarkUpstreamEnds reports, for an agent process that is killed, paused or stopped in
// a fleet with 3 balancers: the seconds until no balancer offers it new flows, until every
// balancer considers it gone, and until an idle flow that it held is reset. How long new
// flows take to open before the event is the baseline for the flows opened after it.
func BenchmarkUpstreamEnds(b *testing.B) {
	for _, c := range []struct {
		name   string
		signal syscall.Signal
		gone   bool
	}{{"killed", syscall.SIGKILL, true}, {"paused", syscall.SIGSTOP, false}, {"told-to-stop", syscall.SIGTERM, true}} {
		b.Run(c.name, func(b *testing.B) {
			f := prepareFleet(b, _tryBalancers, tryValues(_tryFlowLimit),
				plannedService{name: "rutetjeneste", hosts: _endsHosts, slots: 16})
			assert.NilError(b, f.startBalancers())
			p := newMeasuredProcesses(b, f)
			p.startAgentProcesses()
			host := f.plan.hosts[0]
			run := p.eligibleRunAt(host.config.data)
			idle := p.idleFlowAt(host.label)
			before := startLoad(f, _endsFlowRate, 0)
			sleepContext(b.Context(), _endsBaseline)
			before.stop()
			b.ResetTimer()
			start := time.Now()
			assert.NilError(b, p.processes[host.label].Process.Signal(c.signal))
			after := startLoad(f, _endsFlowRate, 0)
			avoided := p.waitForBalancers(_endsTimeout, func(n *balancerNode) bool { return !isEligible(n, host.config.data) })
			b.ReportMetric(time.Since(start).Seconds(), "s-no-new-flows")
			assert.Assert(b, avoided, "a balancer still offers the agent new flows")
			if c.gone {
				p.reportGone(b, run, start, idle)
			} else {
				sleepContext(b.Context(), 3*_endsBaseline)
				b.ReportMetric(boolMetric(isGone(f.balancers[0], run)), "judged-gone")
				assert.NilError(b, p.processes[host.label].Process.Signal(syscall.SIGCONT))
				answer, err := idle.Do(b.Context(), standin.Request{Number: 1, Path: standin.PathShort})
				b.ReportMetric(boolMetric(err == nil && answer.Status == http.StatusOK), "flow-lives-on")
				b.Logf("after the pause: status %d, %v", answer.Status, err)
			}
			after.stop()
			b.StopTimer()
			b.ReportMetric(float64(after.broken), "failed-opens-or-requests")
			b.ReportMetric(float64(len(after.dialTimes)), "opens")
			b.ReportMetric(float64(countSlow(after.dialTimes)), "slow-opens")
			b.ReportMetric(quantile(before.dialTimes, 0.99).Seconds(), "p99-open-before-s")
			b.ReportMetric(quantile(after.dialTimes, 0.99).Seconds(), "p99-open-after-s")
			b.ReportMetric(quantile(after.dialTimes, 1).Seconds(), "max-open-after-s")
			for _, err := range after.errors {
				b.Logf("failed: %v", err)
			}
		})
	}
}

// reportGone waits until every balancer considers the run gone, then until the idle flow
// that the run held ends, and reports both times.
func (p *measuredProcesses) reportGone(b *testing.B, agent roster.GoneRun, start time.Time, idle *standin.Caller) {
	gone := p.waitForBalancers(_endsTimeout, func(n *balancerNode) bool { return isGone(n, agent) })
	confirmed := time.Now()
	b.ReportMetric(boolMetric(gone), "judged-gone")
	b.ReportMetric(confirmed.Sub(start).Seconds(), "s-gone")
	select {
	case <-idle.Done():
		b.ReportMetric(time.Since(confirmed).Seconds(), "s-gone-to-flow-end")
		b.ReportMetric(boolMetric(standin.IsReset(idle.Err())), "by-reset")
		b.Logf("the idle flow ended: %v", idle.Err())
	case <-time.After(_resetTimeout):
		b.ReportMetric(boolMetric(false), "by-reset")
	}
}

// idleFlowAt opens flows until one is at the upstream, and returns that flow.
func (p *measuredProcesses) idleFlowAt(label string) *standin.Caller {
	s := p.plan.services[0]
	for i := range uint64(_endsDialsPerHost * _endsHosts) {
		ctx, cancel := context.WithTimeout(p.b.Context(), _dialTimeout)
		flow, err := standin.Dial(ctx, s.name, s.address, p.callerTLS())
		if err != nil {
			// The processes have just started and may not accept flows yet.
			cancel()
			sleepContext(p.b.Context(), _endsPollInterval)
			continue
		}
		answer, err := flow.Do(ctx, standin.Request{Number: i + 1, Path: standin.PathShort})
		cancel()
		assert.NilError(p.b, err)
		p.b.Cleanup(flow.Close)
		if answer.Upstream == label {
			return flow
		}
	}
	p.b.Fatalf("no flow opened at %s", label)
	return nil
}

// countSlow returns how many flows took longer than _slowOpen to open.
func countSlow(dialTimes []time.Duration) int {
	n := 0
	for _, d := range dialTimes {
		if d > _slowOpen {
			n++
		}
	}
	return n
}

func boolMetric(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}
