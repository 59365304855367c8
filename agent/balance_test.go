package agent

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/service"
)

// placement plays the decisions of a service's agents about many flows, each
// offered to three of them at random, as rendezvous hashing does.
type placement struct {
	random *rand.Rand
	flows  []int
	peers  []peers
	// notices are on their way for lag arrivals.
	notices []func()
	lag     int
	// silent, if not zero, is after how many flows an agent tells no more.
	silent int
	passes int
	now    time.Duration
}

func newPlacement(agents, lag int) *placement {
	return &placement{random: rand.New(rand.NewPCG(1, 2)), flows: make([]int, agents), peers: make([]peers, agents), lag: lag}
}

// arrive offers one flow. With tell, agents tell the other candidates their load.
func (p *placement) arrive(tell bool) {
	a := arrival{kind: packet.Initial, header: packet.Header{Kind: packet.Offer, Service: 1, Count: 3}}
	for i, agent := range p.random.Perm(len(p.flows))[:3] {
		a.header.Candidates[i] = addrOf(agent)
	}
	for {
		at := int(a.header.Candidates[a.header.Hop].Addr().As4()[3])
		s := situation{
			self: addrOf(at), service: 1, incarnation: 1, state: service.Serving, fresh: true,
			level: uint32(p.flows[at]) * _levelUnit, unit: _levelUnit,
		}
		a.estimates = p.peers[at].estimate(&a.header, s.level, s.unit, p.now)
		if to, ok := decide(s, a).(pass); ok {
			a.header = withPass(a.header, to, s.self)
			if to.detour {
				p.peers[at].passed(to.target, s.unit)
			}
			p.passes++
			continue
		}
		p.flows[at]++
		if tell {
			p.tell(a.header, at)
		}
		return
	}
}

func (p *placement) tell(offer packet.Header, at int) {
	load := packet.Load{Level: uint32(p.flows[at]) * _levelUnit, Room: true}
	if p.silent > 0 && p.flows[at] > p.silent {
		return
	}
	p.notices = append(p.notices, func() {
		for _, c := range offer.Candidates[:offer.Count] {
			if peer := int(c.Addr().As4()[3]); peer != at {
				p.peers[peer].hear(addrOf(at), load, uint32(p.flows[peer])*_levelUnit, p.now)
			}
		}
	})
	if len(p.notices) > p.lag {
		p.notices[0]()
		p.notices = p.notices[1:]
	}
}

// leave ends a flow of a random agent, in proportion to its flows.
func (p *placement) leave(total int) {
	at := p.random.IntN(total)
	for i := range p.flows {
		if at < p.flows[i] {
			p.flows[i]--
			return
		}
		at -= p.flows[i]
	}
}

// imbalance is the most flows of an agent relative to the mean.
func (p *placement) imbalance() float64 {
	sum := 0
	for _, n := range p.flows {
		sum += n
	}
	return float64(slices.Max(p.flows)) * float64(len(p.flows)) / float64(sum)
}

func play(agents, each, lag int, tell bool) *placement {
	p := newPlacement(agents, lag)
	total := agents * each
	for i := range 5 * total {
		p.arrive(tell)
		if i >= total {
			p.leave(total + 1)
		}
	}
	return p
}

// TestBurst opens flows faster than agents may tell their loads: after the first
// few, no agent hears of another. Placement must not be worse than by hash alone.
func TestBurst(t *testing.T) {
	for _, each := range []int{20, 100, 400} {
		for _, silent := range []int{5, 10, 20} {
			told, hashed := newPlacement(7, 0), newPlacement(7, 0)
			told.silent = silent
			for range 7 * each {
				told.arrive(true)
				hashed.arrive(false)
			}
			what := fmt.Sprintf("%d flows each, told of the first %d: %.3f, by hash alone %.3f",
				each, silent, told.imbalance(), hashed.imbalance())
			t.Log(what)
			assert.Check(t, told.imbalance() <= max(hashed.imbalance(), 1.10), what)
		}
	}
}

// TestImbalance holds the most loaded of 7 agents to 1.10 of the mean, the
// users' target, also when notices come late.
func TestImbalance(t *testing.T) {
	for _, each := range []int{50, 300, 2000} {
		for _, lag := range []int{0, each / 10, 7 * each / 10} {
			told, hashed := play(7, each, lag, true), play(7, each, lag, false)
			what := fmt.Sprintf("%d flows each, notices %d arrivals late: %.3f, by hash alone %.3f, %.2f passes a flow",
				each, lag, told.imbalance(), hashed.imbalance(), float64(told.passes)/float64(35*each))
			t.Log(what)
			assert.Check(t, told.imbalance() <= 1.10, what)
		}
	}
}
