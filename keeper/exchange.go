package keeper

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
)

const (
	// _deltaOctets is the approximate size of one complete entry in a message.
	_deltaOctets = 90
	// _summaryOctets is the approximate size of one bucket's summary with 660 members
	// and 5,900 upstreams.
	_summaryOctets = 280
	// _maxJoinRounds limits the exchanges in which a joining balancer fetches the
	// whole roster from one member.
	_maxJoinRounds = 64
)

// loopSchedule joins the membership and then schedules exchanges.
func (k *Keeper) loopSchedule() error {
	k.join()
	for {
		wait := time.After(k.nextDelay())
		select {
		case <-wait:
		case <-k.wake:
			wait = time.After(_urgentInterval)
			select {
			case <-wait:
			case <-k.tomb.Dying():
				return nil
			}
		case <-k.tomb.Dying():
			return nil
		}
		k.queueExchange()
	}
}

// loopExchange makes the exchanges that loopSchedule has queued.
func (k *Keeper) loopExchange() error {
	for {
		select {
		case addr := <-k.exchanges:
			ctx, cancel := context.WithTimeout(k.tomb.Context(context.Background()), _callTimeout)
			_ = k.exchange(ctx, addr, k.compareDue())
			cancel()
		case <-k.tomb.Dying():
			return nil
		}
	}
}

// nextDelay returns the delay until the next exchange, with a jitter of 10 percent.
func (k *Keeper) nextDelay() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	interval := _exchangeInterval
	if k.roster.Urgent(k.now()) || k.urgentExchanges > 0 {
		interval = _urgentInterval
	}
	k.urgentExchanges = max(k.urgentExchanges-1, 0)
	return interval*9/10 + time.Duration(k.random.Int64N(int64(interval/5)))
}

// queueExchange queues an exchange with the next target. It drops the exchange if the
// queue is full.
func (k *Keeper) queueExchange() {
	addr := k.nextTarget()
	if !addr.IsValid() {
		return
	}
	select {
	case k.exchanges <- addr:
	default:
	}
}

// nextTarget returns the control address to exchange with next: that of a neighbour,
// or one of reconnectTargets in every _reconnectEvery-th round and when there are no
// neighbours. It is invalid if there is no target.
func (k *Keeper) nextTarget() netip.AddrPort {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.round++
	members := k.roster.Present()
	adjacent := neighbours(k.self, members)
	targets := k.reconnectTargets(members)
	if len(targets) > 0 && (k.round%_reconnectEvery == 0 || len(adjacent) == 0) {
		return targets[k.random.IntN(len(targets))]
	}
	if len(adjacent) == 0 {
		return netip.AddrPort{}
	}
	return adjacent[int(k.round)%len(adjacent)].Control
}

// reconnectTargets returns the control addresses of suspected members and the seeds,
// except those seeds that are the address of an unsuspected member. After a network
// partition, gossip with neighbours is unlikely to reach these addresses. The lock is
// held.
func (k *Keeper) reconnectTargets(members []roster.MemberStatus) []netip.AddrPort {
	var out []netip.AddrPort
	for addr := range k.seeds {
		known := func(m roster.MemberStatus) bool { return m.Control == addr && !m.Suspect }
		if addr != k.self.Control && !slices.ContainsFunc(members, known) {
			out = append(out, addr)
		}
	}
	for _, m := range members {
		if m.Suspect && m.Data != k.self.Data {
			out = append(out, m.Control)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return slices.Compact(out)
}

func (k *Keeper) neighbours() []roster.Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	return neighbours(k.self, k.roster.Present())
}

// compareDue reports whether the exchanges of the current round compare digests.
func (k *Keeper) compareDue() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.round%_compareEvery == 0
}

// exchange makes one exchange with the member at addr. If compare is set, it also
// compares digests and transfers the entries that differ, as far as the budget allows.
func (k *Keeper) exchange(ctx context.Context, addr netip.AddrPort, compare bool) error {
	reply, err := k.push(ctx, addr, compare)
	if err != nil {
		k.exchangeFailed(addr)
		return err
	}
	s := k.applyPushReply(reply)
	if len(s.Summaries) == 0 || !k.takeBudget(len(s.Summaries)*_summaryOctets) {
		return nil
	}
	return k.sync(ctx, addr, s)
}

