package main

import (
	"context"
	"crypto/tls"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/settings"
)

// Load during a change of the fleet: flows opened per second, flows held open with long
// requests, and the time under load before and after the change.
const (
	_changeFlowRate  = 300
	_changeLongFlows = 40
	_changeLead      = 2 * time.Second
	_changeTail      = 5 * time.Second
)

// BenchmarkBrokenFlows reports the number of broken flows per 10,000 flows opened while a
// fleet of 3 balancers and 10 hosts changes. The case "quiet", without a change, is the
// baseline.
func BenchmarkBrokenFlows(b *testing.B) {
	changes := []struct {
		name   string
		before func(b *testing.B, f *fleet)
		change func(b *testing.B, f *fleet)
	}{
		{name: "quiet", change: func(*testing.B, *fleet) {}},
		{name: "upstream-drained", change: drainFirstAgent},
		{name: "balancer-stopped", change: stopLastBalancer},
		{name: "balancer-joins", before: func(b *testing.B, f *fleet) { killLastBalancer(b, f) }, change: startLastBalancer},
		{name: "limit-raised-and-lowered", change: func(b *testing.B, f *fleet) {
			changeFlowLimit(b, f, _tryFlowLimit, 2*_tryFlowLimit, _tryFlowLimit)
		}},
		{name: "limit-below-use", change: func(b *testing.B, f *fleet) { changeFlowLimit(b, f, _tryFlowLimit, 3, _tryFlowLimit) }},
		{name: "settings", change: changeRequestSettings},
		{name: "agent-replaced", change: replaceFirstAgent},
		{name: "balancer-killed", change: killLastBalancer},
	}
	for _, c := range changes {
		b.Run(c.name, func(b *testing.B) {
			f := startMeasuredFleet(b, _tryBalancers, tryValues(_tryFlowLimit),
				plannedService{name: "rutetjeneste", hosts: 7, slots: 16},
				plannedService{name: "fotoarkiv", hosts: 3, slots: 16})
			if c.before != nil {
				c.before(b, f)
			}
			b.ResetTimer()
			l := startLoad(f, _changeFlowRate, _changeLongFlows)
			sleepContext(b.Context(), _changeLead)
			c.change(b, f)
			sleepContext(b.Context(), _changeTail)
			l.stop()
			b.StopTimer()
			reportLoad(b, l)
		})
	}
}

func reportLoad(b *testing.B, l *loadGenerator) {
	b.ReportMetric(float64(l.flows), "flows")
	b.ReportMetric(float64(l.broken), "broken")
	b.ReportMetric(float64(l.broken)*_perTenThousand/float64(l.flows), "broken/10k")
	b.ReportMetric(float64(l.refused), "refused")
	b.ReportMetric(float64(l.goAways), "goaway")
	b.ReportMetric(float64(quantile(l.dialTimes, 0.5).Milliseconds()), "p50-open-ms")
	b.ReportMetric(float64(quantile(l.dialTimes, 0.99).Milliseconds()), "p99-open-ms")
	for _, err := range l.errors {
		b.Logf("broken: %v", err)
	}
}

func drainFirstAgent(b *testing.B, f *fleet) {
	assert.NilError(b, f.agents[0].runDrain())
}

// stopLastBalancer drains and stops a balancer, as an operator does. The fabric sends it
// datagrams for one more second.
func stopLastBalancer(b *testing.B, f *fleet) {
	last := len(f.balancers) - 1
	f.killed[last] = true
	stopped := make(chan error, 1)
	stop := time.AfterFunc(0, func() { stopped <- f.balancers[last].Stop(b.Context()) })
	defer stop.Stop()
	sleepContext(b.Context(), time.Second)
	f.removeBalancer(last)
	assert.NilError(b, <-stopped)
}

func killLastBalancer(b *testing.B, f *fleet) {
	last := len(f.balancers) - 1
	assert.NilError(b, f.killBalancer(last))
	sleepContext(b.Context(), time.Second)
	f.removeBalancer(last)
}

// startLastBalancer restarts the last balancer. The fabric sends it datagrams immediately.
func startLastBalancer(b *testing.B, f *fleet) {
	last := len(f.balancers) - 1
	node, err := newBalancerNode(f.plan.balancers[last], f.resources)
	assert.NilError(b, err)
	f.balancers[last] = node
	delete(f.killed, last)
	f.fabric.SetBalancers(f.plan.balancerAddresses()...)
}

// changeFlowLimit changes the region's flow limit, which is limits[0], to each of the
// other limits in turn.
func changeFlowLimit(b *testing.B, f *fleet, limits ...int) {
	for i := range limits[1:] {
		before, after := tryValues(limits[i]), tryValues(limits[i+1])
		changeRegionSettings(b, f, before, after)
	}
}

func changeRegionSettings(b *testing.B, f *fleet, before, after settings.Values) {
	edit := settings.Edit{Path: settings.Path{Region: f.plan.region}, Before: &before, After: &after}
	assert.NilError(b, f.submitEdits(b.Context(), "measured", edit))
	_, ok := f.awaitRevision(b.Context(), 2*_inForceTimeout)
	assert.Assert(b, ok, "the change did not come into force everywhere")
	sleepContext(b.Context(), time.Second)
}

// changeRequestSettings changes the settings for requests and changes them back, twice.
func changeRequestSettings(b *testing.B, f *fleet) {
	original, changed := tryValues(_tryFlowLimit), tryValues(_tryFlowLimit)
	reserved, queue, timeout := 2, 32, settings.Duration(_requestTimeout-time.Second)
	changed.ReservedSlots, changed.QueueLength, changed.RequestTimeout = &reserved, &queue, &timeout
	for range 2 {
		changeRegionSettings(b, f, original, changed)
		changeRegionSettings(b, f, changed, original)
	}
}

// replaceFirstAgent drains an agent and starts another one at its address.
func replaceFirstAgent(b *testing.B, f *fleet) {
	drainFirstAgent(b, f)
	config := f.plan.hosts[0].config
	cert, err := f.authority.issue(string(config.service))
	assert.NilError(b, err)
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	f.agents[0], err = newAgentNode(ctx, config, f.resources, &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13})
	assert.NilError(b, err)
}
