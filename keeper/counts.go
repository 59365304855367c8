package keeper

import (
	"context"

	"go.opentelemetry.io/otel/metric"
)

// counts are the keeper's counters, guarded by its lock.
type counts struct {
	heartbeats, exchanges, exchangeFailures int64
	suspicions, probes, verdicts            int64
	leaseWrites, leaseReads, leaseFailures  int64
}

// observe registers the metrics: the counters and the number of roster entries.
func (k *Keeper) observe() {
	for name, read := range map[string]func() int64{
		"heartbeats":        func() int64 { return k.counts.heartbeats },
		"exchanges":         func() int64 { return k.counts.exchanges },
		"exchange_failures": func() int64 { return k.counts.exchangeFailures },
		"suspicions":        func() int64 { return k.counts.suspicions },
		"probes":            func() int64 { return k.counts.probes },
		"verdicts":          func() int64 { return k.counts.verdicts },
		"lease_writes":      func() int64 { return k.counts.leaseWrites },
		"lease_reads":       func() int64 { return k.counts.leaseReads },
		"lease_failures":    func() int64 { return k.counts.leaseFailures },
	} {
		_, _ = k.options.meter.Int64ObservableCounter("dandelionhitch.keeper."+name, k.callback(read))
	}
	_, _ = k.options.meter.Int64ObservableGauge("dandelionhitch.keeper.entries",
		k.callback(func() int64 { return int64(k.roster.Len()) }))
}

func (k *Keeper) callback(read func() int64) metric.Int64ObservableOption {
	return metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
		k.mu.Lock()
		defer k.mu.Unlock()
		o.Observe(read())
		return nil
	})
}
