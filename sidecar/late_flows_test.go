package sidecar_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/directory"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
)

// newTargetRig returns a rig whose upstream has 2 slots and 3 requests in progress. Its route has a target
// latency of 300 ms and a timeout of 3 s.
func newTargetRig(t *testing.T) *rig {
	r := newRig(t)
	r.SetTable(0, directory.New(2, 0, []directory.Route{
		{Address: _address, Shares: []directory.Share{{Service: "orders", Weight: 1}}, TargetLatency: 300 * time.Millisecond, Timeout: 3 * time.Second},
	}), "test")
	assert.NilError(t, r.sendHeartbeat(0, nil))
	for port := uint16(40_000); port < 40_003; port++ {
		suffix := []byte{byte(port >> 8), byte(port)}
		r.offerLastResort(time.Millisecond, port)
		r.UpstreamPacket(time.Millisecond, append(encode(flow.SYN|flow.ACK, 500, 11, 0, true), suffix...))
		r.fromRelay(time.Millisecond, peer.KindCarry, append(encode(flow.ACK, 11, 501, 5, false), suffix...))
	}
	return r
}

// offerLastResort offers a flow that the relay has offered to other sidecars before. It
// returns the sidecar's verdict.
func (r *rig) offerLastResort(now time.Duration, port uint16) peer.Outcome {
	r.verdicts = nil
	packet := append(encode(flow.SYN, 10, 0, 0, false), byte(port>>8), byte(port))
	r.PeerMessage(now, peer.Carried{
		Kind: peer.KindOffer, LastResort: true, Origin: _relay, Service: peer.NewServiceID("orders"), Version: 2, Packet: packet,
	}.Append(nil))
	return r.verdicts[0].Outcome
}

// TestLateFlowsDoNotDelayOthers guards against a queue of flows that were accepted as a last
// resort and cannot be answered in time. They were served by age before flows that could
// still be in time, so that nearly all flows were late.
func TestLateFlowsDoNotDelayOthers(t *testing.T) {
	r := newTargetRig(t)
	waiting := 0
	for waiting < 60 && r.offerLastResort(time.Millisecond, 41_000+uint16(waiting)) == peer.Accepted {
		waiting++
	}
	// Requests end every 10 ms, so 26 flows start within the 262 ms until the latest start for
	// an answer in time.
	inTime := int(r.verdicts[0].Busy) - r.Busy()
	assert.Assert(t, inTime >= 24 && inTime <= 27, "%d of %d waiting flows count as in time", inTime, waiting)
	assert.Assert(t, waiting > inTime+5, "%d flows wait", waiting)
}

// TestLateFlowsAreRefusedWithoutFreeSlots guards against late flows that wait until their
// latest start for a free slot that never comes under sustained overload. In a recorded run,
// nearly all of 20,000 requests that ended at their deadline did so because of this.
func TestLateFlowsAreRefusedWithoutFreeSlots(t *testing.T) {
	r := newTargetRig(t)
	for port := range uint16(60) {
		r.offerLastResort(time.Millisecond, 41_000+port)
	}
	for now := 20 * time.Millisecond; now <= 400*time.Millisecond; now += 20 * time.Millisecond {
		r.Tick(now)
	}
	assert.Assert(t, r.Waiting() <= 3, "%d flows wait although none has started for 400 ms", r.Waiting())
	for now := 400 * time.Millisecond; now <= 1400*time.Millisecond; now += 20 * time.Millisecond {
		r.Tick(now)
	}
	accepted := 0
	for port := range uint16(60) {
		if r.offerLastResort(1400*time.Millisecond, 42_000+port) == peer.Accepted {
			accepted++
		}
	}
	inTime := int(r.verdicts[0].Busy) - r.Busy()
	assert.Assert(t, accepted-inTime <= 2, "%d late flows wait", accepted-inTime)
}

// TestUpstreamThatBouncesOpeningsIsSuspected guards against a fault seen in a recorded run:
// an upstream had gone, and its VM bounced each opening packet at once. Its sidecar reported
// no load and attracted thousands of flows a second.
func TestUpstreamThatBouncesOpeningsIsSuspected(t *testing.T) {
	r := newRig(t)
	assert.NilError(t, r.sendHeartbeat(0, nil))
	state := func() peer.State { return r.reports[len(r.reports)-1].State }
	bounce := func(now time.Duration, port uint16) {
		suffix := []byte{byte(port >> 8), byte(port)}
		r.fromRelay(now, peer.KindOffer, append(encode(flow.SYN, 10, 0, 0, false), suffix...))
		r.UpstreamPacket(now, append(encode(flow.SYN|flow.Bounced, 10, 0, 0, false), suffix...))
	}
	bounce(30*time.Millisecond, 40_000)
	r.request(60*time.Millisecond, 40_001, flow.ACK|flow.FIN, 100)
	bounce(90*time.Millisecond, 40_002)
	assert.Equal(t, state(), peer.Ready, "a consent in between must end the row")
	bounce(120*time.Millisecond, 40_003)
	assert.Equal(t, state(), peer.Suspect)
	r.clearSent()
	r.fromRelay(150*time.Millisecond, peer.KindOffer, encode(flow.SYN, 99, 0, 0, false))
	r.assertOnlyVerdict(peer.Refused)
	assert.NilError(t, r.sendHeartbeat(700*time.Millisecond, nil))
	assert.Equal(t, state(), peer.Ready)
	bounce(730*time.Millisecond, 40_004)
	assert.Equal(t, state(), peer.Suspect, "one more bounce must be enough after a suspicion")
}

// TestFullUpstreamMayBounceOpenings checks that bounces are no sign of a fault while all slots
// are in use.
func TestFullUpstreamMayBounceOpenings(t *testing.T) {
	r := newTargetRig(t)
	suffix := []byte{0x9c, 0x40} // port 40000
	r.UpstreamPacket(time.Millisecond, append(encode(flow.ACK|flow.FIN, 501, 16, 100, true), suffix...))
	for i := range uint16(2) {
		now := time.Duration(30+30*i) * time.Millisecond
		port := 43_000 + i
		r.offerLastResort(now, port)
		r.UpstreamPacket(now, append(encode(flow.SYN|flow.Bounced, 10, 0, 0, false), byte(port>>8), byte(port)))
	}
	assert.Equal(t, r.reports[len(r.reports)-1].State, peer.Ready)
}
