package flow

import "time"

// _minIdleTimeout is the lower limit of RotateIfDue's idle timeout. It also applies while the
// process has no configuration and thus no idle timeout.
const _minIdleTimeout = 15 * time.Second

// Cache is a size-limited map from flows to values, with eviction in two generations: each
// Rotate evicts the flows that have not been used since the previous Rotate. It is not safe
// for concurrent use.
type Cache[V any] struct {
	young, old map[Key]*V
	limit      int
	onEvict    func(Key, *V)
	// nextRotation is the time from which RotateIfDue rotates again.
	nextRotation time.Duration
}

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

// RotateIfDue calls Rotate if the idle timeout has passed since it last did so. A flow is thus
// evicted one to two idle timeouts after its last use. An idle timeout below 15 s counts as 15 s.
func (c *Cache[V]) RotateIfDue(now, idle time.Duration) {
	if now >= c.nextRotation {
		c.nextRotation = now + max(idle, _minIdleTimeout)
		c.Rotate()
	}
}

// Rotate evicts the old generation, and makes the young generation the old one.
func (c *Cache[V]) Rotate() {
	if c.onEvict != nil {
		for key, v := range c.old {
			c.onEvict(key, v)
		}
	}
	c.old, c.young = c.young, make(map[Key]*V)
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
