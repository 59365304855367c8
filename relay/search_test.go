package relay_test

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
)

// newTwoZoneCore returns a core that knows two sidecars in its own zone and one in
// another zone.
func newTwoZoneCore(t *testing.T) *testCore {
	c := newServingCore(t)
	c.sendReportFrom(_afterStartup, _farSidecar, "b", 1, peer.Ready)
	c.clearSent()
	return c
}

var _farSidecar = netip.MustParseAddr("10.2.0.1")

// TestSearchAsksOwnZoneFirst checks that a search for a holder starts with the sidecars
// in the relay's own zone: few flows are placed in other zones, and a service may have
// hundreds of sidecars.
func TestSearchAsksOwnZoneFirst(t *testing.T) {
	packet := encodePacket(flow.ACK, 1, 2, 10)
	ownZone := []string{_firstSidecar.String(), _secondSidecar.String()}
	t.Run("both deny the flow", func(t *testing.T) {
		c := newTwoZoneCore(t)
		c.CallerPacket(_afterStartup, packet)
		assert.DeepEqual(t, c.receivers(peer.KindQuestion), ownZone)
		c.sendVerdict(_afterStartup, _firstSidecar, peer.NotHeld, nil)
		c.clearSent()
		c.sendVerdict(_afterStartup, _secondSidecar, peer.NotHeld, nil)
		assert.DeepEqual(t, c.receivers(peer.KindQuestion), []string{_farSidecar.String()})
		c.sendVerdict(_afterStartup, _farSidecar, peer.Held, nil)
		assert.DeepEqual(t, c.receivers(peer.KindCarry), []string{_farSidecar.String()})
	})
	t.Run("one does not answer", func(t *testing.T) {
		c := newTwoZoneCore(t)
		c.CallerPacket(_afterStartup, packet)
		c.sendVerdict(_afterStartup, _firstSidecar, peer.NotHeld, nil)
		c.clearSent()
		c.Tick(_afterStartup + 10*time.Millisecond)
		assert.Equal(t, len(c.receivers(peer.KindQuestion)), 0)
		c.Tick(_afterStartup + 40*time.Millisecond)
		assert.DeepEqual(t, c.receivers(peer.KindQuestion), []string{_farSidecar.String()})
		c.sendVerdict(_afterStartup+41*time.Millisecond, _farSidecar, peer.Held, nil)
		assert.DeepEqual(t, c.receivers(peer.KindCarry), []string{_farSidecar.String()})
	})
	t.Run("none answers", func(t *testing.T) {
		c := newTwoZoneCore(t)
		c.CallerPacket(_afterStartup, packet)
		c.Tick(_afterStartup + 20*time.Millisecond)
		c.clearSent()
		c.Tick(_afterStartup + 450*time.Millisecond)
		c.CallerPacket(_afterStartup+500*time.Millisecond, packet)
		assert.Equal(t, len(c.receivers(peer.KindQuestion)), 3, "the second search asks all zones at once")
		assert.Equal(t, len(c.toCaller), 0, "the flow may have a holder that did not answer")
	})
}

// TestOpenQuestionsAreBounded sends packets of many unknown flows to a relay whose
// sidecars do not answer. The number of open questions, which buffer the packets, must
// be bounded, and the buffers must be freed when the questions time out.
func TestOpenQuestionsAreBounded(t *testing.T) {
	const flows, maxQuestions = 10_000, 2048
	c := newTwoZoneCore(t)
	// openSearches sends one packet of each flow and returns how many are buffered.
	openSearches := func(now time.Duration) (buffered uint64) {
		before := c.Counts().Dropped
		for port := range uint16(flows) {
			c.CallerPacket(now, binary.BigEndian.AppendUint16(encodePacket(flow.ACK, 1, 2, 10), 1000+port))
			c.clearSent()
		}
		dropped := c.Counts().Dropped - before
		return flows - dropped
	}
	open := openSearches(_afterStartup)
	assert.Assert(t, open > 0 && open <= maxQuestions)
	before := c.Counts().Dropped
	c.Tick(_afterStartup + 450*time.Millisecond)
	assert.Equal(t, c.Counts().Dropped-before, open, "the buffered packets are counted as dropped")
	c.Tick(_afterStartup + 20*time.Second) // the search budget is full again
	assert.Assert(t, openSearches(_afterStartup+20*time.Second) > 0, "new searches are possible again")
}

