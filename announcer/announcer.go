// Package announcer implements the agent's side of the membership protocol: it
// announces the agent's upstream to keepers by heartbeats.
//
// Only the agent itself changes its record. It sends heartbeats to
// roster.KeeperCount keepers from one goroutine per keeper, evenly spaced within
// keeper.HeartbeatInterval. A change of state is sent to all keepers at once and
// retried until each of them has acknowledged it. A keeper's reply carries:
//   - the members to choose keepers from;
//   - whether the agent is suspected to have failed, which it refutes with a
//     higher Seq;
//   - the highest incarnation recorded at the agent's address, if it is higher
//     than the agent's own or if the agent's own is recorded as ended; the agent
//     then adopts an even higher one;
//   - the settings revision in force at the keeper;
//   - some upstreams of the same service with their loads.
//
// The first heartbeat goes to a seed, which may be any member. The platform's
// store is read only while none of the known members can be reached.
package announcer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/keeper"
	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

const (
	// _heartbeatTimeout bounds one heartbeat call.
	_heartbeatTimeout = time.Second
	// _retryInterval is the mean delay before the next heartbeat after one that
	// failed, or after which the keeper still lacks the current record.
	_retryInterval = 200 * time.Millisecond
	// _closeTimeout bounds how long Close waits for acknowledgements.
	_closeTimeout = time.Second
)

// Announcer announces one upstream to its keepers. A keeper is a balancer's
// membership component that tracks whether the upstream is alive.
type Announcer struct {
	client  keeper.Client
	options options
	start   time.Time
	tomb    tomb.Tomb
	slots   [roster.KeeperCount]*slot
	counts  counts

	mu   sync.Mutex
	self roster.Upstream
	plan *plan
	// acked holds, by control address, the version of the record that each
	// member has acknowledged.
	acked       map[netip.AddrPort]roster.RecordVersion
	loadPercent uint8
	loadFilter  roster.LoadFilter
	peers       []keeper.Peer
	hosts       int
	random      *rand.Rand
	// lastAnswered is the send time of the latest heartbeat that was answered.
	lastAnswered time.Time
	// ackNotify is closed and replaced whenever a keeper replies.
	ackNotify chan struct{}
}

// New starts announcing self. The seeds are control addresses of members, from
// which the announcer learns its keepers. The announcer sets the record's Seq,
// and raises its Load to at least roster.LoadLow. New returns a BadParameter
// error if the record is invalid or there are no seeds.
//
// The agent must listen on its control address from before New is called until
// Close returns: a keeper takes a refused connection as proof that the process
// has ended.
func New(self roster.Upstream, client keeper.Client, seeds []netip.AddrPort, opts ...Option) (*Announcer, error) {
	self.Seq = 1
	self.Load = max(self.Load, roster.LoadLow)
	if err := self.Validate(); err != nil {
		return nil, trace.Wrap(err, "start announcer")
	}
	if len(seeds) == 0 {
		return nil, trace.BadParameter("start announcer: no seeds, want at least one control address of a member")
	}
	o := newOptions(opts)
	if o.seed == 0 {
		o.seed = rand.Uint64()
	}
	random := rand.New(rand.NewPCG(o.seed, o.seed))
	seeds = slices.Clone(seeds)
	random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	a := &Announcer{
		client: client, options: o, start: time.Now(), self: self,
		plan: newPlan(seeds), acked: make(map[netip.AddrPort]roster.RecordVersion),
		random: random, ackNotify: make(chan struct{}),
	}
	for i := range a.slots {
		a.slots[i] = &slot{announcer: a, index: i, wake: make(chan struct{}, 1)}
	}
	a.counts.observe(o.meter)
	a.tomb.Go(a.run)
	return a, nil
}

// run starts the heartbeat goroutines and, if there is a store, the search for seeds.
func (a *Announcer) run() error {
	for _, s := range a.slots {
		a.tomb.Go(s.loop)
	}
	if a.options.store != nil {
		a.tomb.Go(a.loopSeeds)
	}
	return nil
}

// Self returns the current record.
func (a *Announcer) Self() roster.Upstream {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.self
}

// SetState announces a state at once. States only advance: SetState ignores a
// state that is not later than the current one or not valid.
func (a *Announcer) SetState(state service.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state <= a.self.State || state > service.Gone {
		return
	}
	a.self.State = state
	a.announce()
}

// SetLoad sets the load in percent of the capacity, which is sent with the next
// heartbeats. The coarse load level in the record follows with hysteresis.
func (a *Announcer) SetLoad(percent uint8) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.loadPercent = percent
	a.loadFilter = a.loadFilter.Updated(a.now(), percent)
	if level := a.loadFilter.Level(); level != a.self.Load {
		a.self.Load = level
		a.self.Seq++
	}
}

// Peers returns serving upstreams of the same service with their loads, from the
// latest keeper reply that listed them. The caller may modify the slice.
func (a *Announcer) Peers() []keeper.Peer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.peers)
}

// Balancers returns the data addresses of the candidate keepers, best first. It
// is empty until a keeper has replied.
func (a *Announcer) Balancers() []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []netip.AddrPort
	for _, c := range a.plan.choices {
		out = append(out, c.Data)
	}
	return out
}

