// Package announcer is an agent's part in the membership: it announces its
// upstream to the keepers and learns from their answers.
//
// The agent alone writes its record. It sends heartbeats to three keepers, one
// goroutine for each, evenly spaced within keeper.HeartbeatInterval; a change of
// state goes to all three at once and is sent again until each has it. What comes
// back tells the agent whom to have as keepers, whether it is suspected (it
// then refutes by a higher Seq), whether the fleet remembers its incarnation as
// used up (it then adopts a higher one), the settings revision in force, and
// some upstreams of its own service with their loads.
//
// The first heartbeat goes to a seed, which may be any member. The platform is
// of use only to an agent none of whose members can be reached any more.
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
	// _callTimeout bounds one heartbeat.
	_callTimeout = time.Second
	// _retryInterval is between two tries to tell a change.
	_retryInterval = 200 * time.Millisecond
	// _closeTimeout bounds the telling that this run is gone.
	_closeTimeout = time.Second
)

// Announcer announces one upstream.
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
	// told is the state of the record that each member has acknowledged.
	told    map[netip.AddrPort]roster.Mark
	percent uint8
	load    roster.LoadFilter
	peers   []keeper.Peer
	hosts   int
	random  *rand.Rand
	// heard is when the latest heartbeat that a keeper answered was sent.
	heard time.Time
	// acked is closed and replaced at each acknowledgement.
	acked chan struct{}
}

// New starts to announce self to the members that seeds, control addresses,
// lead to. The record's Seq and Load may be zero; the announcer numbers the states.
//
// The agent must listen at its control address before New and until Close has
// returned: a keeper takes a refused connection there for the end of the run.
func New(self roster.Upstream, client keeper.Client, seeds []netip.AddrPort, opts ...Option) (*Announcer, error) {
	self.Seq = 1
	self.Load = max(self.Load, roster.LoadLow)
	if err := self.Validate(); err != nil {
		return nil, trace.Wrap(err, "start announcer")
	}
	if len(seeds) == 0 {
		return nil, trace.BadParameter("start announcer: no members to begin with")
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
		plan: newPlan(seeds), told: make(map[netip.AddrPort]roster.Mark),
		random: random, acked: make(chan struct{}),
	}
	for i := range a.slots {
		a.slots[i] = &slot{announcer: a, number: i, wake: make(chan struct{}, 1)}
	}
	a.counts.observe(o.meter)
	a.tomb.Go(a.run)
	return a, nil
}

// run starts a goroutine for each keeper.
func (a *Announcer) run() error {
	for _, s := range a.slots {
		a.tomb.Go(s.loop)
	}
	if a.options.store != nil {
		a.tomb.Go(a.loopSeeds)
	}
	return nil
}

// Self returns the record as announced now.
func (a *Announcer) Self() roster.Upstream {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.self
}

// SetState announces a state at once. An upstream never goes back to an earlier
// state: a lower one than the present is ignored.
func (a *Announcer) SetState(state service.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state <= a.self.State || state > service.Gone {
		return
	}
	a.self.State = state
	a.announce()
}

// SetLoad sets the fine load in percent of the capacity. Keepers hear it with
// the next heartbeat; the coarse level in the record follows with hysteresis.
func (a *Announcer) SetLoad(percent uint8) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.percent = percent
	a.load = a.load.With(a.now(), percent)
	if level := a.load.Level(); level != a.self.Load {
		a.self.Load = level
		a.self.Seq++
	}
}

// Peers returns serving upstreams of the same service with their loads. The
// slice belongs to the caller.
func (a *Announcer) Peers() []keeper.Peer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.peers)
}

// Balancers returns the data addresses of the members to choose keepers from,
// best first. It is empty until a keeper has answered.
func (a *Announcer) Balancers() []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []netip.AddrPort
	for _, c := range a.plan.choices {
		out = append(out, c.Data)
	}
	return out
}

// Drain announces that the upstream is draining and waits until a keeper has
// acknowledged it or ctx ends. It is announced further on to the other keepers.
func (a *Announcer) Drain(ctx context.Context) error {
	a.SetState(service.Draining)
	return trace.Wrap(a.await(ctx, 1), "announce draining")
}

// Close says that this run is gone and waits until all is stopped. It does not
// wait for keepers that cannot be reached.
func (a *Announcer) Close() error {
	a.SetState(service.Gone)
	ctx, cancel := context.WithTimeout(context.Background(), _closeTimeout)
	defer cancel()
	if err := a.await(ctx, roster.KeeperCount); err != nil {
		a.options.logger.Warn("not all keepers heard that this upstream is gone", zap.Error(err))
	}
	a.tomb.Kill(nil)
	return trace.Wrap(a.tomb.Wait(), "close announcer")
}

// await waits until n keepers, or all if they are fewer, have acknowledged the
// present state.
func (a *Announcer) await(ctx context.Context, n int) error {
	for {
		a.mu.Lock()
		reached, all := 0, a.plan.keepers(a.now())
		for _, addr := range all {
			if a.acknowledged(addr) {
				reached++
			}
		}
		acked := a.acked
		a.mu.Unlock()
		if reached > 0 && reached >= min(n, len(all)) {
			return nil
		}
		select {
		case <-acked:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "%d of %d keepers have acknowledged", reached, len(all))
		}
	}
}

func (a *Announcer) now() time.Duration { return time.Since(a.start) }

// announce numbers the present state and has it told at once. The lock is held.
func (a *Announcer) announce() {
	a.self.Seq++
	a.wakeSlots()
}

// wakeSlots has all heartbeats sent at once.
func (a *Announcer) wakeSlots() {
	for _, s := range a.slots {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

func (a *Announcer) mark() roster.Mark {
	return roster.Mark{Incarnation: a.self.Incarnation, Seq: a.self.Seq}
}

// acknowledged says that a member has the present state. The lock is held.
func (a *Announcer) acknowledged(addr netip.AddrPort) bool { return a.told[addr] == a.mark() }

// take deals with the answer of a keeper to a heartbeat that told sent. It
// returns what to call once the lock is released.
func (a *Announcer) take(addr netip.AddrPort, sent *keeper.HeartbeatRequest, at time.Time, reply *keeper.HeartbeatReply) func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.After(a.heard) {
		a.heard = at
	}
	a.plan.answered(a.now(), addr)
	a.told[addr] = roster.Mark{Incarnation: sent.Incarnation, Seq: sent.Seq}
	a.hosts = int(reply.Hosts)
	after := func() {}
	switch {
	case reply.Highest >= a.self.Incarnation && reply.Highest != 0:
		after = a.adopt(reply.Highest)
	case reply.NeedRecord:
		delete(a.told, addr)
	case reply.Suspect && sent.Incarnation == a.self.Incarnation && sent.Seq == a.self.Seq:
		a.counts.refutations.Add(1)
		a.announce()
	}
	if a.plan.choose(a.now(), reply.Choices) {
		a.forgetOthers()
		a.wakeSlots()
	}
	if sent.WantPeers {
		a.peers = reply.Peers
	}
	close(a.acked)
	a.acked = make(chan struct{})
	return after
}

// adopt takes an incarnation above one that has been used. The lock is held.
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
	return func() { a.options.newIncarnation(adopted) }
}

// forgetOthers drops what is noted of members that are no longer chosen. The
// lock is held.
func (a *Announcer) forgetOthers() {
	for addr := range a.told {
		if !a.plan.known(addr) {
			delete(a.told, addr)
		}
	}
}

func (a *Announcer) offerRevision(revision settings.Revision, addr netip.AddrPort) {
	if revision > a.options.revision() {
		a.options.higherRevision(revision, addr)
	}
}