// push sends pending rumors to the member at addr and, if compare is set, the digest of
// the roster. If the call fails, the rumors become pending again.
func (k *Keeper) push(ctx context.Context, addr netip.AddrPort, compare bool) (*ExchangeReply, error) {
	k.mu.Lock()
	k.updateRevision()
	to := k.memberAt(addr)
	request := &ExchangeRequest{
		From:     k.self.Data,
		Revision: k.self.Revision,
		Push:     k.roster.Push(k.now(), to, compare),
	}
	k.mu.Unlock()
	reply := &ExchangeReply{}
	err := k.client.Call(ctx, addr, MethodExchange, request, reply)
	if err != nil {
		k.mu.Lock()
		k.roster.RestoreUnsent(k.now(), to, request.Push)
		k.mu.Unlock()
	}
	return reply, trace.Wrap(err, "exchange with %s", addr)
}

// memberAt returns the key of the member with the control address addr, or the zero
// key if there is none. The lock is held.
func (k *Keeper) memberAt(addr netip.AddrPort) roster.Key {
	for _, m := range k.roster.Present() {
		if m.Control == addr {
			return roster.MemberKey(m.Data)
		}
	}
	return roster.Key{}
}

// applyPushReply merges the reply to a push. The returned Sync summarizes buckets that
// differ, if digests were compared.
func (k *Keeper) applyPushReply(reply *ExchangeReply) roster.Sync {
	k.mu.Lock()
	now := k.now()
	from := roster.MemberKey(reply.From)
	s, out := k.roster.ApplyPushReply(now, from, reply.Reply)
	k.handleOutcome(out)
	k.recordMemberContact(now, from)
	m, _ := k.roster.Member(from)
	k.mu.Unlock()
	k.reportHigherRevision(reply.Revision, m.Control)
	return s
}

// sync compares the buckets summarized in s with the member at addr, and transfers the
// entries that differ in both directions.
func (k *Keeper) sync(ctx context.Context, addr netip.AddrPort, s roster.Sync) error {
	var answer roster.SyncReply
	if err := k.client.Call(ctx, addr, MethodSync, &s, &answer); err != nil {
		return trace.Wrap(err, "sync with %s", addr)
	}
	k.mu.Lock()
	p, out := k.roster.ApplySyncReply(k.now(), k.memberAt(addr), answer)
	k.handleOutcome(out)
	k.budget.take(k.now(), (len(answer.Deltas)+len(p.Deltas))*_deltaOctets)
	request := &ExchangeRequest{From: k.self.Data, Revision: k.self.Revision, Push: p}
	k.mu.Unlock()
	if len(p.Deltas) == 0 {
		return nil
	}
	reply := &ExchangeReply{}
	if err := k.client.Call(ctx, addr, MethodExchange, request, reply); err != nil {
		return trace.Wrap(err, "send wanted entries to %s", addr)
	}
	k.applyPushReply(reply)
	return nil
}

func (k *Keeper) takeBudget(octets int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.budget.take(k.now(), octets)
}

// exchangeFailed requests an immediate probe of the member with the control address
// addr.
func (k *Keeper) exchangeFailed(addr netip.AddrPort) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.exchangeFailures++
	if key := k.memberAt(addr); key != (roster.Key{}) {
		k.watchlist.callFailed(k.now(), key)
	}
}

// join fetches the roster from another member, and then announces the state Serving.
// If no member answers within _joinTimeout, it announces the state all the same.
func (k *Keeper) join() {
	for k.now() < _joinTimeout && !k.tryJoin() {
		select {
		case <-time.After(_urgentInterval):
		case <-k.wake:
		case <-k.tomb.Dying():
			return
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	// The other members know the fetched entries already.
	k.roster.ForgetRumors(k.key)
	if k.self.State == service.Starting {
		k.self.State = service.Serving
		k.announce()
	}
	k.notifyUpdate()
	close(k.joined)
}

// tryJoin tries to fetch the whole roster from up to _neighbourCount members. It
// returns true if one of them has sent it, or if no other member is known; it returns
// false if another attempt may succeed.
func (k *Keeper) tryJoin() bool {
	k.mu.Lock()
	targets := k.reconnectTargets(nil)
	alone := (k.options.store == nil || k.leasesRead) && len(targets) == 0
	k.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	k.mu.Unlock()
	for _, addr := range targets[:min(len(targets), _neighbourCount)] {
		if k.syncAllFrom(addr) == nil {
			return true
		}
	}
	return alone
}

// syncAllFrom compares all buckets with the member at addr, a part of them in each
// exchange, until no difference is left or _maxJoinRounds exchanges were made.
func (k *Keeper) syncAllFrom(addr netip.AddrPort) error {
	for range _maxJoinRounds {
		ctx, cancel := context.WithTimeout(k.tomb.Context(context.Background()), _callTimeout)
		reply, err := k.push(ctx, addr, true)
		if err == nil {
			s := k.applyPushReply(reply)
			if len(s.Summaries) == 0 {
				cancel()
				return nil
			}
			err = k.sync(ctx, addr, s)
		}
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}
