package keeper

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
)

// _viewTTL is how long a View is reused while the roster does not change. It is limited
// because shares of upstreams that have begun to serve grow with time alone.
const _viewTTL = time.Second

// loopDetect calls detect once per _detectInterval.
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

// detect acts on timeouts, removes expired entries, and signals changes of the view.
func (k *Keeper) detect() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	before := k.watchlist.pausedAt
	for _, a := range k.watchlist.tick(now, k.connected(now), rosterStates{k.roster, k.key}) {
		k.perform(now, a)
	}
	if k.watchlist.pausedAt != before {
		k.options.logger.Warn("this process was paused; restarting the timeouts of all watched processes")
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

// connected reports whether there is evidence that this balancer is connected to the
// network: an exchange or the answer to a probe within _contactTTL, or recent
// heartbeats of at least half of the watched agents. The lock is held.
func (k *Keeper) connected(now time.Duration) bool {
	if k.hasExchanged && now-k.exchangedAt < _contactTTL {
		return true
	}
	if k.probeAnswered && now-k.probeAnsweredAt < _contactTTL {
		return true
	}
	alive, all := k.watchlist.aliveUpstreams(now)
	return all > 0 && 2*alive >= all
}

// rosterStates implements entryStates with a roster.
type rosterStates struct {
	roster *roster.Roster
	self   roster.Key
}

func (s rosterStates) status(key roster.Key) roster.Status {
	status, known := s.roster.Status(key)
	if !known {
		status.State = service.Gone
	}
	return status
}

func (s rosterStates) responsible(key roster.Key) bool {
	if key.Kind == roster.KindMember {
		return s.isNeighbour(key)
	}
	u, known := s.roster.Upstream(key)
	return known && s.roster.IsKeeper(s.self, u)
}

// isNeighbour reports whether the member is currently a neighbour of this balancer. A
// former neighbour is not watched, as no regular exchange with it is expected.
func (s rosterStates) isNeighbour(key roster.Key) bool {
	self, _ := s.roster.Member(s.self)
	for _, m := range neighbours(self, s.roster.Present()) {
		if roster.MemberKey(m.Data) == key {
			return true
		}
	}
	return false
}

// perform carries out an action of the watchlist. The lock is held.
func (k *Keeper) perform(now time.Duration, a action) {
	switch a := a.(type) {
	case suspect:
		k.counts.suspicions++
		k.options.logger.Info("suspected", zap.Stringer("address", a.key.Addr))
		k.handleOutcome(k.roster.Suspect(now, a.key))
	case probe:
		select {
		case k.probes <- a:
		default: // The queue is full; the watchlist requests the probe again later.
		}
	}
}

// watchUnwatched scans a part of the roster at each tick, and starts to watch the
// upstreams that this balancer is a keeper of but has had no heartbeat from. Their
// other keepers may have failed. The lock is held.
func (k *Keeper) watchUnwatched(now time.Duration) {
	k.scans++
	for _, u := range k.roster.Scan(k.scans) {
		key := roster.UpstreamKey(u.Data)
		if k.watchlist.watches[key] == nil && k.roster.IsKeeper(k.key, u) {
			k.watchlist.start(now, key)
		}
	}
}

// expire removes expired entries and stale fine loads. The lock is held.
func (k *Keeper) expire(now time.Duration) {
	k.roster.Expire(now)
	for key, load := range k.loads {
		if now-load.at >= _loadTTL {
			delete(k.loads, key)
		}
	}
}

// loopProbe makes the queued probes.
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

// probe connects to the control port of a process. A refused connection leads to the
// verdict that the run has ended.
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
	result := k.options.prober.Probe(ctx, addr)
	k.mu.Lock()
	defer k.mu.Unlock()
	if result != roster.NoAnswer {
		k.probeAnswered = true
		k.probeAnsweredAt = k.now()
	}
	if result != roster.Refused {
		return
	}
	k.counts.verdicts++
	k.options.logger.Info("gone: its host refuses connections", zap.Stringer("address", p.key.Addr))
	k.handleOutcome(k.roster.ConfirmGone(k.now(), p.key, p.incarnation))
}

// controlOf returns the control address in an entry's record. It is invalid if there
// is no record. The lock is held.
func (k *Keeper) controlOf(key roster.Key) netip.AddrPort {
	if u, known := k.roster.Upstream(key); known {
		return u.Control
	}
	m, _ := k.roster.Member(key)
	return m.Control
}
