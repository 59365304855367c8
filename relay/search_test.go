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

// newZonesRig knows two sidecars in its zone and one elsewhere.
func newTwoZoneCore(t *testing.T) *testCore {
	r := newServingCore(t)
	r.sendReportFrom(_afterStartup, _farSidecar, "b", 1, peer.Ready)
	r.clearSent()
	return r
}

var _farSidecar = netip.MustParseAddr("10.2.0.1")

// TestSearchAsksOwnZoneFirst looks for the holder of a flow: few flows are placed in
// another zone, and a service may have hundreds of sidecars.
func TestSearchAsksOwnZoneFirst(t *testing.T) {
	packet := encodePacket(flow.ACK, 1, 2, 10)
	near := []string{_firstSidecar.String(), _secondSidecar.String()}
	t.Run("they deny", func(t *testing.T) {
		r := newTwoZoneCore(t)
		r.CallerPacket(_afterStartup, packet)
		assert.DeepEqual(t, r.receivers(peer.KindQuestion), near)
		r.sendVerdict(_afterStartup, _firstSidecar, peer.NotHeld, nil)
		r.clearSent()
		r.sendVerdict(_afterStartup, _secondSidecar, peer.NotHeld, nil)
		assert.DeepEqual(t, r.receivers(peer.KindQuestion), []string{_farSidecar.String()})
		r.sendVerdict(_afterStartup, _farSidecar, peer.Held, nil)
		assert.DeepEqual(t, r.receivers(peer.KindCarry), []string{_farSidecar.String()})
	})
	t.Run("one is silent", func(t *testing.T) {
		r := newTwoZoneCore(t)
		r.CallerPacket(_afterStartup, packet)
		r.sendVerdict(_afterStartup, _firstSidecar, peer.NotHeld, nil)
		r.clearSent()
		r.Tick(_afterStartup + 10*time.Millisecond)
		assert.Equal(t, len(r.receivers(peer.KindQuestion)), 0)
		r.Tick(_afterStartup + 40*time.Millisecond)
		assert.DeepEqual(t, r.receivers(peer.KindQuestion), []string{_farSidecar.String()})
		r.sendVerdict(_afterStartup+41*time.Millisecond, _farSidecar, peer.Held, nil)
		assert.DeepEqual(t, r.receivers(peer.KindCarry), []string{_farSidecar.String()})
	})
	t.Run("all are silent", func(t *testing.T) {
		r := newTwoZoneCore(t)
		r.CallerPacket(_afterStartup, packet)
		r.Tick(_afterStartup + 20*time.Millisecond)
		r.clearSent()
		r.Tick(_afterStartup + 450*time.Millisecond)
		r.CallerPacket(_afterStartup+500*time.Millisecond, packet)
		assert.Equal(t, len(r.receivers(peer.KindQuestion)), 3, "all at once, the second time")
		assert.Equal(t, len(r.toCaller), 0, "silence is no answer")
	})
}

// TestOpenQuestionsAreBounded has packets of many flows that the relay does not know
// and sidecars that do not answer. What they keep must not grow without end, and is
// freed after a while.
func TestOpenQuestionsAreBounded(t *testing.T) {
	const flows, most = 10_000, 2048
	r := newTwoZoneCore(t)
	open := func(now time.Duration) (kept uint64) {
		before := r.Counts().Dropped
		for port := range uint16(flows) {
			r.CallerPacket(now, binary.BigEndian.AppendUint16(encodePacket(flow.ACK, 1, 2, 10), 1000+port))
			r.clearSent()
		}
		dropped := r.Counts().Dropped - before
		return flows - dropped
	}
	assert.Assert(t, open(_afterStartup) <= most)
	before := r.Counts().Dropped
	r.Tick(_afterStartup + 450*time.Millisecond)
	assert.Assert(t, r.Counts().Dropped-before >= most, "what was kept is counted as dropped")
	r.Tick(_afterStartup + 20*time.Second) // the budget of questions is full again
	assert.Assert(t, open(_afterStartup+20*time.Second) > 0, "questions are asked again")
}
