package main

import (
	"flag"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"dandelionhitch.example/standin"
)

// Fleet of BenchmarkPlatformBill, duration of a measurement, and duration of the outage.
const (
	_platformBalancers = 10
	_platformAgents    = 50
	_platformDuration  = 20 * time.Second
	_platformOutage    = 60 * time.Second
)

// _quietDuration is how long the idle fleet is measured. Agents renew their shares of
// flow limits every few minutes, so a short measurement misses renewals.
var _quietDuration = flag.Duration("quiet-span", time.Minute, "how long BenchmarkPlatformBill watches the quiet fleet")

// BenchmarkPlatformBill reports the calls that 10 balancers and 50 agents make to the
// platform: while idle, which is the baseline, during a restart of all of them, and after
// an outage. A peak is the highest number of calls in one second.
func BenchmarkPlatformBill(b *testing.B) {
	b.Run("quiet", func(b *testing.B) {
		f := startMeasuredFleet(b, _platformBalancers, tryValues(_tryFlowLimit), spreadServices(_platformAgents)...)
		sleepContext(b.Context(), _controlWarmUp)
		reportPlatformCalls(b, f, *_quietDuration)
	})
	b.Run("restart", func(b *testing.B) {
		f := startMeasuredFleet(b, _platformBalancers, tryValues(_tryFlowLimit), spreadServices(_platformAgents)...)
		for _, n := range f.agents {
			_ = n.Close()
		}
		for _, n := range f.balancers {
			_ = n.Close()
		}
		f.agents, f.balancers = nil, nil
		sample := startPlatformSampler(f)
		start := time.Now()
		startNodes(b, f)
		b.ReportMetric(time.Since(start).Seconds(), "s-until-serving")
		sleepContext(b.Context(), _platformDuration)
		sample.report(b)
	})
	b.Run("outage", func(b *testing.B) {
		f := startMeasuredFleet(b, _platformBalancers, tryValues(_tryFlowLimit), spreadServices(_platformAgents)...)
		sleepContext(b.Context(), _controlWarmUp)
		f.platform.SetFaults(standin.PlatformFaults{Outage: true})
		during := startPlatformSampler(f)
		sleepContext(b.Context(), _platformOutage)
		during.stop()
		b.ReportMetric(float64(during.peak(func(c standin.PlatformCounts) int { return c.Aborted })), "peak-cut/s")
		f.platform.SetFaults(standin.PlatformFaults{})
		reportPlatformCalls(b, f, _platformDuration)
	})
}

// reportPlatformCalls measures the calls during span and reports them.
func reportPlatformCalls(b *testing.B, f *fleet, span time.Duration) {
	sample := startPlatformSampler(f)
	sleepContext(b.Context(), span)
	sample.report(b)
}

// platformSampler reads the call counts of the stand-in platform once per second.
type platformSampler struct {
	tomb   tomb.Tomb
	fleet  *fleet
	counts []standin.PlatformCounts
}

func startPlatformSampler(f *fleet) *platformSampler {
	s := &platformSampler{fleet: f, counts: []standin.PlatformCounts{f.platform.Counts()}}
	s.tomb.Go(s.run)
	return s
}

func (s *platformSampler) run() error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.counts = append(s.counts, s.fleet.platform.Counts())
		case <-s.tomb.Dying():
			return nil
		}
	}
}

func (s *platformSampler) stop() {
	s.tomb.Kill(nil)
	_ = s.tomb.Wait()
}

func (s *platformSampler) report(b *testing.B) {
	s.stop()
	reads := func(c standin.PlatformCounts) int { return c.Reads }
	writes := func(c standin.PlatformCounts) int { return c.Writes }
	watches := func(c standin.PlatformCounts) int { return c.Watches }
	nodes := float64(_platformBalancers + _platformAgents)
	b.ReportMetric(s.rate(reads), "reads/s")
	b.ReportMetric(s.rate(writes), "writes/s")
	b.ReportMetric(s.rate(watches), "watches/s")
	b.ReportMetric(float64(s.counts[len(s.counts)-1].Waiting), "waiting")
	b.ReportMetric(float64(s.peak(reads)), "peak-reads/s")
	b.ReportMetric(float64(s.peak(writes)), "peak-writes/s")
	b.ReportMetric(s.rate(reads)/nodes, "reads/s/node")
	b.ReportMetric(s.rate(writes)/nodes, "writes/s/node")
}

// rate returns the mean number per second of the calls that the function count selects.
func (s *platformSampler) rate(count func(standin.PlatformCounts) int) float64 {
	seconds := len(s.counts) - 1
	return float64(count(s.counts[seconds])-count(s.counts[0])) / float64(seconds)
}

// peak returns the highest number in one second of the calls that the function count
// selects.
func (s *platformSampler) peak(count func(standin.PlatformCounts) int) int {
	highest := 0
	for i := range s.counts[1:] {
		highest = max(highest, count(s.counts[i+1])-count(s.counts[i]))
	}
	return highest
}
