package leaseholder

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"dandelionhitch.example/limit"
)

type options struct {
	log     *zap.Logger
	meter   metric.Meter
	pace    limit.Pace
	hosts   func() int
	confirm Confirm
	updates <-chan struct{}
}

func defaults() options {
	return options{
		log:     zap.NewNop(),
		meter:   noop.Meter{},
		pace:    limit.DefaultPace(),
		hosts:   func() int { return 0 },
		confirm: func(context.Context, limit.Run) (bool, error) { return false, nil },
	}
}

// paceNow is the pace for the fleet as it is now known.
func (o *options) paceNow() limit.Pace {
	if hosts := o.hosts(); hosts > 0 {
		return limit.PaceFor(hosts)
	}
	return o.pace
}

// Option configures a Leaseholder.
type Option func(*options)

// WithLogger sets the logger; the default logs nothing.
func WithLogger(log *zap.Logger) Option { return func(o *options) { o.log = log } }

// WithMeter sets the meter for metrics; the default records none.
func WithMeter(meter metric.Meter) Option { return func(o *options) { o.meter = meter } }

// WithPace sets the pace; the default is limit.DefaultPace.
func WithPace(pace limit.Pace) Option { return func(o *options) { o.pace = pace } }

// WithHosts tells how many hosts the fleet has, zero if that is not known. The
// pace follows it; without it the pace is that of WithPace.
func WithHosts(hosts func() int) Option { return func(o *options) { o.hosts = hosts } }

// WithConfirm sets how to ask whether a silent run is gone for good, so that its
// share returns within minutes and not only after the drain deadline. The
// default confirms nothing.
func WithConfirm(confirm Confirm) Option { return func(o *options) { o.confirm = confirm } }

// WithUpdates sets a channel that receives a value when the policy may have
// changed. Its only receiver is the Leaseholder.
func WithUpdates(updates <-chan struct{}) Option { return func(o *options) { o.updates = updates } }

const (
	// _policyInterval is the longest time between two looks at the policy.
	_policyInterval = time.Second
	// _callTimeout bounds one call of the platform.
	_callTimeout = 5 * time.Second
	// _leaveTimeout bounds the return of the share at the end.
	_leaveTimeout = 5 * time.Second
)
