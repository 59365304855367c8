package leaseholder_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/leaseholder"
	"dandelionhitch.example/limit"
	"dandelionhitch.example/settings"
)

var _path = settings.Path{Region: "akl", Place: "akl-a", Name: "orders"}

// hostGroup is several hosts of one service that share one store.
type hostGroup struct {
	*testing.T
	store         memoryStore
	flows         atomic.Int64
	drainDeadline time.Duration
	holders       []*leaseholder.Leaseholder
}

func newHostGroup(t *testing.T, hosts int, opts ...leaseholder.Option) *hostGroup {
	g := &hostGroup{T: t, drainDeadline: time.Hour}
	g.flows.Store(320)
	for i := range hosts {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 443)
		l, err := leaseholder.New(&g.store, _path, limit.Run{Address: address, Incarnation: 1}, g.policy, opts...)
		assert.NilError(t, err)
		g.holders = append(g.holders, l)
		t.Cleanup(func() { _ = l.Close() })
	}
	return g
}

func (g *hostGroup) policy() settings.Service {
	flows := int(g.flows.Load())
	return settings.Service{
		Revision:      settings.Revision(flows),
		DrainDeadline: settings.Duration(g.drainDeadline),
		Limits:        settings.Limits{Flows: flows, FlowsPerUpstream: 1000, MaxHosts: 4},
	}
}

// admitAll opens flows at a host until it refuses one, and returns their number
// and the reason of the refusal.
func (g *hostGroup) admitAll(host int) (flows int, reason limit.Reason) {
	for {
		err := g.holders[host].TryAdmit()
		var refusal *limit.RefusalError
		if errors.As(err, &refusal) {
			return flows, refusal.Reason
		}
		assert.NilError(g, err)
		flows++
	}
}

// admitDuring opens as many flows as possible at a host every 10 s for the time d,
// and returns their number.
func (g *hostGroup) admitDuring(host int, d time.Duration) (total int) {
	const pause = 10 * time.Second
	for range d / pause {
		flows, _ := g.admitAll(host)
		total += flows
		time.Sleep(pause)
	}
	return total
}

func (g *hostGroup) close() {
	for _, l := range g.holders {
		assert.NilError(g, l.Close())
	}
}

// TestSharesDuringPlatformFailures takes the store through outages and lost replies.
// Without a share a host must admit nothing. After its lease has lapsed it must stay
// within its floor, and other hosts must get the rest once the store recovers.
func TestSharesDuringPlatformFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newHostGroup(t, 2)
		g.store.setMode(_unavailable)
		time.Sleep(time.Minute)
		flows, reason := g.admitAll(0)
		assert.Equal(t, fmt.Sprint(flows, reason), "0 no_share")

		g.store.setMode(_repliesLost)
		time.Sleep(10 * time.Minute)
		g.store.setMode(_healthy)
		time.Sleep(10 * time.Minute)
		open := g.admitDuring(0, 20*time.Minute)
		assert.Equal(t, open, 280, "want the whole limit except the floor of the idle host")

		g.store.setMode(_unavailable)
		time.Sleep(time.Hour)
		for range open - 39 {
			g.holders[0].Release()
		}
		flows, reason = g.admitAll(0)
		assert.Equal(t, fmt.Sprint(flows, reason), "1 lease_lapsed")
		assert.Assert(t, g.holders[0].Status().StoreError != "")
		flows, _ = g.admitAll(1)
		assert.Equal(t, flows, 40)

		g.store.setMode(_healthy)
		assert.Equal(t, g.admitDuring(1, 20*time.Minute), 240, "want the whole limit except the open flows of the other host")
		g.close()
		share, err := g.store.share()
		assert.NilError(t, err)
		assert.Equal(t, len(share.Entries), 0)
	})
}

// TestSettingsChangeTakesEffect raises the limit during an outage. It must take
// effect at once with WithUpdates, and within a second without.
func TestSettingsChangeTakesEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		updates := make(chan struct{}, 1)
		notified := newHostGroup(t, 1, leaseholder.WithUpdates(updates))
		polling := newHostGroup(t, 1)
		time.Sleep(time.Minute)
		for _, g := range []*hostGroup{notified, polling} {
			g.store.setMode(_unavailable)
			g.flows.Store(3200)
		}
		updates <- struct{}{}
		synctest.Wait()
		assert.Equal(t, notified.holders[0].Status().Allowed, 600)
		time.Sleep(time.Second)
		assert.Equal(t, polling.holders[0].Status().Allowed, 600)
	})
}

// TestCloseTimesOutDuringOutage closes a leaseholder during an outage. Close must
// return the store's error within 20 s, and no flow may be admitted afterwards.
func TestCloseTimesOutDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newHostGroup(t, 1)
		time.Sleep(time.Minute)
		g.store.setMode(_unavailable)
		start := time.Now()
		assert.ErrorContains(t, g.holders[0].Close(), "store unavailable")
		assert.Assert(t, time.Since(start) < 20*time.Second)
		_, reason := g.admitAll(0)
		assert.Equal(t, reason, limit.Draining)
	})
}

