// Package leaseholder keeps one agent's share of its service's flow limit: it
// takes, renews and returns leases in the platform's store, and admits flows.
//
// The decisions are those of package limit; this package carries messages
// between them, the store, the settings in force and the agent. Admission
// never waits for the platform.
package leaseholder

import (
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/limit"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
)

// Leaseholder admits the flows of one run of one agent. It is safe for
// concurrent use.
type Leaseholder struct {
	store  platform.Store
	path   settings.Path
	policy func() settings.Service
	opts   options
	tomb   tomb.Tomb
}

type options struct {
	log     *zap.Logger
	meter   metric.Meter
	pace    limit.Pace
	gone    func(limit.Run) bool
	updates <-chan struct{}
	now     func() time.Time
}

// Option configures a Leaseholder.
type Option func(*options)

// WithLogger sets the logger; the default logs nothing.
func WithLogger(log *zap.Logger) Option { return func(o *options) { o.log = log } }

// WithMeter sets the meter for metrics; the default records none.
func WithMeter(meter metric.Meter) Option { return func(o *options) { o.meter = meter } }

// WithPace sets the pace; the default is limit.DefaultPace.
func WithPace(pace limit.Pace) Option { return func(o *options) { o.pace = pace } }

// WithGone sets what confirms that a run is gone for good: callers can no
// longer reach it, so it neither admits flows nor keeps any. It must not block
// and may be asked often. The default confirms nothing.
func WithGone(gone func(limit.Run) bool) Option { return func(o *options) { o.gone = gone } }

// WithUpdates sets a channel that receives a value when the policy may have
// changed. It should have a capacity of one.
func WithUpdates(updates <-chan struct{}) Option { return func(o *options) { o.updates = updates } }

// New starts to hold the share of one run. The policy returns the settings in
// force; while it returns the zero value, no flow is admitted.
func New(store platform.Store, path settings.Path, run limit.Run, policy func() settings.Service, opts ...Option) (*Leaseholder, error) {
	l := &Leaseholder{store: store, path: path, policy: policy}
	return l, nil
}

// TryAdmit takes a place for one flow, or returns a *limit.RefusalError.
func (l *Leaseholder) TryAdmit() error { return nil }

// Release gives back the place of one flow that ended.
func (l *Leaseholder) Release() {}

// Drain refuses new flows from now on and returns the share as flows end.
func (l *Leaseholder) Drain() {}

// Close returns the whole share to the platform and stops. The flows must have
// ended. It gives up after a few seconds: the lease lapses by itself.
func (l *Leaseholder) Close() error { return nil }

// Status returns what Limits.Status answers.
func (l *Leaseholder) Status() Status { return Status{} }
