package keeper

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// gossipSim simulates the exchanges of all members without a network. A step takes
// _urgentInterval; a member makes its regular exchange in every tenth step.
type gossipSim struct {
	random *rand.Rand
	// rosters, neighbours, rounds and urgentExchanges are indexed by member. neighbours
	// holds indexes of members; rounds and urgentExchanges are as in Keeper.
	rosters         []*roster.Roster
	neighbours      [][]int
	rounds          []int
	urgentExchanges []int
	// steps and exchanges are the numbers of steps and exchanges simulated so far.
	steps     int
	exchanges int
	// count, if set, is called with each message.
	count func(message any)
}

func newGossipSim(members int, seed uint64) *gossipSim {
	sim := &gossipSim{random: rand.New(rand.NewPCG(seed, 1)), rounds: make([]int, members), urgentExchanges: make([]int, members)}
	var all []roster.MemberStatus
	for n := range members {
		all = append(all, roster.MemberStatus{Member: testMember(n, service.Place(fmt.Sprintf("place-%d", n%6)))})
	}
	for _, m := range all {
		var indices []int
		for _, other := range neighbours(m.Member, all) {
			indices = append(indices, slices.IndexFunc(all, func(m roster.MemberStatus) bool { return m.Data == other.Data }))
		}
		sim.neighbours = append(sim.neighbours, indices)
		sim.rosters = append(sim.rosters, roster.New())
	}
	return sim
}

// step makes all exchanges that are due, by the same rules as Keeper.
func (sim *gossipSim) step() {
	now := time.Duration(sim.steps) * _urgentInterval
	perExchange := int(_exchangeInterval / _urgentInterval)
	for _, i := range sim.random.Perm(len(sim.rosters)) {
		regular := (sim.steps+i)%perExchange == 0
		if !regular && sim.urgentExchanges[i] == 0 && !sim.rosters[i].Urgent(now) {
			continue
		}
		sim.urgentExchanges[i] = max(sim.urgentExchanges[i]-1, 0)
		sim.rounds[i]++
		round := sim.rounds[i] + i
		sim.exchange(now, i, sim.neighbours[i][round%len(sim.neighbours[i])], round%_compareEvery == 0)
	}
	sim.steps++
}

func (sim *gossipSim) exchange(now time.Duration, i, j int, compare bool) {
	sim.exchanges++
	a, b := sim.rosters[i], sim.rosters[j]
	ka, kb := testMember(i, "p").Data, testMember(j, "p").Data
	push := a.Push(now, roster.MemberKey(kb), compare)
	reply, _ := b.AnswerPush(now, roster.MemberKey(ka), push)
	s, _ := a.ApplyPushReply(now, roster.MemberKey(kb), reply)
	sim.countMessages(push, reply)
	if len(s.Summaries) > 0 {
		answer := b.AnswerSync(now, s)
		p, _ := a.ApplySyncReply(now, roster.MemberKey(kb), answer)
		b.Apply(now, roster.MemberKey(ka), p.Deltas)
		sim.countMessages(s, answer, p)
	}
}

func (sim *gossipSim) countMessages(messages ...any) {
	if sim.count == nil {
		return
	}
	for _, message := range messages {
		sim.count(message)
	}
}

// informed returns the number of members that have at least one entry.
func (sim *gossipSim) informed() int {
	n := 0
	for _, r := range sim.rosters {
		if r.Len() > 0 {
			n++
		}
	}
	return n
}

// BenchmarkSpread reports the simulated time until all members have received an urgent
// change, and the mean number of exchanges that a member has made by then.
func BenchmarkSpread(b *testing.B) {
	for _, members := range []int{3, 30, 660} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			steps, most, exchanges, seed := 0, 0, 0, uint64(0)
			for b.Loop() {
				seed++
				sim := newGossipSim(members, seed)
				sim.rosters[0].Announce(0, roster.Upstream{
					Service: 1, Name: "orders", Place: "p", Data: testKey(1).Addr, Control: testKey(1).Addr,
					Incarnation: 1, Seq: 1, State: service.Serving, Weight: 1, Load: 1,
				})
				for sim.informed() < members {
					sim.step()
				}
				steps += sim.steps
				most = max(most, sim.steps)
				exchanges += sim.exchanges
			}
			b.ReportMetric(float64(steps)/float64(b.N)*_urgentInterval.Seconds(), "s/op")
			b.ReportMetric(float64(most)*_urgentInterval.Seconds(), "s-most")
			b.ReportMetric(float64(exchanges)/float64(b.N*members), "exchanges/member")
		})
	}
}

