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

// round is one _urgentInterval of all members, of which every tenth has its
// regular exchange in it.
type gossipSim struct {
	random          *rand.Rand
	rosters         []*roster.Roster
	neighbours      [][]int
	exchangeRounds  []int
	urgentExchanges []int
	steps           int
	exchanges       int
	// count, if set, is called with each message.
	count func(message any)
}

func newGossipSim(members int, seed uint64) *gossipSim {
	r := &gossipSim{random: rand.New(rand.NewPCG(seed, 1)), exchangeRounds: make([]int, members), urgentExchanges: make([]int, members)}
	var all []roster.MemberStatus
	for n := range members {
		all = append(all, roster.MemberStatus{Member: testMember(n, service.Place(fmt.Sprintf("place-%d", n%6)))})
	}
	for _, m := range all {
		var indices []int
		for _, other := range neighbours(m.Member, all) {
			indices = append(indices, slices.IndexFunc(all, func(m roster.MemberStatus) bool { return m.Data == other.Data }))
		}
		r.neighbours = append(r.neighbours, indices)
		r.rosters = append(r.rosters, roster.New())
	}
	return r
}

// turn has the members that are due exchange, as Keeper does.
func (r *gossipSim) step() {
	now := time.Duration(r.steps) * _urgentInterval
	perExchange := int(_exchangeInterval / _urgentInterval)
	for _, i := range r.random.Perm(len(r.rosters)) {
		regular := (r.steps+i)%perExchange == 0
		if !regular && r.urgentExchanges[i] == 0 && !r.rosters[i].Urgent(now) {
			continue
		}
		r.urgentExchanges[i] = max(r.urgentExchanges[i]-1, 0)
		r.exchangeRounds[i]++
		turn := r.exchangeRounds[i] + i
		r.exchange(now, i, r.neighbours[i][turn%len(r.neighbours[i])], turn%_compareEvery == 0)
	}
	r.steps++
}

func (r *gossipSim) exchange(now time.Duration, i, j int, compare bool) {
	r.exchanges++
	a, b := r.rosters[i], r.rosters[j]
	ka, kb := testMember(i, "p").Data, testMember(j, "p").Data
	push := a.Push(now, roster.MemberKey(kb), compare)
	reply, _ := b.AnswerPush(now, roster.MemberKey(ka), push)
	s, _ := a.ApplyPushReply(now, roster.MemberKey(kb), reply)
	r.countMessages(push, reply)
	if len(s.Summaries) > 0 {
		answer := b.AnswerSync(now, s)
		p, _ := a.ApplySyncReply(now, roster.MemberKey(kb), answer)
		b.Apply(now, roster.MemberKey(ka), p.Deltas)
		r.countMessages(s, answer, p)
	}
}

func (r *gossipSim) countMessages(messages ...any) {
	if r.count == nil {
		return
	}
	for _, message := range messages {
		r.count(message)
	}
}

func (r *gossipSim) informed() int {
	n := 0
	for _, known := range r.rosters {
		if known.Len() > 0 {
			n++
		}
	}
	return n
}

// BenchmarkSpread counts the rounds until an urgent change is known to all
// members.
func BenchmarkSpread(b *testing.B) {
	for _, members := range []int{3, 30, 660} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			rounds, most, exchanges, seed := 0, 0, 0, uint64(0)
			for b.Loop() {
				seed++
				r := newGossipSim(members, seed)
				r.rosters[0].Announce(0, roster.Upstream{
					Service: 1, Name: "orders", Place: "p", Data: testKey(1).Addr, Control: testKey(1).Addr,
					Incarnation: 1, Seq: 1, State: service.Serving, Weight: 1, Load: 1,
				})
				for r.informed() < members {
					r.step()
				}
				rounds += r.steps
				most = max(most, r.steps)
				exchanges += r.exchanges
			}
			b.ReportMetric(float64(rounds)/float64(b.N)*_urgentInterval.Seconds(), "s/op")
			b.ReportMetric(float64(most)*_urgentInterval.Seconds(), "s-most")
			b.ReportMetric(float64(exchanges)/float64(b.N*members), "exchanges/member")
		})
	}
}

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

// BenchmarkHeartbeat answers heartbeats at the target size.
func BenchmarkHeartbeat(b *testing.B) {
	k := targetKeeper(b)
	u := targetUpstream(7)
	request := &HeartbeatRequest{Data: u.Data, Incarnation: 1, Seq: 1, Choices: ChoicesHash(k.choicesFor(u)), WantPeers: true}
	b.ReportAllocs()
	for b.Loop() {
		assert.NilError(b, k.Endpoint().Heartbeat(request, &HeartbeatReply{}))
	}
}

// BenchmarkJudge looks at the clock once with 27 agents and ten members watched.
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

// BenchmarkRevision has all members put a new settings revision in force within
// a second, and counts the octets of all messages that one of them sends or
// receives, and the time until all know it of all.
func BenchmarkRevision(b *testing.B) {
	for _, members := range []int{3, 30, 660} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			octets, rounds := 0, 0
			for b.Loop() {
				r := newGossipSim(members, 1)
				r.count = func(message any) {
					data, err := cbor.Marshal(message)
					assert.NilError(b, err)
					octets += 2 * len(data)
				}
				for i := range members {
					for _, known := range r.rosters {
						known.AnnounceMember(0, testMember(i, "oslo-a"))
						known.ForgetRumors()
					}
				}
				for !r.allHave(1) {
					for i, known := range r.rosters {
						if i%10 == r.steps {
							m := testMember(i, "oslo-a")
							m.Seq, m.Revision = 2, 1
							known.AnnounceMember(0, m)
							r.urgentExchanges[i] = _neighbourCount
						}
					}
					r.step()
				}
				rounds += r.steps
			}
			b.ReportMetric(float64(octets)/float64(b.N*members), "wire-B/member")
			b.ReportMetric(float64(rounds)/float64(b.N)*_urgentInterval.Seconds(), "s/op")
		})
	}
}

func (r *gossipSim) allHave(revision settings.Revision) bool {
	for _, known := range r.rosters {
		for _, m := range known.Present() {
			if m.Revision < revision {
				return false
			}
		}
	}
	return true
}

// BenchmarkBalance counts how many agents one member keeps at the target size.
func BenchmarkBalance(b *testing.B) {
	k := targetKeeper(b)
	most := 0
	for b.Loop() {
		kept := make(map[string]int)
		most = 0
		for n := range 5900 {
			for _, m := range k.roster.Keepers(targetUpstream(n))[:roster.KeeperCount] {
				kept[m.Name]++
				most = max(most, kept[m.Name])
			}
		}
	}
	b.ReportMetric(float64(most), "agents-most")
	b.ReportMetric(float64(5900*roster.KeeperCount)/660, "agents-mean")
}
