package main

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/distribution"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/platform"
)

// _memoryShare is the part of a process's memory that the Go runtime may fill;
// the rest is for the program itself, stacks and socket buffers.
const _memoryShare = 0.6

// opaqueNode is what relay and sidecar share: log, metrics, store.
type opaqueNode struct {
	flags   *opaqueFlags
	writer  *decision.Writer
	log     *zap.Logger
	decisions *decision.Log
	metrics *metricsServer
	store   platform.Store
	closers []io.Closer
}

// openOpaqueNode opens what the flags name.
func openOpaqueNode(f *opaqueFlags, ready func() bool) (*opaqueNode, error) {
	surviveSignals()
	debug.SetMemoryLimit(int64(float64(f.memoryMB) * _memoryShare * (1 << 20)))
	n := &opaqueNode{flags: f, writer: decision.NewWriter(f.logOutput)}
	n.log = newLogger(n.writer, f.logLevel).With(zap.String("node", f.node))
	n.decisions = decision.NewLog(n.log)
	n.closers = append(n.closers, n.writer)
	var err error
	if n.metrics, err = newMetricsServer(f.metrics, ready); err != nil {
		return nil, trace.Wrap(err)
	}
	n.closers = append(n.closers, n.metrics)
	client, err := f.storeClient()
	if err != nil {
		return nil, trace.NewAggregate(err, n.Close())
	}
	if client != nil {
		n.store = client
		n.closers = append(n.closers, client)
	}
	return n, nil
}

// add makes the node close c before what was added earlier.
func (n *opaqueNode) add(c io.Closer) { n.closers = append(n.closers, c) }

// Close closes everything, the newest first, and waits.
func (n *opaqueNode) Close() error {
	var errs []error
	for i := len(n.closers) - 1; i >= 0; i-- {
		errs = append(errs, n.closers[i].Close())
	}
	return trace.NewAggregate(errs...)
}

// peerAddr is where this process takes messages of others.
func (n *opaqueNode) peerAddr() netip.AddrPort {
	if n.flags.peerListen.IsValid() {
		return n.flags.peerListen
	}
	return netip.AddrPortFrom(n.flags.addr, uint16(n.flags.peerPort))
}

// spans returns a function that records measured times in histograms.
func (n *opaqueNode) newHistograms() (histograms, error) {
	var h histograms
	for span := range decision.Spans {
		histogram, err := n.metrics.meter().Float64Histogram(
			"dandelionhitch_"+span.String(), metric.WithUnit("s"),
			metric.WithExplicitBucketBoundaries(.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5),
		)
		if err != nil {
			return h, trace.Wrap(err, "histogram %s", span)
		}
		h[span] = histogram
	}
	return h, nil
}

// figure is one counter or gauge of a process.
type metricValue struct {
	name  string
	value int64
}

// sharedFigures tells how far behind a process is, what configurations cost, and what it
// has sent to others by kind of message.
func sharedMetrics(behind time.Duration, c distribution.Counts, traffic peer.Traffic) []metricValue {
	values := []metricValue{
		{"settings_behind_ms", behind.Milliseconds()},
		{"settings_sent_bytes", int64(c.SentBytes)},
		{"settings_got_bytes", int64(c.GotBytes)},
		{"settings_served", int64(c.Served)},
		{"settings_deferred", int64(c.Deferred)},
		{"settings_asked", int64(c.Asked)},
		{"settings_whole", int64(c.Whole)},
		{"settings_changes", int64(c.Changes)},
		{"settings_refused", int64(c.Refused)},
	}
	for i := range peer.Kinds {
		kind := (peer.KindOffer + peer.Kind(i)).String()
		values = append(values,
			metricValue{"sent_near_" + kind + "_bytes", int64(traffic.Near[i])}, metricValue{"sent_far_" + kind + "_bytes", int64(traffic.Far[i])})
	}
	return values
}

// observeFigures makes the metrics read a process's figures when they are asked.
func (n *opaqueNode) registerMetrics(read func() []metricValue) error {
	meter := n.metrics.meter()
	var instruments []metric.Int64ObservableGauge
	var observables []metric.Observable
	for _, f := range read() {
		gauge, err := meter.Int64ObservableGauge("dandelionhitch_" + f.name)
		if err != nil {
			return trace.Wrap(err, "metric %s", f.name)
		}
		instruments = append(instruments, gauge)
		observables = append(observables, gauge)
	}
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for i, f := range read() {
			o.ObserveInt64(instruments[i], f.value)
		}
		return nil
	}, observables...)
	return trace.Wrap(err, "register metrics")
}

// histograms are the measured times of a process.
type histograms [decision.Spans]metric.Float64Histogram

// observe records a measured time.
func (h histograms) observe(span decision.Span, took time.Duration) {
	h[span].Record(context.Background(), took.Seconds())
}

// opaqueServices is what a relay or sidecar has beside its data path, and what
// differs between them.
type opaqueServices struct {
	// target is the data path.
	dataPath registryTarget
	// ready answers routers, and control upstreams.
	ready   func() bool
	control http.Handler
	// settings returns settings of this role that hold nothing yet.
	newRole func() opaqueRole
	// configured is nil for a sidecar, which does not read the configuration in the store.
	configTarget configurationTarget
	// self, heard, alone and storeSeen are those of a registry.
	self      *relayEntry
	heardFrom     func(netip.Addr) bool
	isolated     func() bool
	storeContactAge func() (time.Duration, bool)
}

// startServices starts what a process has beside its data path.
func (n *opaqueNode) startServices(s opaqueServices) error {
	f := n.flags
	if n.store != nil && s.configTarget != nil {
		n.add(newStoreReader(s.configTarget, n.store, n.log))
	}
	ready, err := newHTTPServer("readiness", f.ready, platform.ReadyHandler(s.ready))
	if err != nil {
		return err
	}
	n.add(ready)
	control, err := newHTTPServer("control", f.control, s.control)
	if err != nil {
		return err
	}
	n.add(control)
	s.dataPath.Introduce(f.seedAddrs())
	if n.store != nil {
		r := &registry{
			store: n.store, log: n.log, target: s.dataPath,
			self: s.self, heardFrom: s.heardFrom, isolated: s.isolated, storeContactAge: s.storeContactAge,
		}
		r.start()
		n.add(r)
	}
	read := func(path string) ([]netip.Addr, error) { return readSeeds(path, s.newRole()) }
	n.add(newSettingsReloader(f.file, n.log, read, s.dataPath.Introduce))
	return nil
}
