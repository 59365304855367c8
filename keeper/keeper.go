// Package keeper maintains a balancer's copy of the fleet's membership. A Keeper
// receives heartbeats from agents, exchanges the roster with other balancers by
// gossip, and detects upstreams and balancers that have failed.
//
// The roster (see package roster) is the shared state. Each activity has its own
// goroutines:
//
//	agents ── Heartbeat ──► roster ◄── Exchange, Sync ──► other balancers
//	                         ▲  │
//	loopDetect ─ suspicions ─┤  └── View ──► routing
//	loopProbe ──── verdicts ─┘         loopLease ◄──► platform
//
// Endpoint answers the calls of agents and other balancers. loopSchedule decides
// when to exchange and with which member; loopExchange makes the calls.
//
// # Failure detection
//
// An agent sends a heartbeat to each of its three keepers once per
// HeartbeatInterval; the three heartbeats are evenly spaced within it. A keeper that
// receives none for HeartbeatTimeout suspects the agent and probes its control
// port. Only a refused connection leads to the verdict that the agent's run has
// ended (see package roster). When a call to another balancer fails, that balancer
// is probed at once.
//
// At the time an agent dies, one of its keepers has received no heartbeat for at
// least two thirds of HeartbeatInterval. That keeper suspects the agent within
// HeartbeatTimeout less these two thirds, plus one _detectInterval: 1.7 s. The
// suspicion reaches all members within another 1.1 s.
//
// # Gossip
//
// A balancer exchanges with five neighbours in turn, three of them in its own
// place: once per second, and ten times per second while urgent changes are
// pending. The set of neighbours changes only when members join, leave or are
// suspected, so connections to them are long-lived. Every eleventh exchange goes to
// a member that is suspected or known only by its address, if there is one; this
// reunites the two sides of a network partition after it heals.
//
// Fine loads of upstreams are not gossiped: with 5,900 upstreams, one change per
// minute of each would exceed the whole traffic budget of 11 KB/s. Instead,
// heartbeat replies tell an agent the loads of a few upstreams of its own service.
// Groups of up to 32 upstreams of a service have the same first keeper, which
// therefore receives the loads of all of them.
//
// # Discovery
//
// The platform stores a lease object for each member, which new balancers read to
// find the others. Leases serve no other purpose: while the platform is
// unreachable, membership keeps working, and a new balancer joins by the addresses
// given to WithPeers. After an outage of the platform, the members renew their
// leases spread over 30 s, with two calls each.
//
// # Traffic
//
// The budget per balancer is 11,000 octets per second. It counts both directions and
// includes the headers of TLS, TCP and IP. The use at 660 balancers, 5,900 hosts and
// one settings change every 78 s, in octets per second:
//
//	                                                   mean   maximum
//	heartbeats, 287 octets each, of 27 agents
//	(mean) or 56 agents (maximum)                      3,850    8,040
//	exchanges, one made and one answered per second      545      545
//	settings revisions in force, 126 KB per change     1,600    1,600
//	total                                              6,000   10,200
//
// Two costs come on top. Each new balancer fetches the whole roster once, 393 KB.
// Comparing and transferring entries whose digests differ is limited to 2 KB/s in the
// long run.
package keeper

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/control"
	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

const (
	// _exchangeQueueLen is the number of exchanges that can wait for a worker.
	_exchangeQueueLen = 8
	// _exchangeWorkers is the number of concurrent exchanges.
	_exchangeWorkers = 3
	// _probeQueueLen is the number of probes that can wait for a worker.
	_probeQueueLen = 64
	// _probeWorkers is the number of concurrent probes.
	_probeWorkers = 4
)

// Client makes RPC calls to other processes. *control.Client implements it.
type Client interface {
	Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error
}

