package relay_test

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/directory"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/relay"
)

// _urgentAddress is the address of a second route to the service of _address, whose priority
// is 0. That of _address is 2.
var _urgentAddress = netip.MustParseAddrPort("198.18.0.2:443")

// newPriorityCore returns a core that knows two routes of different priorities and two
// sidecars, which have reported the given values of NoRoomFrom.
func newPriorityCore(t *testing.T, enabled bool, noRoomFrom ...uint8) *testCore {
	c := &testCore{t: t}
	identity := relay.Identity{Addr: _selfRelay, Zone: "a", Incarnation: 1}
	c.Core = relay.NewCore(identity, testWire{}, c, 1000, rand.New(rand.NewPCG(1, 1)), relay.WithPriorityAdmission(enabled))
	shares := []directory.Share{{Service: "orders", Weight: 1}}
	c.SetTable(_afterStartup, directory.New(1, 0, []directory.Route{
		{Address: _address, Shares: shares, Priority: 2}, {Address: _urgentAddress, Shares: shares},
	}), "test")
	for i, from := range noRoomFrom {
		c.reportRoom(_afterStartup, []netip.Addr{_firstSidecar, _secondSidecar}[i], 1, from)
	}
	c.Tick(_afterStartup)
	c.clearSent()
	return c
}

func (c *testCore) reportRoom(now time.Duration, addr netip.Addr, sequence uint64, noRoomFrom uint8) {
	b, err := peer.AppendUpstream(nil, peer.UpstreamReport{
		Sidecar: addr, Incarnation: 1, Sequence: sequence, Service: "orders", Zone: "a", State: peer.Ready, Slots: 2, NoRoomFrom: noRoomFrom,
	})
	assert.NilError(c.t, err)
	c.PeerMessage(now, b)
}

// openFlows sends the first copies of the opening packets of count flows, from different ports.
func (c *testCore) openFlows(now time.Duration, count int) {
	for port := range count {
		c.CallerPacket(now, openingFrom(1000+port, 0))
	}
}

// openingFrom returns the given copy of the opening packet of a flow, the first being 0.
func openingFrom(port int, copies uint32) []byte {
	return binary.BigEndian.AppendUint16(encodePacket(flow.SYN, 10, copies, 0), uint16(port))
}

// TestNoRoomIsRefusedAtOnce sends openings of priority 2 while sidecars report which
// priorities have no capacity. If none has capacity for the priority, callers must get resets
// without offers, except about one in 20, which tests whether the reports are right.
func TestNoRoomIsRefusedAtOnce(t *testing.T) {
	const flows = 400
	for name, test := range map[string]struct {
		from          []uint8
		disabled      bool
		late, refused bool
	}{
		"none has capacity":                    {from: []uint8{3, 1}, refused: true},
		"capacity for all":                     {from: []uint8{0, 0}},
		"only for less important ones is none": {from: []uint8{4, 4}},
		"one sidecar of an older build":        {from: []uint8{3, 0}},
		"reports older than 1 s":               {from: []uint8{3, 3}, late: true},
		"without the setting":                  {from: []uint8{3, 3}, disabled: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newPriorityCore(t, !test.disabled, test.from...)
			now := _afterStartup + time.Second
			if test.late {
				now += time.Millisecond
			}
			c.Tick(now) // the ticks before were not delayed, so the openings are not stale
			c.runUntil(now, now+100*time.Millisecond)
			if !test.late { // the reports are repeated so that they are fresh
				for i, from := range test.from {
					c.reportRoom(now, []netip.Addr{_firstSidecar, _secondSidecar}[i], 2, from)
				}
			}
			c.clearSent()
			c.openFlows(now+80*time.Millisecond, flows)
			counts := c.Counts()
			offered := len(c.receivers(peer.KindOffer))
			assert.Equal(t, len(c.toCaller), int(counts.NoRoom))
			assert.Equal(t, offered+int(counts.NoRoom), flows)
			if !test.refused {
				assert.Equal(t, offered, flows)
				return
			}
			assert.Equal(t, offered, int(counts.Probes))
			assert.Assert(t, offered > flows/40 && offered < flows/10, "%d offers", offered)
			last := c.decisions[len(c.decisions)-1]
			assert.Equal(t, last.Action, decision.Reset)
			assert.Equal(t, last.Reason, "no_room")
			assert.Equal(t, last.Service, "orders")
		})
	}
}

