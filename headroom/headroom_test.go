package headroom_test

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"dandelionhitch.example/headroom"
)

// upstream returns an eligible upstream of "orders" with 2 slots and 50 ms of run time.
func upstream(host byte, zone string, busy, noRoomFrom int) headroom.Upstream {
	return headroom.Upstream{
		Sidecar: netip.AddrFrom4([4]byte{10, 0, 0, host}), Service: "orders", Zone: zone, State: "ready",
		Eligible: true, Busy: busy, Slots: 2, RunTimeMs: 50, NoRoomFrom: noRoomFrom,
	}
}

func report(upstreams ...headroom.Upstream) headroom.Report {
	return headroom.Report{Version: 3, Services: []headroom.Service{{Name: "orders", Priorities: []int{1, 2}}}, Upstreams: upstreams}
}

// TestRowsByPriority guards against room that is counted at upstreams that report no capacity for the
// priority, that get no new flows, or against the use of a report that is too old to tell.
func TestRowsByPriority(t *testing.T) {
	draining, old := upstream(3, "a", 0, 0), upstream(4, "b", 0, 1)
	draining.Eligible = false
	old.NoRoomAgeMs = 1001
	table := headroom.NewTable(report(upstream(1, "a", 1, 0), upstream(2, "a", 0, 3), draining, old), headroom.Loss{})
	var got [][]int
	for _, r := range table.Rows {
		got = append(got, []int{*r.Priority, r.Known, r.Upstreams, r.WithRoom, r.Slots, r.Load, r.Room})
	}
	assert.DeepEqual(t, got, [][]int{
		{1, 3, 2, 2, 4, 1, 3},
		{2, 3, 2, 1, 4, 1, 1},
		{1, 1, 1, 1, 2, 0, 2},
		{2, 1, 1, 1, 2, 0, 2},
	})
	assert.Assert(t, cmp.Len(table.Without, 0))
}

// TestLoss checks what is refused without a zone, without some upstreams, and without all.
func TestLoss(t *testing.T) {
	r := report(upstream(1, "a", 2, 0), upstream(2, "a", 2, 0), upstream(3, "b", 1, 0), upstream(4, "b", 0, 3))
	for _, tt := range []struct {
		name                             string
		loss                             headroom.Loss
		lost, moved, withoutSlot         int
		refused, refusedLess, perSecond2 int
	}{
		{"zone", headroom.Loss{Zone: "a"}, 2, 4, 1, 1, 3, 60},
		{"quiet zone", headroom.Loss{Zone: "b"}, 2, 1, 1, 1, 1, 20},
		{"one", headroom.Loss{Upstreams: 1}, 1, 2, 0, 0, 1, 20},
		{"zone and one", headroom.Loss{Zone: "a", Upstreams: 1}, 3, 5, 3, 3, 5, 100},
		{"more than all", headroom.Loss{Upstreams: 9}, 4, 5, 5, 5, 5, 100},
	} {
		t.Run(tt.name, func(t *testing.T) {
			without := headroom.NewTable(r, tt.loss).Without
			assert.Assert(t, cmp.Len(without, 1))
			e := without[0]
			got := []int{e.Lost, e.Moved, e.WithoutSlot, e.Priorities[0].RefusedAtMost, e.Priorities[1].RefusedAtMost, int(e.Priorities[1].RefusedPerSecond)}
			assert.DeepEqual(t, got, []int{tt.lost, tt.moved, tt.withoutSlot, tt.refused, tt.refusedLess, tt.perSecond2})
		})
	}
}

// TestMergeFreshest checks that the freshest entry for a sidecar and the services of the
// highest version count, in whichever order the relays answer.
func TestMergeFreshest(t *testing.T) {
	fresh, stale := upstream(1, "a", 2, 2), upstream(1, "a", 0, 0)
	// The load of the fresh entry is of an answer to an offer, which does not tell NoRoomFrom.
	stale.AgeMs, stale.NoRoomFrom, stale.NoRoomAgeMs, fresh.NoRoomAgeMs = 40, 3, 40, 90
	newer, older := report(stale), report(fresh, upstream(2, "b", 0, 0))
	older.Version, older.Services = 2, nil
	for _, merged := range []headroom.Report{headroom.Merge(newer, older), headroom.Merge(older, newer)} {
		assert.Assert(t, cmp.Len(merged.Upstreams, 2))
		assert.Equal(t, merged.Upstreams[0].Busy, 2)
		assert.Equal(t, merged.Upstreams[0].NoRoomFrom, 3)
		assert.DeepEqual(t, merged.Services, newer.Services)
	}
}

// TestServiceWithoutRouteOrUpstream guards against services that are missing in the table.
func TestServiceWithoutRouteOrUpstream(t *testing.T) {
	u := upstream(1, "a", 1, 0)
	u.Service = "photos"
	table := headroom.NewTable(report(u), headroom.Loss{Zone: "a"})
	assert.Assert(t, cmp.Len(table.Rows, 3))
	assert.Equal(t, table.Rows[0].Upstreams, 0)
	assert.Assert(t, table.Rows[2].Priority == nil)
	assert.Equal(t, table.Without[1].Priorities[0].RefusedAtMost, 1)
}

// BenchmarkNewTable calculates the loss of a zone of a fleet of 1,000 upstreams.
func BenchmarkNewTable(b *testing.B) {
	var upstreams []headroom.Upstream
	for i := range 1000 {
		u := upstream(0, string(rune('a'+i%3)), i%5, i%4)
		u.Sidecar = netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
		upstreams = append(upstreams, u)
	}
	r := report(upstreams...)
	for b.Loop() {
		headroom.NewTable(headroom.Merge(r, r), headroom.Loss{Zone: "a", Upstreams: 10})
	}
}
