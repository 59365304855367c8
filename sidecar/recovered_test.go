package sidecar_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/directory"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/sidecar"
)

// newRestartedRig returns a core that has started after its upstream.
func newRestartedRig(t *testing.T) *rig {
	r := newRig(t)
	assert.NilError(t, r.sendHeartbeat(0, func(h *sidecar.Heartbeat) { h.Sequence = 21 }))
	r.clearSent()
	return r
}

func (r *rig) ask(now time.Duration, ack uint32) peer.Outcome {
	r.t.Helper()
	r.clearSent()
	r.PeerMessage(now, peer.Question{Origin: _relay, Flow: flow.Key{Caller: _caller, Address: _address}, Ack: ack}.Append(nil))
	assert.Equal(r.t, len(r.verdicts), 1)
	return r.verdicts[0].Outcome
}

const (
	_otherAck  = 900_000_001 // acknowledges the consent of another upstream
	_consented = time.Millisecond
)

// TestRepeatedConsentIsNoOpenFlow guards against resets of flows that are open at another
// upstream: both upstreams got copies of the opening packet, and the one whose consent the
// caller did not take repeated it to a sidecar that had just restarted.
func TestRepeatedConsentIsNoOpenFlow(t *testing.T) {
	r := newRestartedRig(t)
	r.UpstreamPacket(_consented, encode(flow.SYN|flow.ACK, 500, 11, 0, true))
	assert.Equal(t, r.ask(2*time.Millisecond, _otherAck), peer.NotHeld)
	assert.Equal(t, r.ask(2*time.Millisecond, 501), peer.Held)

	packet := encode(flow.ACK, 11, _otherAck, 5, false)
	for _, kind := range []peer.Kind{peer.KindTry, peer.KindCarry} {
		r.clearSent()
		r.fromRelay(3*time.Millisecond, kind, packet)
		assert.Equal(t, len(r.toUpstream), 0)
		r.assertOnlyVerdict(peer.NotHeld)
	}
	assert.DeepEqual(t, r.verdicts[0].Packet, packet)
	r.clearSent()
	r.fromRelay(4*time.Millisecond, peer.KindCarry, encode(flow.ACK, 11, 501, 5, false))
	assert.Equal(t, len(r.toUpstream), 1, "the caller has taken this upstream's consent")
}

// TestConsentDoesNotAnswerProbe guards against the same reset where the consent is
// repeated while the sidecar probes its upstream for the flow.
func TestConsentDoesNotAnswerProbe(t *testing.T) {
	for _, kind := range []peer.Kind{peer.KindTry, peer.KindCarry} {
		r := newRestartedRig(t)
		r.fromRelay(_consented, kind, encode(flow.ACK, 11, _otherAck, 5, false))
		assert.Equal(t, len(r.toUpstream), 1)
		r.UpstreamPacket(2*time.Millisecond, encode(flow.SYN|flow.ACK, 500, 11, 0, true))
		assert.Equal(t, len(r.verdicts), 0, "the upstream has not answered the probe")
		r.clearSent()
		r.UpstreamPacket(3*time.Millisecond, encode(flow.ACK|flow.Bounced, 11, _otherAck, 5, false))
		r.assertOnlyVerdict(peer.NotHeld)
		assert.Equal(t, len(r.toCaller), 0, "the flow is open at another upstream")
		assert.Equal(t, r.ask(4*time.Millisecond, _otherAck), peer.NotHeld)
		assert.Equal(t, r.ask(4*time.Millisecond, 501), peer.Held)
	}
}

// TestConsentAnswersProbe probes with a packet that acknowledges the consent which the
// upstream repeats at the same time.
func TestConsentAnswersProbe(t *testing.T) {
	r := newRestartedRig(t)
	r.fromRelay(_consented, peer.KindTry, encode(flow.ACK, 11, 501, 5, false))
	r.UpstreamPacket(2*time.Millisecond, encode(flow.SYN|flow.ACK, 500, 11, 0, true))
	r.assertOnlyVerdict(peer.Held)
}

// TestRecoveredFlowIsHeldByItsAcks guards against a sidecar that claims every flow of the
// caller's port: one whose acknowledgements do not fit what the upstream has sent is open
// at another upstream, or ended here long ago.
func TestRecoveredFlowIsHeldByItsAcks(t *testing.T) {
	r := newRestartedRig(t)
	r.UpstreamPacket(_consented, encode(flow.ACK, 70_000, 16, 100, true))
	assert.Equal(t, r.ask(2*time.Millisecond, 70_100), peer.Held)
	assert.Equal(t, r.ask(2*time.Millisecond, 51_000), peer.Held) // packets in flight are not acknowledged yet
	assert.Equal(t, r.ask(2*time.Millisecond, _otherAck), peer.NotHeld)
	r.clearSent()
	r.fromRelay(3*time.Millisecond, peer.KindCarry, encode(flow.RST, 16, 0, 0, false))
	assert.Equal(t, len(r.toUpstream), 1, "a packet without an acknowledgement is the flow's")
}

