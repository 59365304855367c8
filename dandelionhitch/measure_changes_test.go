package main

import (
	"context"
	"crypto/tls"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/settings"
)

// Load during a planned change.
const (
	_changeRate    = 300
	_changeLasting = 40
	_changeLead    = 2 * time.Second
	_changeTail    = 5 * time.Second
)

// BenchmarkBrokenFlows reports the flows broken per 10,000 that were opened
// while a fleet of 3 balancers and 10 hosts changes. "quiet" is the baseline.
func BenchmarkBrokenFlows(b *testing.B) {
	changes := []struct {
		name   string
		before func(b *testing.B, f *fleet)
		change func(b *testing.B, f *fleet)
	}{
		{name: "quiet", change: func(*testing.B, *fleet) {}},
		{name: "upstream-drained", change: drainFirst},
		{name: "balancer-stopped", change: stopLast},
		{name: "balancer-joins", before: func(b *testing.B, f *fleet) { killLast(b, f) }, change: joinLast},
		{name: "limit-raised-and-lowered", change: func(b *testing.B, f *fleet) {
			changeFlows(b, f, _tryFlowLimit, 2*_tryFlowLimit, _tryFlowLimit)
		}},
		{name: "limit-below-use", change: func(b *testing.B, f *fleet) { changeFlows(b, f, _tryFlowLimit, 3, _tryFlowLimit) }},
		{name: "settings", change: changeSlots},
		{name: "agent-replaced", change: replaceFirst},
		{name: "balancer-killed", change: killLast},
	}
	for _, c := range changes {
		b.Run(c.name, func(b *testing.B) {
			f := startMeasured(b, _tryBalancers, tryValues(_tryFlowLimit),
				plannedService{name: "rutetjeneste", hosts: 7, slots: 16},
				plannedService{name: "fotoarkiv", hosts: 3, slots: 16})
			if c.before != nil {
				c.before(b, f)
			}
			b.ResetTimer()
			l := startLoad(f, _changeRate, _changeLasting)
			sleepContext(b.Context(), _changeLead)
			c.change(b, f)
			sleepContext(b.Context(), _changeTail)
			l.stop()
			b.StopTimer()
			reportLoad(b, l)
		})
	}
}

func reportLoad(b *testing.B, l *load) {
	b.ReportMetric(float64(l.flows), "flows")
	b.ReportMetric(float64(l.broken), "broken")
	b.ReportMetric(float64(l.broken)*_perTenThousand/float64(l.flows), "broken/10k")
	b.ReportMetric(float64(l.refused), "refused")
	b.ReportMetric(float64(l.goneWay), "goaway")
	b.ReportMetric(float64(quantile(l.dials, 0.5).Milliseconds()), "p50-open-ms")
	b.ReportMetric(float64(quantile(l.dials, 0.99).Milliseconds()), "p99-open-ms")
	for _, err := range l.errors {
		b.Logf("broken: %v", err)
	}
}

func drainFirst(b *testing.B, f *fleet) {
	assert.NilError(b, f.agents[0].runStop())
}

// stopLast stops a balancer as an operator does; the fabric takes it out 1 s later.
func stopLast(b *testing.B, f *fleet) {
	last := len(f.balancers) - 1
	f.killed[last] = true
	stopped := make(chan error, 1)
	stop := time.AfterFunc(0, func() { stopped <- f.balancers[last].Stop(b.Context()) })
	defer stop.Stop()
	sleepContext(b.Context(), time.Second)
	f.removeBalancer(last)
	assert.NilError(b, <-stopped)
}

func killLast(b *testing.B, f *fleet) {
	last := len(f.balancers) - 1
	assert.NilError(b, f.killBalancer(last))
	sleepContext(b.Context(), time.Second)
	f.removeBalancer(last)
}

// joinLast starts the last balancer again; the fabric hands it datagrams at once.
func joinLast(b *testing.B, f *fleet) {
	last := len(f.balancers) - 1
	node, err := newBalancerNode(f.plan.balancers[last], f.parts)
	assert.NilError(b, err)
	f.balancers[last] = node
	delete(f.killed, last)
	f.fabric.SetBalancers(f.plan.balancerAddresses()...)
}

// changeFlows takes the region's flow limit through the values.
func changeFlows(b *testing.B, f *fleet, limits ...int) {
	for i := range limits[1:] {
		before, after := tryValues(limits[i]), tryValues(limits[i+1])
		changeRegion(b, f, before, after)
	}
}

func changeRegion(b *testing.B, f *fleet, before, after settings.Values) {
	edit := settings.Edit{Path: settings.Path{Region: f.plan.region}, Before: &before, After: &after}
	assert.NilError(b, f.accept(b.Context(), "measured", edit))
	_, ok := f.awaitRevision(b.Context(), 2*_inForceWithin)
	assert.Assert(b, ok, "the change is not in force everywhere")
	sleepContext(b.Context(), time.Second)
}

// changeSlots changes how requests are treated, and changes it back.
func changeSlots(b *testing.B, f *fleet) {
	first, other := tryValues(_tryFlowLimit), tryValues(_tryFlowLimit)
	reserved, queue, timeout := 2, 32, settings.Duration(_workTimeout-time.Second)
	other.ReservedSlots, other.QueueLength, other.RequestTimeout = &reserved, &queue, &timeout
	for range 2 {
		changeRegion(b, f, first, other)
		changeRegion(b, f, other, first)
	}
}

// replaceFirst drains an agent and starts another at the same address.
func replaceFirst(b *testing.B, f *fleet) {
	drainFirst(b, f)
	config := f.plan.hosts[0].config
	cert, err := f.authority.issue(string(config.service))
	assert.NilError(b, err)
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	f.agents[0], err = newAgentNode(ctx, config, f.parts, &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13})
	assert.NilError(b, err)
}
