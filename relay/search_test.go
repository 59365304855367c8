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
func newZonesRig(t *testing.T) *rig {
	r := newServingRig(t)
	r.reportFrom(_settled, _elsewhere, "b", 1, peer.Ready)
	r.forget()
	return r
}

var _elsewhere = netip.MustParseAddr("10.2.0.1")

// TestOwnZoneIsAskedFirst looks for the holder of a flow: few flows are placed in
// another zone, and a service may have hundreds of sidecars.
func TestOwnZoneIsAskedFirst(t *testing.T) {
	packet := encode(flow.ACK, 1, 2, 10)
	near := []string{_first.String(), _second.String()}
	t.Run("they deny", func(t *testing.T) {
		r := newZonesRig(t)
		r.CallerPacket(_settled, packet)
		assert.DeepEqual(t, r.sent(peer.KindQuestion), near)
		r.answer(_settled, _first, peer.NotHeld, nil)
		r.forget()
		r.answer(_settled, _second, peer.NotHeld, nil)
		assert.DeepEqual(t, r.sent(peer.KindQuestion), []string{_elsewhere.String()})
		r.answer(_settled, _elsewhere, peer.Held, nil)
		assert.DeepEqual(t, r.sent(peer.KindCarry), []string{_elsewhere.String()})
	})
	t.Run("one is silent", func(t *testing.T) {
		r := newZonesRig(t)
		r.CallerPacket(_settled, packet)
		r.answer(_settled, _first, peer.NotHeld, nil)
		r.forget()
		r.Tick(_settled + 10*time.Millisecond)
		assert.Equal(t, len(r.sent(peer.KindQuestion)), 0)
		r.Tick(_settled + 40*time.Millisecond)
		assert.DeepEqual(t, r.sent(peer.KindQuestion), []string{_elsewhere.String()})
		r.answer(_settled+41*time.Millisecond, _elsewhere, peer.Held, nil)
		assert.DeepEqual(t, r.sent(peer.KindCarry), []string{_elsewhere.String()})
	})
	t.Run("all are silent", func(t *testing.T) {
		r := newZonesRig(t)
		r.CallerPacket(_settled, packet)
		r.Tick(_settled + 20*time.Millisecond)
		r.forget()
		r.Tick(_settled + 450*time.Millisecond)
		r.CallerPacket(_settled+500*time.Millisecond, packet)
		assert.Equal(t, len(r.sent(peer.KindQuestion)), 3, "all at once, the second time")
		assert.Equal(t, len(r.toCaller), 0, "silence is no answer")
	})
}

// TestOpenQuestionsAreBounded has packets of many flows that the relay does not know
// and sidecars that do not answer. What they keep must not grow without end, and is
// freed after a while.
func TestOpenQuestionsAreBounded(t *testing.T) {
	const flows, most = 10_000, 2048
	r := newZonesRig(t)
	open := func(now time.Duration) (kept uint64) {
		before := r.Counts().Dropped
		for port := range uint16(flows) {
			r.CallerPacket(now, binary.BigEndian.AppendUint16(encode(flow.ACK, 1, 2, 10), 1000+port))
			r.forget()
		}
		dropped := r.Counts().Dropped - before
		return flows - dropped
	}
	assert.Assert(t, open(_settled) <= most)
	before := r.Counts().Dropped
	r.Tick(_settled + 450*time.Millisecond)
	assert.Assert(t, r.Counts().Dropped-before >= most, "what was kept is counted as dropped")
	r.Tick(_settled + 20*time.Second) // the budget of questions is full again
	assert.Assert(t, open(_settled+20*time.Second) > 0, "questions are asked again")
}
