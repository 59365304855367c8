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
	pace    limit.Pace // used while the number of hosts is unknown
	hosts   func() int
	confirm Confirm
	updates <-chan struct{}
}

func defaultOptions() options {
	return options{
		log:     zap.NewNop(),
		meter:   noop.Meter{},
		pace:    limit.DefaultPace(),
		hosts:   func() int { return 0 },
		confirm: func(context.Context, limit.Run) (bool, error) { return false, nil },
	}
}

// currentPace returns the pace for the current number of hosts, or the configured
// pace if that number is unknown.
func (o *options) currentPace() limit.Pace {
	if hosts := o.hosts(); hosts > 0 {
		return limit.PaceFor(hosts)
	}
	return o.pace
}

// Option configures a Leaseholder.
type Option func(*options)

// WithLogger sets the logger; the default discards all messages.
func WithLogger(log *zap.Logger) Option { return func(o *options) { o.log = log } }

// WithMeter sets the meter for metrics; the default discards them.
func WithMeter(meter metric.Meter) Option { return func(o *options) { o.meter = meter } }

// WithPace sets the pace, which determines how often the platform is called; the
// default is limit.DefaultPace.
func WithPace(pace limit.Pace) Option { return func(o *options) { o.pace = pace } }

// WithHosts sets a function that returns the number of hosts in the fleet, or zero
// if it is unknown. The pace is adapted to that number; while it is unknown, the
// pace of WithPace applies.
func WithHosts(hosts func() int) Option { return func(o *options) { o.hosts = hosts } }

// WithConfirm sets the function that confirms whether a silent run is permanently
// gone. The share of a run that is confirmed gone becomes available to other runs
// within minutes instead of after the drain deadline. The default never confirms.
func WithConfirm(confirm Confirm) Option { return func(o *options) { o.confirm = confirm } }

// WithUpdates sets a channel that receives a value when the settings in force may
// have changed. The Leaseholder must be its only receiver.
func WithUpdates(updates <-chan struct{}) Option { return func(o *options) { o.updates = updates } }

const (
	// _policyInterval is the maximum time between two reads of the policy.
	_policyInterval = time.Second
	// _callTimeout is the timeout of one call to the platform or to Confirm.
	_callTimeout = 5 * time.Second
	// _returnTimeout is the timeout of returning the share on Close.
	_returnTimeout = 5 * time.Second
)
