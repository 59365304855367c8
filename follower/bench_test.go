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

// Size of the settings that the system is designed for.
const (
	_targetServices = 1300
	_targetPlaces   = 6
)

func targetPath(place, serviceNumber int) settings.Path {
	return parsePath(fmt.Sprintf("region-%d/place-%d/service-%d", place/3, place, serviceNumber))
}

// seedTarget commits settings of the target size. Each change adds half of a place's
// services, so that it stays within the maximum size of a change.
func seedTarget(b testing.TB, s *store) {
	editor := follower.NewEditor(s)
	tree := settings.Tree{}.With(settings.Path{}, settings.Values{
		MaxFlowsPerUpstream: intPtr(2000), Slots: intPtr(4), QueueLength: intPtr(20), MaxHosts: intPtr(10),
	})
	random := rand.New(rand.NewPCG(1, 1))
	for batch := range 2 * _targetPlaces {
		for i := batch % 2; i < _targetServices; i += 2 {
			id := service.ID(i + 1)
			tree = tree.With(targetPath(batch/2, i), settings.Values{
				ID:                  &id,
				Addresses:           []netip.AddrPort{netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 443)},
				MaxFlows:            intPtr(14000),
				NonRepeatableRoutes: []string{"/check-in"},
			})
		}
		state, err := editor.Load(b.Context())
		assert.NilError(b, err)
		change := newChange(random, state.Document, "kari", settings.Path{})
		change.Edits = state.Document.Tree().Diff(tree)
		_, err = editor.Submit(b.Context(), change)
		assert.NilError(b, err)
	}
}

// liveHeap returns the octets of live heap after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkCommit commits changes of single services in settings of the target size,
// with one long-lived editor and with a new editor for each change, as the settings
// command does.
func BenchmarkCommit(b *testing.B) {
	s := newStore(1)
	s.noDelay = true
	seedTarget(b, s)
	random := rand.New(rand.NewPCG(2, 2))
	for _, newEditor := range []bool{false, true} {
		b.Run(fmt.Sprintf("new_editor=%t", newEditor), func(b *testing.B) {
			editor := follower.NewEditor(s)
			reads, writes, octets := s.reads, s.writes, s.octetsWritten
			head := 0
			for b.Loop() {
				if newEditor {
					editor = follower.NewEditor(s)
				}
				state, err := editor.Load(b.Context())
				assert.NilError(b, err)
				change := newChange(random, state.Document, "kari", targetPath(random.IntN(_targetPlaces), random.IntN(_targetServices)))
				change.Reason = "more callers than planned at dawn, agreed with the crews"
				_, err = editor.Submit(b.Context(), change)
				assert.NilError(b, err)
				head += len(s.current(audit.HeadKey).Value)
			}
			n := float64(b.N)
			b.ReportMetric(float64(s.reads-reads)/n, "reads/change")
			b.ReportMetric(float64(s.writes-writes)/n, "writes/change")
			b.ReportMetric(float64(s.octetsWritten-octets)/n, "octets-written/change")
			b.ReportMetric(float64(head)/n, "octets/head")
		})
	}
}

// BenchmarkSize measures the memory of a follower of a tree of the target size,
// before and after some changes, and the size of the largest shard in the store.
func BenchmarkSize(b *testing.B) {
	s := newStore(1)
	s.noDelay = true
	seedTarget(b, s)
	editor := follower.NewEditor(s)
	random := rand.New(rand.NewPCG(4, 4))
	for b.Loop() {
		before := liveHeap()
		f := follower.New(follower.WithStore(s))
		<-f.Updates()
		used := liveHeap() - before
		for range 8 {
			accepted := commitChange(b, editor, random, targetPath(0, random.IntN(_targetServices)))
			for f.Revision() < accepted.Revision {
				<-f.Updates()
			}
		}
		b.ReportMetric(float64(used), "live-octets")
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

// BenchmarkFollow measures how fast a follower that fetches from another one adopts
// changes of single services in settings of the target size, and the traffic.
func BenchmarkFollow(b *testing.B) {
	s := newStore(1)
	s.noDelay = true
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
			b.Logf("initial fetch: %d calls, %d octets", calls, octets)
			octets, calls = 0, 0
			var applying time.Duration
			for b.Loop() {
				accepted := commitChange(b, editor, random, targetPath(0, random.IntN(_targetServices)))
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

// exchangeRevisions offers the revisions of followers i and j to each other.
func (f *fleet) exchangeRevisions(i, j int) {
	f.followers[j].Offer(f.followers[i].Revision(), addrOf(i))
	f.followers[i].Offer(f.followers[j].Revision(), addrOf(j))
}

// TestChangeReachesWholeFleet commits one change in a fleet of which two followers
// watch the store. Each follower exchanges revisions with a random other one every
// second, and every 100 ms in the second after its own revision has changed. All
// must have the change in force within the required 6 s. The test logs the time and
// the number of calls.
func TestChangeReachesWholeFleet(t *testing.T) {
	const step = 100 * time.Millisecond
	size := 250
	if testing.Short() {
		size = 50
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, size)
		time.Sleep(time.Minute)
		f.withLock(func() { f.replies = nil })
		reads := f.store.reads
		accepted := commitChange(t, follower.NewEditor(f.store), f.random, nodePath(0))
		start := time.Now()
		exchanges := 0
		for tick := 0; f.behind(accepted.Revision) > 0; tick++ {
			assert.Assert(t, time.Since(start) < 6*time.Second, "%d of %d followers do not have the change in force", f.behind(accepted.Revision), size)
			for i, each := range f.followers {
				if (tick+i)%10 == 0 || time.Since(each.Status().Since) < time.Second {
					f.exchangeRevisions(i, f.random.IntN(size))
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

// behind returns the number of followers whose revision is lower than revision.
func (f *fleet) behind(revision settings.Revision) int {
	n := 0
	for _, each := range f.followers {
		if each.Revision() < revision {
			n++
		}
	}
	return n
}
