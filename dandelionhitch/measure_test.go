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

// _perTenThousand converts a share of the opened flows to flows per 10,000.
const _perTenThousand = 10_000

// prepareFleet starts the stand-ins of a fleet and submits its settings. It starts no
// balancers or agents.
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

// startMeasuredFleet starts a whole fleet and waits until it serves.
func startMeasuredFleet(b *testing.B, balancers int, limits settings.Values, services ...plannedService) *fleet {
	b.Helper()
	f := prepareFleet(b, balancers, limits, services...)
	startNodes(b, f)
	return f
}

// startNodes starts all balancers and agents and waits until the fleet serves.
func startNodes(b *testing.B, f *fleet) {
	b.Helper()
	assert.NilError(b, f.startBalancers())
	assert.NilError(b, f.startAgents(b.Context()))
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	assert.NilError(b, f.awaitServing(ctx))
}

// spreadServices returns services with at most ten hosts each, which have the given
// number of hosts together.
func spreadServices(hosts int) []plannedService {
	const maxHosts = 10
	var out []plannedService
	for i := 0; hosts > 0; i++ {
		n := min(maxHosts, hosts)
		out = append(out, plannedService{name: service.Name("service-" + string(rune('a'+i))), hosts: n, slots: 4})
		hosts -= n
	}
	return out
}

// loadGenerator opens short flows at a rate and holds others open with long requests. It counts
// the flows that were opened, broke, were refused, or received a GOAWAY.
type loadGenerator struct {
	tomb   tomb.Tomb
	ctx    context.Context
	cancel context.CancelFunc
	fleet  *fleet
	// tokens holds one token for each short flow that is due.
	tokens     chan struct{}
	lastNumber atomic.Uint64

	mu                              sync.Mutex
	flows, broken, refused, goAways int
	errors                          []error
	dialTimes                       []time.Duration
}

// startLoad opens rate short flows per second and holds the given number of long ones.
func startLoad(f *fleet, rate, longFlows int) *loadGenerator {
	const workers = 128
	l := &loadGenerator{fleet: f, tokens: make(chan struct{}, workers)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.tomb.Go(func() error { return l.runPace(rate) })
	for i := range workers {
		l.tomb.Go(func() error { return l.runShort(i) })
	}
	for i := range longFlows {
		l.tomb.Go(func() error { return l.runLong(i) })
	}
	return l
}

// stop ends the load after completing the requests in progress.
func (l *loadGenerator) stop() {
	l.cancel()
	l.tomb.Kill(nil)
	_ = l.tomb.Wait()
}

// runPace issues rate tokens per second. It drops a token if all workers are busy and
// the buffer is full.
func (l *loadGenerator) runPace(rate int) error {
	const tick = 20 * time.Millisecond
	for due := 0.0; sleepContext(l.ctx, tick); {
		for due += float64(rate) * tick.Seconds(); due >= 1; due-- {
			select {
			case l.tokens <- struct{}{}:
			default:
			}
		}
	}
	return nil
}

func (l *loadGenerator) runShort(i int) error {
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

func (l *loadGenerator) runLong(i int) error {
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

func (l *loadGenerator) service(i int) plannedService {
	return l.fleet.plan.services[i%len(l.fleet.plan.services)]
}

// open opens a flow to the service of worker i, or returns nil if that fails.
func (l *loadGenerator) open(i int) *standin.Caller {
	s := l.service(i)
	ctx, cancel := context.WithTimeout(context.Background(), _dialTimeout)
	defer cancel()
	start := time.Now()
	flow, err := standin.Dial(ctx, s.name, s.address, l.fleet.callerTLS())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flows++
	switch {
	case err == nil:
		l.dialTimes = append(l.dialTimes, time.Since(start))
	case standin.IsRefused(err):
		l.refused++
	default:
		l.countBroken(err)
	}
	if err != nil {
		return nil
	}
	return flow
}

// request sends one request and reports whether the flow can be used for another.
func (l *loadGenerator) request(flow *standin.Caller, path string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), _requestTimeout)
	defer cancel()
	_, err := flow.Do(ctx, standin.Request{Number: l.lastNumber.Add(1), Path: path, Upload: _uploadSize, Download: _longDownloadSize})
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		return true
	case standin.IsGoAway(err):
		l.goAways++
	default:
		l.countBroken(err)
	}
	return false
}

func (l *loadGenerator) countBroken(err error) {
	l.broken++
	if len(l.errors) < _maxKeptErrors {
		l.errors = append(l.errors, err)
	}
}

// quantile returns the q-quantile of the durations, or 0 if there are none.
func quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Clone(durations)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// measuredValues returns the region's settings with the flow limit, which also limits
// each upstream, and with the maximum number of hosts of a service at a place.
func measuredValues(flows, hosts int) settings.Values {
	values := tryValues(flows)
	values.MaxFlowsPerUpstream, values.MaxHosts = &flows, &hosts
	return values
}
