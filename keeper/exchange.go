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
	// _deltaOctets is about the size of one whole entry in a message.
	_deltaOctets = 90
	// _summaryOctets is about the size of one bucket's summary at the target size.
	_summaryOctets = 280
	// _joinPages bounds the comparisons by which a new balancer learns all.
	_maxJoinRounds = 64
)

// loopTurn says when to exchange, and with whom.
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

// loopExchange makes exchanges.
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

// pause returns how long to wait for the next exchange.
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

// takeTurn hands the next exchange to a worker. When all are busy, it is left out.
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

// next chooses whom to exchange with.
func (k *Keeper) nextTarget() netip.AddrPort {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.round++
	members := k.roster.Present()
	near := neighbours(k.self, members)
	targets := k.reconnectTargets(members)
	if len(targets) > 0 && (k.round%_reconnectEvery == 0 || len(near) == 0) {
		return targets[k.random.IntN(len(targets))]
	}
	if len(near) == 0 {
		return netip.AddrPort{}
	}
	return near[int(k.round)%len(near)].Control
}

// reconnectTargets returns the members that no neighbour is likely to bring news of.
// The lock is held.
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

func (k *Keeper) compareDue() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.round%_compareEvery == 0
}

// exchange makes one exchange. With compare it goes on to what else differs,
// as far as the budget allows.
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

// memberAt returns the key of the member with a control address, or the zero
// key. The lock is held.
func (k *Keeper) memberAt(addr netip.AddrPort) roster.Key {
	for _, m := range k.roster.Present() {
		if m.Control == addr {
			return roster.MemberKey(m.Data)
		}
	}
	return roster.Key{}
}

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

// sync compares some buckets.
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

// exchangeFailed has the member at a control address probed.
func (k *Keeper) exchangeFailed(addr netip.AddrPort) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.exchangeFailures++
	if key := k.memberAt(addr); key != (roster.Key{}) {
		k.watchlist.callFailed(k.now(), key)
	}
}

// join looks for other members until one has told all it knows, or for
// _joinTimeout, and then serves.
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
	// What was learned is no news to those that told it.
	k.roster.ForgetRumors(k.key)
	if k.self.State == service.Starting {
		k.self.State = service.Serving
		k.announce()
	}
	k.notifyUpdate()
	close(k.joined)
}

// learn tries to learn all from one member. It returns false if there may be
// one that has not answered.
func (k *Keeper) tryJoin() bool {
	k.mu.Lock()
	targets := k.reconnectTargets(nil)
	lonely := (k.options.store == nil || k.leasesRead) && len(targets) == 0
	k.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	k.mu.Unlock()
	for _, addr := range targets[:min(len(targets), _neighbourCount)] {
		if k.syncAllFrom(addr) == nil {
			return true
		}
	}
	return lonely
}

// learnFrom compares all buckets with one member, page by page.
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
