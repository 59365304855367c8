package main

import (
	"flag"
	"testing"
	"time"
)

// Flow limit and hosts at each place, and duration of BenchmarkLimitReached.
const (
	_limitFlowsPerPlace = 600
	_limitHostsPerPlace = 3
	_limitDuration      = 40 * time.Second
)

// _limitWarmUp is how long the fleet runs before the demand begins.
var _limitWarmUp = flag.Duration("limit-settle", 3*time.Second, "how long the fleet of BenchmarkLimitReached stands before demand comes")

// BenchmarkLimitReached reports how much of a service's flow limit a sudden demand for
// the whole limit can use: the open flows after 5, 20 and 40 s as a share of the limit,
// which is the baseline.
func BenchmarkLimitReached(b *testing.B) {
	f := prepareFleet(b, 1, measuredValues(_limitFlowsPerPlace, _limitHostsPerPlace),
		plannedService{name: "rutetjeneste", hosts: _limitHostsPerPlace * len(_measuredPlaces), slots: 4})
	startNodes(b, f)
	limit := _limitFlowsPerPlace * len(_measuredPlaces)
	sleepContext(b.Context(), *_limitWarmUp)
	b.ResetTimer()
	start := time.Now()
	o := &flowOpener{fleet: f, jobs: make(chan struct{}, limit)}
	for range limit {
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
		return float64(open) / float64(limit)
	}
	b.ReportMetric(shareAt(5*time.Second), "of-limit-after-5s")
	b.ReportMetric(shareAt(20*time.Second), "of-limit-after-20s")
	b.ReportMetric(shareAt(_limitDuration), "of-limit-after-40s")
	b.StopTimer()
	_ = o.tomb.Wait()
	b.ReportMetric(float64(o.refused), "refusals")
}
