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

// placementSim simulates the decisions of a service's agents about many new flows.
// Each flow is offered to three random candidates, as by rendezvous hashing.
type placementSim struct {
	random *rand.Rand
	flows  []int
	peers  []peers
	// notices holds the notices that are not delivered yet. The oldest is delivered
	// when their number exceeds the value of the field delay.
	notices []func()
	delay   int
	// maxNotified, if not zero, is the number of flows above which an agent sends no
	// more notices, as if it had reached _noticeRate.
	maxNotified int
	// passes counts the times that a flow was passed on.
	passes int
	now    time.Duration
}

func newPlacementSim(agents, delay int) *placementSim {
	return &placementSim{random: rand.New(rand.NewPCG(1, 2)), flows: make([]int, agents), peers: make([]peers, agents), delay: delay}
}

// offerFlow places one flow. If notify is set, the agent that admits it sends its
// load to the other candidates.
func (p *placementSim) offerFlow(notify bool) {
	a := arrival{kind: packet.Initial, header: packet.Header{Kind: packet.Offer, Service: 1, Count: 3}}
	for i, agent := range p.random.Perm(len(p.flows))[:3] {
		a.header.Candidates[i] = addrOf(agent)
	}
	for {
		at := int(a.header.Candidates[a.header.Hop].Addr().As4()[3])
		s := agentState{
			self: addrOf(at), service: 1, incarnation: 1, state: service.Serving, keeperAnswered: true,
			level: uint32(p.flows[at]) * _baseFlowLevel, flowLevel: _baseFlowLevel,
		}
		a.estimates = p.peers[at].estimate(&a.header, s.level, s.flowLevel, p.now)
		if to, ok := decide(s, a).(pass); ok {
			a.header = withPass(a.header, to, s.self)
			if to.detour {
				p.peers[at].recordPass(to.target, s.flowLevel)
			}
			p.passes++
			continue
		}
		p.flows[at]++
		if notify {
			p.notifyCandidates(a.header, at)
		}
		return
	}
}

func (p *placementSim) notifyCandidates(offer packet.Header, at int) {
	load := packet.Load{Level: uint32(p.flows[at]) * _baseFlowLevel, Room: true}
	if p.maxNotified > 0 && p.flows[at] > p.maxNotified {
		return
	}
	p.notices = append(p.notices, func() {
		for _, c := range offer.Candidates[:offer.Count] {
			if peer := int(c.Addr().As4()[3]); peer != at {
				p.peers[peer].record(addrOf(at), load, uint32(p.flows[peer])*_baseFlowLevel, p.now)
			}
		}
	})
	if len(p.notices) > p.delay {
		p.notices[0]()
		p.notices = p.notices[1:]
	}
}

// endFlow ends one of the open flows, chosen at random. The argument total is their
// number.
func (p *placementSim) endFlow(total int) {
	at := p.random.IntN(total)
	for i := range p.flows {
		if at < p.flows[i] {
			p.flows[i]--
			return
		}
		at -= p.flows[i]
	}
}

// imbalance returns the number of flows of the most loaded agent relative to the mean.
func (p *placementSim) imbalance() float64 {
	sum := 0
	for _, n := range p.flows {
		sum += n
	}
	return float64(slices.Max(p.flows)) * float64(len(p.flows)) / float64(sum)
}

// simulate places five times as many flows as the agents hold at the end. From the
// time at which they hold perAgent flows on average, each new flow ends another.
func simulate(agents, perAgent, delay int, notify bool) *placementSim {
	p := newPlacementSim(agents, delay)
	total := agents * perAgent
	for i := range 5 * total {
		p.offerFlow(notify)
		if i >= total {
			p.endFlow(total + 1)
		}
	}
	return p
}

// TestPlacementDuringBurst opens flows faster than agents may send notices, so that
// agents learn only of the first few flows of the others. With such outdated loads
// the placement must not be worse than by hash alone.
func TestPlacementDuringBurst(t *testing.T) {
	for _, perAgent := range []int{20, 100, 400} {
		for _, maxNotified := range []int{5, 10, 20} {
			notified, hashed := newPlacementSim(7, 0), newPlacementSim(7, 0)
			notified.maxNotified = maxNotified
			for range 7 * perAgent {
				notified.offerFlow(true)
				hashed.offerFlow(false)
			}
			summary := fmt.Sprintf("%d flows per agent, notices about the first %d: imbalance %.3f, by hash alone %.3f",
				perAgent, maxNotified, notified.imbalance(), hashed.imbalance())
			t.Log(summary)
			assert.Check(t, notified.imbalance() <= max(hashed.imbalance(), 1.10), summary)
		}
	}
}

// TestPlacementIsBalanced checks that the most loaded of 7 agents has at most 1.10
// times the mean number of flows, which is the users' target, even if notices are
// delayed.
func TestPlacementIsBalanced(t *testing.T) {
	for _, perAgent := range []int{50, 300, 2000} {
		for _, delay := range []int{0, perAgent / 10, 7 * perAgent / 10} {
			notified, hashed := simulate(7, perAgent, delay, true), simulate(7, perAgent, delay, false)
			summary := fmt.Sprintf("%d flows per agent, notices delayed by %d flows: imbalance %.3f, by hash alone %.3f, %.2f passes a flow",
				perAgent, delay, notified.imbalance(), hashed.imbalance(), float64(notified.passes)/float64(35*perAgent))
			t.Log(summary)
			assert.Check(t, notified.imbalance() <= 1.10, summary)
		}
	}
}
