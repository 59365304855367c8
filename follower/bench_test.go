package follower_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/follower"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// The design's target.
const (
	_targetServices = 1300
	_targetPlaces   = 6
)

func targetPath(place, number int) settings.Path {
	return parsePath(fmt.Sprintf("region-%d/place-%d/service-%d", place/3, place, number))
}

// seedTarget commits the settings of the design's target, a place at a time
// and half a place at once, so that each change stays within its bound.
func seedTarget(b testing.TB, s *store) {
	editor := follower.NewEditor(s)
	tree := settings.Tree{}.With(settings.Path{}, settings.Values{
		MaxFlowsPerUpstream: number(2000), Slots: number(4), QueueLength: number(20), MaxHosts: number(10),
	})
	random := rand.New(rand.NewPCG(1, 1))
	for part := range 2 * _targetPlaces {
		for i := part % 2; i < _targetServices; i += 2 {
			id := service.ID(i + 1)
			tree = tree.With(targetPath(part/2, i), settings.Values{
				ID:                  &id,
				Addresses:           []netip.AddrPort{netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 443)},
				MaxFlows:            number(14000),
				NonRepeatableRoutes: []string{"/check-in"},
			})
		}
		state, err := editor.Load(b.Context())
		assert.NilError(b, err)
		change := propose(random, state.Document, "kari", settings.Path{})
		change.Edits = state.Document.Tree().Diff(tree)
		_, err = editor.Submit(b.Context(), change)
		assert.NilError(b, err)
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkCommit commits changes of one service at the target's size, by an
// editor that stays and by a new one for each change, as a command is.
func BenchmarkCommit(b *testing.B) {
	s := newStore(1)
	s.instant = true
	seedTarget(b, s)
	random := rand.New(rand.NewPCG(2, 2))
	for _, fresh := range []bool{false, true} {
		b.Run(fmt.Sprintf("new_editor=%t", fresh), func(b *testing.B) {
			editor := follower.NewEditor(s)
			reads, writes, octets := s.reads, s.writes, s.octets
			head := 0
			for b.Loop() {
				if fresh {
					editor = follower.NewEditor(s)
				}
				state, err := editor.Load(b.Context())
				assert.NilError(b, err)
				change := propose(random, state.Document, "kari", targetPath(random.IntN(_targetPlaces), random.IntN(_targetServices)))
				change.Reason = "more callers than planned at dawn, agreed with the crews"
				_, err = editor.Submit(b.Context(), change)
				assert.NilError(b, err)
				head += len(s.current(audit.HeadKey).Value)
			}
			n := float64(b.N)
			b.ReportMetric(float64(s.reads-reads)/n, "reads/change")
			b.ReportMetric(float64(s.writes-writes)/n, "writes/change")
			b.ReportMetric(float64(s.octets-octets)/n, "octets-written/change")
			b.ReportMetric(float64(head)/n, "octets/head")
		})
	}
}

// BenchmarkSize measures what a follower of the target's tree holds after some
// changes, and what the platform does.
func BenchmarkSize(b *testing.B) {
	s := newStore(1)
	s.instant = true
	seedTarget(b, s)
	editor := follower.NewEditor(s)
	random := rand.New(rand.NewPCG(4, 4))
	for b.Loop() {
		before := liveHeap()
		f := follower.New(follower.WithStore(s))
		<-f.Updates()
		held := liveHeap() - before
		for range 8 {
			accepted := commit(b, editor, random, targetPath(0, random.IntN(_targetServices)))
			for f.Revision() < accepted.Revision {
				<-f.Updates()
			}
		}
		b.ReportMetric(float64(held), "live-octets")
		b.ReportMetric(float64(liveHeap()-before), "live-octets-after-8-changes")
		f.Close()
	}
	largest := 0
	state, err := editor.Load(b.Context())
	assert.NilError(b, err)
	for _, shard := range state.Document.Tree().Shards() {
		data, err := json.Marshal(shard)
		assert.NilError(b, err)
		largest = max(largest, len(data))
	}
	b.ReportMetric(float64(largest), "octets/largest-shard")
}

// BenchmarkFollow puts changes of one service in force in a follower that
// fetches from another, at the target's size.
func BenchmarkFollow(b *testing.B) {
	s := newStore(1)
	s.instant = true
	seedTarget(b, s)
	source := follower.New(follower.WithStore(s))
	defer source.Close()
	<-source.Updates()
	endpoint := source.Endpoint()
	octets, calls := 0, 0
	fetch := func(_ context.Context, _ netip.AddrPort, request follower.FetchRequest) (reply follower.FetchReply, err error) {
		err = endpoint.Fetch(&request, &reply)
		for _, message := range []any{request, reply} {
			data, _ := cbor.Marshal(message)
			octets += len(data)
		}
		calls++
		return reply, err
	}
	addr := addrOf(0)
	editor := follower.NewEditor(s)
	random := rand.New(rand.NewPCG(3, 3))
	for name, opts := range map[string][]follower.Option{
		"balancer": {},
		"agent":    {follower.WithService(targetPath(0, 0))},
	} {
		b.Run(name, func(b *testing.B) {
			octets, calls = 0, 0
			sink := follower.New(append(opts, follower.WithFetch(fetch),
				follower.WithPeers(func() []netip.AddrPort { return []netip.AddrPort{addr} }))...)
			defer sink.Close()
			<-sink.Updates()
			b.Logf("from nothing: %d messages, %d octets", calls, octets)
			octets, calls = 0, 0
			var applying time.Duration
			for b.Loop() {
				accepted := commit(b, editor, random, targetPath(0, random.IntN(_targetServices)))
				for source.Revision() < accepted.Revision {
					<-source.Updates()
				}
				start := time.Now()
				sink.Offer(accepted.Revision, addr)
				<-sink.Updates()
				applying += time.Since(start)
			}
			b.ReportMetric(float64(applying.Nanoseconds())/float64(b.N), "ns-applying/change")
			b.ReportMetric(float64(octets)/float64(b.N), "octets/change")
			b.ReportMetric(float64(calls)/float64(b.N), "calls/change")
		})
	}
}

// mention has one follower exchange revisions with another one, both ways.
func (f *fleet) mention(i, j int) {
	f.followers[j].Offer(f.followers[i].Revision(), addrOf(i))
	f.followers[i].Offer(f.followers[j].Revision(), addrOf(j))
}

// TestSpread commits one change in a fleet of which two watch. Each process
// exchanges revisions with another one every second, and every 100 ms in the
// second after its own has changed. All have the change in force within the
// 6 s that the users want. The log says how long it took and how many calls.
func TestSpread(t *testing.T) {
	const step = 100 * time.Millisecond
	size := 250
	if testing.Short() {
		size = 50
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, size)
		time.Sleep(time.Minute)
		f.set(func() { f.replies = nil })
		reads := f.store.reads
		accepted := commit(t, follower.NewEditor(f.store), f.random, node(0))
		start := time.Now()
		exchanges := 0
		for tick := 0; f.behind(accepted.Revision) > 0; tick++ {
			assert.Assert(t, time.Since(start) < 6*time.Second, "%d of %d do not have it in force", f.behind(accepted.Revision), size)
			for i, each := range f.followers {
				if (tick+i)%10 == 0 || time.Since(each.Status().Since) < time.Second {
					f.mention(i, f.random.IntN(size))
					exchanges++
				}
			}
			time.Sleep(step)
		}
		octets := 0
		for _, reply := range f.replies {
			data, err := cbor.Marshal(reply)
			assert.NilError(t, err)
			octets += len(data)
		}
		t.Logf("in force on %d processes after %s: %d exchanges, %d fetches of %d octets in all, %d reads of the store",
			size, time.Since(start), exchanges, len(f.replies), octets, f.store.reads-reads)
		f.close()
	})
}

// behind returns how many followers do not have a revision in force.
func (f *fleet) behind(revision settings.Revision) int {
	n := 0
	for _, each := range f.followers {
		if each.Revision() < revision {
			n++
		}
	}
	return n
}
