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

// fleet is a few followers that fetch from each other and may be cut off.
type fleet struct {
	t         *testing.T
	store     *store
	random    *rand.Rand
	highest   []settings.Revision
	followers []*follower.Follower

	mu      sync.Mutex
	running []*follower.Follower
	cut     []bool
	replies []follower.FetchReply
	// spoil, if set, changes a reply on its way.
	spoil func(*follower.FetchReply)
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(i)}), 1)
}

func (f *fleet) fetch(_ context.Context, addr netip.AddrPort, request follower.FetchRequest) (follower.FetchReply, error) {
	i := int(addr.Addr().As4()[3])
	f.mu.Lock()
	peer, spoil := f.running[i], f.spoil
	if f.cut[i] {
		peer = nil
	}
	f.mu.Unlock()
	var reply follower.FetchReply
	if peer == nil {
		return reply, trace.ConnectionProblem(nil, "cut off")
	}
	err := peer.Endpoint().Fetch(&request, &reply)
	if spoil != nil {
		spoil(&reply)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replies = append(f.replies, reply)
	return reply, err
}

// set changes what other goroutines read of the fleet.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// start starts or restarts one follower. The first two watch the store.
func (f *fleet) start(i int, opts ...follower.Option) {
	f.set(func() { f.running[i] = nil })
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
	f.set(func() { f.running[i] = f.followers[i] })
}

// offer has every follower mention its revision to another one.
func (f *fleet) offer() {
	for i := range f.followers {
		j := f.random.IntN(len(f.followers))
		if !f.cut[i] && !f.cut[j] {
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
		t:         t,
		store:     newStore(seed),
		random:    rand.New(rand.NewPCG(seed, 9)),
		followers: make([]*follower.Follower, size),
		running:   make([]*follower.Follower, size),
		highest:   make([]settings.Revision, size),
		cut:       make([]bool, size),
	}
	_, err := follower.NewEditor(f.store).Submit(t.Context(), first())
	assert.NilError(t, err)
	for i := range f.followers {
		f.start(i)
	}
	time.Sleep(time.Second)
	return f
}

// restart starts a follower anew. What it puts in force must not be older than
// what any process has that it can reach; of its own past it knows nothing.
func (f *fleet) restart(i int) {
	f.highest[i] = 0
	for j, each := range f.followers {
		if j != i && !f.cut[j] {
			f.highest[i] = max(f.highest[i], each.Revision())
		}
	}
	f.start(i)
}

// step makes one random change, fault or restart and checks that no follower
// has gone back.
func (f *fleet) step(editor *follower.Editor) {
	i := f.random.IntN(len(f.followers))
	switch f.random.IntN(6) {
	case 0:
		f.set(func() { f.cut[i] = !f.cut[i] })
	case 1:
		f.store.set(faults{outage: f.random.IntN(3) == 0, stale: 0.5, refuse: 0.2})
	case 2:
		f.restart(i)
	default:
		if state, err := editor.Load(f.t.Context()); err == nil {
			change := propose(f.random, state.Document, "kari", node(f.random.IntN(_nodes)))
			_, _ = editor.Submit(f.t.Context(), change)
		}
	}
	time.Sleep(time.Duration(f.random.IntN(4000)) * time.Millisecond)
	f.offer()
	for i, each := range f.followers {
		revision := each.Revision()
		if revision == 0 {
			continue
		}
		assert.Assert(f.t, revision >= f.highest[i], "follower %d went back from %d to %d", i, f.highest[i], revision)
		f.highest[i] = revision
	}
}

// TestFollowersNeverRevert drives followers through changes, stale reads,
// outages, cuts and restarts, and then heals everything: all reach the latest
// revision within the 6 s that the users want.
func TestFollowersNeverRevert(t *testing.T) {
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
			f.store.set(faults{})
			f.set(func() { clear(f.cut) })
			time.Sleep(time.Minute)
			commit(t, editor, f.random, node(1))
			for range 6 {
				time.Sleep(time.Second)
				f.offer()
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

// TestRestartWithALaggingStore restarts followers while every read of the
// store is stale: the others' revision is taken.
func TestRestartWithALaggingStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 3)
		f.submit(5)
		f.offer()
		time.Sleep(time.Minute)
		for _, each := range f.followers {
			assert.Equal(t, each.Revision(), settings.Revision(6))
		}
		f.store.set(faults{stale: 1})
		f.start(2)
		<-f.followers[2].Updates()
		assert.Equal(t, f.followers[2].Revision(), settings.Revision(6))
		f.store.set(faults{outage: true})
		f.start(1)
		<-f.followers[1].Updates()
		assert.Equal(t, f.followers[1].Revision(), settings.Revision(6))
		f.close()
	})
}

// TestFollowerRefusesABadDocument puts a tree with findings into the store, as
// a newer release might, and expects the old document to stay.
func TestFollowerRefusesABadDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		object := f.store.current(audit.HeadKey)
		var head audit.Head
		assert.NilError(t, json.Unmarshal(object.Value, &head))
		document := f.followers[0].Current()
		change := propose(f.random, document, "kari", node(0))
		change.Edits[0].After.Slots = number(0)
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

