package sidecar_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/sidecar"
)

// newSilentRig returns a rig with one open flow. The upstream has sent neither packets
// nor heartbeats for 4 s.
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

// TestUpstreamWithoutHeartbeatsKeepsFlowsItAnswers checks that an upstream whose
// heartbeats are lost gets a caller's packet before the flow counts as dead, and keeps
// the flow if it answers.
func TestUpstreamWithoutHeartbeatsKeepsFlowsItAnswers(t *testing.T) {
	r := newSilentRig(t)
	request := encode(flow.ACK, 11, 501, 5, false)
	r.fromRelay(4*time.Second, peer.KindCarry, request)
	assert.Equal(t, len(r.toCaller), 0, "the upstream must get a packet of the flow first")
	assert.Equal(t, len(r.toUpstream), 1)
	r.UpstreamPacket(4*time.Second+time.Millisecond, encode(flow.ACK, 501, 16, 100, true))
	r.clearSent()
	r.fromRelay(4200*time.Millisecond, peer.KindCarry, request)
	assert.Equal(t, len(r.toCaller), 0)
	assert.Equal(t, len(r.toUpstream), 1)
}

// TestFlowOfUnresponsiveUpstreamIsReset checks that the caller gets a reset when it
// repeats a packet that a silent upstream has not answered.
func TestFlowOfUnresponsiveUpstreamIsReset(t *testing.T) {
	r := newSilentRig(t)
	request := encode(flow.ACK, 11, 501, 5, false)
	r.fromRelay(4*time.Second, peer.KindCarry, request)
	r.fromRelay(4*time.Second+time.Millisecond, peer.KindCarry, request)
	assert.Equal(t, len(r.toCaller), 0, "the upstream has had no time to answer")
	r.fromRelay(4200*time.Millisecond, peer.KindCarry, request)
	assert.Equal(t, len(r.toCaller), 1)
}

// TestPlannedStopUnderLoad stops a sidecar that has flows in progress and one waiting
// flow. The waiting flow must go to a peer, the flows at the upstream must be served to
// their end, and no new flow may be accepted.
func TestPlannedStopUnderLoad(t *testing.T) {
	r := newRig(t)
	r.fillUpstream()
	r.PeerMessage(0, mustUpstream(t, peer.UpstreamReport{Sidecar: _peer, Incarnation: 1, Sequence: 1, Service: "orders", State: peer.Ready, Busy: 2, Slots: 2}))
	r.clearSent()
	r.Stop(0)
	assert.Equal(t, r.Waiting(), 0)
	assert.Equal(t, len(r.offers), 1, "the waiting flow must go to the peer")
	assert.Equal(t, r.reports[len(r.reports)-1].State, peer.Draining, "the state must be reported")
	assert.Assert(t, !r.Drained())
	r.clearSent()
	r.offerFromPort(41_000, 9)
	assert.Equal(t, len(r.toUpstream), 0)
	assert.Equal(t, len(r.offers), 1, "a new flow must go to the peer")

	r.clearSent()
	assert.NilError(t, r.sendHeartbeat(10*time.Millisecond, nil))
	for port := uint16(40_000); port < 40_003; port++ {
		portSuffix := []byte{byte(port >> 8), byte(port)}
		r.UpstreamPacket(20*time.Millisecond, append(encode(flow.SYN|flow.ACK, 500, 11, 0, true), portSuffix...))
		r.fromRelay(20*time.Millisecond, peer.KindCarry, append(encode(flow.ACK, 11, 501, 5, false), portSuffix...))
		r.UpstreamPacket(40*time.Millisecond, append(encode(flow.ACK|flow.FIN, 501, 16, 100, true), portSuffix...))
	}
	assert.Equal(t, len(r.toCaller), 6, "consents and replies must reach the callers")
	assert.Assert(t, r.Drained())
	assert.Equal(t, r.Waiting(), 0)
}

// TestStoppedSidecarIsDrainedIfUpstreamHasGone checks that a stopping sidecar does not
// wait for requests at an upstream that has ended.
func TestStoppedSidecarIsDrainedIfUpstreamHasGone(t *testing.T) {
	r := newRig(t)
	r.fillUpstream()
	assert.NilError(t, r.Leave(0, "i-1"))
	r.Stop(0)
	assert.Assert(t, r.Drained())
}

// TestLateReplyOfEarlierFlowWithSameCallerPort delivers a delayed copy of a reply after
// the caller has opened a new flow from the same port. Only the sequence number shows
// that the copy belongs to the earlier flow. The sidecar must not take it for a reply
// on the new flow.
func TestLateReplyOfEarlierFlowWithSameCallerPort(t *testing.T) {
	r := newRig(t)
	assert.NilError(t, r.sendHeartbeat(0, nil))
	r.openFlow(0)
	r.fromRelay(0, peer.KindCarry, encode(flow.ACK, 11, 501, 5, false))
	oldReply := encode(flow.ACK|flow.FIN, 501, 16, 100, true)
	r.UpstreamPacket(time.Millisecond, oldReply)

	const reuseTime = 100 * time.Millisecond
	r.fromRelay(reuseTime, peer.KindOffer, encode(flow.SYN, 900, 0, 0, false))
	r.UpstreamPacket(reuseTime, encode(flow.SYN|flow.ACK, 700_000_000, 901, 0, true))
	r.fromRelay(reuseTime, peer.KindCarry, encode(flow.ACK, 901, 700_000_001, 5, false))
	assert.Equal(t, r.Busy(), 1)
	r.UpstreamPacket(reuseTime, oldReply)
	assert.Equal(t, r.Busy(), 1, "the new request must still be in progress")
	r.clearSent()
	r.fromRelay(reuseTime, peer.KindCarry, encode(flow.ACK, 901, 700_000_001, 5, false))
	assert.Equal(t, len(r.toUpstream), 1, "the new flow must still be open")
}

var _ sidecar.Outbox = (*rig)(nil)
