package main

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
	"dandelionhitch.example/standin"
)

// _measuredPlaces are the places of every measured fleet.
var _measuredPlaces = []service.Place{"oslo-a", "oslo-b", "oslo-c"}

// _perTenThousand is the unit of shares of flows.
const _perTenThousand = 10_000

// prepareFleet starts the stand-ins and accepts the settings, without processes.
func prepareFleet(b *testing.B, balancers int, limits settings.Values, services ...plannedService) *fleet {
	b.Helper()
	layout, err := newPlan("oslo", _measuredPlaces, balancers, services...)
	assert.NilError(b, err)
	b.Cleanup(func() { layout.Close() })
	f, err := newFleet(b.Context(), layout, limits, zap.NewNop())
	assert.NilError(b, err)
	b.Cleanup(func() { _ = f.Close() })
	return f
}

// startMeasured starts a whole fleet and waits until it serves.
func startMeasured(b *testing.B, balancers int, limits settings.Values, services ...plannedService) *fleet {
	b.Helper()
	f := prepareFleet(b, balancers, limits, services...)
	startAll(b, f)
	return f
}

func startAll(b *testing.B, f *fleet) {
	b.Helper()
	assert.NilError(b, f.startBalancers())
	assert.NilError(b, f.startAgents(b.Context()))
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	assert.NilError(b, f.awaitServing(ctx))
}

// spreadServices returns services that share the hosts, at most ten each.
func spreadServices(hosts int) []plannedService {
	const most = 10
	var out []plannedService
	for i := 0; hosts > 0; i++ {
		n := min(most, hosts)
		out = append(out, plannedService{name: service.Name("service-" + string(rune('a'+i))), hosts: n, slots: 4})
		hosts -= n
	}
	return out
}

// load opens flows at a rate and keeps others open with a request in progress.
type load struct {
	tomb    tomb.Tomb
	ctx     context.Context
	cancel  context.CancelFunc
	fleet   *fleet
	tokens  chan struct{}
	numbers atomic.Uint64

	mu                              sync.Mutex
	flows, broken, refused, goneWay int
	errors                          []error
	dials                           []time.Duration
}

// startLoad opens rate flows a second and holds lasting ones.
func startLoad(f *fleet, rate, lasting int) *load {
	const workers = 128
	l := &load{fleet: f, tokens: make(chan struct{}, workers)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.tomb.Go(func() error { return l.runPace(rate) })
	for i := range workers {
		l.tomb.Go(func() error { return l.runShort(i) })
	}
	for i := range lasting {
		l.tomb.Go(func() error { return l.runLasting(i) })
	}
	return l
}

// stop ends the load. Requests in progress are finished.
func (l *load) stop() {
	l.cancel()
	l.tomb.Kill(nil)
	_ = l.tomb.Wait()
}

func (l *load) runPace(rate int) error {
	const slice = 20 * time.Millisecond
	for owed := 0.0; sleepContext(l.ctx, slice); {
		for owed += float64(rate) * slice.Seconds(); owed >= 1; owed-- {
			select {
			case l.tokens <- struct{}{}:
			default:
			}
		}
	}
	return nil
}

func (l *load) runShort(i int) error {
	for {
		select {
		case <-l.tokens:
			if flow := l.open(i); flow != nil {
				l.request(flow, standin.PathShort)
				flow.Close()
			}
		case <-l.ctx.Done():
			return nil
		}
	}
}

func (l *load) runLasting(i int) error {
	for l.ctx.Err() == nil {
		flow := l.open(i)
		for flow != nil && l.ctx.Err() == nil && l.request(flow, standin.PathLong) {
		}
		if flow != nil {
			flow.Close()
		}
	}
	return nil
}

func (l *load) service(i int) plannedService {
	return l.fleet.plan.services[i%len(l.fleet.plan.services)]
}

// open opens a flow, or returns nil.
func (l *load) open(i int) *standin.Caller {
	s := l.service(i)
	ctx, cancel := context.WithTimeout(context.Background(), _flowTimeout)
	defer cancel()
	start := time.Now()
	flow, err := standin.Dial(ctx, s.name, s.address, l.fleet.callerTLS())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flows++
	switch {
	case err == nil:
		l.dials = append(l.dials, time.Since(start))
	case standin.IsRefused(err):
		l.refused++
	default:
		l.fail(err)
	}
	if err != nil {
		return nil
	}
	return flow
}

// request reports whether the flow can be used on.
func (l *load) request(flow *standin.Caller, path string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), _workTimeout)
	defer cancel()
	_, err := flow.Do(ctx, standin.Work{Number: l.numbers.Add(1), Path: path, Upload: _upload, Download: _exportSize})
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		return true
	case standin.IsGoAway(err):
		l.goneWay++
	default:
		l.fail(err)
	}
	return false
}

func (l *load) fail(err error) {
	l.broken++
	if len(l.errors) < _keptErrors {
		l.errors = append(l.errors, err)
	}
}

// quantile returns the value at share q of the durations.
func quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Clone(durations)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// measuredValues are the region's settings with a flow limit that also holds
// for each upstream, of which there are at most so many at a place.
func measuredValues(flows, hosts int) settings.Values {
	values := tryValues(flows)
	values.MaxFlowsPerUpstream, values.MaxHosts = &flows, &hosts
	return values
}
