package leaseholder

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"dandelionhitch.example/limit"
	"dandelionhitch.example/platform"
)

// loop does what the holder says until the tomb dies, and then returns the share.
func (l *Leaseholder) loop() error {
	for l.tomb.Alive() {
		if rest, ok := l.step(context.Background()).(limit.Rest); ok {
			l.rest(rest.Until)
		}
	}
	return l.leave()
}

// loopConfirm asks about silent runs until the tomb dies.
func (l *Leaseholder) loopConfirm() error { return l.confirmer.loop(&l.tomb) }

// leave returns the share, or gives up.
func (l *Leaseholder) leave() error {
	l.mu.Lock()
	l.holder.Leave(l.now())
	l.mu.Unlock()

	ctx, cancel := context.WithTimeout(context.Background(), _leaveTimeout)
	defer cancel()
	for {
		switch action := l.step(ctx).(type) {
		case limit.Done:
			return nil
		case limit.Rest:
			if !l.pause(ctx, action.Until) {
				return trace.Wrap(l.lastError(), "return the share of %s", l.path)
			}
		}
	}
}

// step asks the holder what to do and does it, unless it is to rest.
func (l *Leaseholder) step(ctx context.Context) limit.Action {
	l.mu.Lock()
	action := l.holder.Act(l.now(), l.confirmer.gone)
	l.mu.Unlock()

	switch a := action.(type) {
	case limit.Read:
		l.handle(l.read(ctx))
	case limit.Write:
		l.handle(l.write(ctx, a))
	}
	return action
}

// rest waits until the monotonic clock has come to until, or something happened,
// for at most the time between two looks at the policy.
func (l *Leaseholder) rest(until time.Duration) {
	timer := time.NewTimer(min(until-l.now().Mono, _policyInterval))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.wake:
	case <-l.opts.updates:
	case <-l.tomb.Dying():
	}
	l.follow()
}

// follow brings the settings in force to the holder.
func (l *Leaseholder) follow() {
	limits := limit.LimitsOf(l.policy())
	pace := l.opts.paceNow()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.SetPace(l.now(), pace)
	l.holder.SetLimits(l.now(), limits)
}

// pause waits like rest but reports false when ctx ended first.
func (l *Leaseholder) pause(ctx context.Context, until time.Duration) bool {
	timer := time.NewTimer(until - l.now().Mono)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// read gets the share from the store.
func (l *Leaseholder) read(ctx context.Context) (limit.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	l.calls.reads.Add(1)
	object, err := l.store.Get(ctx, limit.Key(l.path))
	if trace.IsNotFound(err) {
		return limit.ReadDone{}, nil
	}
	if err != nil {
		return limit.Failed{}, trace.Wrap(err, "get the shares of %s", l.path)
	}
	var share limit.Share
	if err := json.Unmarshal(object.Value, &share); err != nil {
		return limit.Failed{}, trace.Wrap(err, "get the shares of %s", l.path)
	}
	return limit.ReadDone{Share: share, Version: object.Version}, nil
}

// write puts the share if its version is the expected one. A lost answer is
// not told apart from a failure: the holder reads the share back after both.
func (l *Leaseholder) write(ctx context.Context, action limit.Write) (limit.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	value, err := json.Marshal(action.Share)
	if err != nil {
		return limit.Failed{}, trace.Wrap(err, "encode the shares of %s", l.path)
	}
	l.calls.writes.Add(1)
	version, err := l.store.Put(ctx, limit.Key(l.path), value, action.Expected)
	switch {
	case trace.IsCompareFailed(err):
		l.calls.conflicts.Add(1)
		return limit.Failed{Conflict: true}, nil
	case err != nil:
		return limit.Failed{}, trace.Wrap(err, "put the shares of %s", l.path)
	default:
		return limit.WriteDone{Version: version}, nil
	}
}

// handle brings the answer of the store to the holder.
func (l *Leaseholder) handle(event limit.Event, err error) {
	if err != nil {
		l.calls.failures.Add(1)
		l.opts.log.Warn("no answer from the platform", zap.Stringer("path", l.path),
			zap.Bool("ambiguous", platform.IsAmbiguous(err)), zap.Error(err))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeError = err
	l.holder.Handle(l.now(), event)
}

// lastError is the last failure of the platform.
func (l *Leaseholder) lastError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.storeError != nil {
		return l.storeError
	}
	return trace.LimitExceeded("too many conflicts")
}
