package sidecar_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/directory"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/sidecar"
)

// address is a host's address in these tests, with the process that is there: at first the
// sidecar's own upstream, then none, and then an upstream of another service.
type address struct {
	*rig
	now  time.Duration
	port uint16
	// own is set while the own upstream is there, and other while the other one is. silent
	// is set while no heartbeat of the own upstream arrives.
	own, other, silent bool
	// next is when the process that is there sends its next heartbeat, and sequence is the
	// number of that heartbeat.
	next     time.Duration
	sequence uint64
	// taken counts the opening packets that the own and the other upstream took.
	taken, misrouted int
	seen             int
}

const _step = 5 * time.Millisecond

func newAddress(t *testing.T) *address { return &address{rig: newRig(t), own: true, port: 1024} }

// play runs the sidecar and the process at the address until a time, and calls each before
// each step.
func (a *address) play(until time.Duration, each func()) {
	for ; a.now < until; a.now += _step {
		if a.now%(4*_step) == 0 {
			a.Tick(a.now)
		}
		a.heartbeat()
		if each != nil {
			each()
		}
		a.answer()
	}
}

// heartbeat sends the heartbeat of the process at the address if it is due.
func (a *address) heartbeat() {
	if a.now < a.next || !a.own && !a.other {
		return
	}
	a.next = a.now + _heartbeat
	a.sequence++
	switch {
	case a.other:
		_ = a.Heartbeat(a.now, otherHeartbeat(a.sequence))
	case !a.silent:
		assert.NilError(a.t, a.beat(a.now, "i-1", 5000, a.sequence, false))
	}
}

func otherHeartbeat(sequence uint64) sidecar.Heartbeat {
	return sidecar.Heartbeat{ID: "i-9", Service: "rounds", Addr: _upstream, Slots: 2, Born: 9000, Sequence: sequence}
}

// answer lets the process at the address answer what it got: it consents to opening packets,
// answers requests on flows that were opened at the own upstream, and the other upstream
// bounces them.
func (a *address) answer() {
	for ; a.seen < len(a.toUpstream); a.seen++ {
		packet := a.toUpstream[a.seen]
		p, _ := testWire{}.Decode(packet)
		port := packet[min(len(packet), 11):]
		switch {
		case !a.own && !a.other:
		case p.Opening():
			if a.other {
				a.misrouted++
			} else {
				a.taken++
			}
			a.UpstreamPacket(a.now, append(encode(flow.SYN|flow.ACK, 500, p.Seq+1, 0, true), port...))
			a.fromRelay(a.now, peer.KindCarry, append(encode(flow.ACK, p.Seq+1, 501, 5, false), port...))
		case a.other && p.Source.Port() < 2048:
			a.UpstreamPacket(a.now, append(encode(p.Flags|flow.Bounced, p.Seq, p.Ack, byte(p.Size), false), port...))
		case p.Size > 0:
			a.UpstreamPacket(a.now, append(encode(flow.ACK, p.Ack, p.Seq+uint32(p.Size), 100, true), port...))
		}
	}
}

// open offers a flow from a new caller port.
func (a *address) open() {
	a.port++
	a.fromRelay(a.now, peer.KindOffer, append(encode(flow.SYN, 10, 0, 0, false), byte(a.port>>8), byte(a.port)))
}

// request sends a packet with data on the flow of a caller port.
func (a *address) request(port uint16) {
	a.fromRelay(a.now, peer.KindCarry, append(encode(flow.ACK, 11, 501, 5, false), byte(port>>8), byte(port)))
}

// endOwn ends the own upstream. The other one gets its address after a while.
func (a *address) endOwn(free time.Duration) {
	a.own = false
	a.play(a.now+free, nil)
	a.other, a.next, a.sequence, a.port = true, a.now, 0, 4096
}

// TestNoFlowsForUpstreamOfOtherServiceAtReusedAddress guards against requests at an upstream
// of another service (issue 45): it bounces a packet of an open flow, which made the upstream
// ready.
func TestNoFlowsForUpstreamOfOtherServiceAtReusedAddress(t *testing.T) {
	for _, free := range []time.Duration{2 * time.Second, 3 * time.Second, 10 * time.Second} {
		a := newAddress(t)
		a.play(time.Second, nil)
		a.open()
		a.play(a.now+_step, nil)
		assert.Equal(t, a.taken, 1)
		a.endOwn(free)
		until, n := a.now+20*time.Second, 0
		a.play(until, func() {
			if n++; n%20 == 0 {
				a.request(1025)
				a.open()
			}
		})
		assert.Equal(t, a.misrouted, 0, "after %v", free)
	}
}

