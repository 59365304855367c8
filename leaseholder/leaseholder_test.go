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

// place is some hosts of one service with one store.
type place struct {
	*testing.T
	store   memoryStore
	flows   atomic.Int64
	drain   time.Duration
	holders []*leaseholder.Leaseholder
}

func newPlace(t *testing.T, hosts int, opts ...leaseholder.Option) *place {
	p := &place{T: t, drain: time.Hour}
	p.flows.Store(320)
	for i := range hosts {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 443)
		l, err := leaseholder.New(&p.store, _path, limit.Run{Address: address, Incarnation: 1}, p.policy, opts...)
		assert.NilError(t, err)
		p.holders = append(p.holders, l)
		t.Cleanup(func() { _ = l.Close() })
	}
	return p
}

func (p *place) policy() settings.Service {
	flows := int(p.flows.Load())
	return settings.Service{
		Revision:      settings.Revision(flows),
		DrainDeadline: settings.Duration(p.drain),
		Limits:        settings.Limits{Flows: flows, FlowsPerUpstream: 1000, MaxHosts: 4},
	}
}

// admit takes as many flows at a host as it admits.
func (p *place) admit(host int) (flows int, reason limit.Reason) {
	for {
		err := p.holders[host].TryAdmit()
		var refusal *limit.RefusalError
		if errors.As(err, &refusal) {
			return flows, refusal.Reason
		}
		assert.NilError(p, err)
		flows++
	}
}

// admitFor takes as many flows at a host as it admits within some time.
func (p *place) admitFor(host int, span time.Duration) (all int) {
	const pause = 10 * time.Second
	for range span / pause {
		flows, _ := p.admit(host)
		all += flows
		time.Sleep(pause)
	}
	return all
}

func (p *place) close() {
	for _, l := range p.holders {
		assert.NilError(p, l.Close())
	}
}

func TestSharesInBadWeather(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 2)
		p.store.set(_down)
		time.Sleep(time.Minute)
		flows, reason := p.admit(0)
		assert.Equal(t, fmt.Sprint(flows, reason), "0 no_share")

		p.store.set(_mute)
		time.Sleep(10 * time.Minute)
		p.store.set(_fair)
		time.Sleep(10 * time.Minute)
		open := p.admitFor(0, 20*time.Minute)
		assert.Equal(t, open, 280, "all but the floor of the idle host")

		p.store.set(_down)
		time.Sleep(time.Hour)
		for range open - 39 {
			p.holders[0].Release()
		}
		flows, reason = p.admit(0)
		assert.Equal(t, fmt.Sprint(flows, reason), "1 lease_lapsed")
		assert.Assert(t, p.holders[0].Status().StoreError != "")
		flows, _ = p.admit(1)
		assert.Equal(t, flows, 40)

		p.store.set(_fair)
		assert.Equal(t, p.admitFor(1, 20*time.Minute), 240, "all but what the other host uses")
		p.close()
		share, err := p.store.share()
		assert.NilError(t, err)
		assert.Equal(t, len(share.Entries), 0)
	})
}

func TestChangedSettingsAreFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		updates := make(chan struct{}, 1)
		told := newPlace(t, 1, leaseholder.WithUpdates(updates))
		untold := newPlace(t, 1)
		time.Sleep(time.Minute)
		for _, p := range []*place{told, untold} {
			p.store.set(_down)
			p.flows.Store(3200)
		}
		updates <- struct{}{}
		synctest.Wait()
		assert.Equal(t, told.holders[0].Status().Allowed, 600)
		time.Sleep(time.Second)
		assert.Equal(t, untold.holders[0].Status().Allowed, 600)
	})
}

func TestCloseGivesUpInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 1)
		time.Sleep(time.Minute)
		p.store.set(_down)
		start := time.Now()
		assert.ErrorContains(t, p.holders[0].Close(), "down")
		assert.Assert(t, time.Since(start) < 20*time.Second)
		_, reason := p.admit(0)
		assert.Equal(t, reason, limit.Draining)
	})
}

// TestSilentRunsAreAskedAbout leaves the entry of a run that ended, and expects
// its share back within minutes once it is confirmed gone, and not before.
func TestSilentRunsAreAskedAbout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var questions atomic.Int64
		var gone atomic.Bool
		confirm := func(_ context.Context, run limit.Run) (bool, error) {
			questions.Add(1)
			assert.Equal(t, run.Address.Addr(), netip.AddrFrom4([4]byte{127, 0, 0, 1}))
			return gone.Load(), nil
		}
		p := newPlace(t, 2, leaseholder.WithConfirm(confirm))
		time.Sleep(time.Minute)
		p.store.set(_down)
		assert.ErrorContains(t, p.holders[0].Close(), "down")
		p.store.set(_fair)

		entries := func() int {
			share, err := p.store.share()
			assert.NilError(t, err)
			return len(share.Entries)
		}
		time.Sleep(30 * time.Minute)
		assert.Equal(t, entries(), 2)
		assert.Assert(t, questions.Load() > 0)
		gone.Store(true)
		time.Sleep(7 * time.Minute)
		assert.Equal(t, entries(), 1)
	})
}

// worker opens and ends flows, and notes when more are open than may be. It
// counts a flow after it was admitted and until before it is released.
type worker struct {
	holder *leaseholder.Leaseholder
	open   atomic.Int64
	bound  atomic.Int64
	over   atomic.Bool
}

func (w *worker) run() error {
	const rounds, flows = 500, 12
	for range rounds {
		admitted := int64(0)
		for range flows {
			bound := w.bound.Load()
			if w.holder.TryAdmit() != nil {
				break
			}
			admitted++
			if w.open.Add(1) > bound {
				w.over.Store(true)
			}
		}
		w.open.Add(-admitted)
		for range admitted {
			w.holder.Release()
		}
	}
	return nil
}

// TestLoweringWhileFlowsComeAndGo is for the race detector, and expects that
// once a lowered limit is in force no flow is admitted above it.
func TestLoweringWhileFlowsComeAndGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 1)
		time.Sleep(time.Minute)
		w := &worker{holder: p.holders[0]}
		w.bound.Store(60)
		for _, flows := range []int64{160, 32, 320, 16} {
			var workers tomb.Tomb
			allowed := flows * 3 / 16
			w.bound.Store(max(allowed, w.bound.Load()))
			for range 8 {
				workers.Go(w.run)
			}
			p.flows.Store(flows)
			p.holders[0].Refresh()
			w.bound.Store(allowed)
			assert.NilError(t, workers.Wait())
			assert.Assert(t, !w.over.Load(), "more than %d flows", allowed)
			assert.Equal(t, p.holders[0].Status().Open, 0)
			admitted, _ := p.admit(0)
			assert.Equal(t, admitted, int(allowed))
			for range admitted {
				p.holders[0].Release()
			}
		}
	})
}

func TestStatusOverTheWire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := metric.NewManualReader()
		meter := metric.NewMeterProvider(metric.WithReader(reader)).Meter("test")
		p := newPlace(t, 1, leaseholder.WithMeter(meter))
		time.Sleep(time.Minute)
		p.admit(0)
		receiver := leaseholder.NewLimits(p.holders[0])
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
