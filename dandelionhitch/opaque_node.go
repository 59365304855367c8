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
	"dandelionhitch.example/evacuation"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/platform"
)

// _memoryShare is the fraction of -memory-mb set as the memory limit of the Go
// runtime. The rest is for the program's code, stacks and socket buffers.
const _memoryShare = 0.6

// opaqueNode holds the log, metrics and store client of a relay or sidecar process.
type opaqueNode struct {
	flags     *opaqueFlags
	writer    *decision.Writer
	log       *zap.Logger
	decisions *decision.Log
	metrics   *metricsServer
	// store is nil if the settings name no store.
	store *platform.Client
	// reloader is nil if the process has no settings file.
	reloader *settingsReloader
	// closers are closed in reverse order.
	closers []io.Closer
}

// openOpaqueNode opens the log, the metrics endpoint and the store client that the
// settings name. The metrics endpoint also reports readiness, as returned by ready.
func openOpaqueNode(f *opaqueFlags, ready func() bool) (*opaqueNode, error) {
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
	client, err := f.storeClient(n.log)
	if err != nil {
		return nil, trace.NewAggregate(err, n.Close())
	}
	if client != nil {
		n.store = client
		n.closers = append(n.closers, client)
	}
	return n, nil
}

// add registers c to be closed with the node, before everything added earlier.
func (n *opaqueNode) add(c io.Closer) { n.closers = append(n.closers, c) }

// Close closes everything added, in reverse order, and waits.
func (n *opaqueNode) Close() error {
	var errs []error
	for i := len(n.closers) - 1; i >= 0; i-- {
		errs = append(errs, n.closers[i].Close())
	}
	return trace.NewAggregate(errs...)
}

// awaitEnd waits until ctx is done, or until the settings file names another identity. In
// the latter case, it returns the new settings.
func (n *opaqueNode) awaitEnd(ctx context.Context) opaqueRole {
	var restarts chan opaqueRole
	if n.reloader != nil {
		restarts = n.reloader.restarts
	}
	select {
	case next := <-restarts:
		return next
	case <-ctx.Done():
		return nil
	}
}

// peerAddr returns the address at which this process receives messages of its peers.
func (n *opaqueNode) peerAddr() netip.AddrPort {
	if n.flags.peerListen.IsValid() {
		return n.flags.peerListen
	}
	return netip.AddrPortFrom(n.flags.addr, uint16(n.flags.peerPort))
}

// newHistograms creates a histogram in seconds for each decision.Span.
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

// evacuationMetrics returns the metrics of the evacuated zones that are in force.
func evacuationMetrics(state evacuation.State, flows uint64) []metricValue {
	version := platform.Version(state.Set().Version())
	return []metricValue{
		{"evacuated_zones", int64(len(state.Zones()))},
		{"evacuations_epoch", int64(version.Epoch())},
		{"evacuations_revision", int64(version.Revision())},
		{"evacuation_moved_flows", int64(flows)},
	}
}

// metricValue is the current value of one metric.
type metricValue struct {
	name  string
	value int64
}

// sharedMetrics returns the metrics common to relay and sidecar: how long this
// process has known of a newer configuration than the one in force, the counts of the
// distribution of configurations, and the bytes sent to peers by kind of message.
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

// registerMetrics registers a gauge for each value that read returns. read is called
// at each collection, and must always return the same names in the same order.
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

// histograms has one histogram for each decision.Span.
type histograms [decision.Spans]metric.Float64Histogram

// observe records the duration of a span.
func (h histograms) observe(span decision.Span, took time.Duration) {
	h[span].Record(context.Background(), took.Seconds())
}

// opaqueServices configures the services that run beside the data path of a relay or
// sidecar.
type opaqueServices struct {
	// dataPath is the relay or sidecar itself.
	dataPath registryTarget
	// ready is the readiness served to routers. control handles the heartbeats of
	// upstreams.
	ready   func() bool
	control http.Handler
	// newRole is opaqueRole.renew of this role.
	newRole func() opaqueRole
	// configTarget receives the configuration in the store. It is nil for a sidecar,
	// which does not read it.
	configTarget configurationTarget
	// storeEpoch returns the highest epoch of the store of which the process has heard. It
	// is nil for a sidecar.
	storeEpoch func() uint16
	// self, hasReported, isolated and lastStoreReadAge are the registry's fields of the
	// same names.
	self             *relayEntry
	hasReported      func(netip.Addr) bool
	isolated         func() bool
	lastStoreReadAge func() (time.Duration, bool)
}

// startServices starts the store reader, the HTTP endpoints, the registry and the
// settings reloader.
func (n *opaqueNode) startServices(s opaqueServices) error {
	f := n.flags
	if n.store != nil && s.configTarget != nil {
		reader := newStoreReader(s.configTarget, n.store, f.evacuationBound > 0, n.log)
		n.add(reader)
		if err := n.registerMetrics(reader.metrics); err != nil {
			return err
		}
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
	s.dataPath.AddRelays(f.seedAddrs())
	if n.store != nil {
		r := &registry{
			store: n.store, log: n.log, target: s.dataPath,
			self: s.self, hasReported: s.hasReported, isolated: s.isolated, lastStoreReadAge: s.lastStoreReadAge,
			storeEpoch: func() platform.Epoch { return max(n.store.Epoch(), platform.Epoch(s.storeEpoch())) },
		}
		r.start()
		n.add(r)
	}
	if err := n.registerMetrics(func() []metricValue {
		return []metricValue{{"settings_identity_changes", int64(f.identityChanges)}}
	}); err != nil {
		return err
	}
	if f.file != "" {
		n.reloader = newSettingsReloader(f, n.log, s.newRole, s.dataPath.AddRelays)
		n.add(n.reloader)
	}
	return nil
}