// TestQueuedFlowsDoNotGoToReusedAddress guards against queued opening packets that are let go
// when another upstream bounces the packets of open flows.
func TestQueuedFlowsDoNotGoToReusedAddress(t *testing.T) {
	r := newRig(t)
	assert.NilError(t, r.sendHeartbeat(0, nil))
	suffix := func(packet []byte, port uint16) []byte { return append(packet, byte(port>>8), byte(port)) }
	const opened = time.Millisecond
	for port := uint16(1); port <= 3; port++ {
		r.fromRelay(opened, peer.KindOffer, suffix(encode(flow.SYN, 10, 0, 0, false), port))
		r.UpstreamPacket(opened, suffix(encode(flow.SYN|flow.ACK, 500, 11, 0, true), port))
		r.fromRelay(opened, peer.KindCarry, suffix(encode(flow.ACK, 11, 501, 5, false), port))
	}
	for now := 20 * time.Millisecond; now < 2100*time.Millisecond; now += 20 * time.Millisecond {
		r.Tick(now)
		if now == 1500*time.Millisecond {
			r.fromRelay(now, peer.KindOffer, suffix(encode(flow.SYN, 10, 0, 0, false), 4))
			assert.Equal(t, r.Waiting(), 1)
		}
	}
	r.clearSent()
	for port := uint16(1); port <= 3; port++ { // the other upstream is there
		r.UpstreamPacket(2100*time.Millisecond, suffix(encode(flow.ACK|flow.Bounced, 11, 501, 5, false), port))
	}
	assert.Equal(t, len(r.toUpstream), 0)
	assert.Equal(t, r.Waiting(), 0)
}

// TestRepeatedOfferDoesNotGoToReusedAddress guards against copies of an opening packet that
// reach another upstream, since the first one was delivered to the own one.
func TestRepeatedOfferDoesNotGoToReusedAddress(t *testing.T) {
	r := newRig(t)
	assert.NilError(t, r.sendHeartbeat(0, nil))
	syn := encode(flow.SYN, 10, 0, 0, false)
	for now := time.Duration(0); now < 2100*time.Millisecond; now += 20 * time.Millisecond {
		r.Tick(now)
		if now == 1900*time.Millisecond {
			r.clearSent()
			r.fromRelay(now, peer.KindOffer, syn)
			assert.Equal(t, len(r.toUpstream), 1)
		}
		if now == 2040*time.Millisecond { // the other upstream is there
			r.UpstreamPacket(now, append(encode(flow.ACK|flow.Bounced, 11, 501, 5, false), 0, 1))
		}
	}
	r.clearSent()
	r.fromRelay(2100*time.Millisecond, peer.KindOffer, syn)
	assert.Equal(t, len(r.toUpstream), 0)
	r.assertOnlyVerdict(peer.Refused)
}

// TestStalledSidecarDoesNotTrustOldHeartbeat guards against a heartbeat that waited in the
// socket while the sidecar was stalled and its upstream's address was used again.
func TestStalledSidecarDoesNotTrustOldHeartbeat(t *testing.T) {
	for _, afterTick := range []bool{false, true} {
		a := newAddress(t)
		a.play(time.Second, nil)
		const stall = 5 * time.Second
		a.now += stall
		a.own, a.other, a.next, a.sequence, a.port = false, true, a.now, 0, 4096
		if afterTick {
			a.Tick(a.now)
		}
		assert.NilError(t, a.beat(a.now, "i-1", 5000, 3, false))
		a.open()
		a.play(a.now+10*time.Second, func() { a.open() })
		assert.Equal(t, a.misrouted, 0, "heartbeat read after a tick: %v", afterTick)
	}
}

// TestFalseEvidenceEndsWithOtherUpstreamsHeartbeats plays an address that is used again much
// too early: the other upstream answers for the flows that it gets, until its heartbeats show
// that it runs.
func TestFalseEvidenceEndsWithOtherUpstreamsHeartbeats(t *testing.T) {
	a := newAddress(t)
	a.play(4*_heartbeat, func() { a.open() })
	assert.Assert(t, a.taken > 0)
	a.endOwn(50 * time.Millisecond)
	a.play(a.now+5*_heartbeat/2, func() { a.open() })
	assert.Assert(t, a.misrouted > 0)
	a.misrouted = 0
	a.play(a.now+20*time.Second, func() { a.open() })
	assert.Equal(t, a.misrouted, 0)
}