// targetKeeper returns a keeper that does not run, with a roster of the target size:
// 660 members and 5,900 upstreams.
func targetKeeper(b *testing.B) *Keeper {
	k := &Keeper{
		options: newOptions(nil), roster: roster.New(), watchlist: newWatchlist(), start: time.Now(),
		self: testMember(0, "place-0"), loads: make(map[roster.Key]fineLoad), wake: make(chan struct{}, 1),
	}
	for n := range 660 {
		m := testMember(n, service.Place(fmt.Sprintf("place-%d", n%6)))
		assert.Equal(b, k.roster.AnnounceMember(0, m).Changed, 1)
	}
	for n := range 5900 {
		assert.Equal(b, k.roster.Announce(0, targetUpstream(n)).Changed, 1)
	}
	k.roster.ForgetRumors()
	return k
}

func targetUpstream(n int) roster.Upstream {
	u := roster.Upstream{
		Service: service.ID(1 + n/5), Name: "rutetjeneste", Place: "oslo-a", Incarnation: 1, Seq: 1,
		State: service.Serving, Weight: 1, Load: 1,
	}
	u.Data = testMember(1<<14+n, "p").Data
	u.Control = u.Data
	return u
}

// BenchmarkHeartbeat measures the handling of a heartbeat with a roster of the target
// size.
func BenchmarkHeartbeat(b *testing.B) {
	k := targetKeeper(b)
	u := targetUpstream(7)
	request := &HeartbeatRequest{Data: u.Data, Incarnation: 1, Seq: 1, Choices: ChoicesHash(k.choicesFor(u)), WantPeers: true}
	b.ReportAllocs()
	for b.Loop() {
		assert.NilError(b, k.Endpoint().Heartbeat(request, &HeartbeatReply{}))
	}
}

// BenchmarkJudge measures one call of detect with 27 agents and ten members watched.
func BenchmarkJudge(b *testing.B) {
	k := targetKeeper(b)
	for n := range 27 {
		k.watchlist.recordContact(0, roster.UpstreamKey(targetUpstream(n).Data))
	}
	for n := range 10 {
		k.watchlist.recordContact(0, roster.MemberKey(testMember(n+1, "p").Data))
	}
	k.hasExchanged = true
	b.ReportAllocs()
	for b.Loop() {
		k.detect()
	}
}

func BenchmarkNeighbours(b *testing.B) {
	k := targetKeeper(b)
	for b.Loop() {
		neighbours(k.self, k.roster.Present())
	}
}

// BenchmarkRevision simulates that all members put a new settings revision in force
// within one second. It reports the octets of the messages that a member sends and
// receives, and the time until every member has the new revision of every other one.
func BenchmarkRevision(b *testing.B) {
	for _, members := range []int{3, 30, 660} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			octets, steps := 0, 0
			for b.Loop() {
				sim := newGossipSim(members, 1)
				sim.count = func(message any) {
					data, err := cbor.Marshal(message)
					assert.NilError(b, err)
					octets += 2 * len(data)
				}
				for i := range members {
					for _, r := range sim.rosters {
						r.AnnounceMember(0, testMember(i, "oslo-a"))
						r.ForgetRumors()
					}
				}
				for !sim.allHave(1) {
					for i, r := range sim.rosters {
						if i%10 == sim.steps {
							m := testMember(i, "oslo-a")
							m.Seq, m.Revision = 2, 1
							r.AnnounceMember(0, m)
							sim.urgentExchanges[i] = _neighbourCount
						}
					}
					sim.step()
				}
				steps += sim.steps
			}
			b.ReportMetric(float64(octets)/float64(b.N*members), "wire-B/member")
			b.ReportMetric(float64(steps)/float64(b.N)*_urgentInterval.Seconds(), "s/op")
		})
	}
}

func (sim *gossipSim) allHave(revision settings.Revision) bool {
	for _, r := range sim.rosters {
		for _, m := range r.Present() {
			if m.Revision < revision {
				return false
			}
		}
	}
	return true
}

// BenchmarkBalance reports the maximum and the mean number of agents per keeper with a
// roster of the target size.
func BenchmarkBalance(b *testing.B) {
	k := targetKeeper(b)
	most := 0
	for b.Loop() {
		agents := make(map[string]int)
		most = 0
		for n := range 5900 {
			for _, m := range k.roster.Keepers(targetUpstream(n))[:roster.KeeperCount] {
				agents[m.Name]++
				most = max(most, agents[m.Name])
			}
		}
	}
	b.ReportMetric(float64(most), "agents-most")
	b.ReportMetric(float64(5900*roster.KeeperCount)/660, "agents-mean")
}
