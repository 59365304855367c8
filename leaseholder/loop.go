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

// loop performs the holder's actions until the tomb dies, and then returns the
// share to the platform.
func (l *Leaseholder) loop() error {
	for l.tomb.Alive() {
		if action, ok := l.step(context.Background()).(limit.Wait); ok {
			l.waitOrWake(action.Until)
		}
	}
	return l.returnShare()
}

// loopConfirm queries the state of silent runs until the tomb dies.
func (l *Leaseholder) loopConfirm() error { return l.confirmer.loop(&l.tomb) }

// returnShare returns the whole share to the platform. It gives up after
// _returnTimeout with the last error.
func (l *Leaseholder) returnShare() error {
	l.mu.Lock()
	l.holder.Leave(l.now())
	l.mu.Unlock()

	ctx, cancel := context.WithTimeout(context.Background(), _returnTimeout)
	defer cancel()
	for {
		switch action := l.step(ctx).(type) {
		case limit.Done:
			return nil
		case limit.Wait:
			if !l.waitOrCancel(ctx, action.Until) {
				return trace.Wrap(l.lastError(), "return the share of %s", l.path)
			}
		}
	}
}

// step gets the next action from the holder, performs it if it is a Read or Write,
// and returns it.
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

// waitOrWake waits for the given end on the monotonic clock, but for at most
// _policyInterval, and then applies the settings in force. A wake-up, a settings
// update or the death of the tomb ends the wait early.
func (l *Leaseholder) waitOrWake(end time.Duration) {
	timer := time.NewTimer(min(end-l.now().Mono, _policyInterval))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.wake:
	case <-l.opts.updates:
	case <-l.tomb.Dying():
	}
	l.applySettings()
}

// applySettings passes the limits in force and the current pace to the holder.
func (l *Leaseholder) applySettings() {
	limits := limit.LimitsOf(l.policy())
	pace := l.opts.currentPace()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.SetPace(l.now(), pace)
	l.holder.SetLimits(l.now(), limits)
}

// waitOrCancel waits for the given end on the monotonic clock. It returns false if
// ctx is done first.
func (l *Leaseholder) waitOrCancel(ctx context.Context, end time.Duration) bool {
	timer := time.NewTimer(end - l.now().Mono)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// read reads the Share, which holds the entries of all runs, from the store.
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

// write replaces the Share if its version is the expected one. A lost reply is
// treated like a failure, because the holder reads the Share again after both.
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

// handle passes the holder the result of a call to the store.
func (l *Leaseholder) handle(event limit.Event, err error) {
	if err != nil {
		l.calls.failures.Add(1)
		l.opts.log.Warn("failed to read or write the shares", zap.Stringer("path", l.path),
			zap.Bool("ambiguous", platform.IsAmbiguous(err)), zap.Error(err))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeError = err
	l.holder.Handle(l.now(), event)
}

// lastError returns the error of the last call to the platform, or a LimitExceeded
// error if that call succeeded or ended in a conflict.
func (l *Leaseholder) lastError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.storeError != nil {
		return l.storeError
	}
	return trace.LimitExceeded("too many conflicts with writes of other runs")
}
