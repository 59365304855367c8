package follower_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/follower"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// fleet is a set of followers that fetch settings from each other, each of which
// can be made unreachable.
type fleet struct {
	t         *testing.T
	store     *store
	random    *rand.Rand
	highest   []settings.Revision // highest revision of each follower so far
	followers []*follower.Follower

	mu          sync.Mutex
	running     []*follower.Follower
	unreachable []bool
	replies     []follower.FetchReply
	// alterReply, if set, modifies or delays each fetch reply.
	alterReply func(*follower.FetchReply)
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(i)}), 1)
}

func (f *fleet) fetch(_ context.Context, addr netip.AddrPort, request follower.FetchRequest) (follower.FetchReply, error) {
	i := int(addr.Addr().As4()[3])
	f.mu.Lock()
	peer, alterReply := f.running[i], f.alterReply
	if f.unreachable[i] {
		peer = nil
	}
	f.mu.Unlock()
	var reply follower.FetchReply
	if peer == nil {
		return reply, trace.ConnectionProblem(nil, "unreachable")
	}
	err := peer.Endpoint().Fetch(&request, &reply)
	if alterReply != nil {
		alterReply(&reply)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replies = append(f.replies, reply)
	return reply, err
}

// withLock calls do while it holds the fleet's mutex.
func (f *fleet) withLock(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// start starts or restarts follower i. The first two followers watch the store.
func (f *fleet) start(i int, opts ...follower.Option) {
	f.withLock(func() { f.running[i] = nil })
	if f.followers[i] != nil {
		assert.NilError(f.t, f.followers[i].Close())
	}
	var peers []netip.AddrPort
	for j := range f.followers {
		if j != i {
			peers = append(peers, addrOf(j))
		}
	}
	f.followers[i] = follower.New(append([]follower.Option{
		follower.WithFetch(f.fetch),
		follower.WithPeers(func() []netip.AddrPort { return peers }),
		follower.WithStore(f.store),
		follower.WithWatch(func() bool { return i < 2 }),
	}, opts...)...)
	f.withLock(func() { f.running[i] = f.followers[i] })
}

// offerRevisions offers the revision of every follower to a random other one.
func (f *fleet) offerRevisions() {
	for i := range f.followers {
		j := f.random.IntN(len(f.followers))
		if !f.unreachable[i] && !f.unreachable[j] {
			f.followers[j].Offer(f.followers[i].Revision(), addrOf(i))
		}
	}
}

func (f *fleet) close() {
	for _, each := range f.followers {
		assert.NilError(f.t, each.Close())
	}
}

func newFleet(t *testing.T, seed uint64, size int) *fleet {
	f := &fleet{
		t:           t,
		store:       newStore(seed),
		random:      rand.New(rand.NewPCG(seed, 9)),
		followers:   make([]*follower.Follower, size),
		running:     make([]*follower.Follower, size),
		highest:     make([]settings.Revision, size),
		unreachable: make([]bool, size),
	}
	_, err := follower.NewEditor(f.store).Submit(t.Context(), initialChange())
	assert.NilError(t, err)
	for i := range f.followers {
		f.start(i)
	}
	time.Sleep(time.Second)
	return f
}

// restart restarts follower i. The first revision that it puts in force must be at
// least the highest revision of the reachable followers, but may be lower than its
// own before the restart.
func (f *fleet) restart(i int) {
	f.highest[i] = 0
	for j, each := range f.followers {
		if j != i && !f.unreachable[j] {
			f.highest[i] = max(f.highest[i], each.Revision())
		}
	}
	f.start(i)
}

// step makes one random change, fault or restart and checks that no follower's
// revision has decreased.
func (f *fleet) step(editor *follower.Editor) {
	i := f.random.IntN(len(f.followers))
	switch f.random.IntN(6) {
	case 0:
		f.withLock(func() { f.unreachable[i] = !f.unreachable[i] })
	case 1:
		f.store.setFaults(faults{outage: f.random.IntN(3) == 0, stale: 0.5, refuse: 0.2})
	case 2:
		f.restart(i)
	default:
		if state, err := editor.Load(f.t.Context()); err == nil {
			change := newChange(f.random, state.Document, "kari", nodePath(f.random.IntN(_nodeCount)))
			_, _ = editor.Submit(f.t.Context(), change)
		}
	}
	time.Sleep(time.Duration(f.random.IntN(4000)) * time.Millisecond)
	f.offerRevisions()
	for i, each := range f.followers {
		revision := each.Revision()
		if revision == 0 {
			continue
		}
		assert.Assert(f.t, revision >= f.highest[i], "follower %d: revision decreased from %d to %d", i, f.highest[i], revision)
		f.highest[i] = revision
	}
}

// TestRevisionNeverDecreases drives followers through random changes, stale reads,
// outages, unreachable peers and restarts. No revision may decrease, and after all
// faults have ended every follower must reach the latest revision within the
// required 6 s.
func TestRevisionNeverDecreases(t *testing.T) {
	seeds := 6
	if testing.Short() {
		seeds = 1
	}
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, seed, 4)
			editor := follower.NewEditor(f.store)
			for range 120 {
				f.step(editor)
			}
			f.store.setFaults(faults{})
			f.withLock(func() { clear(f.unreachable) })
			time.Sleep(time.Minute)
			commitChange(t, editor, f.random, nodePath(1))
			for range 6 {
				time.Sleep(time.Second)
				f.offerRevisions()
			}
			synctest.Wait()
			state, err := editor.Load(t.Context())
			assert.NilError(t, err)
			for i, each := range f.followers {
				assert.Equal(t, each.Revision(), state.Head.Revision, "follower %d", i)
				assert.Equal(t, each.Current().Tree().Digest(), state.Head.Digest)
			}
			f.close()
		})
	}
}