// Keeper maintains a balancer's copy of the membership. The balancer is "a keeper"
// of those agents that send their heartbeats to it.
type Keeper struct {
	client  Client
	options options
	key     roster.Key
	start   time.Time
	tomb    tomb.Tomb

	exchanges chan netip.AddrPort
	probes    chan probe
	wake      chan struct{}
	updates   chan struct{}
	joined    chan struct{}

	mu        sync.Mutex
	self      roster.Member
	roster    *roster.Roster
	watchlist *watchlist
	loads     map[roster.Key]fineLoad
	budget    budget
	random    *rand.Rand
	// view is the last snapshot; viewAt is the time it was taken.
	view   roster.View
	viewAt time.Duration
	// notifiedVersion is the roster version last signalled on updates.
	notifiedVersion uint64
	// exchangedAt is the time of the last successful exchange with another member,
	// valid if hasExchanged is set.
	exchangedAt  time.Duration
	hasExchanged bool
	// probeAnsweredAt is the time at which a probed host last answered, valid if
	// probeAnswered is set.
	probeAnsweredAt time.Duration
	probeAnswered   bool
	// urgentExchanges is the number of exchanges still to make at _urgentInterval.
	urgentExchanges int
	// round counts the scheduled exchanges.
	round uint
	// scans counts the calls of watchUnwatched, each of which scans a part of the roster.
	scans uint
	// expireAt is the time of the next removal of expired entries.
	expireAt time.Duration
	// seeds are the control addresses from the platform's leases and from WithPeers.
	seeds map[netip.AddrPort]struct{}
	// leasesRead reports whether the leases have been read from the platform at least once.
	leasesRead bool
	counts     counts
}

// fineLoad is the load in percent of the capacity that an agent last reported, and
// the time of the report.
type fineLoad struct {
	percent uint8
	at      time.Duration
}

// New starts a keeper for the balancer that self describes. It ignores Seq and State
// of self: the keeper assigns sequence numbers itself, and announces the state
// Serving once it has learned the roster from another member, or has found no
// member within _joinTimeout.
//
// The balancer must listen at its control address from before New until Close has
// returned, because other members conclude from a refused connection that it has
// ended. New returns a BadParameter error if self is not a valid record.
func New(self roster.Member, client Client, opts ...Option) (*Keeper, error) {
	self.Seq = 1
	self.State = service.Starting
	if err := self.Validate(); err != nil {
		return nil, trace.Wrap(err, "start keeper")
	}
	o := newOptions(opts)
	if o.seed == 0 {
		o.seed = rand.Uint64()
	}
	k := &Keeper{
		client: client, options: o, key: roster.MemberKey(self.Data), start: time.Now(),
		exchanges: make(chan netip.AddrPort, _exchangeQueueLen),
		probes:    make(chan probe, _probeQueueLen),
		wake:      make(chan struct{}, 1),
		updates:   make(chan struct{}, 1),
		joined:    make(chan struct{}),
		self:      self,
		roster:    roster.New(),
		watchlist: newWatchlist(),
		loads:     make(map[roster.Key]fineLoad),
		random:    rand.New(rand.NewPCG(o.seed, o.seed)),
		seeds:     make(map[netip.AddrPort]struct{}),
	}
	k.self.Revision = o.revision()
	k.roster.AnnounceMember(0, k.self)
	for _, peer := range o.peers {
		if peer != self.Control {
			k.seeds[peer] = struct{}{}
		}
	}
	k.observe()
	k.tomb.Go(k.run)
	return k, nil
}

// run starts the keeper's goroutines.
func (k *Keeper) run() error {
	for range _exchangeWorkers {
		k.tomb.Go(k.loopExchange)
	}
	for range _probeWorkers {
		k.tomb.Go(k.loopProbe)
	}
	k.tomb.Go(k.loopSchedule)
	k.tomb.Go(k.loopDetect)
	if k.options.store != nil {
		k.tomb.Go(k.loopLease)
	}
	return nil
}

// Register registers the RPC service with server.
func (k *Keeper) Register(server *control.Server) error {
	return trace.Wrap(server.Register(ServiceName, k.Endpoint()))
}

// Endpoint returns the receiver of the RPC service.
func (k *Keeper) Endpoint() *Endpoint { return &Endpoint{k} }

// View returns the current snapshot of the roster. It is at most _viewTTL old.
func (k *Keeper) View() roster.View {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	stale := k.view.Version != k.roster.Version() || k.view.Services == nil
	if stale || now-k.viewAt >= _viewTTL {
		k.view = k.roster.View(now)
		k.viewAt = now
	}
	return k.view
}

// Self returns the balancer's own record.
func (k *Keeper) Self() roster.Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.self
}

// Joined returns a channel that is closed once the balancer has announced the state
// Serving or a later state.
func (k *Keeper) Joined() <-chan struct{} { return k.joined }

