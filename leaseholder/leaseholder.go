// Package leaseholder keeps one agent's share of its service's flow limit: it
// takes, renews and returns leases in the platform's store, and admits flows.
//
// The decisions are those of package limit; this package carries messages
// between them, the store, the settings in force and the agent:
//
//	agent ── TryAdmit, Release ──► holder ◄── follow ── settings in force
//	                                 ▲
//	        loop ── Read, Write ─────┤
//	          ▲                      │
//	          ▼                 loopConfirm ◄──► keepers: is a silent run gone?
//	  platform's store
//
// Admission never waits for the platform: it takes a mutex that is not held
// across calls.
package leaseholder

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.opentelemetry.io/otel/metric"
	"gopkg.in/tomb.v2"

	"github.com/gravitational/trace"

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
	start  time.Time

	// wake makes the loop ask the holder again before its rest is over.
	wake chan struct{}
	tomb tomb.Tomb
	// metrics ends the registration of the metrics.
	metrics metric.Registration
	calls   calls
	// confirmer knows which silent runs are gone.
	confirmer *confirmer

	mu     sync.Mutex
	holder *limit.Holder
	// storeError is the last failure of the platform; nil after a success.
	storeError error
}

// New starts to hold the share of one run of the service at path. The policy
// returns the settings in force; while it returns the zero value, no flow is
// admitted. The run's nonce is to be drawn at random for each start.
func New(store platform.Store, path settings.Path, run limit.Run, policy func() settings.Service, opts ...Option) (*Leaseholder, error) {
	if err := trace.NewAggregate(checkPath(path), run.Validate()); err != nil {
		return nil, trace.Wrap(err, "leaseholder")
	}
	l := &Leaseholder{
		store:  store,
		path:   path,
		policy: policy,
		opts:   defaults(),
		start:  time.Now(),
		wake:   make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(&l.opts)
	}
	l.holder = limit.NewHolder(l.now(), run, l.opts.paceNow(), rand.Uint64())
	if err := l.registerMetrics(); err != nil {
		return nil, trace.Wrap(err, "leaseholder metrics")
	}
	l.confirmer = newConfirmer(l.opts.confirm, l.opts.log)
	l.follow()
	l.tomb.Go(l.loop)
	l.tomb.Go(l.loopConfirm)
	return l, nil
}

// TryAdmit takes a place for one flow, or returns a *limit.RefusalError. The
// caller releases the place when the flow has ended.
func (l *Leaseholder) TryAdmit() error {
	l.mu.Lock()
	early, err := l.holder.TryAdmit(l.now())
	l.mu.Unlock()
	if early {
		l.rouse()
	}
	return err
}

// Release gives back the place of one flow that ended.
func (l *Leaseholder) Release() {
	l.mu.Lock()
	l.holder.Release()
	l.mu.Unlock()
}

// Drain refuses new flows from now on and returns the share as flows end.
func (l *Leaseholder) Drain() {
	l.mu.Lock()
	l.holder.Drain()
	l.mu.Unlock()
}

// Refresh takes the settings in force from the policy at once. Without it, and
// without WithUpdates, a change counts within a second.
func (l *Leaseholder) Refresh() {
	l.follow()
	l.rouse()
}

// Close refuses all flows, returns the whole share to the platform and stops.
// It is called when the agent's flows have ended. If the platform does not
// answer within a few seconds, Close returns its error, and the share returns
// to the others when its lease lapses.
func (l *Leaseholder) Close() error {
	l.tomb.Kill(nil)
	err := l.tomb.Wait()
	return trace.NewAggregate(err, l.metrics.Unregister())
}

// now reads the process's clocks.
func (l *Leaseholder) now() limit.Instant {
	now := time.Now()
	return limit.Instant{
		Mono: now.Sub(l.start),
		Wall: time.Duration(now.UnixNano()),
	}
}

func (l *Leaseholder) rouse() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
