package agent

import (
	"context"
	"sync/atomic"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Counts are the agent's counters since its start.
type Counts struct {
	// Admitted counts opened flows.
	Admitted uint64 `json:"admitted"`
	// Refused counts new flows that were refused: no candidate was left to pass
	// them to, or the agent could not admit them when QUIC opened the connection.
	Refused uint64 `json:"refused"`
	// Unopened counts admissions that expired because QUIC opened no connection for them.
	Unopened uint64 `json:"unopened"`
	// Unproved counts Initials that were handed to QUIC for address validation.
	Unproved uint64 `json:"unproved"`
	// Passed counts packets of new flows that were passed to another candidate.
	Passed uint64 `json:"passed"`
	// Resets counts stateless resets sent for flows of an earlier incarnation.
	Resets uint64 `json:"resets"`
	// Forged counts wrapped packets with a wrong MAC or a malformed header.
	Forged uint64 `json:"forged"`
	// Dropped counts authentic wrapped packets that the agent could not handle,
	// most of them because they were not for this agent.
	Dropped uint64 `json:"dropped"`
}

// counters are the counters behind Counts. They are updated concurrently.
type counters struct {
	admitted, refused, unopened, unproved, passed, resets, forged, dropped atomic.Uint64
}

func (c *counters) snapshot() Counts {
	return Counts{
		Admitted: c.admitted.Load(),
		Refused:  c.refused.Load(),
		Unopened: c.unopened.Load(),
		Unproved: c.unproved.Load(),
		Passed:   c.passed.Load(),
		Resets:   c.resets.Load(),
		Forged:   c.forged.Load(),
		Dropped:  c.dropped.Load(),
	}
}

// register makes the counters and the number of open flows observable through meter.
func (a *Agent) register(meter metric.Meter) (metric.Registration, error) {
	events, err := meter.Int64ObservableCounter("dandelionhitch.agent.events",
		metric.WithDescription("New flows and packets by what was done with them"))
	if err != nil {
		return nil, trace.Wrap(err, "registering counters")
	}
	flows, err := meter.Int64ObservableGauge("dandelionhitch.agent.flows",
		metric.WithDescription("Open flows"))
	if err != nil {
		return nil, trace.Wrap(err, "registering counters")
	}
	registration, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(flows, a.flows.Load())
		a.counters.observe(o, events)
		return nil
	}, events, flows)
	return registration, trace.Wrap(err, "registering counters")
}

func (c *counters) observe(o metric.Observer, events metric.Int64Observable) {
	report := func(result string, value *atomic.Uint64) {
		o.ObserveInt64(events, int64(value.Load()), metric.WithAttributes(attribute.String("result", result)))
	}
	report("admitted", &c.admitted)
	report("refused", &c.refused)
	report("unopened", &c.unopened)
	report("unproved", &c.unproved)
	report("passed", &c.passed)
	report("reset", &c.resets)
	report("forged", &c.forged)
	report("dropped", &c.dropped)
}
