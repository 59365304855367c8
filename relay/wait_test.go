package relay_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/peer"
)

// reportLoad reports a load at a sidecar of a zone with a mean run time of 20 ms.
func (c *testCore) reportLoad(now time.Duration, addr netip.Addr, zone string, busy, slowdown uint16) {
	b, err := peer.AppendUpstream(nil, peer.UpstreamReport{
		Sidecar: addr, Incarnation: 1, Sequence: uint64(now), Service: "orders", Zone: zone, State: peer.Ready, Slots: 2,
		Busy: busy, Slowdown: slowdown, RunTime: uint16(20 * time.Millisecond / peer.RunTimeUnit),
	})
	assert.NilError(c.t, err)
	c.PeerMessage(now, b)
}

// firstOffer sends an opening packet and returns the sidecar to which it is offered.
func (c *testCore) firstOffer(now time.Duration) string {
	c.clearSent()
	c.CallerPacket(now, openingFrom(1000, 0))
	return c.receivers(peer.KindOffer)[0]
}

// TestChoiceByWait checks which upstream gets an opening, with the setting and without it. Without it, the
// choice must not depend on run times, slowdowns and measured round trips.
func TestChoiceByWait(t *testing.T) {
	for name, test := range map[string]struct {
		enabled                 bool
		busy, farBusy, slowdown uint16
		want                    netip.Addr
		crossings               uint64
	}{
		"the other zone saves less than the crossing costs": {enabled: true, busy: 1, want: _firstSidecar},
		"the other zone saves more":                         {enabled: true, busy: 6, want: _farSidecar, crossings: 1},
		"the own upstream is slow":                          {enabled: true, slowdown: 400, want: _farSidecar, crossings: 1},
		"it is slow, but the others have a long wait":       {enabled: true, slowdown: 400, farBusy: 12, want: _firstSidecar},
		"without the setting":                               {slowdown: 400, want: _firstSidecar},
		"without the setting, at full utilization":          {busy: 3, want: _farSidecar, crossings: 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := newPriorityCore(t, test.enabled)
			c.reportLoad(_afterStartup, _firstSidecar, "a", test.busy, test.slowdown)
			c.reportLoad(_afterStartup, _farSidecar, "b", test.farBusy, 100)
			assert.Equal(t, c.firstOffer(_afterStartup), test.want.String())
			assert.Equal(t, c.Counts().Crossings, test.crossings)
		})
	}
}

// TestOverloadedZoneIsAvoided lets a sidecar of the own zone refuse an opening. The next offer must go to another zone,
// although other upstreams of the own zone have the same load.
func TestOverloadedZoneIsAvoided(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		c := newPriorityCore(t, enabled)
		for _, addr := range []netip.Addr{_firstSidecar, _secondSidecar} {
			c.reportLoad(_afterStartup, addr, "a", 2, 100)
		}
		c.reportLoad(_afterStartup, _farSidecar, "b", 2, 100)
		first := netip.MustParseAddr(c.firstOffer(_afterStartup))
		assert.Assert(t, first != _farSidecar)
		c.clearSent()
		key := _key
		key.Caller = netip.AddrPortFrom(key.Caller.Addr(), 1000)
		c.PeerMessage(_afterStartup, peer.Verdict{
			Outcome: peer.Overloaded, Sidecar: first, Flow: key, Busy: 2, Slots: 2, Packet: openingFrom(1000, 0),
		}.Append(nil))
		assert.Equal(t, c.receivers(peer.KindOffer)[0] == _farSidecar.String(), enabled)
	}
}

// TestCrossingUsesMeasuredRoundTrip measures round trips of 0.2 ms and 10.2 ms to the own and to another zone. The
// opening must stay in the own zone at a load at which it would leave without samples.
func TestCrossingUsesMeasuredRoundTrip(t *testing.T) {
	for _, measured := range []bool{false, true} {
		c := newPriorityCore(t, true)
		now := _afterStartup
		for i := range 200 {
			if !measured {
				break
			}
			own := i%2 == 0
			c.reportLoad(now, _firstSidecar, "a", uint16(20*(i%2)), 100)
			c.reportLoad(now, _farSidecar, "b", uint16(20*(1-i%2)), 100)
			c.clearSent()
			c.CallerPacket(now, openingFrom(2000+i, 0))
			to := netip.MustParseAddr(c.receivers(peer.KindOffer)[0])
			assert.Equal(t, to == _firstSidecar, own)
			took := 10200 * time.Microsecond
			if own {
				took = 200 * time.Microsecond
			}
			key := _key
			key.Caller = netip.AddrPortFrom(key.Caller.Addr(), uint16(2000+i))
			c.PeerMessage(now+took, peer.Verdict{Outcome: peer.Accepted, Sidecar: to, Flow: key, Busy: 1, Slots: 2}.Append(nil))
			now += 20 * time.Millisecond
			c.Tick(now)
		}
		c.reportLoad(now+1, _firstSidecar, "a", 3, 100)
		c.reportLoad(now+1, _farSidecar, "b", 0, 100)
		want := _farSidecar
		if measured {
			want = _firstSidecar
		}
		assert.Equal(t, c.firstOffer(now+1), want.String())
	}
}
