package dispatcher

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// telemetry holds the dispatcher's metrics.
type telemetry struct {
	answers      metric.Int64Counter
	waits        metric.Float64Histogram
	registration metric.Registration
}

// newTelemetry registers the metrics of d with meter.
func newTelemetry(meter metric.Meter, d *Dispatcher) (telemetry, error) {
	var t telemetry
	var err error
	t.answers, err = meter.Int64Counter("dandelionhitch.dispatcher.answers",
		metric.WithDescription("answers by how they came about"))
	if err != nil {
		return t, err
	}
	t.waits, err = meter.Float64Histogram("dandelionhitch.dispatcher.wait", metric.WithUnit("s"),
		metric.WithDescription("time that requests waited for a slot"))
	if err != nil {
		return t, err
	}
	load, err := meter.Int64ObservableGauge("dandelionhitch.dispatcher.load",
		metric.WithDescription("load level, 0 to 7"))
	if err != nil {
		return t, err
	}
	t.registration, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(load, int64(d.Load()))
		return nil
	}, load)
	return t, err
}

// countAnswer counts one answer under the label how, which names the way in which
// the answer came about.
func (t *telemetry) countAnswer(how string) {
	t.answers.Add(context.Background(), 1, metric.WithAttributes(attribute.String("how", how)))
}

// recordWait records how long a request that starts now has waited for a slot.
func (t *telemetry) recordWait(wait time.Duration) {
	t.waits.Record(context.Background(), wait.Seconds())
}

func (t *telemetry) close() error { return t.registration.Unregister() }
