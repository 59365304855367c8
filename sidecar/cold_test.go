package sidecar_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/directory"
	"dandelionhitch.example/evacuation"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/sidecar"
)

// Requests a second that cold upstreams of these tests bear, and the most that users allow
// in any second.
const (
	_coldRate  = 20
	_coldLimit = _coldRate*3/2 + 5
)

// coldRig plays offers to a sidecar whose upstream is cold, and records when the upstream
// gets opening packets. Each request is answered after 10 ms.
type coldRig struct {
	*rig
	port      uint16
	delivered []time.Duration
}

func newColdRig(t *testing.T) *coldRig {
	r := &coldRig{rig: newRig(t), port: 1}
	r.Core = sidecar.NewCore(sidecar.Identity{
		Addr: _self, Zone: "a", Incarnation: 1, Service: "orders", Upstream: _upstream, Heartbeat: 770 * time.Millisecond,
	}, testWire{}, r.rig, 10_000, rand.New(rand.NewPCG(1, 1)), sidecar.WithColdBound(sidecar.ColdBound{Overage: 1.5, Slack: 5}))
	r.setRate(_coldRate)
	return r
}

func (r *coldRig) setRate(perSecond float64) {
	table := directory.New(r.Table().Version()+1, 0, []directory.Route{
		{Address: _address, Shares: []directory.Share{{Service: "orders", Weight: 1}}, TargetLatency: 100 * time.Millisecond, Timeout: time.Second},
	})
	r.SetTable(0, table.WithCold(map[string]directory.Cold{"orders": {For: 2 * time.Second, PerSecond: perSecond}}), "test")
}

// play offers a flow every 5 ms and ticks every 20 ms.
func (r *coldRig) play(from, until time.Duration) {
	for now := from; now < until; now += 5 * time.Millisecond {
		r.clearSent()
		if now%(20*time.Millisecond) == 0 {
			r.Tick(now)
		}
		r.port++
		packet := append(encode(flow.SYN, 1, 0, 0, false), byte(r.port>>8), byte(r.port))
		r.fromRelay(now, peer.KindOffer, packet)
		for i := 0; i < len(r.toUpstream); i++ { // an answer may lead to further deliveries
			delivered := r.toUpstream[i]
			r.delivered = append(r.delivered, now)
			answer := append(encode(flow.SYN|flow.ACK, 1, 0, 0, true), delivered[11:]...)
			r.UpstreamPacket(now, answer)
			r.UpstreamPacket(now+time.Millisecond, append(encode(flow.RST, 2, 0, 0, true), delivered[11:]...))
		}
	}
}

// most returns the highest number of deliveries in any second.
func (r *coldRig) most() int {
	most := 0
	for i, at := range r.delivered {
		n := 0
		for _, other := range r.delivered[i:] {
			if other-at < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestColdUpstreamGetsStatedRate offers a cold upstream ten times what it bears. It must
// get what it bears, and no second may have more requests than users allow. Once it is
// warm, it is not limited any more.
func TestColdUpstreamGetsStatedRate(t *testing.T) {
	r := newColdRig(t)
	assert.NilError(t, r.sendHeartbeat(0, func(h *sidecar.Heartbeat) { h.WarmupLeft = 4 * time.Second }))
	r.play(20*time.Millisecond, 4*time.Second)
	assert.Assert(t, r.most() <= _coldLimit, "%d requests in a second", r.most())
	assert.Assert(t, len(r.delivered) >= 3*_coldRate, "%d requests in four seconds", len(r.delivered))
	r.delivered = nil
	r.play(4*time.Second, 5*time.Second)
	assert.Assert(t, len(r.delivered) > _coldLimit, "%d requests in the first warm second", len(r.delivered))
}

// TestColdUpstreamWithoutStatedRate checks that an upstream whose service states no rate
// is not limited, and that a rate below one does not exclude the upstream.
func TestColdUpstreamWithoutStatedRate(t *testing.T) {
	for rate, wantLimited := range map[float64]bool{0: false, 0.4: true} {
		r := newColdRig(t)
		r.setRate(rate)
		assert.NilError(t, r.sendHeartbeat(0, func(h *sidecar.Heartbeat) { h.WarmupLeft = 4 * time.Second }))
		r.play(20*time.Millisecond, 3*time.Second)
		assert.Equal(t, r.most() <= 5, wantLimited, "rate %v: %d requests in a second", rate, r.most())
		assert.Assert(t, len(r.delivered) > 0)
	}
}

// TestRestartedSidecarAssumesFullSecond restarts a sidecar beside a cold upstream. The
// earlier process may have used up what the upstream bears in a second.
func TestRestartedSidecarAssumesFullSecond(t *testing.T) {
	r := newColdRig(t)
	r.sequence = 5
	assert.NilError(t, r.sendHeartbeat(20*time.Millisecond, func(h *sidecar.Heartbeat) { h.WarmupLeft = 4 * time.Second }))
	r.play(20*time.Millisecond, time.Second)
	assert.Equal(t, len(r.delivered), 0)
	r.play(time.Second, 3*time.Second)
	assert.Assert(t, len(r.delivered) >= _coldRate)
}

// TestUpstreamOfReturnedZoneMayBeCold takes a zone back whose upstreams may have become
// cold since their last heartbeat. They must get no more than cold upstreams do until a
// heartbeat says how long they stay cold.
func TestUpstreamOfReturnedZoneMayBeCold(t *testing.T) {
	r := newColdRig(t)
	setEvacuated := func(now time.Duration, revision uint64, zones ...string) {
		set, err := evacuation.New(revision, zones)
		assert.NilError(t, err)
		report, err := peer.AppendRelay(nil, peer.RelayReport{Relay: _relay, Incarnation: 1, Sequence: revision}.WithEvacuations(set))
		assert.NilError(t, err)
		r.PeerMessage(now, report)
	}
	assert.NilError(t, r.sendHeartbeat(0, nil))
	setEvacuated(10*time.Millisecond, 1, "a")
	r.play(20*time.Millisecond, time.Second)
	assert.Equal(t, len(r.delivered), 0)
	setEvacuated(time.Second, 2)
	r.play(time.Second, 1700*time.Millisecond)
	assert.Assert(t, len(r.delivered) > 0 && len(r.delivered) <= _coldRate, "%d requests before the heartbeat", len(r.delivered))
	assert.NilError(t, r.sendHeartbeat(1700*time.Millisecond, nil))
	r.play(1700*time.Millisecond, 2200*time.Millisecond)
	assert.Assert(t, len(r.delivered) > 2*_coldRate)
}

// TestLifeThatIsNotAcceptedYetMayBeCold guards against too many requests at an upstream that has
// just started, while its heartbeats are rejected since they may be late.
func TestLifeThatIsNotAcceptedYetMayBeCold(t *testing.T) {
	r := newColdRig(t)
	assert.NilError(t, r.sendHeartbeat(0, nil))
	assert.NilError(t, r.sendHeartbeat(_heartbeat, nil))
	started := _heartbeat + 100*time.Millisecond
	assert.ErrorContains(t, r.sendHeartbeat(started, func(h *sidecar.Heartbeat) {
		h.ID, h.Sequence, h.WarmupLeft = "i-2", 1, 4*time.Second
	}), "ignored")
	r.play(started, started+500*time.Millisecond)
	assert.Assert(t, len(r.delivered) > 0 && len(r.delivered) <= _coldLimit, "%d requests", len(r.delivered))
}