// TestOtherWriterTakesNoUpstreamOut guards against heartbeats of another writer that empty an
// upstream whose heartbeats go on.
func TestOtherWriterTakesNoUpstreamOut(t *testing.T) {
	a := newAddress(t)
	sequence := uint64(0)
	a.play(20*time.Second, func() {
		if a.now%(200*time.Millisecond) == 0 {
			sequence++
			_ = a.Heartbeat(a.now, otherHeartbeat(sequence))
		}
		if a.now > 0 && a.now%(100*time.Millisecond) == 0 {
			a.open()
		}
	})
	assert.Equal(t, a.taken, 199)
}

// TestOneLostHeartbeatLapsesNothing guards against upstreams that get no flows although only
// one of their heartbeats was lost.
func TestOneLostHeartbeatLapsesNothing(t *testing.T) {
	a := newAddress(t)
	a.play(_step, nil)
	a.clearSent()
	a.play(20*time.Second, func() {
		a.silent = a.sequence%2 == 1
		if a.now > 0 && a.now%(10*_heartbeat/11).Truncate(_step) == 0 {
			a.open()
		}
		for _, report := range a.reports {
			assert.Equal(t, report.State, peer.Ready)
		}
		a.reports = nil
	})
	assert.Equal(t, a.taken, int(20*time.Second/(10*_heartbeat/11).Truncate(_step)))
	assert.Equal(t, len(a.identityBeliefs()), 0)
}

// TestRepliesConfirmUpstreamWithoutHeartbeats guards against a busy upstream that is emptied
// since its heartbeats are lost: it answers on its flows, and gets new ones.
func TestRepliesConfirmUpstreamWithoutHeartbeats(t *testing.T) {
	a := newAddress(t)
	a.play(time.Second, nil)
	a.open()
	a.play(a.now+_step, nil)
	a.silent = true
	a.play(20*time.Second, func() {
		if a.now%(500*time.Millisecond) == 0 {
			a.request(1025)
		}
	})
	a.taken = 0
	a.open()
	a.play(a.now+_step, nil)
	assert.Equal(t, a.taken, 1)
}

// TestCarriedOpeningReachesNoUpstream guards against opening packets that pass a sidecar as
// packets of an open flow, without its checks.
func TestCarriedOpeningReachesNoUpstream(t *testing.T) {
	for _, kind := range []peer.Kind{peer.KindCarry, peer.KindTry} {
		r := newRestartedRig(t)
		r.fromRelay(time.Millisecond, kind, encode(flow.SYN, 10, 0, 0, false))
		assert.Equal(t, len(r.toUpstream), 0, "the flow is not known")
		r = newRig(t)
		assert.NilError(t, r.sendHeartbeat(0, nil))
		r.openFlow(0)
		r.fromRelay(time.Millisecond, kind, encode(flow.SYN, 900, 0, 0, false))
		assert.Equal(t, len(r.toUpstream), 0, "an earlier flow of the caller's port is open")
	}
}

// TestOfferOfSameVersionIsChecked guards against flows that a relay labels with a service to
// which the version that both have does not send them.
func TestOfferOfSameVersionIsChecked(t *testing.T) {
	r := newRig(t)
	assert.NilError(t, r.sendHeartbeat(0, nil))
	r.SetTable(0, directory.New(2, 0, []directory.Route{
		{Address: _address, Shares: []directory.Share{{Service: "rounds", Weight: 1}}},
	}), "test")
	for version, want := range map[uint64]peer.Outcome{1: peer.Refused, 2: peer.Refused, 3: peer.Accepted} {
		r.clearSent()
		r.PeerMessage(0, peer.Carried{
			Kind: peer.KindOffer, Origin: _relay, Service: peer.NewServiceID("orders"), Version: version,
			Packet: encode(flow.SYN, uint32(version), 0, 0, false),
		}.Append(nil))
		r.assertOnlyVerdict(want)
	}
}

// identityBeliefs returns the beliefs about the identity of the upstream.
func (r *rig) identityBeliefs() []decision.Belief {
	var out []decision.Belief
	for _, b := range r.beliefs {
		if b.Subject == decision.IdentitySubject {
			out = append(out, b)
		}
	}
	return out
}

