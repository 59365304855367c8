package announcer

import (
	"context"
	"sync/atomic"

	"go.opentelemetry.io/otel/metric"
)

// counts are the announcer's counters.
type counts struct {
	heartbeats, failures, refutations, adoptions atomic.Int64
}

// observe reports the counters. One that the meter refuses is not reported.
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