// TestStartedSearchIsFinished begins as many searches as possible. No further one may
// begin, and those that have begun must be able to go on, so that their cost is not wasted.
func TestStartedSearchIsFinished(t *testing.T) {
	c := newTwoZoneCore(t)
	packet := encodePacket(flow.ACK, 1, 2, 10)
	for port := range uint16(2100) { // more searches than may be open
		if port == 1600 {
			c.CallerPacket(_afterStartup, packet)
		}
		c.CallerPacket(_afterStartup, binary.BigEndian.AppendUint16(packet, 1000+port))
	}
	c.clearSent()
	c.CallerPacket(_afterStartup, binary.BigEndian.AppendUint16(packet, 5000))
	assert.Equal(t, len(c.receivers(peer.KindQuestion)), 0)
	c.sendVerdict(_afterStartup, _firstSidecar, peer.NotHeld, nil)
	c.sendVerdict(_afterStartup, _secondSidecar, peer.Unsure, nil)
	assert.DeepEqual(t, c.receivers(peer.KindTry), []string{_secondSidecar.String()})
	c.sendVerdict(_afterStartup, _secondSidecar, peer.NotHeld, nil)
	assert.DeepEqual(t, c.receivers(peer.KindQuestion), []string{_farSidecar.String()})
	c.sendVerdict(_afterStartup, _farSidecar, peer.NotHeld, nil)
	assert.Equal(t, len(c.toCaller), 1, "the flow has no holder")
}

// TestHolderThatWasNotTriedGetsAllPackets sends a packet of a flow to an unsure sidecar
// while the flow's holder, which was asked but not tried, is slow to answer. The holder
// must get the packet too.
func TestHolderThatWasNotTriedGetsAllPackets(t *testing.T) {
	c := newTwoZoneCore(t)
	c.CallerPacket(_afterStartup, encodePacket(flow.ACK, 1, 2, 10))
	c.sendVerdict(_afterStartup, _firstSidecar, peer.Unsure, nil)
	c.sendVerdict(_afterStartup, _secondSidecar, peer.NotHeld, nil)
	assert.DeepEqual(t, c.receivers(peer.KindTry), []string{_firstSidecar.String()})
	c.Tick(_afterStartup + 20*time.Millisecond)
	c.sendVerdict(_afterStartup+21*time.Millisecond, _farSidecar, peer.Held, nil)
	assert.DeepEqual(t, c.receivers(peer.KindCarry), []string{_farSidecar.String()})
}

// TestFlowsAreResetOnceAllSidecarsAreKnown restarts a relay after a power loss. A flow that
// all sidecars deny must be reset soon, but not as long as another relay has named a
// sidecar that has not reported, or sidecars are still being discovered.
func TestFlowsAreResetOnceAllSidecarsAreKnown(t *testing.T) {
	const ms = time.Millisecond
	for _, tt := range []struct {
		name       string
		at, last   time.Duration // when the packet arrives, and when the last sidecar has reported
		named      []netip.Addr
		isolated   bool
		wantResets int
	}{
		{"all are known", 700 * ms, 100 * ms, nil, false, 1},
		{"the relay has just started", 450 * ms, 100 * ms, nil, false, 0},
		{"a sidecar was discovered a moment ago", 700 * ms, 500 * ms, nil, false, 0},
		{"a named sidecar has not reported", 700 * ms, 100 * ms, []netip.Addr{netip.MustParseAddr("10.3.0.1")}, false, 0},
		{"no other relay is heard", 700 * ms, 100 * ms, nil, true, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newTestCore(t)
			c.setTable(50*ms, 1)
			c.sendReport(60*ms, _firstSidecar, 1, peer.Ready)
			c.sendReport(tt.last, _secondSidecar, 1, peer.Ready)
			other := netip.MustParseAddr("10.0.0.2")
			c.AddRelays(50*ms, []netip.Addr{other})
			report, err := peer.AppendRelay(nil, peer.RelayReport{Relay: other, Incarnation: 1, Sequence: 1, Sidecars: tt.named})
			assert.NilError(t, err)
			if !tt.isolated {
				c.PeerMessage(100*ms, report)
			}
			c.CallerPacket(tt.at, encodePacket(flow.ACK, 1, 2, 10))
			c.sendVerdict(tt.at, _firstSidecar, peer.NotHeld, nil)
			c.sendVerdict(tt.at, _secondSidecar, peer.NotHeld, nil)
			assert.Equal(t, len(c.toCaller), tt.wantResets)
		})
	}
}