// TestHeartbeatsOfOtherUpstreamsAreReported guards against a record from which one can't tell
// that an upstream of another service reported to this sidecar.
func TestHeartbeatsOfOtherUpstreamsAreReported(t *testing.T) {
	r := newRig(t)
	assert.NilError(t, r.beat(0, "i-1", 5000, 1, false))
	h := sidecar.Heartbeat{ID: "i-2", Service: "rounds", Addr: _upstream, Slots: 2, Born: 9000, Sequence: 1}
	assert.ErrorContains(t, r.Heartbeat(time.Second, h), `service "rounds"`)
	h.Service, h.Addr, h.Sequence = "orders", netip.AddrPortFrom(_peer, 8080), 2
	assert.ErrorContains(t, r.Heartbeat(2*time.Second, h), "10.1.0.2:8080")
	beliefs := r.identityBeliefs()
	assert.Equal(t, len(beliefs), 2)
	assert.Equal(t, beliefs[0].From, "orders")
	assert.Equal(t, beliefs[0].To, "rounds")
	assert.Equal(t, beliefs[0].Reason, `heartbeat of "i-2" at 10.1.0.1:8080`)
	assert.Equal(t, beliefs[0].Age, time.Second)
	assert.Equal(t, r.Counts().OtherUpstreamHeartbeats, uint64(2))
	assert.Equal(t, r.Counts().IgnoredHeartbeats, uint64(2))
}

// TestRefusedPacketEndsConfirmation guards against flows for an address at which no process
// listened: the next one there may be of any service.
func TestRefusedPacketEndsConfirmation(t *testing.T) {
	a := newAddress(t)
	a.play(time.Second, nil)
	a.own = false
	a.Unreachable(a.now)
	a.other, a.next, a.sequence, a.port = true, a.now, 0, 4096
	a.play(a.now+10*time.Second, func() {
		a.UpstreamPacket(a.now, encode(flow.ACK|flow.Bounced, 11, 501, 5, false))
		a.UpstreamPacket(a.now, encode(flow.SYN|flow.ACK, 500, 11, 0, true))
		a.open()
	})
	assert.Equal(t, a.misrouted, 0)
}

// TestTrialNeedsConfirmation guards against the trial of a failing upstream, and the offers
// that no other sidecar accepts, at an address that has passed on.
func TestTrialNeedsConfirmation(t *testing.T) {
	r := newRig(t)
	assert.NilError(t, r.sendHeartbeat(0, nil))
	for port := range uint16(3) {
		r.request(time.Millisecond, 40_000+port, flow.RST, 0)
	}
	lastResort := func(now time.Duration, seq uint32) {
		r.clearSent()
		r.PeerMessage(now, peer.Carried{
			Kind: peer.KindOffer, Origin: _relay, Service: peer.NewServiceID("orders"), Version: 1, LastResort: true,
			Packet: encode(flow.SYN, seq, 0, 0, false),
		}.Append(nil))
	}
	lastResort(100*time.Millisecond, 1)
	assert.Equal(t, len(r.toUpstream), 1, "the upstream is failing, and no other accepts the flow")
	r.Unreachable(110 * time.Millisecond)
	lastResort(120*time.Millisecond, 2)
	assert.Equal(t, len(r.toUpstream), 0)
	r.Tick(410 * time.Millisecond)
	for _, report := range r.reports {
		assert.Equal(t, report.State, peer.Suspect)
	}
	lastResort(420*time.Millisecond, 3)
	assert.Equal(t, len(r.toUpstream), 0)
}

// TestStoppingSidecarRepeatsNoOpening guards against copies of an opening packet that open a
// flow after the process was told to stop.
func TestStoppingSidecarRepeatsNoOpening(t *testing.T) {
	r := newRig(t)
	assert.NilError(t, r.sendHeartbeat(0, nil))
	syn := encode(flow.SYN, 10, 0, 0, false)
	r.fromRelay(0, peer.KindOffer, syn)
	r.Stop(time.Millisecond)
	r.clearSent()
	r.fromRelay(2*time.Millisecond, peer.KindOffer, syn)
	assert.Equal(t, len(r.toUpstream), 0)
	r.assertOnlyVerdict(peer.Refused)
}

