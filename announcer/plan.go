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
	// _firstAvoid is how long a keeper that failed is avoided at first,
	// _maxAvoid bounds it.
	_firstAvoid = 4 * time.Second
	_maxAvoid   = time.Minute
	// _changeInterval is the least time between two changes of the choices, so
	// that keepers that disagree do not have the agent go to and fro.
	_changeInterval = 5 * time.Second
)

// plan chooses the keepers. It is pure.
type plan struct {
	seeds   []netip.AddrPort
	choices []keeper.Choice
	// changedAt is when the choices were taken.
	changedAt time.Duration
	avoided   map[netip.AddrPort]avoidance
}

// avoidance is how long a member is left alone after calls to it failed.
type avoidance struct {
	until time.Duration
	span  time.Duration
}

func newPlan(seeds []netip.AddrPort) *plan {
	return &plan{seeds: slices.Clone(seeds), avoided: make(map[netip.AddrPort]avoidance)}
}

// keepers returns the control addresses to send heartbeats to, at most
// roster.KeeperCount. A keeper that cannot be reached is replaced in its place.
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
	return p.lost(now)
}

// lost returns addresses to try when no keeper can be reached: seeds or any
// members known, those first that have been left alone longest.
func (p *plan) lost(now time.Duration) []netip.AddrPort {
	all := slices.Clone(p.seeds)
	for _, c := range p.choices {
		if !slices.Contains(all, c.Control) {
			all = append(all, c.Control)
		}
	}
	slices.SortStableFunc(all, func(a, b netip.AddrPort) int {
		return cmp.Compare(p.left(now, a), p.left(now, b))
	})
	return all[:min(len(all), roster.KeeperCount)]
}

func (p *plan) avoids(now time.Duration, addr netip.AddrPort) bool { return p.left(now, addr) > 0 }

func (p *plan) left(now time.Duration, addr netip.AddrPort) time.Duration {
	a, known := p.avoided[addr]
	if !known {
		return 0
	}
	return max(a.until-now, 0)
}

// failed notes that a call to a member failed.
func (p *plan) failed(now time.Duration, addr netip.AddrPort) {
	span := min(max(2*p.avoided[addr].span, _firstAvoid), _maxAvoid)
	p.avoided[addr] = avoidance{until: now + span, span: span}
}

// answered notes that a member answered. If nobody could be reached before, it
// was this process that was cut off, and all the others deserve another try.
func (p *plan) answered(now time.Duration, addr netip.AddrPort) {
	if p.cutOff(now) {
		clear(p.avoided)
	}
	delete(p.avoided, addr)
}

func (p *plan) cutOff(now time.Duration) bool {
	reachable := func(c keeper.Choice) bool { return !p.avoids(now, c.Control) }
	return !slices.ContainsFunc(p.choices, reachable)
}

// choose takes choices that a keeper told. It reports whether they are new.
func (p *plan) choose(now time.Duration, choices []keeper.Choice) bool {
	if len(choices) == 0 || slices.Equal(choices, p.choices) {
		return false
	}
	if len(p.choices) > 0 && now-p.changedAt < _changeInterval {
		return false
	}
	p.choices = slices.Clone(choices)
	p.changedAt = now
	for addr := range p.avoided {
		if !p.known(addr) {
			delete(p.avoided, addr)
		}
	}
	return true
}

func (p *plan) known(addr netip.AddrPort) bool {
	chosen := func(c keeper.Choice) bool { return c.Control == addr }
	return slices.ContainsFunc(p.choices, chosen) || slices.Contains(p.seeds, addr)
}
