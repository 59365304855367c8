package announcer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"dandelionhitch.example/keeper"
)

const (
	// _seedCheckInterval is the mean time between checks whether all known members
	// are unreachable.
	_seedCheckInterval = 10 * time.Second
	// _seedReadTimeout bounds one read of the members' leases from the store.
	_seedReadTimeout = 5 * time.Second
	// _maxSeeds bounds the number of seeds taken from the store.
	_maxSeeds = 16
)

// loopSeeds reads the members' leases from the store while no candidate keeper can
// be reached, since all known members may have been replaced. Jitter spreads the
// reads of agents that lost their keepers at the same time.
func (a *Announcer) loopSeeds() error {
	for {
		select {
		case <-time.After(a.jitter(_seedCheckInterval)):
		case <-a.tomb.Dying():
			return nil
		}
		a.mu.Lock()
		isolated := a.plan.isolated(a.now())
		a.mu.Unlock()
		if isolated {
			a.refreshSeeds()
		}
	}
}

// refreshSeeds replaces the seeds by up to _maxSeeds random members with a lease
// in the store.
func (a *Announcer) refreshSeeds() {
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), _seedReadTimeout)
	defer cancel()
	found, err := keeper.LeasedAddrs(ctx, a.options.store)
	if err != nil {
		a.options.logger.Warn("no known member can be reached, and reading the members' leases failed", zap.Error(err))
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	if a.plan.setSeeds(found[:min(len(found), _maxSeeds)]) {
		a.wakeSlots()
	}
}

// setSeeds replaces the seeds unless found is empty. It reports whether it did.
func (p *plan) setSeeds(found []netip.AddrPort) bool {
	if len(found) == 0 {
		return false
	}
	p.seeds = slices.Clone(found)
	return true
}

// jitter returns a random duration from 3/4 to 5/4 of the interval.
func (a *Announcer) jitter(interval time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return interval*3/4 + time.Duration(a.random.Int64N(int64(interval/2)))
}
