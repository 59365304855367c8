package main

import (
	"flag"
	"testing"
	"time"
)

// Fleet and bounds of the measure of a flow limit.
const (
	_limitFlows = 600
	_limitHosts = 3
	_limitSpan  = 40 * time.Second
)

// _limitSettle is how long the fleet stands before the demand comes.
var _limitSettle = flag.Duration("limit-settle", 3*time.Second, "how long the fleet of BenchmarkLimitReached stands before demand comes")

// BenchmarkLimitReached reports how much of a service's flow limit a sudden
// demand for all of it can use: open flows after 5, 20 and
// 40 s, as shares of the limit. The baseline is the limit itself.
func BenchmarkLimitReached(b *testing.B) {
	f := prepareFleet(b, 1, measuredValues(_limitFlows, _limitHosts),
		plannedService{name: "rutetjeneste", hosts: _limitHosts * len(_measuredPlaces), slots: 4})
	startAll(b, f)
	all := _limitFlows * len(_measuredPlaces)
	sleepContext(b.Context(), *_limitSettle)
	b.ResetTimer()
	start := time.Now()
	o := &opener{fleet: f, jobs: make(chan struct{}, all)}
	for range all {
		o.jobs <- struct{}{}
	}
	close(o.jobs)
	for range 64 {
		o.tomb.Go(o.run)
	}
	b.Cleanup(o.close)
	shareAt := func(after time.Duration) float64 {
		sleepContext(b.Context(), time.Until(start.Add(after)))
		open := 0
		for _, a := range f.agents {
			open += a.agent.Flows()
		}
		return float64(open) / float64(all)
	}
	b.ReportMetric(shareAt(5*time.Second), "of-limit-after-5s")
	b.ReportMetric(shareAt(20*time.Second), "of-limit-after-20s")
	b.ReportMetric(shareAt(_limitSpan), "of-limit-after-40s")
	b.StopTimer()
	_ = o.tomb.Wait()
	b.ReportMetric(float64(o.refused), "refusals")
}
