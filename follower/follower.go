// Package follower holds the settings in force in one process, and writes
// accepted changes.
package follower

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"dandelionhitch.example/platform"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// Fetch asks the process at addr for its settings: the rpc Settings.Fetch.
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
}

// WithStore makes the follower read the head from the platform.
func WithStore(store platform.Store) Option { return func(o *options) { o.store = store } }

// WithWatch limits the watching of the head to the times when watches returns
// true, so that a few processes of a place watch for the others.
func WithWatch(watches func() bool) Option { return func(o *options) { o.watches = watches } }

// WithFetch sets how settings are fetched from another process.
func WithFetch(fetch Fetch) Option { return func(o *options) { o.fetch = fetch } }

// WithPeers names processes to ask at the start and now and then after it.
func WithPeers(peers func() []netip.AddrPort) Option { return func(o *options) { o.peers = peers } }

// WithService makes the follower hold only one service at one place.
func WithService(path settings.Path) Option { return func(o *options) { o.path = path } }

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option { return func(o *options) { o.logger = logger } }

// Follower holds the document in force. It only ever moves to a higher revision.
type Follower struct {
	options options
	updates chan struct{}
}

// New starts a follower.
func New(opts ...Option) *Follower {
	o := options{logger: zap.NewNop()}
	for _, opt := range opts {
		opt(&o)
	}
	return &Follower{options: o, updates: make(chan struct{}, 1)}
}

// Close stops the follower and waits for its goroutines.
func (f *Follower) Close() error { return nil }

// Current returns the document in force, nil before the first.
func (f *Follower) Current() *settings.Document { return nil }

// Revision returns the revision in force, zero before the first.
func (f *Follower) Revision() settings.Revision { return f.Current().Revision() }

// Since returns when the revision in force was put in force.
func (f *Follower) Since() time.Time { return time.Time{} }

// Service returns what is in force for one service at one place.
func (f *Follower) Service(region service.Region, place service.Place, name service.Name) (settings.Service, bool) {
	return f.Current().Service(settings.Path{Region: region, Place: place, Name: name})
}

// Updates receives a value after the document in force has changed. Its
// capacity is one: several changes may show as one.
func (f *Follower) Updates() <-chan struct{} { return f.updates }

// Offer says that the process at addr has a revision in force.
func (f *Follower) Offer(revision settings.Revision, addr netip.AddrPort) {}

// Endpoint returns the receiver to register as the rpc service "Settings".
func (f *Follower) Endpoint() *Endpoint { return &Endpoint{follower: f} }
