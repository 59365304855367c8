package sidecar_test

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/directory"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/sidecar"
)

// slowdownRig is a sidecar with a relay in its zone and one in another, and with peers whose mean run
// time is 20 ms.
type slowdownRig struct {
	*rig
	now  time.Duration
	port uint16
}

var _farRelay = netip.MustParseAddr("10.1.0.8")

func newSlowdownRig(t *testing.T, enabled bool) *slowdownRig {
	r := &slowdownRig{rig: &rig{t: t}, now: time.Second}
	r.Core = sidecar.NewCore(sidecar.Identity{
		Addr: _self, Zone: "a", Incarnation: 1, Service: "orders",
		Upstream: netip.AddrPortFrom(_self, 8080), Heartbeat: 770 * time.Millisecond,
	}, testWire{}, r, 1000, rand.New(rand.NewPCG(1, 1)), sidecar.WithPriorityAdmission(enabled))
	shares := []directory.Share{{Service: "orders", Weight: 1}}
	r.SetTable(0, directory.New(1, 0, []directory.Route{
		{Address: _address, Shares: shares, Priority: 2, TargetLatency: 300 * time.Millisecond, Timeout: 3 * time.Second},
		{Address: netip.MustParseAddrPort("198.18.0.3:443"), Shares: shares, Priority: 1},
	}), "test")
	for i, addr := range []netip.Addr{_relay, _farRelay} {
		b, err := peer.AppendRelay(nil, peer.RelayReport{Relay: addr, Incarnation: 1, Sequence: 1, Zone: []string{"a", "b"}[i]})
		assert.NilError(t, err)
		r.PeerMessage(r.now, b)
	}
	r.step(0)
	return r
}

// step advances the time. It sends what keeps the upstream and the peers known as ready.
func (r *slowdownRig) step(by time.Duration) {
	r.now += by
	assert.NilError(r.t, r.sendHeartbeat(r.now, nil))
	for i := range byte(3) {
		r.reportPeer(i, "a", 1)
	}
	r.Tick(r.now)
}

func (r *slowdownRig) reportPeer(i byte, zone string, busy uint16) {
	b, err := peer.AppendUpstream(nil, peer.UpstreamReport{
		Sidecar: netip.AddrFrom4([4]byte{10, 1, 1, i}), Incarnation: 1, Sequence: uint64(r.now), Service: "orders", Zone: zone,
		State: peer.Ready, Busy: busy, Slots: 2, RunTime: 200, Slowdown: 100,
	})
	assert.NilError(r.t, err)
	r.PeerMessage(r.now, b)
}

// request lets a caller send a request through a relay, which takes the given time. It returns whether the local upstream
// got it.
func (r *slowdownRig) request(through netip.Addr, took time.Duration) bool {
	r.port++
	r.clearSent()
	packet := func(flags flow.Flags, seq, ack uint32, size byte, toCaller bool) []byte {
		return binary.BigEndian.AppendUint16(encode(flags, seq, ack, size, toCaller), 1000+r.port)
	}
	send := func(kind peer.Kind, packet []byte) {
		r.PeerMessage(r.now, peer.Carried{Kind: kind, Origin: through, Service: peer.NewServiceID("orders"), Version: 1, Packet: packet}.Append(nil))
	}
	send(peer.KindOffer, packet(flow.SYN, 10, 0, 0, false))
	if len(r.toUpstream) == 0 {
		return false
	}
	r.UpstreamPacket(r.now, packet(flow.SYN|flow.ACK, 500, 11, 0, true))
	send(peer.KindCarry, packet(flow.ACK, 11, 501, 5, false))
	for took > 0 {
		part := min(took, 20*time.Millisecond)
		r.step(part)
		took -= part
	}
	r.UpstreamPacket(r.now, packet(flow.ACK|flow.FIN, 501, 16, 9, true))
	return true
}

// reported returns the slowdown in the last report to a process.
func (r *slowdownRig) reported(to netip.Addr) int {
	r.clearSent()
	b, err := peer.AppendRelay(nil, peer.RelayReport{
		Relay: to, Incarnation: uint64(r.now), Sequence: 1, Zone: map[netip.Addr]string{_relay: "a", _farRelay: "b"}[to],
	})
	assert.NilError(r.t, err)
	r.PeerMessage(r.now, b) // a relay that has started anew gets a report at once
	return int(r.reports[len(r.reports)-1].Slowdown)
}

// TestSlowUpstreamIsReported makes the upstream 4 times as slow as its peers, for all callers or for those of zone b. The
// reports to the relays of the zones must tell it within 40 requests, and the sidecar must pass on flows of these callers although a
// slot is free. Once the upstream is as fast as its peers, the slowdown must end.
func TestSlowUpstreamIsReported(t *testing.T) {
	for name, slow := range map[string]map[netip.Addr]bool{
		"for all": {_relay: true, _farRelay: true}, "for one zone": {_farRelay: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newSlowdownRig(t, true)
			relays := []netip.Addr{_relay, _farRelay}
			for range 20 {
				for _, through := range relays {
					assert.Assert(t, r.request(through, 20*time.Millisecond))
				}
			}
			assert.Equal(t, r.reported(_relay), 100)
			assert.Equal(t, r.SlowdownPercent(r.now), 100)
			beliefs := len(r.beliefs)
			for range 40 {
				for _, through := range relays {
					took := 20 * time.Millisecond
					if slow[through] {
						took *= 4
					}
					r.request(through, took)
					beliefs = max(beliefs, len(r.beliefs))
				}
			}
			assert.Assert(t, r.SlowdownPercent(r.now) > 250)
			for _, through := range relays {
				if slow[through] {
					assert.Assert(t, r.reported(through) > 250)
					assert.Assert(t, !r.request(through, 20*time.Millisecond), "a flow that a peer answers sooner")
				} else {
					assert.Equal(t, r.reported(through), 100)
					assert.Assert(t, r.request(through, 20*time.Millisecond))
				}
			}
			for range 100 { // The slowdown that is reported falls until the upstream gets requests again.
				r.step(200 * time.Millisecond)
				for _, through := range relays {
					r.request(through, 20*time.Millisecond)
				}
			}
			assert.Equal(t, r.SlowdownPercent(r.now), 100)
		})
	}
}

// TestSlowdownNeedsSetting requires that a slow upstream isn't reported and keeps its flows without the setting.
func TestSlowdownNeedsSetting(t *testing.T) {
	r := newSlowdownRig(t, false)
	for range 60 {
		assert.Assert(t, r.request(_relay, 80*time.Millisecond))
	}
	assert.Equal(t, r.reported(_relay), 0)
	assert.Equal(t, r.SlowdownPercent(r.now), 0)
}
