package balancer

import (
	"context"
	"sync/atomic"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"dandelionhitch.example/route"
)

// Counts holds the numbers of datagrams since the balancer's start, by what was done
// with them.
type Counts struct {
	// ByCID counts datagrams forwarded to the agent that their connection ID names.
	ByCID uint64 `json:"by_cid"`
	// ByHash counts datagrams of new flows, forwarded to the candidate that hashing
	// ranks first.
	ByHash uint64 `json:"by_hash"`
	// Replies counts agents' replies that were unwrapped and sent to callers.
	Replies uint64 `json:"replies"`
	// Resets counts callers' datagrams that were answered with a stateless reset.
	Resets uint64 `json:"resets"`
	// ResetsWithheld counts datagrams that were not answered with a stateless reset
	// because the rate of resets was exceeded.
	ResetsWithheld uint64 `json:"resets_withheld"`
	// TooLarge counts callers' datagrams that would exceed the MTU when wrapped.
	TooLarge uint64 `json:"too_large"`
	// Forged counts packets at the agents' socket with a wrong MAC or a malformed
	// header.
	Forged uint64 `json:"forged"`
	// Foreign counts authentic wrapped packets that are not replies through this
	// balancer for one of its service addresses.
	Foreign uint64 `json:"foreign"`
	// Unsent counts datagrams that could not be written to a socket.
	Unsent uint64 `json:"unsent"`
	// Dropped counts callers' datagrams that were dropped, by the name of the
	// route.Drop reason.
	Dropped map[string]uint64 `json:"dropped"`
}

// counters are the counters behind Counts. They are updated concurrently.
type counters struct {
	byCID, byHash, replies, resets, resetsWithheld atomic.Uint64
	tooLarge, forged, foreign, unsent              atomic.Uint64
	dropped                                        [route.DropReasons + 1]atomic.Uint64
}

func (c *counters) drop(reason route.Drop) {
	if int(reason) < len(c.dropped) {
		c.dropped[reason].Add(1)
	}
}

// received returns the number of datagrams from callers and agents that were
// forwarded or answered. Drain uses it to detect that traffic has stopped.
func (c *counters) received() uint64 {
	return c.byCID.Load() + c.byHash.Load() + c.replies.Load() + c.resets.Load()
}

func (c *counters) snapshot() Counts {
	out := Counts{
		ByCID:          c.byCID.Load(),
		ByHash:         c.byHash.Load(),
		Replies:        c.replies.Load(),
		Resets:         c.resets.Load(),
		ResetsWithheld: c.resetsWithheld.Load(),
		TooLarge:       c.tooLarge.Load(),
		Forged:         c.forged.Load(),
		Foreign:        c.foreign.Load(),
		Unsent:         c.unsent.Load(),
		Dropped:        make(map[string]uint64, route.DropReasons),
	}
	for i := 1; i < len(c.dropped); i++ {
		out.Dropped[route.Drop(i).String()] = c.dropped[i].Load()
	}
	return out
}

// register makes the counters observable through meter.
func (c *counters) register(meter metric.Meter) (metric.Registration, error) {
	packets, err := meter.Int64ObservableCounter("dandelionhitch.balancer.datagrams",
		metric.WithDescription("Datagrams by what was done with them"))
	if err != nil {
		return nil, trace.Wrap(err, "registering counters")
	}
	registration, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		c.observe(o, packets)
		return nil
	}, packets)
	return registration, trace.Wrap(err, "registering counters")
}

func (c *counters) observe(o metric.Observer, packets metric.Int64Observable) {
	report := func(result string, value *atomic.Uint64) {
		o.ObserveInt64(packets, int64(value.Load()), metric.WithAttributes(attribute.String("result", result)))
	}
	report("by_cid", &c.byCID)
	report("by_hash", &c.byHash)
	report("reply", &c.replies)
	report("reset", &c.resets)
	report("reset_withheld", &c.resetsWithheld)
	report("too_large", &c.tooLarge)
	report("forged", &c.forged)
	report("foreign", &c.foreign)
	report("unsent", &c.unsent)
	for i := 1; i < len(c.dropped); i++ {
		report("dropped_"+route.Drop(i).String(), &c.dropped[i])
	}
}
