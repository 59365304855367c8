package standin_test

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/standin"
)

// fakeRelay implements standin.Relay.
type fakeRelay struct {
	zone  string
	ready bool
}

func (e *fakeRelay) InZone(zone string) bool { return e.zone == zone }
func (e *fakeRelay) InRotation() bool        { return e.ready }

// TestRoute routes many flows from a router in the zone named a. The flows must reach all
// of the relays that Route's rules allow, and no others.
func TestRoute(t *testing.T) {
	a1, a2, a3 := &fakeRelay{"a", true}, &fakeRelay{"a", true}, &fakeRelay{"a", true}
	off1, off2, off3 := &fakeRelay{"a", false}, &fakeRelay{"a", false}, &fakeRelay{"a", false}
	b, offB := &fakeRelay{"b", true}, &fakeRelay{"b", false}
	for _, tt := range []struct {
		name         string
		relays, used []*fakeRelay
	}{
		{"all in rotation", []*fakeRelay{a1, a2, b}, []*fakeRelay{a1, a2}},
		{"half in rotation", []*fakeRelay{a1, off1, b}, []*fakeRelay{a1}},
		{"fewer than half in rotation", []*fakeRelay{a1, off1, off2, b}, []*fakeRelay{a1, off1, off2}},
		{"in rotation only in another zone", []*fakeRelay{off1, off2, b, offB}, []*fakeRelay{b}},
		{"none in rotation in any zone", []*fakeRelay{off1, off2, off3, offB}, []*fakeRelay{off1, off2, off3}},
		{"no relay in the zone", []*fakeRelay{b, offB}, []*fakeRelay{b}},
		{"most in rotation", []*fakeRelay{a1, a2, a3, off1}, []*fakeRelay{a1, a2, a3}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			chosen := make(map[*fakeRelay]bool)
			for port := range uint16(200) {
				key := flow.Key{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), 1024+port), Address: _ordersAddr}
				chosen[standin.Route(tt.relays, "a", key)] = true
			}
			assert.Equal(t, len(chosen), len(tt.used))
			for _, e := range tt.used {
				assert.Assert(t, chosen[e])
			}
		})
	}
	assert.Assert(t, standin.Route([]*fakeRelay{}, "a", flow.Key{}) == nil)
}
