package keeper

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"dandelionhitch.example/platform"
	"dandelionhitch.example/roster"
)

// LeasePrefix is the prefix of the keys of the members' leases.
const LeasePrefix = "members/"

// lease is the object in the platform's store by which other members find a member.
type lease struct {
	Member roster.Member `json:"member"`
	// Renewal counts the renewals, so that each renewal changes the object.
	Renewal uint64 `json:"renewal"`
}

// UnmarshalJSON decodes and validates a lease.
func (l *lease) UnmarshalJSON(data []byte) error {
	type plain lease
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return trace.BadParameter("lease: %v", err)
	}
	if err := p.Member.Validate(); err != nil {
		return trace.Wrap(err, "lease")
	}
	*l = lease(p)
	return nil
}

// leaseRenewer renews the balancer's own lease in the platform's store and reads
// those of the other members.
type leaseRenewer struct {
	keeper  *Keeper
	store   platform.Store
	version platform.Version
	renewal uint64
	tracker leaseTracker
}

// loopLease refreshes the leases periodically. Jitter spreads the calls of the fleet
// evenly over time, also after an outage of the platform.
func (k *Keeper) loopLease() error {
	r := &leaseRenewer{keeper: k, store: k.options.store}
	wait := k.jitter(_startJitter)
	for {
		select {
		case <-time.After(wait):
		case <-k.tomb.Dying():
			r.release()
			return nil
		}
		wait = _leaseInterval*3/4 + k.jitter(_leaseInterval/2)
		if err := r.refresh(); err != nil {
			k.options.logger.Warn("leases in the platform not refreshed", zap.Error(err))
			k.count(&k.counts.leaseFailures)
			wait = _leaseRetryInterval/4 + k.jitter(_leaseRetryInterval)
		}
	}
}

// refresh renews the balancer's lease and reads those of all members.
func (r *leaseRenewer) refresh() error {
	ctx, cancel := context.WithTimeout(r.keeper.tomb.Context(context.Background()), _platformTimeout)
	defer cancel()
	if err := r.renew(ctx); err != nil {
		return trace.Wrap(err, "renew the lease")
	}
	return trace.Wrap(r.readMembers(ctx), "read the leases")
}

func (r *leaseRenewer) key() string { return LeasePrefix + r.keeper.Self().Name }

// renew writes the balancer's lease if the stored version is the one that the renewer
// last wrote or read.
func (r *leaseRenewer) renew(ctx context.Context) error {
	r.renewal++
	written := lease{Member: r.keeper.Self(), Renewal: r.renewal}
	value, err := json.Marshal(written)
	if err != nil {
		return trace.Wrap(err)
	}
	r.keeper.count(&r.keeper.counts.leaseWrites)
	version, err := r.store.Put(ctx, r.key(), value, r.version)
	if err == nil {
		r.version = version
		return nil
	}
	if !trace.IsCompareFailed(err) && !trace.IsNotFound(err) && !platform.IsAmbiguous(err) {
		return err
	}
	return r.resolve(ctx, written, err)
}

// resolve reads the lease after a write with an unexpected result: the reply was lost,
// the lease of an earlier run exists, or other members have removed the lease as
// abandoned. It returns nil if the write has taken effect, and cause otherwise; the
// next refresh then writes with the version found here.
func (r *leaseRenewer) resolve(ctx context.Context, written lease, cause error) error {
	object, err := r.store.Get(ctx, r.key())
	if trace.IsNotFound(err) {
		r.version = 0
		return cause
	}
	if err != nil {
		return err
	}
	var other lease
	if err := json.Unmarshal(object.Value, &other); err == nil && other.Member.Data != written.Member.Data {
		r.keeper.options.logger.Error("another balancer has this one's name, or had it before",
			zap.String("name", other.Member.Name), zap.Stringer("its_address", other.Member.Data))
	}
	r.version = object.Version
	if other == written {
		return nil
	}
	return cause
}

// readMembers reads the leases of all members and removes abandoned ones.
func (r *leaseRenewer) readMembers(ctx context.Context) error {
	r.keeper.count(&r.keeper.counts.leaseReads)
	objects, err := r.store.List(ctx, LeasePrefix)
	if err != nil {
		return err
	}
	k := r.keeper
	found, errs := decodeLeases(objects)
	if len(errs) > 0 {
		k.options.logger.Warn("invalid leases ignored", zap.Error(trace.NewAggregate(errs...)))
	}
	k.setSeeds(found)
	for _, object := range r.tracker.observe(k.now(), objects) {
		if object.Key != r.key() {
			// The call fails if another member has removed the lease already, or if its
			// owner has renewed it. Neither is an error.
			_ = r.store.Delete(ctx, object.Key, object.Version)
		}
	}
	return nil
}

// decodeLeases returns the members in the leases, and an error for each invalid lease.
func decodeLeases(objects []platform.Object) (found []roster.Member, errs []error) {
	for _, object := range objects {
		var l lease
		if err := json.Unmarshal(object.Value, &l); err != nil {
			errs = append(errs, trace.Wrap(err, "lease %s", object.Key))
			continue
		}
		found = append(found, l.Member)
	}
	return found, errs
}

// LeasedAddrs returns the control addresses of the members that have leases. It ignores invalid
// leases and fails if the platform cannot be read.
func LeasedAddrs(ctx context.Context, store platform.Store) ([]netip.AddrPort, error) {
	objects, err := store.List(ctx, LeasePrefix)
	if err != nil {
		return nil, trace.Wrap(err, "read the members' leases")
	}
	found, _ := decodeLeases(objects)
	out := make([]netip.AddrPort, len(found))
	for i, m := range found {
		out[i] = m.Control
	}
	return out, nil
}

// release removes the balancer's own lease.
func (r *leaseRenewer) release() {
	if r.version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), _callTimeout)
	defer cancel()
	if err := r.store.Delete(ctx, r.key(), r.version); err != nil {
		r.keeper.options.logger.Warn("own lease not removed; other members remove it after its term", zap.Error(err))
	}
}

// setSeeds replaces the seeds by the control addresses of the members that have leases
// and those of WithPeers. It does not merge the records in the leases into the roster,
// as they may be stale.
func (k *Keeper) setSeeds(members []roster.Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leasesRead = true
	clear(k.seeds)
	for _, peer := range k.options.peers {
		k.seeds[peer] = struct{}{}
	}
	for _, m := range members {
		if m.Data != k.self.Data && !k.hasEnded(m) {
			k.seeds[m.Control] = struct{}{}
		}
	}
	delete(k.seeds, k.self.Control)
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// hasEnded reports whether the run that wrote the record m has ended. The lock is held.
func (k *Keeper) hasEnded(m roster.Member) bool {
	status, known := k.roster.Status(roster.MemberKey(m.Data))
	return known && status.Ended >= m.Incarnation
}

// jitter returns a random duration below span.
func (k *Keeper) jitter(span time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Duration(k.random.Int64N(int64(span)))
}

// count increments a counter of k.counts under the lock.
func (k *Keeper) count(counter *int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	*counter++
}