// Updates returns a channel of capacity 1 that receives a value after the view has
// changed.
func (k *Keeper) Updates() <-chan struct{} { return k.updates }

// RevisionChanged announces a new settings revision in force at this balancer to the
// other members at once.
func (k *Keeper) RevisionChanged() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.updateRevision() {
		k.expediteExchanges()
	}
}

// Drain announces that this balancer is draining, and returns when a neighbour has
// received the announcement. It fails when ctx ends first. The keeper continues
// to answer heartbeats until Close.
func (k *Keeper) Drain(ctx context.Context) error {
	return trace.Wrap(k.leave(ctx, service.Draining), "drain keeper")
}

// Close announces that this balancer is gone, removes its lease, and waits for all
// goroutines of the keeper to end.
func (k *Keeper) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), _callTimeout)
	defer cancel()
	if err := k.leave(ctx, service.Gone); err != nil {
		k.options.logger.Warn("no member acknowledged that this balancer is gone", zap.Error(err))
	}
	k.tomb.Kill(nil)
	return trace.Wrap(k.tomb.Wait(), "close keeper")
}

// leave announces the state, and retries until an exchange with a neighbour succeeds
// or ctx ends.
func (k *Keeper) leave(ctx context.Context, state service.State) error {
	k.mu.Lock()
	if k.self.State < state {
		k.self.State = state
		k.announce()
	}
	alone := len(neighbours(k.self, k.roster.Present())) == 0
	k.mu.Unlock()
	if alone {
		return nil
	}
	for {
		for _, m := range k.neighbours() {
			if err := k.exchange(ctx, m.Control, false); err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "announce state: no neighbour answered")
		case <-time.After(_urgentInterval):
		}
	}
}

func (k *Keeper) now() time.Duration { return time.Since(k.start) }

// announce increments the sequence number of the balancer's own record, merges the
// record into the roster and expedites exchanges. The lock is held.
func (k *Keeper) announce() {
	k.self.Seq++
	k.roster.AnnounceMember(k.now(), k.self)
	k.expediteExchanges()
}

// expediteExchanges makes the next _neighbourCount exchanges at _urgentInterval. The
// lock is held.
func (k *Keeper) expediteExchanges() {
	k.urgentExchanges = _neighbourCount
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// updateRevision updates the settings revision in the balancer's own record, and
// reports whether it has increased. The lock is held.
func (k *Keeper) updateRevision() bool {
	revision := k.options.revision()
	if revision <= k.self.Revision {
		return false
	}
	k.self.Revision = revision
	k.self.Seq++
	k.roster.AnnounceMember(k.now(), k.self)
	return true
}

// handleOutcome acts on the outcome of a merge: it refutes wrong claims about this
// balancer and, after an urgent change, signals the update and wakes loopSchedule.
// The lock is held.
func (k *Keeper) handleOutcome(out roster.Outcome) {
	if out.Changed == 0 {
		return
	}
	k.refute()
	if out.Urgent {
		k.notifyUpdate()
		select {
		case k.wake <- struct{}{}:
		default:
		}
	}
}

// refute announces a higher incarnation if the roster lists this balancer's incarnation
// as ended or superseded, and a higher sequence number if the roster lists this balancer
// as suspected. The lock is held.
func (k *Keeper) refute() {
	status, _ := k.roster.Status(k.key)
	switch {
	case k.self.State == service.Gone:
	case status.Highest > k.self.Incarnation || status.Ended >= k.self.Incarnation:
		k.self.Incarnation = k.self.Incarnation.After(status.Highest)
		k.self.Seq = 0
		k.announce()
	case status.Suspect:
		k.announce()
	}
}

// notifyUpdate signals on updates that the view has changed. The lock is held.
func (k *Keeper) notifyUpdate() {
	if k.notifiedVersion == k.roster.Version() && !k.view.Ramping {
		return
	}
	k.notifiedVersion = k.roster.Version()
	select {
	case k.updates <- struct{}{}:
	default:
	}
}

// reportHigherRevision calls the handler of WithHigherRevisionHandler if the revision of the
// member at addr is higher than the one in force here. The lock is not held.
func (k *Keeper) reportHigherRevision(revision settings.Revision, addr netip.AddrPort) {
	if addr.IsValid() && revision > k.options.revision() {
		k.options.onHigherRevision(revision, addr)
	}
}
