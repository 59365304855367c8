package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/platform"
	"dandelionhitch.example/service"
)

// singleObjectStore is a store of a single object. If fault is set, the next Put returns
// it; a Put with an ambiguous fault takes effect all the same.
type singleObjectStore struct {
	platform.Store
	object platform.Object
	fault  error
	writes int
}

func (s *singleObjectStore) List(context.Context, string) ([]platform.Object, error) {
	return []platform.Object{s.object}, nil
}

func (s *singleObjectStore) Get(context.Context, string) (platform.Object, error) {
	if s.object.Version == 0 {
		return platform.Object{}, trace.NotFound("lease")
	}
	return s.object, nil
}

func (s *singleObjectStore) Put(_ context.Context, key string, value json.RawMessage, expected platform.Version) (platform.Version, error) {
	fault := s.fault
	s.fault = nil
	if fault != nil && !platform.IsAmbiguous(fault) {
		return 0, fault
	}
	if s.object.Version != expected {
		return 0, trace.CompareFailed("lease")
	}
	s.writes++
	s.object = platform.Object{Key: key, Value: value, Version: s.object.Version + 1}
	return s.object.Version, fault
}

func (s *singleObjectStore) Delete(_ context.Context, _ string, expected platform.Version) error {
	if s.object.Version != expected {
		return trace.CompareFailed("lease")
	}
	s.object = platform.Object{}
	return nil
}

// TestLeaseRenewal checks that the renewer's own lease gets into the store at the first
// write, after an outage, after a lost reply, over the lease of an earlier run, and
// after another member has removed it.
func TestLeaseRenewal(t *testing.T) {
	earlier, err := json.Marshal(lease{Member: testMember(0, "oslo-b"), Renewal: 9})
	assert.NilError(t, err)
	lost := &platform.AmbiguousError{Op: "put", Key: "lease", Err: errors.New("cut")}
	for name, tt := range map[string]struct {
		store  singleObjectStore
		remove bool
		// refreshes is the maximum number of refreshes needed, writes the exact number of
		// writes that take effect.
		refreshes, writes int
	}{
		"first":       {refreshes: 1, writes: 1},
		"outage":      {store: singleObjectStore{fault: trace.ConnectionProblem(nil, "down")}, refreshes: 2, writes: 1},
		"lost answer": {store: singleObjectStore{fault: lost}, refreshes: 1, writes: 1},
		"earlier run": {store: singleObjectStore{object: platform.Object{Value: earlier, Version: 4}}, refreshes: 2, writes: 1},
		"removed":     {remove: true, refreshes: 3, writes: 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			k, err := New(testMember(0, "oslo-a"), nil, WithPeers(), WithSeed(1))
			assert.NilError(t, err)
			defer k.Close()
			r := &leaseRenewer{keeper: k, store: &tt.store}
			refreshes := 0
			refreshUntilDone := func() {
				for refreshes++; r.refresh() != nil; refreshes++ {
					assert.Assert(t, refreshes <= tt.refreshes, name)
				}
			}
			refreshUntilDone()
			if tt.remove {
				tt.store.object = platform.Object{}
				refreshUntilDone()
			}
			assert.Assert(t, refreshes <= tt.refreshes, name)
			assert.Equal(t, tt.store.writes, tt.writes, name)
			var l lease
			assert.NilError(t, json.Unmarshal(tt.store.object.Value, &l))
			assert.Equal(t, l.Member.Place, service.Place("oslo-a"))
			r.release()
			assert.Equal(t, tt.store.object.Version, platform.Version(0))
		})
	}
}

func FuzzLease(f *testing.F) {
	data, err := json.Marshal(lease{Member: testMember(0, "oslo-b"), Renewal: 9})
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte(`{"member":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		found, errs := decodeLeases([]platform.Object{{Key: "members/x", Value: data}})
		assert.Equal(t, len(found)+len(errs), 1)
		for _, m := range found {
			assert.NilError(t, m.Validate())
		}
	})
}

// TestServingWithoutOtherMembers checks that a balancer that knows no other member
// serves at once, and that a balancer whose peers do not answer serves after
// _joinTimeout.
func TestServingWithoutOtherMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alone, err := New(testMember(0, "oslo-a"), unreachableClient{}, WithSeed(1))
		assert.NilError(t, err)
		isolated, err := New(testMember(1, "oslo-a"), unreachableClient{}, WithSeed(1), WithPeers(testMember(2, "p").Control))
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, alone.Self().State, service.Serving)
		assert.Equal(t, isolated.Self().State, service.Starting)
		time.Sleep(2 * _joinTimeout)
		assert.Equal(t, isolated.Self().State, service.Serving)
		assert.Equal(t, len(isolated.View().Members), 1)
		assert.NilError(t, alone.Close())
		assert.NilError(t, isolated.Close())
	})
}

// unreachableClient is a Client on a network in which no process answers.
type unreachableClient struct{}

// Call blocks until ctx ends and returns its error.
func (unreachableClient) Call(ctx context.Context, _ netip.AddrPort, _ string, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}
