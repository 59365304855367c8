package main

import (
	"flag"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"dandelionhitch.example/standin"
)

// Fleet and times of the platform measure.
const (
	_billBalancers = 10
	_billAgents    = 50
	_billSpan      = 20 * time.Second
	_billOutage    = 60 * time.Second
)

// _quietSpan is how long the quiet fleet is watched. Shares of flow limits are
// renewed every few minutes, so a short look does not see a whole turn.
var _quietSpan = flag.Duration("quiet-span", time.Minute, "how long BenchmarkPlatformBill watches the quiet fleet")

// BenchmarkPlatformBill reports what 10 balancers and 50 agents ask of the
// platform: in quiet, which is the baseline, while all of them start again, and
// after an outage. Peaks are those of any one second.
func BenchmarkPlatformBill(b *testing.B) {
	b.Run("quiet", func(b *testing.B) {
		f := startMeasured(b, _billBalancers, tryValues(_tryFlowLimit), spreadServices(_billAgents)...)
		sleepContext(b.Context(), _controlSettle)
		reportBill(b, f, *_quietSpan)
	})
	b.Run("restart", func(b *testing.B) {
		f := startMeasured(b, _billBalancers, tryValues(_tryFlowLimit), spreadServices(_billAgents)...)
		for _, n := range f.agents {
			_ = n.Close()
		}
		for _, n := range f.balancers {
			_ = n.Close()
		}
		f.agents, f.balancers = nil, nil
		sample := startBill(f)
		start := time.Now()
		startAll(b, f)
		b.ReportMetric(time.Since(start).Seconds(), "s-until-serving")
		sleepContext(b.Context(), _billSpan)
		sample.report(b)
	})
	b.Run("outage", func(b *testing.B) {
		f := startMeasured(b, _billBalancers, tryValues(_tryFlowLimit), spreadServices(_billAgents)...)
		sleepContext(b.Context(), _controlSettle)
		f.platform.SetFaults(standin.PlatformFaults{Outage: true})
		during := startBill(f)
		sleepContext(b.Context(), _billOutage)
		during.stop()
		b.ReportMetric(float64(during.peak(func(c standin.PlatformCounts) int { return c.Cut })), "peak-cut/s")
		f.platform.SetFaults(standin.PlatformFaults{})
		reportBill(b, f, _billSpan)
	})
}

func reportBill(b *testing.B, f *fleet, span time.Duration) {
	sample := startBill(f)
	sleepContext(b.Context(), span)
	sample.report(b)
}

// bill holds the platform's counts, looked at once a second.
type bill struct {
	tomb   tomb.Tomb
	fleet  *fleet
	counts []standin.PlatformCounts
}

func startBill(f *fleet) *bill {
	s := &bill{fleet: f, counts: []standin.PlatformCounts{f.platform.Counts()}}
	s.tomb.Go(s.run)
	return s
}

func (s *bill) run() error {
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

func (s *bill) stop() {
	s.tomb.Kill(nil)
	_ = s.tomb.Wait()
}

func (s *bill) report(b *testing.B) {
	s.stop()
	reads := func(c standin.PlatformCounts) int { return c.Reads }
	writes := func(c standin.PlatformCounts) int { return c.Writes }
	watches := func(c standin.PlatformCounts) int { return c.Watches }
	nodes := float64(_billBalancers + _billAgents)
	b.ReportMetric(s.rate(reads), "reads/s")
	b.ReportMetric(s.rate(writes), "writes/s")
	b.ReportMetric(s.rate(watches), "watches/s")
	b.ReportMetric(float64(s.counts[len(s.counts)-1].Waiting), "waiting")
	b.ReportMetric(float64(s.peak(reads)), "peak-reads/s")
	b.ReportMetric(float64(s.peak(writes)), "peak-writes/s")
	b.ReportMetric(s.rate(reads)/nodes, "reads/s/node")
	b.ReportMetric(s.rate(writes)/nodes, "writes/s/node")
}

func (s *bill) rate(of func(standin.PlatformCounts) int) float64 {
	seconds := len(s.counts) - 1
	return float64(of(s.counts[seconds])-of(s.counts[0])) / float64(seconds)
}

func (s *bill) peak(of func(standin.PlatformCounts) int) int {
	most := 0
	for i := range s.counts[1:] {
		most = max(most, of(s.counts[i+1])-of(s.counts[i]))
	}
	return most
}
