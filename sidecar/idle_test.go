package sidecar_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/directory"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/sidecar"
)

// idleRig plays a running upstream that keeps all its flows, with callers that pause.
type idleRig struct {
	*rig
	now, nextBeat time.Duration
	idleTimeout   time.Duration
	// usedAt is when each flow was last used, by the caller's port.
	usedAt map[uint16]time.Duration
	port   uint16
}

// newIdleRig returns a rig whose sidecar keeps at most the given number of flows.
func newIdleRig(t *testing.T, maxFlows int) *idleRig {
	r := &idleRig{rig: newRig(t), usedAt: make(map[uint16]time.Duration)}
	r.Core = sidecar.NewCore(sidecar.Identity{
		Addr: _self, Zone: "a", Incarnation: 1, Service: "orders", Upstream: _upstream, Heartbeat: _heartbeat,
	}, testWire{}, r.rig, maxFlows, rand.New(rand.NewPCG(1, 1)))
	r.advance(_idleTick)
	return r
}

const _idleTick = 40 * time.Millisecond

// advance lets time pass, with the upstream's heartbeats.
func (r *idleRig) advance(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += _idleTick
		r.Tick(r.now)
		r.beatIfDue()
	}
}

func (r *idleRig) beatIfDue() {
	for ; r.now >= r.nextBeat; r.nextBeat += _heartbeat {
		assert.NilError(r.t, r.sendHeartbeat(r.now, nil))
	}
}

// stall lets time pass for which the sidecar does not run. It then has one tick before it reads
// what waits in its sockets.
func (r *idleRig) stall(d time.Duration) {
	r.now += d
	r.Tick(r.now)
}

func (r *idleRig) setIdleTimeout(timeout time.Duration) {
	r.idleTimeout = timeout
	r.SetTable(r.now, directory.New(r.Table().Version()+1, timeout, []directory.Route{
		{Address: _address, Shares: []directory.Share{{Service: "orders", Weight: 1}}},
	}), "test")
}

// open opens a flow, and returns the caller's port, or zero if the sidecar does not accept it.
func (r *idleRig) open() uint16 {
	r.port++
	r.clearSent()
	r.fromRelay(r.now, peer.KindOffer, withPort(encode(flow.SYN, 10, 0, 0, false), r.port))
	if len(r.toUpstream) != 1 {
		return 0
	}
	r.UpstreamPacket(r.now, withPort(encode(flow.SYN|flow.ACK, 500, 11, 0, true), r.port))
	r.fromRelay(r.now, peer.KindCarry, withPort(encode(flow.ACK, 11, 501, 5, false), r.port))
	r.UpstreamPacket(r.now, withPort(encode(flow.ACK, 501, 16, 5, true), r.port))
	r.usedAt[r.port] = r.now
	return r.port
}

// ask returns the answer to a relay's question for the holder of a flow.
func (r *idleRig) ask(port uint16) peer.Outcome {
	r.clearSent()
	caller := netip.AddrPortFrom(_caller.Addr(), port)
	r.PeerMessage(r.now, peer.Question{Origin: _relay, Flow: flow.Key{Caller: caller, Address: _address}, Ack: 506}.Append(nil))
	assert.Equal(r.t, len(r.verdicts), 1)
	return r.verdicts[0].Outcome
}

// use sends a packet on a flow that the sidecar must take for open. The upstream answers it.
func (r *idleRig) use(t assert.TestingT, port uint16) {
	idle := r.now - r.usedAt[port]
	r.clearSent()
	r.fromRelay(r.now, peer.KindTry, withPort(encode(flow.ACK, 16, 506, 5, false), port))
	assert.Equal(t, len(r.toUpstream), 1, "flow %d, idle for %v of %v, must reach its upstream", port, idle, r.idleTimeout)
	r.UpstreamPacket(r.now, withPort(encode(flow.ACK, 506, 21, 5, true), port))
	assert.Equal(t, len(r.verdicts), 1)
	assert.Equal(t, r.verdicts[0].Outcome, peer.Held)
	r.usedAt[port] = r.now
}

// TestRaisedIdleTimeoutKeepsOpenFlows guards against resets of open flows that were evicted by an
// idle timeout from before a change of the configuration.
func TestRaisedIdleTimeoutKeepsOpenFlows(t *testing.T) {
	r := newIdleRig(t, 1000)
	r.setIdleTimeout(15 * time.Second)
	r.advance(12 * time.Second)
	port := r.open()
	r.advance(4 * time.Second)
	r.setIdleTimeout(30 * time.Second)
	r.advance(16 * time.Second)
	r.use(t, port)
	assert.Equal(t, r.ask(port), peer.Held)
}

