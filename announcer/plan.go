package announcer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"dandelionhitch.example/keeper"
	"dandelionhitch.example/roster"
)

const (
	// _firstBackoff is how long a member is avoided after a first failed call. The
	// backoff doubles with each further failure, up to _maxBackoff.
	_firstBackoff = 4 * time.Second
	_maxBackoff   = time.Minute
	// _minChangeInterval is the minimum time between two changes of the candidate
	// keepers. It keeps the agent from alternating between lists when its keepers
	// disagree.
	_minChangeInterval = 5 * time.Second
)

// plan chooses the keepers among the members that the agent knows. It does no I/O
// and reads no clock: times are durations since the announcer started.
type plan struct {
	seeds []netip.AddrPort
	// choices are the candidate keepers, best first.
	choices []keeper.Choice
	// changedAt is when choices was last replaced.
	changedAt time.Duration
	backoffs  map[netip.AddrPort]backoff
}

// backoff is the period for which a member is avoided after calls to it failed.
type backoff struct {
	until    time.Duration
	duration time.Duration
}

func newPlan(seeds []netip.AddrPort) *plan {
	return &plan{seeds: slices.Clone(seeds), backoffs: make(map[netip.AddrPort]backoff)}
}

// keepers returns the control addresses to send heartbeats to, at most
// roster.KeeperCount. A spare candidate, if there is one, takes the position of
// each keeper in backoff, so that the other slots keep their keepers.
func (p *plan) keepers(now time.Duration) []netip.AddrPort {
	first := p.choices[:min(len(p.choices), roster.KeeperCount)]
	spares := slices.DeleteFunc(slices.Clone(p.choices[len(first):]), func(c keeper.Choice) bool {
		return p.avoids(now, c.Control)
	})
	var out []netip.AddrPort
	for _, c := range first {
		switch {
		case !p.avoids(now, c.Control):
			out = append(out, c.Control)
		case len(spares) > 0:
			out = append(out, spares[0].Control)
			spares = spares[1:]
		}
	}
	if len(out) > 0 {
		return out
	}
	return p.fallback(now)
}

// fallback returns the addresses to try when every candidate is in backoff: seeds
// and candidates, those first whose backoff ends first.
func (p *plan) fallback(now time.Duration) []netip.AddrPort {
	all := slices.Clone(p.seeds)
	for _, c := range p.choices {
		if !slices.Contains(all, c.Control) {
			all = append(all, c.Control)
		}
	}
	slices.SortStableFunc(all, func(a, b netip.AddrPort) int {
		return cmp.Compare(p.wait(now, a), p.wait(now, b))
	})
	return all[:min(len(all), roster.KeeperCount)]
}

// avoids reports whether the member at addr is in backoff.
func (p *plan) avoids(now time.Duration, addr netip.AddrPort) bool { return p.wait(now, addr) > 0 }

// wait returns what remains of the backoff of the member at addr.
func (p *plan) wait(now time.Duration, addr netip.AddrPort) time.Duration {
	b, known := p.backoffs[addr]
	if !known {
		return 0
	}
	return max(b.until-now, 0)
}

// recordFailure starts or doubles the backoff of a member after a failed call.
func (p *plan) recordFailure(now time.Duration, addr netip.AddrPort) {
	duration := min(max(2*p.backoffs[addr].duration, _firstBackoff), _maxBackoff)
	p.backoffs[addr] = backoff{until: now + duration, duration: duration}
}

// recordAnswer ends the backoff of a member that replied. If all candidates were
// in backoff, this process was probably the one that was cut off from the network,
// so all backoffs end.
func (p *plan) recordAnswer(now time.Duration, addr netip.AddrPort) {
	if p.isolated(now) {
		clear(p.backoffs)
	}
	delete(p.backoffs, addr)
}

// isolated reports whether all candidate keepers are in backoff. It returns true
// also before the first candidates are known.
func (p *plan) isolated(now time.Duration) bool {
	reachable := func(c keeper.Choice) bool { return !p.avoids(now, c.Control) }
	return !slices.ContainsFunc(p.choices, reachable)
}

// setChoices replaces the candidate keepers by those of a keeper's reply. It
// reports whether the candidates changed.
func (p *plan) setChoices(now time.Duration, choices []keeper.Choice) bool {
	if len(choices) == 0 || slices.Equal(choices, p.choices) {
		return false
	}
	if len(p.choices) > 0 && now-p.changedAt < _minChangeInterval {
		return false
	}
	p.choices = slices.Clone(choices)
	p.changedAt = now
	for addr := range p.backoffs {
		if !p.known(addr) {
			delete(p.backoffs, addr)
		}
	}
	return true
}

// known reports whether addr is the control address of a candidate or a seed.
func (p *plan) known(addr netip.AddrPort) bool {
	hasAddr := func(c keeper.Choice) bool { return c.Control == addr }
	return slices.ContainsFunc(p.choices, hasAddr) || slices.Contains(p.seeds, addr)
}
