package flow

import "time"

// _minIdle is how long an unused flow is kept at least, if its owner does not know
// the configuration's idle timeout.
const _minIdle = 15 * time.Second

// Cache maps flows to what is known of them, bounded and aged in two
// generations: Rotate forgets what has not been used since the Rotate before.
// It is not safe for concurrent use.
type Cache[V any] struct {
	young, old map[Key]*V
	limit      int
	evicted    func(Key, *V)
	// nextAge is when Age rotates next.
	nextAge time.Duration
}

// NewCache returns a cache of at most limit flows. evicted is told of each flow
// that is forgotten for its age or for the limit; it may be nil.
func NewCache[V any](limit int, evicted func(Key, *V)) *Cache[V] {
	return &Cache[V]{young: make(map[Key]*V), limit: limit, evicted: evicted}
}

// Get returns what is known of the flow, or nil, and makes it young.
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

// Put sets what is known of the flow.
func (c *Cache[V]) Put(key Key, v *V) {
	if len(c.young) >= c.limit/2 {
		c.Rotate()
	}
	delete(c.old, key)
	c.young[key] = v
}

// Delete forgets the flow without telling evicted.
func (c *Cache[V]) Delete(key Key) {
	delete(c.young, key)
	delete(c.old, key)
}

// Age rotates when it is due, so that a flow is kept for one to two idle times after
// its last use. An idle time below 15 s counts as that.
func (c *Cache[V]) Age(now, idle time.Duration) {
	if now >= c.nextAge {
		c.nextAge = now + max(idle, _minIdle)
		c.Rotate()
	}
}

// Rotate forgets the old generation and makes the young one old.
func (c *Cache[V]) Rotate() {
	if c.evicted != nil {
		for key, v := range c.old {
			c.evicted(key, v)
		}
	}
	c.old, c.young = c.young, make(map[Key]*V)
}

// Len returns the number of flows.
func (c *Cache[V]) Len() int { return len(c.young) + len(c.old) }

// All calls f for each flow until it returns false, in no order.
func (c *Cache[V]) All(f func(Key, *V) bool) {
	for _, generation := range []map[Key]*V{c.young, c.old} {
		for key, v := range generation {
			if !f(key, v) {
				return
			}
		}
	}
}