// Drain announces that the upstream is draining and waits until one keeper has
// acknowledged that or ctx ends. The other keepers are notified in the background.
func (a *Announcer) Drain(ctx context.Context) error {
	a.SetState(service.Draining)
	return trace.Wrap(a.awaitAcks(ctx, 1), "announce draining")
}

// Close announces that this run is gone, waits up to a second for the keepers to
// acknowledge that, and stops all goroutines. It does not wait for keepers in
// backoff. Missing acknowledgements are logged, not returned.
func (a *Announcer) Close() error {
	a.SetState(service.Gone)
	ctx, cancel := context.WithTimeout(context.Background(), _closeTimeout)
	defer cancel()
	if err := a.awaitAcks(ctx, roster.KeeperCount); err != nil {
		a.options.logger.Warn("not all keepers acknowledged that this upstream is gone", zap.Error(err))
	}
	a.tomb.Kill(nil)
	return trace.Wrap(a.tomb.Wait(), "close announcer")
}

// awaitAcks waits until n keepers, or all if there are fewer, have acknowledged
// the current record. It returns an error if ctx ends first.
func (a *Announcer) awaitAcks(ctx context.Context, n int) error {
	for {
		a.mu.Lock()
		acks, all := 0, a.plan.keepers(a.now())
		for _, addr := range all {
			if a.acknowledged(addr) {
				acks++
			}
		}
		notify := a.ackNotify
		a.mu.Unlock()
		if acks > 0 && acks >= min(n, len(all)) {
			return nil
		}
		select {
		case <-notify:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "%d of %d keepers have acknowledged the record", acks, len(all))
		}
	}
}

// now returns the time since the announcer started.
func (a *Announcer) now() time.Duration { return time.Since(a.start) }

// announce increments the record's Seq and triggers a heartbeat to every keeper.
// The caller must hold a.mu.
func (a *Announcer) announce() {
	a.self.Seq++
	a.wakeSlots()
}

// wakeSlots triggers an immediate heartbeat from every slot.
func (a *Announcer) wakeSlots() {
	for _, s := range a.slots {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// version returns the version of the current record. The caller must hold a.mu.
func (a *Announcer) version() roster.RecordVersion {
	return roster.RecordVersion{Incarnation: a.self.Incarnation, Seq: a.self.Seq}
}

// acknowledged reports whether the member at addr has acknowledged the current
// record. The caller must hold a.mu.
func (a *Announcer) acknowledged(addr netip.AddrPort) bool { return a.acked[addr] == a.version() }

// handleReply processes the reply of the keeper at addr to the request in sent,
// which was sent at sentAt. It returns a function that the caller must call
// without holding a.mu.
func (a *Announcer) handleReply(addr netip.AddrPort, sent *keeper.HeartbeatRequest, sentAt time.Time, reply *keeper.HeartbeatReply) func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if sentAt.After(a.lastAnswered) {
		a.lastAnswered = sentAt
	}
	a.plan.recordAnswer(a.now(), addr)
	a.acked[addr] = roster.RecordVersion{Incarnation: sent.Incarnation, Seq: sent.Seq}
	a.hosts = int(reply.Hosts)
	afterUnlock := func() {}
	switch {
	case reply.Highest >= a.self.Incarnation && reply.Highest != 0:
		afterUnlock = a.adopt(reply.Highest)
	case reply.NeedRecord:
		delete(a.acked, addr)
	case reply.Suspect && sent.Incarnation == a.self.Incarnation && sent.Seq == a.self.Seq:
		a.counts.refutations.Add(1)
		a.announce()
	}
	if a.plan.setChoices(a.now(), reply.Choices) {
		a.pruneAcks()
		a.wakeSlots()
	}
	if sent.WantPeers {
		a.peers = reply.Peers
	}
	close(a.ackNotify)
	a.ackNotify = make(chan struct{})
	return afterUnlock
}

// adopt switches to an incarnation above highest, unless the upstream is gone.
// It returns the notification to call once a.mu, which the caller must hold, is
// released.
func (a *Announcer) adopt(highest service.Incarnation) func() {
	if a.self.State == service.Gone {
		return func() {}
	}
	a.counts.adoptions.Add(1)
	adopted := a.self.Incarnation.After(highest)
	a.options.logger.Warn("the fleet remembers a higher incarnation; adopting one above it",
		zap.Uint32("own", uint32(a.self.Incarnation)), zap.Uint32("adopted", uint32(adopted)))
	a.self.Incarnation = adopted
	a.self.Seq = 0
	a.announce()
	return func() { a.options.onNewIncarnation(adopted) }
}

// pruneAcks deletes the acknowledgements of members that are neither candidate
// keepers nor seeds. The caller must hold a.mu.
func (a *Announcer) pruneAcks() {
	for addr := range a.acked {
		if !a.plan.known(addr) {
			delete(a.acked, addr)
		}
	}
}

// reportRevision calls the handler of WithHigherRevisionHandler if the keeper at
// addr has a higher settings revision in force than this agent.
func (a *Announcer) reportRevision(revision settings.Revision, addr netip.AddrPort) {
	if revision > a.options.revision() {
		a.options.onHigherRevision(revision, addr)
	}
}