// TestRestartWithStaleStore restarts followers while the store serves only stale
// reads or is down. A restarted follower must start with its peers' revision, not
// with an older one from the store.
func TestRestartWithStaleStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 3)
		f.commitChanges(5)
		f.offerRevisions()
		time.Sleep(time.Minute)
		for _, each := range f.followers {
			assert.Equal(t, each.Revision(), settings.Revision(6))
		}
		f.store.setFaults(faults{stale: 1})
		f.start(2)
		<-f.followers[2].Updates()
		assert.Equal(t, f.followers[2].Revision(), settings.Revision(6))
		f.store.setFaults(faults{outage: true})
		f.start(1)
		<-f.followers[1].Updates()
		assert.Equal(t, f.followers[1].Revision(), settings.Revision(6))
		f.close()
	})
}

// TestInvalidDocumentIsRefused writes an invalid tree to the store, as a newer
// release with other validation rules might. The follower must keep its current
// document and report the refusal.
func TestInvalidDocumentIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		object := f.store.current(audit.HeadKey)
		var head audit.Head
		assert.NilError(t, json.Unmarshal(object.Value, &head))
		document := f.followers[0].Current()
		change := newChange(f.random, document, "kari", nodePath(0))
		change.Edits[0].After.Slots = intPtr(0)
		tree, err := document.Tree().Apply(change.Edits...)
		assert.NilError(t, err)
		head, _, err = head.With(change, tree)
		assert.NilError(t, err)
		data, err := json.Marshal(head)
		assert.NilError(t, err)
		_, err = f.store.Put(t.Context(), audit.HeadKey, data, object.Version)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		status := f.followers[0].Status()
		assert.Equal(t, status.Revision, settings.Revision(1))
		assert.Equal(t, status.Refused.Revision, settings.Revision(2))
		assert.Equal(t, len(settings.FindingsOf(status.Refused.Err)), 1)
		f.close()
	})
}

// commitChanges commits n changes and waits for the watchers to adopt them.
func (f *fleet) commitChanges(n int) {
	editor := follower.NewEditor(f.store)
	for range n {
		commitChange(f.t, editor, f.random, nodePath(0))
	}
	time.Sleep(time.Second)
}

// TestFetchFromPeerWithoutStore fetches from a peer into a follower that reads no
// store. It must refuse changes that lead to another digest than the reply's, and
// fetch the whole tree in shards if the peer lacks the changes since its revision.
func TestFetchFromPeerWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 3)
		f.commitChanges(1)
		f.start(2, follower.WithStore(nil))
		time.Sleep(time.Second)
		storeless := f.followers[2]
		assert.Equal(t, storeless.Revision(), settings.Revision(2))

		f.withLock(func() { f.alterReply = func(r *follower.FetchReply) { r.Digest++ } })
		f.commitChanges(1)
		storeless.Offer(3, addrOf(0))
		time.Sleep(time.Second)
		assert.Equal(t, storeless.Revision(), settings.Revision(2), "a tree with a wrong digest was adopted")

		f.withLock(func() { f.alterReply = nil })
		f.commitChanges(67)
		f.withLock(func() { f.unreachable[1] = true })
		f.start(0)
		time.Sleep(time.Second)
		f.withLock(func() { f.replies = nil })
		storeless.Offer(70, addrOf(0))
		time.Sleep(time.Second)
		assert.Equal(t, storeless.Revision(), settings.Revision(70))
		assert.Assert(t, len(f.replies[0].Shards) > 0, "the restarted peer should not have all changes")
		assert.Equal(t, storeless.Current().Tree().Digest(), f.followers[0].Current().Tree().Digest())
		f.close()
	})
}

