package standin_test

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/standin"
)

// entry is a relay of the tests of routers.
type entry struct {
	zone  string
	ready bool
}

func (e *entry) InZone(zone string) bool { return e.zone == zone }
func (e *entry) InRotation() bool        { return e.ready }

// TestRoute checks which relays a router of zone a uses, over many flows.
func TestRoute(t *testing.T) {
	a1, a2, a3 := &entry{"a", true}, &entry{"a", true}, &entry{"a", true}
	off1, off2, off3 := &entry{"a", false}, &entry{"a", false}, &entry{"a", false}
	b, offB := &entry{"b", true}, &entry{"b", false}
	for _, tt := range []struct {
		name         string
		relays, used []*entry
	}{
		{"all are in rotation", []*entry{a1, a2, b}, []*entry{a1, a2}},
		{"half are", []*entry{a1, off1, b}, []*entry{a1}},
		{"fewer than half are", []*entry{a1, off1, off2, b}, []*entry{a1, off1, off2}},
		{"none is, but elsewhere", []*entry{off1, off2, b, offB}, []*entry{b}},
		{"none is anywhere", []*entry{off1, off2, off3, offB}, []*entry{off1, off2, off3}},
		{"the zone has none", []*entry{b, offB}, []*entry{b}},
		{"most are", []*entry{a1, a2, a3, off1}, []*entry{a1, a2, a3}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			seen := make(map[*entry]bool)
			for port := range uint16(200) {
				key := flow.Key{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), 1024+port), Address: _orders}
				seen[standin.Route(tt.relays, "a", key)] = true
			}
			assert.Equal(t, len(seen), len(tt.used))
			for _, e := range tt.used {
				assert.Assert(t, seen[e])
			}
		})
	}
	assert.Assert(t, standin.Route([]*entry{}, "a", flow.Key{}) == nil)
}