// TestShareOfConfirmedGoneRunIsReclaimed ends a run that cannot remove its
// entry from the store. The other host must remove the entry within minutes after the
// run is confirmed gone, and not before.
func TestShareOfConfirmedGoneRunIsReclaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var queries atomic.Int64
		var gone atomic.Bool
		confirm := func(_ context.Context, run limit.Run) (bool, error) {
			queries.Add(1)
			assert.Equal(t, run.Address.Addr(), netip.AddrFrom4([4]byte{127, 0, 0, 1}))
			return gone.Load(), nil
		}
		g := newHostGroup(t, 2, leaseholder.WithConfirm(confirm))
		time.Sleep(time.Minute)
		g.store.setMode(_unavailable)
		assert.ErrorContains(t, g.holders[0].Close(), "store unavailable")
		g.store.setMode(_healthy)

		entries := func() int {
			share, err := g.store.share()
			assert.NilError(t, err)
			return len(share.Entries)
		}
		time.Sleep(30 * time.Minute)
		assert.Equal(t, entries(), 2)
		assert.Assert(t, queries.Load() > 0)
		gone.Store(true)
		time.Sleep(7 * time.Minute)
		assert.Equal(t, entries(), 1)
	})
}

// worker opens and ends flows, and sets exceeded if more than maxOpen
// are open at once. It counts a flow from after its admission until before its
// release.
type worker struct {
	holder   *leaseholder.Leaseholder
	open     atomic.Int64
	maxOpen  atomic.Int64
	exceeded atomic.Bool
}

func (w *worker) run() error {
	const rounds, flows = 500, 12
	for range rounds {
		admitted := int64(0)
		for range flows {
			maxOpen := w.maxOpen.Load()
			if w.holder.TryAdmit() != nil {
				break
			}
			admitted++
			if w.open.Add(1) > maxOpen {
				w.exceeded.Store(true)
			}
		}
		w.open.Add(-admitted)
		for range admitted {
			w.holder.Release()
		}
	}
	return nil
}

// workerGroup runs eight goroutines of one worker.
type workerGroup struct {
	tomb   tomb.Tomb
	worker *worker
}

// run starts the goroutines. As long as it runs, the tomb stays alive, even if all
// goroutines that were started have ended.
func (g *workerGroup) run() error {
	for range 8 {
		g.tomb.Go(g.worker.run)
	}
	return nil
}

// TestLoweringLimitDuringAdmissions changes the limit while workers open and end
// flows. Once a lowered limit is in force, no flow may be admitted above it. The race
// detector must find no data race.
func TestLoweringLimitDuringAdmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newHostGroup(t, 1)
		time.Sleep(time.Minute)
		w := &worker{holder: g.holders[0]}
		w.maxOpen.Store(60)
		for _, flows := range []int64{160, 32, 320, 16} {
			workers := workerGroup{worker: w}
			allowed := flows * 3 / 16
			w.maxOpen.Store(max(allowed, w.maxOpen.Load()))
			workers.tomb.Go(workers.run)
			g.flows.Store(flows)
			g.holders[0].Refresh()
			w.maxOpen.Store(allowed)
			assert.NilError(t, workers.tomb.Wait())
			assert.Assert(t, !w.exceeded.Load(), "more than %d flows", allowed)
			assert.Equal(t, g.holders[0].Status().Open, 0)
			admitted, _ := g.admitAll(0)
			assert.Equal(t, admitted, int(allowed))
			for range admitted {
				g.holders[0].Release()
			}
		}
	})
}

// TestStatusRoundTrip encodes and decodes the status that the net/rpc method returns,
// and collects the metrics. A request for another service must fail.
func TestStatusRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := metric.NewManualReader()
		meter := metric.NewMeterProvider(metric.WithReader(reader)).Meter("test")
		g := newHostGroup(t, 1, leaseholder.WithMeter(meter))
		time.Sleep(time.Minute)
		g.admitAll(0)
		receiver := leaseholder.NewLimits(g.holders[0])
		var status, decoded leaseholder.Status
		assert.NilError(t, receiver.Status(&leaseholder.StatusRequest{Path: _path}, &status))
		data, err := cbor.Marshal(status)
		assert.NilError(t, err)
		assert.NilError(t, cbor.Unmarshal(data, &decoded))
		assert.NilError(t, decoded.Validate())
		assert.DeepEqual(t, decoded.Refusals, []limit.RefusalCount{{Reason: limit.Flows, Recent: 1, Total: 1}})
		assert.Equal(t, fmt.Sprint(decoded), fmt.Sprint(status))
		assert.Equal(t, status.Open, 60)
		assert.ErrorContains(t, receiver.Status(&leaseholder.StatusRequest{}, &status), "this agent serves akl/akl-a/orders")

		var metrics metricdata.ResourceMetrics
		assert.NilError(t, reader.Collect(t.Context(), &metrics))
		assert.Equal(t, len(metrics.ScopeMetrics[0].Metrics), 4)
	})
}

func FuzzStatus(f *testing.F) {
	seed, err := cbor.Marshal(leaseholder.Status{Path: _path})
	assert.NilError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var status leaseholder.Status
		if cbor.Unmarshal(data, &status) == nil && status.Validate() == nil {
			assert.Assert(t, status.Path.IsService() && status.Open >= 0)
		}
	})
}