// TestUpstreamWithoutRoomGetsNoOffer lets one of two sidecars report that it has no capacity.
// All openings must go to the other one.
func TestUpstreamWithoutRoomGetsNoOffer(t *testing.T) {
	c := newPriorityCore(t, true, 1, 4)
	c.openFlows(_afterStartup, 50)
	for _, to := range c.receivers(peer.KindOffer) {
		assert.Equal(t, to, _secondSidecar.String())
	}
	assert.Equal(t, len(c.receivers(peer.KindOffer)), 50)
}

// TestNoRoomDoesNotResetFlowsThatMayBeOpen guards against resets of flows whose opening packet
// another relay, or this one, may have delivered to an upstream before.
func TestNoRoomDoesNotResetFlowsThatMayBeOpen(t *testing.T) {
	const flows = 100
	t.Run("repeated by the caller", func(t *testing.T) {
		c := newPriorityCore(t, true, 3, 3)
		for port := range flows {
			c.CallerPacket(_afterStartup, openingFrom(1000+port, 1))
		}
		assert.Equal(t, len(c.toCaller), 0)
		assert.Equal(t, len(c.receivers(peer.KindOffer)), flows)
	})
	t.Run("after a stall", func(t *testing.T) {
		c := newPriorityCore(t, true, 3, 3)
		c.openFlows(_afterStartup+300*time.Millisecond, flows)
		assert.Equal(t, len(c.toCaller), 0)
	})
	t.Run("offered before", func(t *testing.T) {
		c := newPriorityCore(t, true, 0, 0)
		c.openFlows(_afterStartup, flows)
		c.reportRoom(_afterStartup, _firstSidecar, 2, 3)
		c.reportRoom(_afterStartup, _secondSidecar, 2, 3)
		c.openFlows(_afterStartup+time.Millisecond, flows)
		assert.Equal(t, len(c.toCaller), 0)
	})
	t.Run("open through another relay", func(t *testing.T) {
		c := newPriorityCore(t, true, 3, 3)
		for port := range flows {
			c.CallerPacket(_afterStartup, binary.BigEndian.AppendUint16(encodePacket(flow.ACK, 11, 501, 9), uint16(1000+port)))
		}
		c.openFlows(_afterStartup, flows)
		assert.Equal(t, len(c.toCaller), 0)
	})
	t.Run("while the relay starts", func(t *testing.T) {
		c := newPriorityCore(t, true)
		c.Tick(time.Second)
		c.reportRoom(time.Second, _firstSidecar, 1, 3)
		c.openFlows(time.Second, flows)
		assert.Equal(t, len(c.toCaller), 0)
		assert.Equal(t, len(c.receivers(peer.KindOffer)), flows)
	})
}

// TestNoRoomIsNotSharedWithinZone guards against messages to all relays of a zone for each of
// thousands of refusals a second. The arrival of the first try must still count for a retry
// at the same relay.
func TestNoRoomIsNotSharedWithinZone(t *testing.T) {
	c := newPriorityCore(t, true, 3, 3)
	report, err := peer.AppendRelay(nil, peer.RelayReport{Relay: _otherRelay, Incarnation: 1, Sequence: 1, Zone: "a"})
	assert.NilError(t, err)
	c.PeerMessage(_afterStartup, report)
	c.openFlows(_afterStartup, 1)
	assert.Equal(t, c.Counts().NoRoom, uint64(1))
	assert.Equal(t, len(c.receivers(peer.KindRefusal)), 0)
	c.reportRoom(_afterStartup, _firstSidecar, 2, 0)
	c.CallerPacket(_afterStartup+10*time.Millisecond, openingFrom(2000, 0))
	assert.DeepEqual(t, c.offersWaited(t), []time.Duration{10 * time.Millisecond})
}

