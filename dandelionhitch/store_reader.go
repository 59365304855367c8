package main

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/directory"
	"dandelionhitch.example/evacuation"
	"dandelionhitch.example/platform"
)

const (
	// _pendingDelay is the time after which a read without an answer is reported to the
	// other relays: many times the response time of a healthy store.
	_pendingDelay = 60 * time.Millisecond
	// _maxDueWait bounds the wait between two calls of UntilRead. The next read may
	// become due earlier while the relay waits, if no other process delivers the
	// configuration that the relay lacks.
	_maxDueWait = 500 * time.Millisecond
	// _storeReadTimeout bounds a read that makes progress. It is the time that the largest
	// object takes over the slowest link.
	_storeReadTimeout = 10 * time.Second
)

// configurationTarget is the part of a relay that schedules reads of the store and
// receives the configuration and the evacuated zones.
type configurationTarget interface {
	// SetTable puts a configuration in force if its version is higher.
	SetTable(table directory.Table, source string) bool
	// SetEvacuations puts evacuated zones in force if they are newer.
	SetEvacuations(set evacuation.Set, source string)
	// UntilRead returns how long to wait until the next read, zero if it is due. The wait
	// includes the backoff after failures.
	UntilRead() time.Duration
	// ReadStarted records that a read begins, ReadPending that it takes longer than
	// _pendingDelay, and ReadSucceeded, with the store's epoch, or ReadFailed how it ended.
	ReadStarted()
	ReadPending()
	ReadSucceeded(epoch uint16)
	ReadFailed()
}

// storeReader reads the configuration, and the evacuated zones where there may be any,
// from the store whenever its relay says that a read is due. The relay then distributes
// both to the other processes.
type storeReader struct {
	tomb   tomb.Tomb
	ctx    context.Context
	target configurationTarget
	store  *platform.Client
	log    *zap.Logger
	// evacuations is set if the operator may evacuate zones.
	evacuations bool
	// lastVersion is the version in the store of the configuration that was read last, zero
	// before the first read.
	lastVersion platform.Version
	// version is lastVersion, for the metrics.
	version atomic.Uint64
}

func newStoreReader(target configurationTarget, store *platform.Client, evacuations bool, log *zap.Logger) *storeReader {
	r := &storeReader{target: target, store: store, evacuations: evacuations, log: log}
	r.ctx = r.tomb.Context(context.Background())
	r.tomb.Go(r.loop)
	return r
}

// Close stops the reader and waits.
func (r *storeReader) Close() error {
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}

// loop reads whenever a read is due, and logs when the store becomes unreachable and
// reachable again.
func (r *storeReader) loop() error {
	reachable := true
	for r.tomb.Alive() {
		if due := r.target.UntilRead(); due > 0 {
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
		r.target.ReadFailed()
	}
	return nil
}

// check reads the store and puts what is new in force. It returns
// an error, too, if the store has no configuration yet.
func (r *storeReader) check() error {
	ctx, cancel := context.WithTimeout(r.ctx, _storeReadTimeout)
	defer cancel()
	if r.lastVersion == 0 {
		ctx = platform.WithProgressTimeout(ctx, _firstCallTimeout)
	}
	r.target.ReadStarted()
	pending := time.AfterFunc(_pendingDelay, r.target.ReadPending)
	defer pending.Stop()
	object, err := r.store.Get(ctx, platform.ConfigurationKey)
	if err != nil {
		return err
	}
	r.logEpoch(object.Version)
	if object.Version != r.lastVersion {
		r.lastVersion = object.Version
		r.adopt(object.Value)
	}
	if r.evacuations {
		set, err := r.store.Evacuations(ctx)
		if err != nil {
			return err
		}
		r.target.SetEvacuations(set, "store")
	}
	r.target.ReadSucceeded(uint16(object.Version.Epoch()))
	return nil
}

// logEpoch logs the epoch of the store at the first read and whenever it has grown.
func (r *storeReader) logEpoch(version platform.Version) {
	r.version.Store(uint64(version))
	last := r.lastVersion
	fields := []zap.Field{
		zap.Uint16("epoch", uint16(version.Epoch())), zap.Uint64("revision", uint64(version.Revision())),
		zap.Uint16("last_epoch", uint16(last.Epoch())), zap.Uint64("last_revision", uint64(last.Revision())),
	}
	switch {
	case last == 0:
		r.log.Info("store read", fields...)
	case version.Epoch() > last.Epoch(): // a late response may be of an earlier epoch
		r.log.Warn("store restored from a copy", fields...)
	}
}

// metrics returns the revision and epoch of the store at the last read of the
// configuration.
func (r *storeReader) metrics() []metricValue {
	version := platform.Version(r.version.Load())
	return []metricValue{
		{"store_revision", int64(version.Revision())},
		{"store_epoch", int64(version.Epoch())},
	}
}

// adopt decodes a configuration and puts it in force if it is newer. It refuses one
// that cannot be decoded and ignores single routes that are invalid.
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
