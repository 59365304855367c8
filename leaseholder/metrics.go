package leaseholder

import (
	"context"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/gravitational/trace"
)

// calls counts the calls to the platform, and their conflicts and failures.
type calls struct {
	reads     atomic.Int64
	writes    atomic.Int64
	conflicts atomic.Int64
	failures  atomic.Int64
}

// registerMetrics registers the instruments with a callback that reports their
// values on collection.
func (l *Leaseholder) registerMetrics() error {
	meter := l.opts.meter
	open, err1 := meter.Int64ObservableGauge("dandelionhitch.limit.open_flows")
	allowed, err2 := meter.Int64ObservableGauge("dandelionhitch.limit.allowed_flows")
	refused, err3 := meter.Int64ObservableCounter("dandelionhitch.limit.refused_flows")
	platformCalls, err4 := meter.Int64ObservableCounter("dandelionhitch.limit.platform_calls")
	if err := trace.NewAggregate(err1, err2, err3, err4); err != nil {
		return trace.Wrap(err)
	}
	observe := func(_ context.Context, o metric.Observer) error {
		status := l.Status()
		service := attribute.String("service", l.path.String())
		o.ObserveInt64(open, int64(status.Open), metric.WithAttributes(service))
		o.ObserveInt64(allowed, int64(status.Allowed), metric.WithAttributes(service))
		for _, count := range status.Refusals {
			reason := attribute.Stringer("reason", count.Reason)
			o.ObserveInt64(refused, int64(count.Total), metric.WithAttributes(service, reason))
		}
		l.calls.observe(o, platformCalls, service)
		return nil
	}
	registration, err := meter.RegisterCallback(observe, open, allowed, refused, platformCalls)
	l.metrics = registration
	return trace.Wrap(err)
}

func (c *calls) observe(o metric.Observer, counter metric.Int64Observable, service attribute.KeyValue) {
	for kind, count := range map[string]*atomic.Int64{
		"read":     &c.reads,
		"write":    &c.writes,
		"conflict": &c.conflicts,
		"failure":  &c.failures,
	} {
		o.ObserveInt64(counter, count.Load(), metric.WithAttributes(service, attribute.String("kind", kind)))
	}
}
