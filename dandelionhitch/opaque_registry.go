package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/platform"
)

const (
	// _relaysPrefix is the key prefix of the relays' entries in the store.
	_relaysPrefix = "relays/"
	// _minRegistryBackoff is the backoff after the first failed call. It doubles with
	// each failure up to _maxRegistryBackoff.
	_minRegistryBackoff = 200 * time.Millisecond
	_maxRegistryBackoff = 2 * time.Second
	// _isolatedListInterval is how often a sidecar that has heard from no relay lists the
	// relays again.
	_isolatedListInterval = time.Second
	// _storeContactInterval is how often a relay whose call failed checks whether any relay
	// has reached the store since that failure. _storeReturnJitter is the time over which
	// the retries of all relays are then spread.
	_storeContactInterval = 200 * time.Millisecond
	_storeReturnJitter    = 2 * time.Second
	// _epochCheckInterval is how often a relay checks whether the store was restored.
	_epochCheckInterval = time.Second
	// _sweepInterval is the minimum time between two sweeps for entries of relays that
	// have ended. Jitter of up to the same time is added, so that usually one relay
	// sweeps for all.
	_sweepInterval = 60 * time.Second
)

// _broadcast is the address of all hosts of a network.
var _broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// relayEntry is the object in the store through which other processes find a relay.
type relayEntry struct {
	Addr        netip.Addr `json:"addr"`
	Zone        string     `json:"zone"`
	Incarnation uint64     `json:"incarnation"`
}

// registryTarget is the part of a relay or sidecar that the registry uses.
type registryTarget interface {
	// AddRelays adds relays found in the store or among the seeds.
	AddRelays(relays []netip.Addr)
}

// registry finds relays through their entries in the store, and writes the entry of
// this process if it is a relay. All other state of processes travels in their reports.
type registry struct {
	tomb   tomb.Tomb
	ctx    context.Context
	store  platform.Store
	log    *zap.Logger
	target registryTarget
	// self is the entry of this process, nil for a sidecar.
	self *relayEntry
	// isolated reports whether this process has received no report of another relay.
	isolated func() bool
	// hasReported reports whether this process has received a report of the relay. It
	// is nil for a sidecar.
	hasReported func(netip.Addr) bool
	// lastStoreReadAge returns how long ago any relay last read the configuration from
	// the store, and false if none is known to have. It is nil for a sidecar.
	lastStoreReadAge func() (time.Duration, bool)
	// storeEpoch returns the highest known epoch of the store. It is nil for a sidecar.
	storeEpoch func() platform.Epoch
	// registered is set if the entry of this process was among the entries listed last.
	registered bool
}

func (r *registry) start() {
	r.ctx = r.tomb.Context(context.Background())
	r.tomb.Go(r.loop)
}

// Close ends the loop and waits. The entry stays in the store for the next run at the
// address.
func (r *registry) Close() error {
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}

func (r *registry) loop() error {
	if r.self == nil {
		return r.loopSidecar()
	}
	r.retry("list", r.list)
	r.retry("enter", r.register)
	epoch := r.storeEpoch()
	sweepAt := nextSweep()
	for r.tomb.Alive() {
		sleepContext(r.ctx, _epochCheckInterval)
		if current := r.storeEpoch(); current != epoch {
			epoch = current
			sleepContext(r.ctx, rand.N(_storeReturnJitter))
			r.retry("enter", r.reenter)
		}
		if time.Now().After(sweepAt) {
			r.retry("sweep", r.sweep)
			sweepAt = nextSweep()
		}
	}
	return nil
}

func nextSweep() time.Time { return time.Now().Add(_sweepInterval + rand.N(_sweepInterval)) }

// loopSidecar lists the relays once at the start, since after a power failure its
// seeds may be the last relays to return. After that it lists them while the sidecar
// has heard from no relay.
func (r *registry) loopSidecar() error {
	r.retry("list", r.list)
	for r.tomb.Alive() {
		sleepContext(r.ctx, _isolatedListInterval)
		if r.isolated() {
			r.retry("list", r.list)
		}
	}
	return nil
}

