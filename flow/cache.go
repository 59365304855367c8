package flow

import (
	"math"
	"time"
)

// _minIdleTimeout is the lower limit of RotateIfDue's idle timeout. It also applies while the
// process has no configuration and thus no idle timeout.
const _minIdleTimeout = 15 * time.Second

// _retentionMargin is how much longer than the idle timeout a flow is kept. Callers repeat a
// packet that was lost for 5 s, and operators expect a new configuration to be in force within
// 3 to 6 s, so that a longer timeout may have been accepted that this process does not have yet.
const _retentionMargin = 10 * time.Second

// Cache is a size-limited map from flows to values, with eviction in two generations: each
// Rotate evicts the flows that have not been used since the previous Rotate. It is not safe
// for concurrent use.
type Cache[V any] struct {
	young, old map[Key]*V
	limit      int
	onEvict    func(Key, *V)
	// oldUntil is when the old generation ceased to be the young one, so that none of its flows
	// was used later. It is _notTimed from a rotation by size until the next RotateIfDue.
	oldUntil time.Duration
	// evictedUntil is the latest oldUntil of a generation that was evicted.
	evictedUntil time.Duration
}

// _notTimed is later than all times.
const _notTimed time.Duration = math.MaxInt64

// NewCache returns a cache of at most limit flows. It calls onEvict, unless nil, for each
// flow that is evicted because of its age or the limit.
func NewCache[V any](limit int, onEvict func(Key, *V)) *Cache[V] {
	return &Cache[V]{young: make(map[Key]*V), limit: limit, onEvict: onEvict}
}

// Get returns the value of a flow, or nil, and moves the flow to the young generation.
func (c *Cache[V]) Get(key Key) *V {
	if v, ok := c.young[key]; ok {
		return v
	}
	v, ok := c.old[key]
	if !ok {
		return nil
	}
	delete(c.old, key)
	c.Put(key, v)
	return v
}

// Put sets the value of a flow and moves the flow to the young generation. If that
// generation is full, Put rotates first.
func (c *Cache[V]) Put(key Key, v *V) {
	if len(c.young) >= c.limit/2 {
		c.Rotate()
	}
	delete(c.old, key)
	c.young[key] = v
}

// Delete removes a flow without calling the eviction function.
func (c *Cache[V]) Delete(key Key) {
	delete(c.young, key)
	delete(c.old, key)
}

// RotateIfDue calls Rotate once all flows of the old generation have been idle for longer than
// the idle timeout and a margin of 10 s. A flow is thus evicted one to two such times after its
// last use. now is the present time, and seen the time up to which the packets that have arrived
// were read: after a stall, flows may have been used since. An idle timeout below 15 s counts as
// 15 s. RotateIfDue must be called often, as it also times the rotations by size.
func (c *Cache[V]) RotateIfDue(now, seen, idle time.Duration) {
	if c.oldUntil == _notTimed {
		c.oldUntil = now
	}
	if c.evictedUntil == _notTimed {
		c.evictedUntil = now
	}
	if seen-c.oldUntil > max(idle, _minIdleTimeout)+_retentionMargin {
		c.Rotate()
		c.oldUntil = now
	}
}

// EvictedUntil returns a time since which no evicted flow was used, or zero if none was evicted.
func (c *Cache[V]) EvictedUntil() time.Duration { return c.evictedUntil }

// Rotate evicts the old generation, and makes the young generation the old one.
func (c *Cache[V]) Rotate() {
	if c.onEvict != nil {
		for key, v := range c.old {
			c.onEvict(key, v)
		}
	}
	if len(c.old) > 0 {
		c.evictedUntil = max(c.evictedUntil, c.oldUntil)
	}
	c.old, c.young = c.young, make(map[Key]*V)
	c.oldUntil = _notTimed
}

// Len returns the number of flows.
func (c *Cache[V]) Len() int { return len(c.young) + len(c.old) }

// All calls f for each flow, in no particular order, until f returns false.
func (c *Cache[V]) All(f func(Key, *V) bool) {
	for _, generation := range []map[Key]*V{c.young, c.old} {
		for key, v := range generation {
			if !f(key, v) {
				return
			}
		}
	}
}
