package flow_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/flow"
)

func key(n int) flow.Key {
	return flow.Key{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), 40001),
		Address: netip.MustParseAddrPort("198.18.0.1:443"),
	}
}

func TestParseKey(t *testing.T) {
	k := key(7)
	assert.Equal(t, k.String(), "100.64.0.7:40001>198.18.0.1:443")
	parsed, err := flow.ParseKey(k.String())
	assert.NilError(t, err)
	assert.Assert(t, parsed == k)
	for _, text := range []string{"", "x", "1.2.3.4:5", "1.2.3.4:5>", ">1.2.3.4:5"} {
		_, err := flow.ParseKey(text)
		assert.Assert(t, err != nil, "%q", text)
	}
}

func TestFlowOfPacket(t *testing.T) {
	k := key(1)
	request := flow.Packet{Source: k.Caller, Destination: k.Address, Flags: flow.SYN}
	reply := flow.Packet{Source: k.Address, Destination: k.Caller, Flags: flow.SYN | flow.ACK}
	assert.Assert(t, request.FromCaller() == k && reply.ToCaller() == k)
	assert.Assert(t, request.Opening() && !reply.Opening())
}

// TestCacheAgainstMap compares the cache with a map of the generations in which flows were
// last used. The cache must hold exactly the flows used in the current or the previous
// generation.
func TestCacheAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		evicted := map[flow.Key]bool{}
		c := flow.NewCache(1000, func(k flow.Key, _ *int) { evicted[k] = true })
		used := map[flow.Key]int{}
		generation := 0
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				n := rapid.IntRange(0, 20).Draw(t, "n")
				c.Put(key(n), &n)
				used[key(n)] = generation
				delete(evicted, key(n))
			},
			"get": func(t *rapid.T) {
				k := key(rapid.IntRange(0, 20).Draw(t, "n"))
				last, known := used[k]
				found := c.Get(k) != nil
				assert.Equal(t, found, known && last >= generation-1)
				if found {
					used[k] = generation
				}
			},
			"delete": func(t *rapid.T) {
				k := key(rapid.IntRange(0, 20).Draw(t, "n"))
				c.Delete(k)
				delete(used, k)
			},
			"rotate": func(*rapid.T) {
				c.Rotate()
				generation++
			},
			"": func(t *rapid.T) {
				n := 0
				for k, last := range used {
					if last >= generation-1 {
						n++
						assert.Assert(t, !evicted[k])
					}
				}
				assert.Equal(t, c.Len(), n)
			},
		})
	})
}

// TestCacheEvictsByTime plays flows that are used at random times under changing idle timeouts, with
// rotations by size. RotateIfDue must not evict a flow before the idle timeout in force has passed
// since its last use, and no evicted flow may have been used after EvictedUntil.
func TestCacheEvictsByTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, idle := time.Duration(0), 15*time.Second
		usedAt := map[flow.Key]time.Duration{}
		full := false
		c := flow.NewCache(16, func(k flow.Key, _ *int) {
			if !full {
				assert.Assert(t, now-usedAt[k] > idle, "evicted %v after its last use", now-usedAt[k])
			}
		})
		use := func(k flow.Key) {
			full = true
			if v := c.Get(k); v == nil {
				c.Put(k, new(int))
			}
			full = false
			usedAt[k] = now
		}
		t.Repeat(map[string]func(*rapid.T){
			"use": func(t *rapid.T) { use(key(rapid.IntRange(0, 40).Draw(t, "n"))) },
			"idle": func(t *rapid.T) {
				idle = time.Duration(rapid.IntRange(15, 60).Draw(t, "idle")) * time.Second
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 20_000).Draw(t, "wait")) * time.Millisecond
				c.RotateIfDue(now, now, idle)
			},
			"": func(t *rapid.T) {
				known := map[flow.Key]bool{}
				c.All(func(k flow.Key, _ *int) bool {
					known[k] = true
					return true
				})
				for k, at := range usedAt {
					assert.Assert(t, known[k] || at <= c.EvictedUntil(), "used at %v, evicted until %v", at, c.EvictedUntil())
				}
			},
		})
	})
}

func TestCacheIsBounded(t *testing.T) {
	c := flow.NewCache[int](100, nil)
	for n := range 10_000 {
		c.Put(key(n), &n)
		assert.Assert(t, c.Len() <= 100)
	}
}