// TestResetOfUpstreamRecoversNoFlow guards against a sidecar that claims a flow because
// its upstream has reset an earlier one of the same caller port.
func TestResetOfUpstreamRecoversNoFlow(t *testing.T) {
	r := newRestartedRig(t)
	r.UpstreamPacket(_consented, encode(flow.RST, 500, 11, 0, true))
	assert.Equal(t, r.ask(2*time.Millisecond, _otherAck), peer.Unsure)
}

// TestEndedFlowDoesNotClaimItsPort guards against a sidecar that claims the flow of another
// upstream, since an earlier flow of the same caller port has ended here.
func TestEndedFlowDoesNotClaimItsPort(t *testing.T) {
	r := newRig(t)
	assert.NilError(t, r.sendHeartbeat(0, nil))
	r.openFlow(0)
	r.fromRelay(time.Millisecond, peer.KindCarry, encode(flow.ACK, 11, 501, 5, false))
	r.UpstreamPacket(2*time.Millisecond, encode(flow.ACK|flow.FIN, 501, 16, 100, true))
	assert.Equal(t, r.ask(3*time.Millisecond, 602), peer.Held, "the caller may still acknowledge the answer")
	assert.Equal(t, r.ask(3*time.Millisecond, _otherAck), peer.NotHeld)
}

// TestBounceOfAnotherFlowsPacketResetsNothing guards against resets on the evidence of a
// packet that belongs to a flow of another upstream: it goes back to the relay.
func TestBounceOfAnotherFlowsPacketResetsNothing(t *testing.T) {
	r := newRig(t)
	assert.NilError(t, r.sendHeartbeat(0, nil))
	r.openFlow(0)
	packet := encode(flow.ACK, 11, _otherAck, 5, false)
	r.fromRelay(time.Millisecond, peer.KindCarry, packet)
	r.assertOnlyVerdict(peer.NotHeld)
	r.clearSent()
	r.UpstreamPacket(2*time.Millisecond, encode(flow.ACK|flow.Bounced, 11, _otherAck, 5, false))
	assert.Equal(t, len(r.toCaller), 0)
	r.assertOnlyVerdict(peer.NotHeld)
	assert.DeepEqual(t, r.verdicts[0].Packet, packet)
	assert.Equal(t, r.ask(3*time.Millisecond, 501), peer.Held, "the flow of this upstream is open")
}

// TestSidecarIsSureAfterIdleTimeout guards against sidecars that are unsure for as long as
// their upstreams live, so that each search sends a packet to each of them. Flows that had
// no packet for the idle timeout have ended. A stall may have lost packets.
func TestSidecarIsSureAfterIdleTimeout(t *testing.T) {
	const (
		idle   = 15 * time.Second
		sureAt = idle + 5*time.Second
	)
	table := func(version uint64, timeout time.Duration) directory.Table {
		return directory.New(version, timeout, []directory.Route{
			{Address: _address, Shares: []directory.Share{{Service: "orders", Weight: 1}}},
		})
	}
	for _, tt := range []struct {
		name  string
		stall time.Duration // since when the process does not run for 3 s
		later time.Duration // the idle timeout of a later version
		want  time.Duration
	}{
		{"runs", 0, 0, sureAt},
		{"stalls", 10 * time.Second, 0, 13*time.Second + sureAt},
		{"shorter timeout", 0, idle / 2, sureAt},
		{"longer timeout", 0, 2 * idle, sureAt + idle},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := newRestartedRig(t)
			r.SetTable(0, table(2, idle), "test")
			r.SetTable(0, table(3, tt.later), "test")
			r.UpstreamPacket(_consented, encode(flow.ACK, 501, 16, 5, true))
			for now := time.Duration(0); now < tt.want+time.Second; now += 20 * time.Millisecond {
				if tt.stall > 0 && now > tt.stall && now < tt.stall+3*time.Second {
					continue
				}
				r.Tick(now)
				r.UpstreamPacket(now, encode(flow.ACK, 501, 16, 5, true)) // an active flow
				r.clearSent()
				r.PeerMessage(now, peer.Question{
					Origin: _relay, Flow: flow.Key{Caller: netip.AddrPortFrom(_caller.Addr(), 9), Address: _address}, Ack: 501,
				}.Append(nil))
				want := peer.Unsure
				if now >= tt.want {
					want = peer.NotHeld
				}
				r.assertOnlyVerdict(want)
			}
			assert.Equal(t, r.ask(tt.want, 501), peer.Held)
		})
	}
}
