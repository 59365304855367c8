package keeper

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
)

// _viewLife is how long a view serves while nothing changes but shares.
const _viewTTL = time.Second

// loopJudge looks at the clock.
func (k *Keeper) loopDetect() error {
	ticker := time.NewTicker(_detectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.detect()
		case <-k.tomb.Dying():
			return nil
		}
	}
}

// judge acts on silence, forgets what is old, and tells of changes.
func (k *Keeper) detect() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	before := k.watchlist.pausedAt
	for _, a := range k.watchlist.tick(now, k.connected(now), rosterStates{k.roster, k.key}) {
		k.perform(now, a)
	}
	if k.watchlist.pausedAt != before {
		k.options.logger.Warn("this process was paused; hearing others before judging them")
		k.hasExchanged = false
		k.probeAnswered = false
		k.expediteExchanges()
	}
	k.watchUnwatched(now)
	if k.expireAt <= now {
		k.expireAt = now + _expireInterval
		k.expire(now)
	}
	if now-k.viewAt >= _viewTTL || k.notifiedVersion != k.roster.Version() {
		k.notifyUpdate()
	}
}

// connected says that this balancer has a sign of not being cut off: another
// member or a probed host answered lately, or most of its agents are heard. The
// lock is held.
func (k *Keeper) connected(now time.Duration) bool {
	if k.hasExchanged && now-k.exchangedAt < _contactTTL {
		return true
	}
	if k.probeAnswered && now-k.probeAnsweredAt < _contactTTL {
		return true
	}
	alive, all := k.watchlist.alive(now)
	return all > 0 && 2*alive >= all
}

// concluding tells the watchlist what a roster concludes.
type rosterStates struct {
	roster *roster.Roster
	self   roster.Key
}

func (c rosterStates) status(key roster.Key) roster.Status {
	status, known := c.roster.Status(key)
	if !known {
		status.State = service.Gone
	}
	return status
}

func (c rosterStates) responsible(key roster.Key) bool {
	if key.Kind == roster.KindMember {
		return c.isNeighbour(key)
	}
	u, known := c.roster.Upstream(key)
	return known && c.roster.IsKeeper(c.self, u)
}

// isNeighbour says whether this balancer still exchanges with a member in turn.
// One that was a neighbour before has no reason to be heard.
func (c rosterStates) isNeighbour(key roster.Key) bool {
	self, _ := c.roster.Member(c.self)
	for _, m := range neighbours(self, c.roster.Present()) {
		if roster.MemberKey(m.Data) == key {
			return true
		}
	}
	return false
}

// act does what the watchlist asks for. The lock is held.
func (k *Keeper) perform(now time.Duration, a action) {
	switch a := a.(type) {
	case suspect:
		k.counts.suspicions++
		k.options.logger.Info("suspected", zap.Stringer("address", a.key.Addr))
		k.handleOutcome(k.roster.Suspect(now, a.key))
	case probe:
		select {
		case k.probes <- a:
		default: // It is asked for again later.
		}
	}
}

// watchUnheard looks at some entries at each tick and begins to watch those that this
// balancer keeps and has not heard: their other keepers may be gone. The lock is held.
func (k *Keeper) watchUnwatched(now time.Duration) {
	k.scanTick++
	for _, u := range k.roster.Scan(k.scanTick) {
		key := roster.UpstreamKey(u.Data)
		if k.watchlist.watches[key] == nil && k.roster.IsKeeper(k.key, u) {
			k.watchlist.start(now, key)
		}
	}
}

// forget drops what is old. The lock is held.
func (k *Keeper) expire(now time.Duration) {
	k.roster.Expire(now)
	for key, load := range k.loads {
		if now-load.at >= _loadTTL {
			delete(k.loads, key)
		}
	}
}

// loopProbe probes silent processes.
func (k *Keeper) loopProbe() error {
	for {
		select {
		case p := <-k.probes:
			k.probe(p)
		case <-k.tomb.Dying():
			return nil
		}
	}
}

// probe opens a connection to a process and takes a refusal for its end.
func (k *Keeper) probe(p probe) {
	k.mu.Lock()
	addr := k.controlOf(p.key)
	k.counts.probes++
	k.mu.Unlock()
	if !addr.IsValid() {
		return
	}
	ctx, cancel := context.WithTimeout(k.tomb.Context(context.Background()), _probeTimeout)
	defer cancel()
	finding := k.options.prober.Probe(ctx, addr)
	k.mu.Lock()
	defer k.mu.Unlock()
	if finding != roster.Silent {
		k.probeAnswered = true
		k.probeAnsweredAt = k.now()
	}
	if finding != roster.Refused {
		return
	}
	k.counts.verdicts++
	k.options.logger.Info("gone: its host refuses connections", zap.Stringer("address", p.key.Addr))
	k.handleOutcome(k.roster.Confirm(k.now(), p.key, p.incarnation))
}

// controlOf returns the control address of an entry, invalid if it has no
// record. The lock is held.
func (k *Keeper) controlOf(key roster.Key) netip.AddrPort {
	if u, known := k.roster.Upstream(key); known {
		return u.Control
	}
	m, _ := k.roster.Member(key)
	return m.Control
}
