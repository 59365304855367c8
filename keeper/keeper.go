// Package keeper is a balancer's part in the membership: it hears agents,
// exchanges the roster with other balancers, and judges who is gone.
//
// Data flows in five duties, each with its own goroutines, around one roster:
//
//	agents ── Heartbeat ──► roster ◄── Exchange, Sync ──► other balancers
//	                          ▲  │
//	   loopJudge ── silence ──┘  └── View ──► routing
//	   loopProbe ── verdicts ─► roster       loopLease ◄──► platform
//
// The calls of agents and balancers arrive at an Endpoint. loopTurn says when to
// exchange and with whom, and loopExchange makes the calls.
//
// An agent sends a heartbeat to each of its three keepers every
// HeartbeatInterval, evenly spaced. A keeper that misses one for Silence suspects
// the agent and probes its control port; only a refused connection leads to the
// verdict that its run has ended (see package roster). A call to another balancer
// that fails has that balancer probed at once.
//
// A balancer exchanges with five neighbours in turn, three in its own place, one
// a second, and ten a second while there is urgent news. The neighbours change
// only as members come and go, so that the connections to them last. Now and then
// it exchanges with a member that it suspects, by which two halves find each
// other again after a cut.
//
// The platform holds a lease object for each member, by which balancers first
// find each other. It is of no use to anything else: when it cannot be reached,
// everything goes on, and a new balancer starts with the addresses of some peers.
//
// Fine loads of upstreams do not travel between balancers. With 5,900 of them a
// change each minute would cost more than the whole budget of 11 KB/s. An agent
// learns the loads of a few upstreams of its own service in the answers to its
// heartbeats: the first keeper of up to 32 upstreams of one service is the same,
// and it has heard them all.
//
// The budget, in octets a second of both directions with the headers of TLS,
// TCP and IP, at 660 balancers, 5,900 hosts and a settings change each 78 s:
//
//	                                      mean      most
//	heartbeats of 27 (56) agents, 287 each   3,850     8,040
//	exchanges, one made and one answered       545       545
//	revisions in force, 126 KB a change      1,600     1,600
//	all, of 11,000                           6,000    10,200
//
// A whole roster, 393 KB, is learned once by each new balancer. Comparisons of
// digests beyond what agrees are held to 2 KB/s in the long run.
//
// An agent that dies is suspected by the first of its keepers within Silence
// less two thirds of the interval, and a look at the clock: 1.7 s. The news takes
// up to 1.1 s to all members. After an outage of the platform the members come
// back over 30 s, with two calls each.
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
	// _exchangeRing is how many exchanges wait for a worker.
	_exchangeQueueLen = 8
	// _exchangeWorkers is how many are under way at once.
	_exchangeWorkers = 3
	// _probeRing is how many probes wait for a worker.
	_probeQueueLen = 64
	// _probeWorkers is how many are under way at once.
	_probeWorkers = 4
)

// Client makes calls to other processes; *control.Client is one.
type Client interface {
	Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error
}

// Keeper is a balancer's part in the membership.
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
	// view is the last snapshot, viewAt when it was taken.
	view   roster.View
	viewAt time.Duration
	// notified is the roster's version that Updates has told of.
	notifiedVersion uint64
	// exchangedAt is when an exchange with another member last succeeded.
	exchangedAt  time.Duration
	hasExchanged bool
	// answeredAt is when a probed host last answered.
	probeAnsweredAt time.Duration
	probeAnswered   bool
	// hurry is how many exchanges are still to be made without delay.
	urgentExchanges int
	// turn counts exchanges.
	round uint
	// beat counts looks at the clock; expireAt is when to forget next.
	scanTick uint
	expireAt time.Duration
	// seeds are members known only from the platform or the peers option.
	seeds map[netip.AddrPort]struct{}
	// leasesRead says that the platform has told its leases once.
	leasesRead bool
	counts     counts
}

// fineLoad is what an agent said of its load, and when.
type fineLoad struct {
	percent uint8
	at      time.Duration
}

// New starts a keeper for the balancer that self describes. The record's Seq
// and State may be zero; the keeper numbers the states and serves once it has
// heard another member, or found none for some seconds.
//
// The balancer must listen at its control address before New and until Close
// has returned: others take a refused connection there for its end.
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

// run starts the duties.
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

// Register offers the rpc service at the server.
func (k *Keeper) Register(server *control.Server) error {
	return trace.Wrap(server.Register(ServiceName, k.Endpoint()))
}

// Endpoint returns the receiver of the rpc service.
func (k *Keeper) Endpoint() *Endpoint { return &Endpoint{k} }

// View returns the current snapshot.
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

// Joined returns a channel that is closed once the balancer serves.
func (k *Keeper) Joined() <-chan struct{} { return k.joined }

// Updates returns a channel of capacity 1 that gets a value after the view changed.
func (k *Keeper) Updates() <-chan struct{} { return k.updates }

// RevisionChanged tells the keeper that the settings revision in force here
// has changed, so that other members hear of it at once.
func (k *Keeper) RevisionChanged() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.updateRevision() {
		k.expediteExchanges()
	}
}

// Drain tells the other members that this balancer is leaving, and waits until
// one of them has heard it or ctx ends. Agents are kept until Close.
func (k *Keeper) Drain(ctx context.Context) error {
	return trace.Wrap(k.leave(ctx, service.Draining), "drain keeper")
}

// Close tells the other members that this balancer is gone, removes its lease
// and waits until all is stopped.
func (k *Keeper) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), _callTimeout)
	defer cancel()
	if err := k.leave(ctx, service.Gone); err != nil {
		k.options.logger.Warn("nobody heard that this balancer is gone", zap.Error(err))
	}
	k.tomb.Kill(nil)
	return trace.Wrap(k.tomb.Wait(), "close keeper")
}

// leave announces the state and tells neighbours until one has heard it.
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
			return trace.Wrap(ctx.Err(), "no neighbour answered")
		case <-time.After(_urgentInterval):
		}
	}
}

func (k *Keeper) now() time.Duration { return time.Since(k.start) }

// announce numbers and merges the balancer's own record. The lock is held.
func (k *Keeper) announce() {
	k.self.Seq++
	k.roster.AnnounceMember(k.now(), k.self)
	k.expediteExchanges()
}

// hasten makes the next exchanges without delay. The lock is held.
func (k *Keeper) expediteExchanges() {
	k.urgentExchanges = _neighbourCount
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// updateRevision brings the own record up to the revision in force. The lock
// is held.
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

// absorbed deals with a change of the roster. The lock is held.
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

// defend refutes what others wrongly hold of this balancer. The lock is held.
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

// notify tells of a changed view. The lock is held.
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

// offerRevision tells of a member with a higher revision in force.
func (k *Keeper) reportHigherRevision(revision settings.Revision, addr netip.AddrPort) {
	if addr.IsValid() && revision > k.options.revision() {
		k.options.higherRevision(revision, addr)
	}
}
