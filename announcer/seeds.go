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
	// _seedInterval is between two looks at whether a member can be reached.
	_seedInterval = 10 * time.Second
	// _seedTimeout bounds one reading of the members' leases.
	_seedTimeout = 5 * time.Second
	// _maxSeeds bounds the seeds that are kept.
	_maxSeeds = 16
)

// loopSeeds looks for members in the platform while none can be reached: all
// that the agent knew may have been replaced. The readings of agents that lost
// their keepers together are spread by jitter.
func (a *Announcer) loopSeeds() error {
	for {
		select {
		case <-time.After(a.spread(_seedInterval)):
		case <-a.tomb.Dying():
			return nil
		}
		a.mu.Lock()
		lost := a.plan.cutOff(a.now())
		a.mu.Unlock()
		if lost {
			a.seek()
		}
	}
}

// seek reads the members' leases and takes some of them as seeds.
func (a *Announcer) seek() {
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), _seedTimeout)
	defer cancel()
	found, err := keeper.Leased(ctx, a.options.store)
	if err != nil {
		a.options.logger.Warn("no member can be reached, nor the platform", zap.Error(err))
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	if a.plan.seek(found[:min(len(found), _maxSeeds)]) {
		a.wakeSlots()
	}
}

// seek takes other seeds than the plan began with. It reports whether there
// are any.
func (p *plan) seek(found []netip.AddrPort) bool {
	if len(found) == 0 {
		return false
	}
	p.seeds = slices.Clone(found)
	return true
}

// spread returns about the interval.
func (a *Announcer) spread(interval time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return interval*3/4 + time.Duration(a.random.Int64N(int64(interval/2)))
}