// TestOverloadedWithoutRoomEndsOffer lets a sidecar answer Overloaded. If no other sidecar has
// capacity for the priority, the caller must get its reset after this one offer; otherwise
// the relay goes on with a last resort, as without reports of capacity.
func TestOverloadedWithoutRoomEndsOffer(t *testing.T) {
	syn := encodePacket(flow.SYN, 10, 0, 0)
	for name, test := range map[string]struct {
		other, copies uint8
		ends          bool
	}{
		"no other has capacity":        {other: 3, ends: true},
		"another has capacity":         {other: 4},
		"another of an older build":    {other: 0},
		"the caller has sent a repeat": {other: 3, copies: 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := newPriorityCore(t, true, 0, 4)
			c.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, uint32(test.copies), 0))
			to := netip.MustParseAddr(c.receivers(peer.KindOffer)[0])
			other := _firstSidecar
			if to == _firstSidecar {
				other = _secondSidecar
			}
			c.reportRoom(_afterStartup, other, 2, test.other)
			c.clearSent()
			c.sendVerdict(_afterStartup, to, peer.Overloaded, syn)
			assert.Equal(t, len(c.toCaller) == 1, test.ends)
			assert.Equal(t, len(c.receivers(peer.KindOffer)) == 0, test.ends)
		})
	}
}

// TestNoResetWithoutAnswerForLackOfRoom loses the answer to a first offer, after which no
// sidecar has capacity. The flow may be open, so the caller must get no reset.
func TestNoResetWithoutAnswerForLackOfRoom(t *testing.T) {
	c := newPriorityCore(t, true, 0, 0)
	c.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, 0, 0))
	c.reportRoom(_afterStartup, _firstSidecar, 2, 3)
	c.reportRoom(_afterStartup, _secondSidecar, 2, 3)
	c.runUntil(_afterStartup, _afterStartup+100*time.Millisecond)
	offers := c.receivers(peer.KindOffer)
	assert.Equal(t, len(offers), 2)
	c.sendVerdict(_afterStartup+100*time.Millisecond, netip.MustParseAddr(offers[1]), peer.Overloaded, encodePacket(flow.SYN, 10, 0, 0))
	assert.Equal(t, len(c.toCaller), 0)
}

// TestOpenFlowsDoNotAllocate guards against allocations for packets of open flows while openings
// are refused.
func TestOpenFlowsDoNotAllocate(t *testing.T) {
	c := relay.NewCore(relay.Identity{Addr: _selfRelay, Zone: "a", Incarnation: 1}, testWire{}, &discardOutbox{}, 1000,
		rand.New(rand.NewPCG(1, 1)), relay.WithPriorityAdmission(true))
	c.PeerMessage(0, peer.Verdict{Outcome: peer.Accepted, Sidecar: _firstSidecar, Flow: _key, Slots: 2}.Append(nil))
	packet := encodeLongPacket(1200)
	assert.Equal(t, testing.AllocsPerRun(100, func() { c.CallerPacket(0, packet) }), 0.0)
}

// BenchmarkNoRoom measures the refusal of an opening for whose priority none of 49 upstreams has
// capacity, without the setting an offer to one of them.
func BenchmarkNoRoom(b *testing.B) {
	for name, enabled := range map[string]bool{"refused": true, "offered": false} {
		b.Run(name, func(b *testing.B) {
			c := relay.NewCore(relay.Identity{Addr: _selfRelay, Zone: "a", Incarnation: 1}, testWire{}, &discardOutbox{}, 1000,
				rand.New(rand.NewPCG(1, 1)), relay.WithPriorityAdmission(enabled))
			shares := []directory.Share{{Service: "orders", Weight: 1}}
			c.SetTable(_afterStartup, directory.New(1, 0, []directory.Route{
				{Address: _address, Shares: shares, Priority: 2}, {Address: _urgentAddress, Shares: shares},
			}), "test")
			for i := range byte(49) {
				report, err := peer.AppendUpstream(nil, peer.UpstreamReport{
					Sidecar: netip.AddrFrom4([4]byte{10, 2, 0, i}), Incarnation: 1, Sequence: 1, Service: "orders", Zone: "a",
					State: peer.Ready, Slots: 2, NoRoomFrom: 3,
				})
				assert.NilError(b, err)
				c.PeerMessage(_afterStartup, report)
			}
			opening := openingFrom(0, 0)
			b.ReportAllocs()
			for port := uint16(1); b.Loop(); port++ {
				binary.BigEndian.PutUint16(opening[10:], port)
				c.CallerPacket(_afterStartup, opening)
			}
		})
	}
}