// submit commits n changes.
func (f *fleet) submit(n int) {
	editor := follower.NewEditor(f.store)
	for range n {
		commit(f.t, editor, f.random, node(0))
	}
	time.Sleep(time.Second)
}

// TestAnswersOfOthers gives a follower that reads no store wrong answers of
// another process, and ones that do not reach back to its revision.
func TestAnswersOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 3)
		f.submit(1)
		f.start(2, follower.WithStore(nil))
		time.Sleep(time.Second)
		late := f.followers[2]
		assert.Equal(t, late.Revision(), settings.Revision(2))

		f.set(func() { f.spoil = func(r *follower.FetchReply) { r.Digest++ } })
		f.submit(1)
		late.Offer(3, addrOf(0))
		time.Sleep(time.Second)
		assert.Equal(t, late.Revision(), settings.Revision(2), "a tree with another digest is refused")

		f.set(func() { f.spoil = nil })
		f.submit(67)
		f.set(func() { f.cut[1] = true })
		f.start(0)
		time.Sleep(time.Second)
		f.set(func() { f.replies = nil })
		late.Offer(70, addrOf(0))
		time.Sleep(time.Second)
		assert.Equal(t, late.Revision(), settings.Revision(70))
		assert.Assert(t, len(f.replies[0].Shards) > 0, "the restarted process holds too few changes")
		assert.Equal(t, late.Current().Tree().Digest(), f.followers[0].Current().Tree().Digest())
		f.close()
	})
}

// TestLateAnswer has a follower read the store while another process's older
// answer is on its way.
func TestLateAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 3)
		f.submit(1)
		f.set(func() {
			f.replies = nil
			f.spoil = func(*follower.FetchReply) { time.Sleep(4 * time.Minute) }
		})
		f.followers[2].Offer(2, addrOf(0))
		f.submit(1)
		time.Sleep(200 * time.Second)
		assert.Equal(t, f.followers[2].Revision(), settings.Revision(3))
		time.Sleep(40 * time.Second)
		f.set(func() {
			late := func(r follower.FetchReply) bool { return r.Revision == 2 }
			assert.Assert(t, slices.ContainsFunc(f.replies, late), "the answer has come")
		})
		assert.Equal(t, f.followers[2].Revision(), settings.Revision(3))
		f.close()
	})
}

// TestServiceFollower follows one service: its messages stay small, and its
// last settings stay known when it is taken out of the tree.
func TestServiceFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		f.set(func() { f.replies = nil })
		f.start(1, follower.WithService(node(0)))
		agent := f.followers[1]
		<-agent.Updates()
		got, ok := agent.Service("akl", "akl-a", "service-0")
		assert.Assert(t, ok)
		want, _ := f.followers[0].Current().Service(node(0))
		assert.DeepEqual(t, got.Limits, want.Limits)
		assert.Equal(t, got.ID, service.ID(1))
		assert.Equal(t, agent.Current().Tree().Len(), 1)
		f.submit(1)
		agent.Offer(2, addrOf(0))
		synctest.Wait()
		assert.Equal(t, agent.Revision(), settings.Revision(2))

		last, ok := agent.Service("akl", "akl-a", "service-0")
		assert.Assert(t, ok)
		removal := propose(f.random, f.followers[0].Current(), "kari", node(0))
		removal.Edits[0].After = nil
		_, err := follower.NewEditor(f.store).Submit(t.Context(), removal)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		agent.Offer(3, addrOf(0))
		synctest.Wait()
		assert.Equal(t, agent.Revision(), settings.Revision(3))
		kept, ok := agent.Service("akl", "akl-a", "service-0")
		assert.Assert(t, !ok)
		assert.DeepEqual(t, kept, last, cmpopts.EquateComparable(netip.AddrPort{}))
		for _, reply := range f.replies {
			assert.Assert(t, len(reply.Service) < 512 && len(reply.Changes) == 0 && len(reply.Shards) == 0)
		}
		f.close()
	})
}

// TestServiceAddedLater starts a process before its service is in the settings.
// Until then it asks every 0.5 to 1.5 s, and no more often.
func TestServiceAddedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		late := parsePath("akl/akl-a/later")
		f.start(1, follower.WithService(late))
		time.Sleep(time.Second)
		f.set(func() { f.replies = nil })
		time.Sleep(time.Minute)
		f.set(func() {
			asked := len(f.replies)
			assert.Assert(t, asked >= 40 && asked <= 120, "asked %d times in a minute", asked)
		})
		change := propose(f.random, f.followers[0].Current(), "kari", late)
		id := service.ID(99)
		change.Edits[0].After.ID = &id
		change.Edits[0].After.Addresses = []netip.AddrPort{netip.MustParseAddrPort("127.0.1.99:443")}
		_, err := follower.NewEditor(f.store).Submit(t.Context(), change)
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		_, ok := f.followers[1].Service(late.Region, late.Place, late.Name)
		assert.Assert(t, ok)
		f.close()
	})
}
