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
	// _relaysPrefix begins the keys of the entries by which relays are found.
	_relaysPrefix = "relays/"
	// _registryPause is the first pause after a failed call, _maxRegistryPause the
	// longest.
	_minRegistryBackoff    = 200 * time.Millisecond
	_maxRegistryBackoff = 2 * time.Second
	// _aloneInterval is how often a process that has heard no relay looks again.
	_isolatedListInterval = time.Second
	// _storeSeenInterval is how often a relay whose call has failed looks whether
	// another one has reached the store since, and _regainedSpread the time over
	// which they all then call again.
	_storeContactInterval = 200 * time.Millisecond
	_storeReturnJitter    = 2 * time.Second
	// _sweepInterval is how often a relay looks for entries of relays that have
	// ended without removing them; with jitter, so that one relay does it for all.
	_sweepInterval = 60 * time.Second
)

// relayEntry is the object by which a relay is found.
type relayEntry struct {
	Addr        netip.Addr `json:"addr"`
	Zone        string     `json:"zone"`
	Incarnation uint64     `json:"incarnation"`
}

// registryTarget is a process's data path as far as finding relays goes.
type registryTarget interface {
	Introduce(relays []netip.Addr)
}

// registry finds relays through the store, and enters this process there if it
// is one. Everything else about processes is told by their reports.
type registry struct {
	tomb   tomb.Tomb
	ctx    context.Context
	store  platform.Store
	log    *zap.Logger
	target registryTarget
	// self is the entry of this process, nil for a sidecar.
	self *relayEntry
	// alone reports whether no relay has been heard.
	isolated func() bool
	// heard reports whether a relay has been heard.
	heardFrom func(netip.Addr) bool
	// storeSeen returns how long ago a relay has reached the store, and whether one
	// has; nil for a sidecar.
	storeContactAge func() (time.Duration, bool)
	// entered says that the entry of this process is in the store.
	registered bool
}

func (r *registry) start() {
	r.ctx = r.tomb.Context(context.Background())
	r.tomb.Go(r.loop)
}

// Close ends the loop and waits. The entry stays for the next run at the address.
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
	for r.tomb.Alive() {
		sleepContext(r.ctx, _sweepInterval+rand.N(_sweepInterval))
		r.retry("sweep", r.sweep)
	}
	return nil
}

// loopSidecar lists the relays once, since its seeds may be the last that are back
// after a loss of power, and then while none is heard.
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

// untilDone repeats a call with growing pauses until it succeeds, or this is a sidecar
// that has heard a relay meanwhile.
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

// awaitStore waits, for a call that failed, until a relay has reached the store since
// then. A relay that hears no other does not wait.
func (r *registry) awaitStoreContact(failedAt time.Time) {
	for r.tomb.Alive() && !r.isolated() {
		if age, known := r.storeContactAge(); known && age < time.Since(failedAt) {
			sleepContext(r.ctx, rand.N(_storeReturnJitter))
			return
		}
		sleepContext(r.ctx, _storeContactInterval)
	}
}

// enter writes the own entry unless the list had it. It is the same object for every
// run at an address, so an answer that was lost, or a write that comes late, does no
// harm.
func (r *registry) register() error {
	if r.registered {
		return nil
	}
	value, err := json.Marshal(r.self)
	if err != nil {
		return trace.Wrap(err, "enter relay")
	}
	_, err = r.store.Put(r.ctx, r.key(), value, 0)
	if trace.IsCompareFailed(err) {
		return nil // it is there from a run before
	}
	return err
}

func (r *registry) key() string { return _relaysPrefix + r.self.Addr.String() }

func (r *registry) list() error {
	objects, err := r.store.List(r.ctx, _relaysPrefix)
	if err != nil {
		return err
	}
	var found []netip.Addr
	for _, object := range objects {
		if addr, ok := r.entryAddr(object); ok {
			found = append(found, addr)
			r.registered = r.registered || r.self != nil && addr == r.self.Addr
		}
	}
	r.log.Info("relays listed", zap.Int("count", len(found)))
	r.target.Introduce(found)
	return nil
}

// entryAddr returns the address of an entry, which must be what its key says.
func (r *registry) entryAddr(object platform.Object) (netip.Addr, bool) {
	var entry relayEntry
	err := json.Unmarshal(object.Value, &entry)
	if err == nil && strings.TrimPrefix(object.Key, _relaysPrefix) != entry.Addr.String() {
		err = trace.BadParameter("relay entry %q names %v", object.Key, entry.Addr)
	}
	if err != nil {
		r.log.Warn("relay entry ignored", zap.String("key", object.Key), zap.Error(err))
		return netip.Addr{}, false
	}
	return entry.Addr, true
}

// sweep removes entries of relays that have never been heard for as long as this
// process knows them. Two relays that do it at once do no harm.
func (r *registry) sweep() error {
	objects, err := r.store.List(r.ctx, _relaysPrefix)
	if err != nil {
		return err
	}
	for _, object := range objects {
		addr, ok := r.entryAddr(object)
		if !ok || addr == r.self.Addr || r.heardFrom(addr) {
			continue
		}
		err := r.store.Delete(r.ctx, object.Key, object.Version)
		r.log.Info("relay entry removed", zap.Stringer("relay", addr), zap.Error(err))
	}
	return nil
}
