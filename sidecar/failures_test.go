package sidecar_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/sidecar"
)

// newSilentRig has an open flow of an upstream that has given no sign of life for 4 s.
func newSilentRig(t *testing.T) *rig {
	r := newRig(t)
	assert.NilError(t, r.sendHeartbeat(0, nil))
	r.openFlow(0)
	for now := time.Duration(0); now < 4*time.Second; now += 20 * time.Millisecond {
		r.Tick(now)
	}
	r.clearSent()
	return r
}

// TestUpstreamWithoutHeartbeatsKeepsFlowsItAnswers stops the heartbeats of an upstream that
// goes on working: a caller's packet must reach it before the flow counts as dead.
func TestUpstreamWithoutHeartbeatsKeepsFlowsItAnswers(t *testing.T) {
	r := newSilentRig(t)
	request := encode(flow.ACK, 11, 501, 5, false)
	r.fromRelay(4*time.Second, peer.KindCarry, request)
	assert.Equal(t, len(r.toCaller), 0, "the upstream was not asked yet")
	assert.Equal(t, len(r.toUpstream), 1)
	r.UpstreamPacket(4*time.Second+time.Millisecond, encode(flow.ACK, 501, 16, 100, true))
	r.clearSent()
	r.fromRelay(4200*time.Millisecond, peer.KindCarry, request)
	assert.Equal(t, len(r.toCaller), 0)
	assert.Equal(t, len(r.toUpstream), 1)
}

// TestFlowOfUnresponsiveUpstreamIsReset is the other case: the repeated packet
// ends the flow.
func TestFlowOfUnresponsiveUpstreamIsReset(t *testing.T) {
	r := newSilentRig(t)
	request := encode(flow.ACK, 11, 501, 5, false)
	r.fromRelay(4*time.Second, peer.KindCarry, request)
	r.fromRelay(4*time.Second+time.Millisecond, peer.KindCarry, request)
	assert.Equal(t, len(r.toCaller), 0, "the upstream has had no time to answer")
	r.fromRelay(4200*time.Millisecond, peer.KindCarry, request)
	assert.Equal(t, len(r.toCaller), 1)
}

// TestPlannedStopUnderLoad stops a sidecar with flows open, just given and waiting:
// what waits goes to a peer, what the upstream has is carried to its end, and no new
// flow is taken.
func TestPlannedStopUnderLoad(t *testing.T) {
	r := newRig(t)
	r.fillUpstream()
	r.PeerMessage(0, mustUpstream(t, peer.UpstreamReport{Sidecar: _peer, Incarnation: 1, Sequence: 1, Service: "orders", State: peer.Ready, Busy: 2, Slots: 2}))
	r.clearSent()
	r.Stop(0)
	assert.Equal(t, r.Waiting(), 0)
	assert.Equal(t, len(r.offers), 1, "what waited goes to the peer")
	assert.Equal(t, r.reports[len(r.reports)-1].State, peer.Draining, "others are told")
	assert.Assert(t, !r.Drained())
	r.clearSent()
	r.offerFromPort(41_000, 9)
	assert.Equal(t, len(r.toUpstream), 0)
	assert.Equal(t, len(r.offers), 1, "a new flow goes to the peer")

	r.clearSent()
	assert.NilError(t, r.sendHeartbeat(10*time.Millisecond, nil))
	for port := uint16(40_000); port < 40_003; port++ {
		end := []byte{byte(port >> 8), byte(port)}
		r.UpstreamPacket(20*time.Millisecond, append(encode(flow.SYN|flow.ACK, 500, 11, 0, true), end...))
		r.fromRelay(20*time.Millisecond, peer.KindCarry, append(encode(flow.ACK, 11, 501, 5, false), end...))
		r.UpstreamPacket(40*time.Millisecond, append(encode(flow.ACK|flow.FIN, 501, 16, 100, true), end...))
	}
	assert.Equal(t, len(r.toCaller), 6, "consents and answers reach the callers")
	assert.Assert(t, r.Drained())
	assert.Equal(t, r.Waiting(), 0)
}

// TestStoppedSidecarIsDrainedIfUpstreamHasGone has nothing to wait for.
func TestStoppedSidecarIsDrainedIfUpstreamHasGone(t *testing.T) {
	r := newRig(t)
	r.fillUpstream()
	assert.NilError(t, r.Leave(0, "i-1"))
	r.Stop(0)
	assert.Assert(t, r.Drained())
}

// TestLateReplyOfEarlierFlowWithSameCallerPort plays a caller that uses its port again while
// a late copy of an earlier answer is on its way. Only the ends can tell the two
// apart, by their numbers; the sidecar must not take the late copy for an answer of
// the new flow.
func TestLateReplyOfEarlierFlowWithSameCallerPort(t *testing.T) {
	r := newRig(t)
	assert.NilError(t, r.sendHeartbeat(0, nil))
	r.openFlow(0)
	r.fromRelay(0, peer.KindCarry, encode(flow.ACK, 11, 501, 5, false))
	old := encode(flow.ACK|flow.FIN, 501, 16, 100, true)
	r.UpstreamPacket(time.Millisecond, old)

	const again = 100 * time.Millisecond
	r.fromRelay(again, peer.KindOffer, encode(flow.SYN, 900, 0, 0, false))
	r.UpstreamPacket(again, encode(flow.SYN|flow.ACK, 700_000_000, 901, 0, true))
	r.fromRelay(again, peer.KindCarry, encode(flow.ACK, 901, 700_000_001, 5, false))
	assert.Equal(t, r.Busy(), 1)
	r.UpstreamPacket(again, old)
	assert.Equal(t, r.Busy(), 1, "the new request still runs")
	r.clearSent()
	r.fromRelay(again, peer.KindCarry, encode(flow.ACK, 901, 700_000_001, 5, false))
	assert.Equal(t, len(r.toUpstream), 1, "the new flow has not ended")
}

var _ sidecar.Outbox = (*rig)(nil)
