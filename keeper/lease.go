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

// LeasePrefix is what the keys of the members' leases begin with.
const LeasePrefix = "members/"

// lease is the object by which a member is found.
type lease struct {
	Member roster.Member `json:"member"`
	// Renewal counts the renewals, so that each one changes the object.
	Renewal uint64 `json:"renewal"`
}

// UnmarshalJSON decodes and checks a lease.
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

// leaseRenewer is the platform's side of a keeper: it renews the balancer's own
// lease and reads those of the others.
type leaseRenewer struct {
	keeper  *Keeper
	store   platform.Store
	version platform.Version
	renewal uint64
	tracker leaseTracker
}

// loopLease renews the lease and reads the others, spread by jitter so that
// the fleet's calls are even, also after an outage.
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
			k.options.logger.Warn("the platform's leases are out of reach", zap.Error(err))
			k.count(&k.counts.leaseFailures)
			wait = _leaseRetryInterval/4 + k.jitter(_leaseRetryInterval)
		}
	}
}

// turn renews the lease and learns the members.
func (r *leaseRenewer) refresh() error {
	ctx, cancel := context.WithTimeout(r.keeper.tomb.Context(context.Background()), _platformTimeout)
	defer cancel()
	if err := r.renew(ctx); err != nil {
		return trace.Wrap(err, "renew the lease")
	}
	return trace.Wrap(r.readMembers(ctx), "read the leases")
}

func (r *leaseRenewer) key() string { return LeasePrefix + r.keeper.Self().Name }

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

// settle finds out what became of the lease when it is not as expected: the
// answer to a write was lost, an earlier run's lease is there, or the lease was
// taken for abandoned and removed. The next turn goes on from what it finds.
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

// learn reads the leases of all members and removes abandoned ones.
func (r *leaseRenewer) readMembers(ctx context.Context) error {
	r.keeper.count(&r.keeper.counts.leaseReads)
	objects, err := r.store.List(ctx, LeasePrefix)
	if err != nil {
		return err
	}
	k := r.keeper
	found, findings := decodeLeases(objects)
	if len(findings) > 0 {
		k.options.logger.Warn("leases that cannot be read", zap.Error(trace.NewAggregate(findings...)))
	}
	k.setSeeds(found)
	for _, object := range r.tracker.observe(k.now(), objects) {
		if object.Key != r.key() {
			// Another member may be quicker, or the owner be back; either is well.
			_ = r.store.Delete(ctx, object.Key, object.Version)
		}
	}
	return nil
}

// members returns the members that have leases, and what is wrong with leases
// that cannot be read.
func decodeLeases(objects []platform.Object) (found []roster.Member, findings []error) {
	for _, object := range objects {
		var l lease
		if err := json.Unmarshal(object.Value, &l); err != nil {
			findings = append(findings, trace.Wrap(err, "lease %s", object.Key))
			continue
		}
		found = append(found, l.Member)
	}
	return found, findings
}

// Leased returns the control addresses of the members that have leases.
func Leased(ctx context.Context, store platform.Store) ([]netip.AddrPort, error) {
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

// release removes the lease.
func (r *leaseRenewer) release() {
	if r.version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), _callTimeout)
	defer cancel()
	if err := r.store.Delete(ctx, r.key(), r.version); err != nil {
		r.keeper.options.logger.Warn("the lease stays behind until others remove it", zap.Error(err))
	}
}

// found notes the members that have leases. Their records are not taken from
// there: a lease may be old.
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

// outdated says that the run that a lease was made by has ended. The lock is held.
func (k *Keeper) hasEnded(m roster.Member) bool {
	status, known := k.roster.Status(roster.MemberKey(m.Data))
	return known && status.Ended >= m.Incarnation
}

func (k *Keeper) jitter(span time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Duration(k.random.Int64N(int64(span)))
}

func (k *Keeper) count(counter *int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	*counter++
}