// TestRepeatedOfferRepeatsConsent guards against callers whose copy of the consent was lost
// and that get no other one, since the upstream drains.
func TestRepeatedOfferRepeatsConsent(t *testing.T) {
	r := newRig(t)
	assert.NilError(t, r.sendHeartbeat(0, nil))
	syn := encode(flow.SYN, 10, 0, 0, false)
	r.fromRelay(0, peer.KindOffer, syn)
	r.UpstreamPacket(0, encode(flow.SYN|flow.ACK, 500, 11, 0, true))
	assert.NilError(t, r.sendHeartbeat(time.Millisecond, func(h *sidecar.Heartbeat) { h.Draining = true }))
	r.clearSent()
	r.fromRelay(2*time.Millisecond, peer.KindOffer, syn)
	assert.Equal(t, len(r.toUpstream), 1)
	r.assertOnlyVerdict(peer.Accepted)
}

// TestConfirmationIsLoggedOnce guards against a record that doesn't tell for how long flows
// were held back, and against a line for each of them.
func TestConfirmationIsLoggedOnce(t *testing.T) {
	a := newAddress(t)
	a.play(time.Second, nil)
	a.own = false
	a.play(4*time.Second, func() { a.open() })
	a.own, a.next = true, a.now
	a.play(a.now+time.Second, func() { a.open() })
	beliefs := a.identityBeliefs()
	assert.Equal(t, len(beliefs), 2)
	assert.Equal(t, beliefs[0].To, "not_confirmed")
	assert.Equal(t, beliefs[0].Reason, "no_proof")
	assert.Equal(t, beliefs[1].To, "confirmed")
	assert.Equal(t, beliefs[1].Reason, "heartbeat")
	assert.Assert(t, a.Counts().UnconfirmedOpenings > 100)
}

// TestOtherWriterAndLostHeartbeat guards against another writer that takes an upstream out for
// longer than until its next two heartbeats, after one was lost.
func TestOtherWriterAndLostHeartbeat(t *testing.T) {
	a := newAddress(t)
	sequence := uint64(0)
	a.play(10*time.Second, func() {
		a.silent = a.sequence == 5
		if a.now%(200*time.Millisecond) == 0 {
			sequence++
			_ = a.Heartbeat(a.now, otherHeartbeat(sequence))
		}
		if a.now > 0 && a.now%(100*time.Millisecond) == 0 {
			a.open()
		}
	})
	assert.Assert(t, a.taken >= 88, "%d of 99 flows", a.taken)
	assert.Equal(t, a.Counts().IdentityRevocations, uint64(1))
}

// TestLateHeartbeatsDoNotUndoRevocation guards against flows for another upstream since
// heartbeats of the own one arrive after its end.
func TestLateHeartbeatsDoNotUndoRevocation(t *testing.T) {
	a := newAddress(t)
	a.play(4*_heartbeat, nil)
	late := a.sequence
	a.endOwn(50 * time.Millisecond)
	a.play(a.now+2*_heartbeat, nil)
	assert.Equal(t, a.Counts().IdentityRevocations, uint64(1))
	for range 3 {
		late++
		assert.NilError(t, a.beat(a.now, "i-1", 5000, late, false))
		a.play(a.now+100*time.Millisecond, func() { a.open() })
	}
	assert.Equal(t, a.misrouted, 0)
	a.own, a.other, a.next, a.sequence = true, false, a.now, late
	a.play(a.now+2*_heartbeat, func() { a.open() })
	assert.Assert(t, a.taken > 0, "the own upstream is back")
}

// TestBouncedFlowAndMissedHeartbeat guards against flows for a process that bounces a packet
// of an open flow, before its own heartbeats tell what it is.
func TestBouncedFlowAndMissedHeartbeat(t *testing.T) {
	a := newAddress(t)
	a.play(_heartbeat, nil)
	a.open()
	a.play(a.now+_step, nil)
	a.endOwn(1200 * time.Millisecond)
	a.next = time.Hour
	a.request(1025)
	a.play(a.now+_step, nil)
	assert.Equal(t, a.Counts().Resets, uint64(1))
	a.play(a.now+10*time.Second, func() { a.open() })
	assert.Equal(t, a.misrouted, 0)
}

// TestConfirmationEndsBeforeAddressMayBeUsedAgain guards against an opening packet that is
// checked in time and reaches the address when another upstream may have it.
func TestConfirmationEndsBeforeAddressMayBeUsedAgain(t *testing.T) {
	const end = 2*time.Second - 60*time.Millisecond
	r := newRig(t)
	assert.NilError(t, r.sendHeartbeat(0, nil))
	assert.Equal(t, r.offer(end-time.Millisecond, 10), peer.Accepted)
	assert.Equal(t, r.offer(end, 20), peer.Refused)
}
