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

// Limits and intervals of a follower. Intervals and delays are means; each wait
// is jittered.
const (
	_offerCapacity        = 16               // queued offers
	_maxPreviousDocuments = 3                // documents kept besides the one in force
	_startupReplies       = 3                // peer replies awaited at startup
	_startupRequests      = 8                // peers queried for them at most
	_fetchTimeout         = 2 * time.Second  // of one fetch from a peer or one read of the store
	_fetchInterval        = 30 * time.Second // between polls of a peer
	_initialFetchInterval = time.Second      // between polls of a peer while there are no settings
	_pollInterval         = 2 * time.Minute  // between reads of the head while not watching it
	_watcherCheckInterval = 2 * time.Second  // between checks whether this process should watch the head
	_watchTimeout         = 30 * time.Second // of one watch, after which the process checks whether to keep watching
	_retryDelay           = time.Second      // after a failed watch or read of the head
)

// Fetch requests settings from the process at addr by calling the net/rpc method
// Method.
type Fetch func(ctx context.Context, addr netip.AddrPort, request FetchRequest) (FetchReply, error)

// Option configures a Follower.
type Option func(*options)

type options struct {
	store     platform.Store
	isWatcher func() bool
	fetch     Fetch
	peers     func() []netip.AddrPort
	path      settings.Path
	logger    *zap.Logger
	meter     metric.Meter
}

func newOptions(opts []Option) options {
	o := options{
		isWatcher: func() bool { return true },
		peers:     func() []netip.AddrPort { return nil },
		logger:    zap.NewNop(),
		meter:     noop.Meter{},
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

// WithWatch makes the follower watch the head only while isWatcher returns true,
// so that a few processes per place watch the store on behalf of the others. The
// others read the head once every few minutes, in case offers are lost.
func WithWatch(isWatcher func() bool) Option {
	return func(o *options) { o.isWatcher = isWatcher }
}

// WithFetch sets the function that fetches settings from another process.
func WithFetch(fetch Fetch) Option {
	return func(o *options) { o.fetch = fetch }
}

// WithPeers sets the function that returns the processes to fetch settings from,
// at startup and periodically afterwards.
func WithPeers(peers func() []netip.AddrPort) Option {
	return func(o *options) { o.peers = peers }
}

// WithService makes the follower follow only the service at path, and fetch its
// settings from other processes. It requires WithFetch and ignores WithStore.
func WithService(path settings.Path) Option {
	return func(o *options) { o.path = path }
}

// WithLogger sets the logger; the default discards all messages.
func WithLogger(logger *zap.Logger) Option {
	return func(o *options) { o.logger = logger }
}

// WithMeter sets the meter that records the revision in force and its age.
func WithMeter(meter metric.Meter) Option {
	return func(o *options) { o.meter = meter }
}

// observe registers gauges of the revision in force and of its age in seconds.
func (f *Follower) observe() {
	revision, err := f.options.meter.Int64ObservableGauge("dandelionhitch.settings.revision")
	if err != nil {
		f.options.logger.Warn("failed to register settings metrics", zap.Error(err))
		return
	}
	age, err := f.options.meter.Float64ObservableGauge("dandelionhitch.settings.age", metric.WithUnit("s"))
	if err != nil {
		f.options.logger.Warn("failed to register settings metrics", zap.Error(err))
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
		f.options.logger.Warn("failed to register settings metrics", zap.Error(err))
	}
}
