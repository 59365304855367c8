package main

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dandelionhitch.example/platform"
	"dandelionhitch.example/standin"
)

// relayRecorder is a registryTarget that records the relays found.
type relayRecorder struct {
	mu     sync.Mutex
	relays []netip.Addr
}

func (r *relayRecorder) AddRelays(relays []netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relays = append(r.relays, relays...)
}

func (r *relayRecorder) has(addr netip.Addr) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, known := range r.relays {
		if known == addr {
			return true
		}
	}
	return false
}

// registryHarness is the registry of a relay with a stand-in for the store.
type registryHarness struct {
	*registry
	store *standin.Platform
	found relayRecorder
	// storeContactAt is the time at which another relay last reached the store, in Unix
	// ns; zero if none has.
	storeContactAt atomic.Int64
	isIsolated     atomic.Bool
	// reportedEpoch is the store's epoch in the reports of other relays.
	reportedEpoch atomic.Uint32
}

func newRegistryHarness(t *testing.T, self string) *registryHarness {
	t.Helper()
	store, err := standin.NewPlatform()
	assert.NilError(t, err)
	client := platform.NewClient(store.URL(), platform.WithReadTries(1), platform.WithCallTimeout(200*time.Millisecond))
	r := &registryHarness{store: store}
	r.registry = &registry{
		store: client, log: zap.NewNop(), target: &r.found,
		self:        &relayEntry{Addr: netip.MustParseAddr(self), Zone: "a", Incarnation: 1},
		hasReported: func(netip.Addr) bool { return true },
		isolated:    r.isIsolated.Load,
		lastStoreReadAge: func() (time.Duration, bool) {
			at := r.storeContactAt.Load()
			return time.Since(time.Unix(0, at)), at > 0
		},
		storeEpoch: func() platform.Epoch { return platform.Epoch(r.reportedEpoch.Load()) },
	}
	t.Cleanup(func() {
		assert.NilError(t, r.Close())
		assert.NilError(t, client.Close())
		assert.NilError(t, store.Close())
	})
	return r
}

// calls returns the number of calls to the store, including failed ones.
func (r *registryHarness) calls() int {
	c := r.store.Counts()
	return c.Reads + c.Writes + c.Aborted
}

// awaitEntry waits until the entry of the harness's relay is in the store.
func (r *registryHarness) awaitEntry(t *testing.T) {
	t.Helper()
	client := platform.NewClient(r.store.URL())
	defer client.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := client.Get(t.Context(), r.key()); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}

// TestRegistryWritesEntryOnce restarts a registry whose entry is already in the store.
// It must not write the entry again: after a power failure, each relay of the fleet
// should make a single call to the store.
func TestRegistryWritesEntryOnce(t *testing.T) {
	r := newRegistryHarness(t, "10.1.0.1")
	r.start()
	r.awaitEntry(t)
	assert.Equal(t, r.store.Counts().Writes, 1)
	restarted := &registry{
		store: r.registry.store, log: zap.NewNop(), target: &r.found,
		self: r.self, hasReported: r.hasReported, isolated: r.isolated, lastStoreReadAge: r.lastStoreReadAge,
		storeEpoch: r.storeEpoch,
	}
	restarted.start()
	defer restarted.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !r.found.has(r.self.Addr) {
			return poll.Continue("the relay has not been listed yet")
		}
		return poll.Success()
	})
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, r.store.Counts().Writes, 1, "the entry is already in the store")
}

// TestRegistryWaitsDuringOutage starts a relay during an outage of the store. It must
// not keep calling the store, and must write its entry within _storeReturnJitter after
// another relay has reached the store.
func TestRegistryWaitsDuringOutage(t *testing.T) {
	r := newRegistryHarness(t, "10.1.0.2")
	r.store.SetFaults(standin.PlatformFaults{Outage: true})
	r.start()
	time.Sleep(2 * time.Second)
	assert.Assert(t, r.calls() <= 2, "%d calls during the outage", r.calls())
	r.store.SetFaults(standin.PlatformFaults{})
	r.storeContactAt.Store(time.Now().UnixNano())
	start := time.Now()
	r.awaitEntry(t)
	const tolerance = 500 * time.Millisecond
	assert.Assert(t, time.Since(start) < _storeReturnJitter+tolerance, "%v", time.Since(start))
}

// TestRegistryOfIsolatedRelayKeepsCalling starts a relay without other relays during an
// outage of the store. It must keep calling, since no other relay can report the end of
// the outage.
func TestRegistryOfIsolatedRelayKeepsCalling(t *testing.T) {
	r := newRegistryHarness(t, "10.1.0.3")
	r.isIsolated.Store(true)
	r.store.SetFaults(standin.PlatformFaults{Outage: true})
	r.start()
	time.Sleep(time.Second)
	r.store.SetFaults(standin.PlatformFaults{})
	r.awaitEntry(t)
}

// TestRegistryRestoresLostEntry guards against a relay whose entry is missing after the
// store was restored from a copy that is older than the entry.
func TestRegistryRestoresLostEntry(t *testing.T) {
	r := newRegistryHarness(t, "10.1.0.1")
	before := r.store.Copy()
	r.start()
	r.awaitEntry(t)
	r.store.Restore(before)
	r.reportedEpoch.Store(1)
	r.awaitEntry(t)
}

// TestSweepRestoresLostEntry guards against a relay whose entry is missing although it has
// not heard of a restoration of the store.
func TestSweepRestoresLostEntry(t *testing.T) {
	r := newRegistryHarness(t, "10.1.0.1")
	before := r.store.Copy()
	r.start()
	r.awaitEntry(t)
	r.store.Restore(before)
	sweeper := &registry{ctx: t.Context(), store: r.registry.store, log: zap.NewNop(), self: r.self, hasReported: r.hasReported, registered: true}
	assert.NilError(t, sweeper.sweep())
	r.awaitEntry(t)
}

// TestRegistryIgnoresOddEntries guards against a relay that finds no other one because of
// entries of another writer.
func TestRegistryIgnoresOddEntries(t *testing.T) {
	r := newRegistryHarness(t, "10.1.0.1")
	client := platform.NewClient(r.store.URL())
	defer client.Close()
	for name, value := range map[string]string{
		"10.1.0.2": `{"addr":"10.1.0.2","zone":"a","incarnation":3}`, "10.1.0.3": `{"addr":7}`, "10.1.0.4": `{"addr":"10.1.0.4:70000"}`,
		"10.1.0.5": `[` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `]`, "10.1.0.6": `{"addr":"10.1.0.6","incarnation":1e40}`,
		"0.0.0.0": `{"addr":"0.0.0.0"}`, "255.255.255.255": `{"addr":"255.255.255.255"}`, "224.0.0.1": `{"addr":"224.0.0.1"}`, "odd": `null`,
	} {
		_, err := client.Put(t.Context(), _relaysPrefix+name, []byte(value), 0)
		assert.NilError(t, err)
	}
	r.start()
	r.awaitEntry(t)
	r.found.mu.Lock()
	defer r.found.mu.Unlock()
	assert.Equal(t, fmt.Sprint(r.found.relays), "[10.1.0.2]")
}