// TestOutdatedFetchReplyIsIgnored delays a peer's reply until the follower has read
// a newer revision from the store. The late reply must not revert it.
func TestOutdatedFetchReplyIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 3)
		f.commitChanges(1)
		f.withLock(func() {
			f.replies = nil
			f.alterReply = func(*follower.FetchReply) { time.Sleep(4 * time.Minute) }
		})
		f.followers[2].Offer(2, addrOf(0))
		f.commitChanges(1)
		time.Sleep(200 * time.Second)
		assert.Equal(t, f.followers[2].Revision(), settings.Revision(3))
		time.Sleep(40 * time.Second)
		f.withLock(func() {
			isStale := func(r follower.FetchReply) bool { return r.Revision == 2 }
			assert.Assert(t, slices.ContainsFunc(f.replies, isStale), "the late reply has not arrived")
		})
		assert.Equal(t, f.followers[2].Revision(), settings.Revision(3))
		f.close()
	})
}

// TestFollowSingleService follows one service. Replies must hold only that service,
// and its last settings must stay available after it is removed from the tree.
func TestFollowSingleService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		f.withLock(func() { f.replies = nil })
		f.start(1, follower.WithService(nodePath(0)))
		agent := f.followers[1]
		<-agent.Updates()
		got, ok := agent.Service("akl", "akl-a", "service-0")
		assert.Assert(t, ok)
		want, _ := f.followers[0].Current().Service(nodePath(0))
		assert.DeepEqual(t, got.Limits, want.Limits)
		assert.Equal(t, got.ID, service.ID(1))
		assert.Equal(t, agent.Current().Tree().Len(), 1)
		f.commitChanges(1)
		agent.Offer(2, addrOf(0))
		synctest.Wait()
		assert.Equal(t, agent.Revision(), settings.Revision(2))

		last, ok := agent.Service("akl", "akl-a", "service-0")
		assert.Assert(t, ok)
		removal := newChange(f.random, f.followers[0].Current(), "kari", nodePath(0))
		removal.Edits[0].After = nil
		_, err := follower.NewEditor(f.store).Submit(t.Context(), removal)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		agent.Offer(3, addrOf(0))
		synctest.Wait()
		assert.Equal(t, agent.Revision(), settings.Revision(3))
		removed, ok := agent.Service("akl", "akl-a", "service-0")
		assert.Assert(t, !ok)
		assert.DeepEqual(t, removed, last, cmpopts.EquateComparable(netip.AddrPort{}))
		for _, reply := range f.replies {
			assert.Assert(t, len(reply.Service) < 512 && len(reply.Changes) == 0 && len(reply.Shards) == 0)
		}
		f.close()
	})
}

// TestServiceAddedLater starts a follower before its service is in the settings.
// Until the service is added, the follower must poll every 0.5 to 1.5 s, and no more
// often.
func TestServiceAddedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		path := parsePath("akl/akl-a/later")
		f.start(1, follower.WithService(path))
		time.Sleep(time.Second)
		f.withLock(func() { f.replies = nil })
		time.Sleep(time.Minute)
		f.withLock(func() {
			fetches := len(f.replies)
			assert.Assert(t, fetches >= 40 && fetches <= 120, "%d fetches in a minute", fetches)
		})
		change := newChange(f.random, f.followers[0].Current(), "kari", path)
		id := service.ID(99)
		change.Edits[0].After.ID = &id
		change.Edits[0].After.Addresses = []netip.AddrPort{netip.MustParseAddrPort("127.0.1.99:443")}
		_, err := follower.NewEditor(f.store).Submit(t.Context(), change)
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		_, ok := f.followers[1].Service(path.Region, path.Place, path.Name)
		assert.Assert(t, ok)
		f.close()
	})
}
