package main

import (
	"context"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/directory"
	"dandelionhitch.example/platform"
)

const (
	// _storePending is how long the store may take for a read before other relays hear
	// of it: many times what it takes when it is well.
	_pendingDelay = 60 * time.Millisecond
	// _dueCheck is how often a relay that waits looks whether it is due earlier, since
	// no other process gives it what it lacks.
	_maxDueWait = 500 * time.Millisecond
	// _longestRead bounds a read that goes on: the largest object over the smallest link.
	_storeReadTimeout = 10 * time.Second
)

// configured is a relay's data path as far as the store's configuration goes.
type configurationTarget interface {
	// SetTable puts a configuration in force if its version is higher.
	SetTable(table directory.Table, source string) bool
	// CheckDue returns how long to wait with the next read, also after failures; zero
	// says now.
	CheckDue() time.Duration
	// CheckStarted notes that the read begins, CheckPending that it takes long, and
	// Checked or CheckFailed how it ended.
	CheckStarted()
	CheckPending()
	Checked()
	CheckFailed()
}

// storeReader reads the configuration in the store when its relay is due to. From
// there it reaches other processes over the data paths.
type storeReader struct {
	tomb   tomb.Tomb
	ctx    context.Context
	target configurationTarget
	store  platform.Store
	log    *zap.Logger
	// read is the store's version of the configuration that was read last.
	lastVersion platform.Version
}

func newStoreReader(target configurationTarget, store platform.Store, log *zap.Logger) *storeReader {
	r := &storeReader{target: target, store: store, log: log}
	r.ctx = r.tomb.Context(context.Background())
	r.tomb.Go(r.loop)
	return r
}

// Close stops reading, and waits.
func (r *storeReader) Close() error {
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}

func (r *storeReader) loop() error {
	reachable := true
	for r.tomb.Alive() {
		if due := r.target.CheckDue(); due > 0 {
			sleepContext(r.ctx, min(due, _maxDueWait))
			continue
		}
		err := r.check()
		switch {
		case r.ctx.Err() != nil:
			return nil
		case err == nil && !reachable:
			r.log.Info("store regained")
			fallthrough
		case err == nil:
			reachable = true
			continue
		case reachable:
			r.log.Warn("store lost", zap.Error(err))
			reachable = false
		}
		r.target.CheckFailed()
	}
	return nil
}

// check reads the configuration in the store. One that does not exist yet is
// looked for again at once.
func (r *storeReader) check() error {
	ctx, cancel := context.WithTimeout(r.ctx, _storeReadTimeout)
	defer cancel()
	if r.lastVersion == 0 {
		ctx = platform.WithSilence(ctx, _firstCallTimeout)
	}
	r.target.CheckStarted()
	pending := time.AfterFunc(_pendingDelay, r.target.CheckPending)
	defer pending.Stop()
	object, err := r.store.Get(ctx, platform.ConfigurationKey)
	if err != nil {
		return err
	}
	if object.Version != r.lastVersion {
		r.lastVersion = object.Version
		r.adopt(object.Value)
	}
	r.target.Checked()
	return nil
}

// adopt checks a configuration whole and puts it in force if it is newer.
func (r *storeReader) adopt(value []byte) {
	table, findings, err := platform.DecodeConfiguration(value)
	if err != nil {
		r.log.Error("configuration refused", zap.String("source", "store"), zap.Error(err))
		return
	}
	for _, finding := range findings {
		r.log.Warn("route ignored", zap.String("source", "store"), zap.Error(finding))
	}
	r.target.SetTable(table, "store")
}
