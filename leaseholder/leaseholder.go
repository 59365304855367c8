// Package leaseholder manages one agent's share of its service's flow limit. It
// acquires, renews and returns leases in the platform's store, and admits flows
// within the share.
//
// Package limit makes all decisions, in its Holder. This package connects the
// Holder to the store, the settings in force and the agent:
//
//	agent ── TryAdmit, Release ──► holder ◄── applySettings ── settings in force
//	                                 ▲
//	        loop ── Read, Write ─────┤
//	          ▲                      │
//	          ▼                 loopConfirm ◄──► keepers: is a silent run gone?
//	  platform's store
//
// Admission never waits for the platform, because the mutex that it locks is not
// held during calls to the platform.
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

// Leaseholder admits the flows of one run of one agent; a run is the agent's
// process from start to exit. It is safe for concurrent use.
type Leaseholder struct {
	store     platform.Store
	path      settings.Path
	policy    func() settings.Service // returns the settings in force
	opts      options
	startTime time.Time

	// wake ends the loop's current wait early.
	wake chan struct{}
	tomb tomb.Tomb
	// metrics is the registration of the metrics callback.
	metrics metric.Registration
	calls   calls
	// confirmer tells the holder which silent runs are gone.
	confirmer *confirmer

	mu     sync.Mutex
	holder *limit.Holder
	// storeError is the error of the last call to the platform; nil if it
	// succeeded.
	storeError error
}

// New starts a leaseholder for one run of an agent of the service at path. policy
// returns the settings in force; while it returns the zero value, no flow is
// admitted. The caller must choose the run's nonce at random at each start.
func New(store platform.Store, path settings.Path, run limit.Run, policy func() settings.Service, opts ...Option) (*Leaseholder, error) {
	if err := trace.NewAggregate(checkPath(path), run.Validate()); err != nil {
		return nil, trace.Wrap(err, "leaseholder")
	}
	l := &Leaseholder{
		store:     store,
		path:      path,
		policy:    policy,
		opts:      defaultOptions(),
		startTime: time.Now(),
		wake:      make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(&l.opts)
	}
	l.holder = limit.NewHolder(l.now(), run, l.opts.currentPace(), rand.Uint64())
	if err := l.registerMetrics(); err != nil {
		return nil, trace.Wrap(err, "register leaseholder metrics")
	}
	l.confirmer = newConfirmer(l.opts.confirm, l.opts.log)
	l.applySettings()
	l.tomb.Go(l.loop)
	l.tomb.Go(l.loopConfirm)
	return l, nil
}

// TryAdmit admits one flow, or returns a *limit.RefusalError. The caller must call
// Release when the admitted flow has ended.
func (l *Leaseholder) TryAdmit() error {
	l.mu.Lock()
	actNow, err := l.holder.TryAdmit(l.now())
	l.mu.Unlock()
	if actNow {
		l.wakeLoop()
	}
	return err
}

// Release records that one admitted flow has ended.
func (l *Leaseholder) Release() {
	l.mu.Lock()
	l.holder.Release()
	l.mu.Unlock()
}

// Drain refuses all new flows from now on, and returns units of the share to the
// platform as flows end.
func (l *Leaseholder) Drain() {
	l.mu.Lock()
	l.holder.Drain()
	l.mu.Unlock()
}

// Refresh applies the settings in force at once. Without Refresh and WithUpdates,
// a change takes effect within a second.
func (l *Leaseholder) Refresh() {
	l.applySettings()
	l.wakeLoop()
}

// Close refuses all new flows, returns the whole share to the platform and stops
// the leaseholder. Call it when the agent's flows have ended. If the platform does
// not answer within a few seconds, Close returns the last error, and the share
// becomes available to other runs when its lease lapses.
func (l *Leaseholder) Close() error {
	l.tomb.Kill(nil)
	err := l.tomb.Wait()
	return trace.NewAggregate(err, l.metrics.Unregister())
}

// now returns the time by the monotonic clock, since the start, and by the wall
// clock.
func (l *Leaseholder) now() limit.Instant {
	now := time.Now()
	return limit.Instant{
		Mono: now.Sub(l.startTime),
		Wall: time.Duration(now.UnixNano()),
	}
}

// wakeLoop makes the loop call the holder again at once. It does not block.
func (l *Leaseholder) wakeLoop() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
