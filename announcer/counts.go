package announcer

import (
	"context"
	"sync/atomic"

	"go.opentelemetry.io/otel/metric"
)

// counts holds the announcer's counters: heartbeats sent, heartbeats that failed,
// refuted suspicions, and adopted incarnations.
type counts struct {
	heartbeats, failures, refutations, adoptions atomic.Int64
}

// observe registers the counters with the meter. Registration errors are ignored:
// the counter is then not exported.
func (c *counts) observe(meter metric.Meter) {
	for name, counter := range map[string]*atomic.Int64{
		"heartbeats":         &c.heartbeats,
		"heartbeat_failures": &c.failures,
		"refutations":        &c.refutations,
		"adoptions":          &c.adoptions,
	} {
		callback := func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(counter.Load())
			return nil
		}
		_, _ = meter.Int64ObservableCounter("dandelionhitch.announcer."+name, metric.WithInt64Callback(callback))
	}
}