// TestEvictedFlowIsNotDenied guards against a sidecar that denies an open flow since it has evicted
// it. It must be unsure until the idle timeout has passed since the flow can have been used.
func TestEvictedFlowIsNotDenied(t *testing.T) {
	const short, long = 15 * time.Second, 90 * time.Second
	for _, tt := range []struct {
		name  string
		evict func(r *idleRig)
	}{
		{"timeout raised after the eviction", func(r *idleRig) {
			r.setIdleTimeout(short)
			r.advance(55 * time.Second)
			assert.Equal(r.t, r.Flows(), 0)
			r.setIdleTimeout(long)
		}},
		{"timeout lowered for a while", func(r *idleRig) {
			r.setIdleTimeout(long)
			r.advance(20 * time.Second)
			r.setIdleTimeout(short)
			r.advance(40 * time.Second)
			assert.Equal(r.t, r.Flows(), 0)
			r.setIdleTimeout(long)
		}},
		{"no timeout known before", func(r *idleRig) {
			r.setIdleTimeout(0)
			r.advance(55 * time.Second)
			assert.Equal(r.t, r.Flows(), 0)
			assert.Equal(r.t, r.ask(1), peer.Unsure)
			r.setIdleTimeout(long)
		}},
		{"flow table full", func(r *idleRig) {
			r.setIdleTimeout(long)
			for range 100 {
				r.open()
				r.advance(_idleTick)
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := newIdleRig(t, 40)
			r.setIdleTimeout(short)
			r.open()
			tt.evict(r)
			for r.now-r.usedAt[1] < long {
				assert.Equal(t, r.ask(1), peer.Unsure, "%v after its last use", r.now-r.usedAt[1])
				r.advance(time.Second)
			}
			r.advance(short + 20*time.Second) // evicted with flows that were used up to 25 s later
			assert.Equal(t, r.ask(1), peer.NotHeld, "%v after its last use", r.now-r.usedAt[1])
		})
	}
}

// TestUnheardUpstreamMayHoldFlows guards against a sidecar that denies all flows since it has heard no
// heartbeat of its upstream, which has sent packets, or whose heartbeats wait in a socket.
func TestUnheardUpstreamMayHoldFlows(t *testing.T) {
	for _, tt := range []struct {
		name  string
		start func(r *idleRig)
		want  peer.Outcome
	}{
		{"silent", func(r *idleRig) { r.advance(5 * time.Second) }, peer.NotHeld},
		{"sends packets", func(r *idleRig) {
			r.UpstreamPacket(r.now, withPort(encode(flow.ACK, 501, 16, 5, true), 7))
			r.advance(5 * time.Second)
		}, peer.Unsure},
		{"sidecar stalls", func(r *idleRig) { r.stall(5 * time.Second) }, peer.Unsure},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := &idleRig{rig: newRig(t), nextBeat: time.Hour}
			r.advance(time.Second)
			tt.start(r)
			assert.Equal(t, r.ask(1), tt.want)
		})
	}
}

// TestLoweredIdleTimeoutTakesEffect checks that a shorter idle timeout applies to the flows that
// are known already.
func TestLoweredIdleTimeoutTakesEffect(t *testing.T) {
	r := newIdleRig(t, 1000)
	r.setIdleTimeout(10 * time.Minute)
	r.open()
	r.advance(time.Minute)
	assert.Equal(t, r.Flows(), 1)
	r.setIdleTimeout(15 * time.Second)
	r.advance(30 * time.Second)
	assert.Equal(t, r.Flows(), 0)
	assert.Equal(t, r.ask(1), peer.NotHeld)
}

// TestNoOpenFlowIsDenied guards against resets of flows that have not been idle for longer than the
// idle timeout in force, whatever the timeouts before, with a small flow table and stalls.
func TestNoOpenFlowIsDenied(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newIdleRig(t, rapid.SampledFrom([]int{8, 40, 1000}).Draw(rt, "max_flows"))
		drawTimeout := func(t *rapid.T) time.Duration {
			return time.Duration(rapid.SampledFrom([]int{15, 20, 30, 60}).Draw(t, "timeout")) * time.Second
		}
		r.setIdleTimeout(drawTimeout(rt))
		rt.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) { r.open() },
			"configure": func(t *rapid.T) {
				r.setIdleTimeout(drawTimeout(t))
			},
			"wait": func(t *rapid.T) {
				r.advance(time.Duration(rapid.IntRange(1, 200).Draw(t, "wait")) * 100 * time.Millisecond)
			},
			"stall": func(t *rapid.T) {
				r.stall(time.Duration(rapid.IntRange(1, 10).Draw(t, "stall")) * time.Second)
			},
			"use": func(t *rapid.T) {
				for port := uint16(1); port <= r.port; port++ {
					if used, ok := r.usedAt[port]; ok && r.now-used < r.idleTimeout && rapid.Bool().Draw(t, "used") {
						r.use(t, port)
					}
				}
			},
		})
	})
}