// retry repeats a call with exponential backoff until it succeeds. After a failure, a
// relay also waits until some relay has reached the store, and a sidecar gives up once
// it has heard from a relay.
func (r *registry) retry(op string, call func() error) {
	backoff := _minRegistryBackoff
	for r.tomb.Alive() {
		err := call()
		if err == nil {
			return
		}
		failedAt := time.Now()
		r.log.Warn("registry of relays", zap.String("op", op), zap.Error(err))
		sleepContext(r.ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, _maxRegistryBackoff)
		switch {
		case r.self != nil:
			r.awaitStoreContact(failedAt)
		case !r.isolated():
			return
		}
	}
}

// awaitStoreContact waits until some relay has reached the store after failedAt, plus
// jitter. It returns at once if this relay hears from no other one.
func (r *registry) awaitStoreContact(failedAt time.Time) {
	for r.tomb.Alive() && !r.isolated() {
		if age, known := r.lastStoreReadAge(); known && age < time.Since(failedAt) {
			sleepContext(r.ctx, rand.N(_storeReturnJitter))
			return
		}
		sleepContext(r.ctx, _storeContactInterval)
	}
}

// register writes the entry of this process unless it is already in the store. A
// lost answer or a delayed write does no harm, since every run at an address has an
// entry under the same key and an existing entry is not overwritten.
func (r *registry) register() error {
	if r.registered {
		return nil
	}
	value, err := json.Marshal(r.self)
	if err != nil {
		return trace.Wrap(err, "encode relay entry")
	}
	_, err = r.store.Put(r.ctx, r.key(), value, 0)
	if trace.IsCompareFailed(err) {
		return nil // written by an earlier run
	}
	return err
}

// reenter writes the entry of this process if a restored store lacks it.
func (r *registry) reenter() error {
	_, err := r.store.Get(r.ctx, r.key())
	if trace.IsNotFound(err) {
		r.registered = false
		return r.register()
	}
	return err
}

func (r *registry) key() string { return _relaysPrefix + r.self.Addr.String() }

// list reads all entries and passes their addresses to the target.
func (r *registry) list() error {
	objects, err := r.store.List(r.ctx, _relaysPrefix)
	if err != nil {
		return err
	}
	r.registered = false
	var found []netip.Addr
	for _, object := range objects {
		if addr, ok := r.entryAddr(object); ok {
			found = append(found, addr)
			r.registered = r.registered || r.self != nil && addr == r.self.Addr
		}
	}
	r.log.Info("relays listed", zap.Int("count", len(found)))
	r.target.AddRelays(found)
	return nil
}

// entryAddr returns the address in an entry. It logs and rejects an entry that cannot
// be decoded or whose address differs from the one in its key.
func (r *registry) entryAddr(object platform.Object) (netip.Addr, bool) {
	var entry relayEntry
	err := json.Unmarshal(object.Value, &entry)
	if err == nil && strings.TrimPrefix(object.Key, _relaysPrefix) != entry.Addr.String() {
		err = trace.BadParameter("relay entry %q names %v", object.Key, entry.Addr)
	}
	if err == nil && (!entry.Addr.Is4() || entry.Addr.IsUnspecified() || entry.Addr.IsMulticast() || entry.Addr == _broadcast) {
		err = trace.BadParameter("relay entry %q: want a unicast IPv4 address", object.Key)
	}
	if err != nil {
		r.log.Warn("relay entry ignored", zap.String("key", object.Key), zap.Error(err))
		return netip.Addr{}, false
	}
	return entry.Addr, true
}

// sweep removes the entries of relays from which this process has never heard, and writes
// its own entry if it is missing. Concurrent sweeps of several relays do no harm.
func (r *registry) sweep() error {
	objects, err := r.store.List(r.ctx, _relaysPrefix)
	if err != nil {
		return err
	}
	r.registered = false
	for _, object := range objects {
		addr, ok := r.entryAddr(object)
		if addr == r.self.Addr {
			r.registered = true
		}
		if !ok || addr == r.self.Addr || r.hasReported(addr) {
			continue
		}
		err := r.store.Delete(r.ctx, object.Key, object.Version)
		r.log.Info("relay entry removed", zap.Stringer("relay", addr), zap.Error(err))
	}
	return r.register()
}
