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

// Bounds of the measure of upstreams' ends.
const (
	_endsHosts    = 4
	_endsPoll     = 2 * time.Millisecond
	_endsWithin   = 30 * time.Second
	_resetWithin  = 15 * time.Second
	_endsRate     = 100
	_endsLead     = 2 * time.Second
	_endsFlows    = 16
	_endsSlowOpen = 250 * time.Millisecond
)

// measuredProcesses is a fleet whose agents, and balancers if asked for, are
// processes of their own.
type measuredProcesses struct {
	*processFleet
	b *testing.B
}

func newMeasuredProcesses(b *testing.B, f *fleet) *measuredProcesses {
	return &measuredProcesses{processFleet: newProcessFleet(b, f), b: b}
}

// runAgents starts the agents as processes and waits until all are eligible.
func (p *measuredProcesses) runAgents() {
	for _, host := range p.plan.hosts {
		p.start("agent", host.label, p.agentFile(host))
	}
	ok := p.until(_endsWithin, func(b *balancerNode) bool { return len(b.keeper.View().Services[1]) == len(p.plan.hosts) })
	assert.Assert(p.b, ok, "not all agents are eligible")
}

// until waits until the condition holds at every balancer.
func (p *measuredProcesses) until(limit time.Duration, holds func(*balancerNode) bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(_endsPoll) {
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

// isGone reports whether the run has ended; earlier runs at its address have.
func isGone(node *balancerNode, agent roster.GoneRun) bool {
	for _, run := range node.keeper.View().Gone {
		if run.Data == agent.Data && run.Incarnation >= agent.Incarnation {
			return true
		}
	}
	return false
}

// runAt returns the eligible run at the address.
func (p *measuredProcesses) runAt(agent netip.AddrPort) roster.GoneRun {
	for _, c := range p.balancers[0].keeper.View().Services[1] {
		if c.Data == agent {
			return roster.GoneRun{Data: agent, Incarnation: c.Incarnation}
		}
	}
	p.b.Fatalf("no agent at %s", agent)
	return roster.GoneRun{}
}

// BenchmarkUpstreamEnds reports, for an agent process that is killed, paused or
// told to stop under 3 balancers: seconds until no balancer offers it new flows,
// until all hold it for gone, and until a silent flow that it held is reset.
// Opening times of new flows before the end are the baseline of those after it.
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
			p.runAgents()
			host := f.plan.hosts[0]
			run := p.runAt(host.config.data)
			silent := p.silentFlow(host.label)
			before := startLoad(f, _endsRate, 0)
			sleepContext(b.Context(), _endsLead)
			before.stop()
			b.ResetTimer()
			start := time.Now()
			assert.NilError(b, p.processes[host.label].Process.Signal(c.signal))
			after := startLoad(f, _endsRate, 0)
			out := p.until(_endsWithin, func(n *balancerNode) bool { return !isEligible(n, host.config.data) })
			b.ReportMetric(time.Since(start).Seconds(), "s-no-new-flows")
			assert.Assert(b, out, "a balancer still offers new flows")
			if c.gone {
				p.reportGone(b, run, start, silent)
			} else {
				sleepContext(b.Context(), 3*_endsLead)
				b.ReportMetric(asNumber(isGone(f.balancers[0], run)), "judged-gone")
				assert.NilError(b, p.processes[host.label].Process.Signal(syscall.SIGCONT))
				answer, err := silent.Do(b.Context(), standin.Work{Number: 1, Path: standin.PathShort})
				b.ReportMetric(asNumber(err == nil && answer.Status == http.StatusOK), "flow-lives-on")
				b.Logf("after the pause: status %d, %v", answer.Status, err)
			}
			after.stop()
			b.StopTimer()
			b.ReportMetric(float64(after.broken), "failed-opens-or-requests")
			b.ReportMetric(float64(len(after.dials)), "opens")
			b.ReportMetric(float64(slow(after.dials)), "slow-opens")
			b.ReportMetric(quantile(before.dials, 0.99).Seconds(), "p99-open-before-s")
			b.ReportMetric(quantile(after.dials, 0.99).Seconds(), "p99-open-after-s")
			b.ReportMetric(quantile(after.dials, 1).Seconds(), "max-open-after-s")
			for _, err := range after.errors {
				b.Logf("failed: %v", err)
			}
		})
	}
}

// reportGone waits for the verdict and the reset of a flow without requests.
func (p *measuredProcesses) reportGone(b *testing.B, agent roster.GoneRun, start time.Time, silent *standin.Caller) {
	gone := p.until(_endsWithin, func(n *balancerNode) bool { return isGone(n, agent) })
	confirmed := time.Now()
	b.ReportMetric(asNumber(gone), "judged-gone")
	b.ReportMetric(confirmed.Sub(start).Seconds(), "s-gone")
	select {
	case <-silent.Done():
		b.ReportMetric(time.Since(confirmed).Seconds(), "s-gone-to-flow-end")
		b.ReportMetric(asNumber(standin.IsReset(silent.Err())), "by-reset")
		b.Logf("the silent flow ended: %v", silent.Err())
	case <-time.After(_resetWithin):
		b.ReportMetric(asNumber(false), "by-reset")
	}
}

// silentFlow opens flows until one is at the upstream, and keeps that one.
func (p *measuredProcesses) silentFlow(label string) *standin.Caller {
	s := p.plan.services[0]
	for i := range uint64(_endsFlows * _endsHosts) {
		ctx, cancel := context.WithTimeout(p.b.Context(), _flowTimeout)
		flow, err := standin.Dial(ctx, s.name, s.address, p.callerTLS())
		if err != nil {
			// The processes have just been started.
			cancel()
			sleepContext(p.b.Context(), _endsPoll)
			continue
		}
		answer, err := flow.Do(ctx, standin.Work{Number: i + 1, Path: standin.PathShort})
		cancel()
		assert.NilError(p.b, err)
		p.b.Cleanup(flow.Close)
		if answer.Upstream == label {
			return flow
		}
	}
	p.b.Fatalf("no flow came to %s", label)
	return nil
}

func slow(dials []time.Duration) int {
	n := 0
	for _, d := range dials {
		if d > _endsSlowOpen {
			n++
		}
	}
	return n
}

func asNumber(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}
