package follower

import (
	"context"
	"net/netip"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
)

// Bounds of a follower.
const (
	_offerRing     = 16 // offers that wait
	_pastDocuments = 3  // documents kept besides the one in force
	_startPeers    = 3  // answers of other processes awaited at the start
	_startTries    = 8  // processes asked for them
	_fetchTimeout  = 2 * time.Second
	_askInterval   = 30 * time.Second // mean time between asking one process
	_firstInterval = time.Second      // the same while there are no settings
	_pollInterval  = 2 * time.Minute  // mean time between reads of the head while not watching
	_turnInterval  = 2 * time.Second  // mean time between looks at whether to watch
	_watchSpan     = 30 * time.Second // time after which it is decided anew who watches
	_retryPause    = time.Second      // mean pause after a failure
)

// Fetch asks the process at addr for its settings: the rpc named by Method.
type Fetch func(ctx context.Context, addr netip.AddrPort, request FetchRequest) (FetchReply, error)

// Option changes a Follower.
type Option func(*options)

type options struct {
	store   platform.Store
	watches func() bool
	fetch   Fetch
	peers   func() []netip.AddrPort
	path    settings.Path
	logger  *zap.Logger
	meter   metric.Meter
}

func newOptions(opts []Option) options {
	o := options{
		watches: func() bool { return true },
		peers:   func() []netip.AddrPort { return nil },
		logger:  zap.NewNop(),
		meter:   noop.Meter{},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// WithStore makes the follower read and watch the head in the platform's store.
func WithStore(store platform.Store) Option {
	return func(o *options) { o.store = store }
}

// WithWatch limits the watching of the head to the times when watches returns
// true, so that a few processes of a place watch for the others. The others
// read the head seldom, in case no offer reaches them.
func WithWatch(watches func() bool) Option {
	return func(o *options) { o.watches = watches }
}

// WithFetch sets how settings are fetched from another process.
func WithFetch(fetch Fetch) Option {
	return func(o *options) { o.fetch = fetch }
}

// WithPeers names processes to ask at the start and seldom after it.
func WithPeers(peers func() []netip.AddrPort) Option {
	return func(o *options) { o.peers = peers }
}

// WithService makes the follower hold only one service at one place, fetched
// from other processes. It needs WithFetch and ignores WithStore.
func WithService(path settings.Path) Option {
	return func(o *options) { o.path = path }
}

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option {
	return func(o *options) { o.logger = logger }
}

// WithMeter sets the meter that the revision in force is reported to.
func WithMeter(meter metric.Meter) Option {
	return func(o *options) { o.meter = meter }
}

// observe reports the revision in force and its age.
func (f *Follower) observe() {
	revision, err := f.options.meter.Int64ObservableGauge("dandelionhitch.settings.revision")
	if err != nil {
		f.options.logger.Warn("metric", zap.Error(err))
		return
	}
	age, err := f.options.meter.Float64ObservableGauge("dandelionhitch.settings.age", metric.WithUnit("s"))
	if err != nil {
		f.options.logger.Warn("metric", zap.Error(err))
		return
	}
	_, err = f.options.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		status := f.Status()
		o.ObserveInt64(revision, int64(status.Revision))
		if !status.Since.IsZero() {
			o.ObserveFloat64(age, time.Since(status.Since).Seconds())
		}
		return nil
	}, revision, age)
	if err != nil {
		f.options.logger.Warn("metric", zap.Error(err))
	}
}
