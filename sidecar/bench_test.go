package sidecar_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/directory"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/sidecar"
)

// discard is an Outbox that drops everything.
type discard struct{}

func (discard) ToCaller(netip.Addr, []byte)              {}
func (discard) ToPeer(netip.Addr, []byte)                {}
func (discard) ToUpstream([]byte)                        {}
func (discard) LogDecision(decision.Record)              {}
func (discard) LogBelief(decision.Belief)                {}
func (discard) ObserveSpan(decision.Span, time.Duration) {}

// newBenchCore returns a core whose upstream is ready and has the given number of slots.
func newBenchCore(slots int, opts ...sidecar.Option) *sidecar.Core {
	c := sidecar.NewCore(sidecar.Identity{
		Addr: _self, Zone: "a", Incarnation: 1, Service: "orders", Upstream: _upstream, Heartbeat: time.Hour,
	}, testWire{}, discard{}, 1<<14, rand.New(rand.NewPCG(1, 1)), opts...)
	c.SetTable(0, directory.New(1, 0, []directory.Route{
		{Address: _address, Shares: []directory.Share{{Service: "orders", Weight: 1}}, TargetLatency: 100 * time.Millisecond, Timeout: time.Second},
		{Address: _importantAddress, Shares: []directory.Share{{Service: "orders", Weight: 1}}, Priority: 1, TargetLatency: 100 * time.Millisecond, Timeout: time.Second},
	}), "test")
	_ = c.Heartbeat(time.Millisecond, sidecar.Heartbeat{ID: "i", Service: "orders", Addr: _upstream, Slots: slots, Sequence: 1})
	return c
}

// benchPacket returns a caller's packet from the given port.
func benchPacket(flags flow.Flags, seq uint32, size byte, port uint16) []byte {
	return append(encode(flags, seq, 1, size, false), byte(port>>8), byte(port))
}

func offerMessage(packet []byte) []byte {
	return peer.Carried{Kind: peer.KindOffer, Origin: _relay, Service: peer.NewServiceID("orders"), Version: 1, Packet: packet}.Append(nil)
}

// BenchmarkRequest measures a whole flow at a sidecar: the offer, the upstream's consent,
// the caller's request, the answer and its end.
func BenchmarkRequest(b *testing.B) {
	c := newBenchCore(2)
	b.ReportAllocs()
	for i := range b.N {
		now, port := time.Duration(i)*time.Millisecond, uint16(1024+i%60_000)
		c.PeerMessage(now, offerMessage(benchPacket(flow.SYN, uint32(i), 0, port)))
		suffix := []byte{byte(port >> 8), byte(port)}
		c.UpstreamPacket(now, append(encode(flow.SYN|flow.ACK, 0, 0, 0, true), suffix...))
		c.PeerMessage(now, peer.Carried{Kind: peer.KindCarry, Origin: _relay, Packet: benchPacket(flow.ACK, uint32(i)+1, 10, port)}.Append(nil))
		c.UpstreamPacket(now, append(encode(flow.ACK|flow.FIN, 1, 0, 100, true), suffix...))
	}
}

// BenchmarkRefusal measures an offer that a sidecar refuses, since its upstream is full
// and waiting flows would keep the offered one beyond its target.
func BenchmarkRefusal(b *testing.B) {
	c := newBenchCore(1)
	for port := range uint16(20) {
		c.PeerMessage(time.Millisecond, offerMessage(benchPacket(flow.SYN, 1, 0, 1+port)))
	}
	message := offerMessage(benchPacket(flow.SYN, 1, 0, 5000))
	b.ReportAllocs()
	for range b.N {
		c.PeerMessage(time.Millisecond, message)
	}
}

// BenchmarkQuestion measures the answer to a question about a flow that the sidecar does
// not know.
func BenchmarkQuestion(b *testing.B) {
	c := newBenchCore(2)
	message := peer.Question{Origin: _relay, Flow: flow.Key{Caller: _caller, Address: _address}}.Append(nil)
	b.ReportAllocs()
	for range b.N {
		c.PeerMessage(time.Millisecond, message)
	}
}

// BenchmarkOpenFlowRequest measures a request on an open flow that is not held, and its answer,
// with and without admission by priority.
func BenchmarkOpenFlowRequest(b *testing.B) {
	for _, prioritized := range []bool{false, true} {
		b.Run(fmt.Sprintf("prioritized=%v", prioritized), func(b *testing.B) {
			carry, answer := openBenchFlow(newBenchCore(2, sidecar.WithPriorityAdmission(prioritized)))
			now := time.Second
			b.ReportAllocs()
			for range b.N {
				now += time.Millisecond
				carry(now)
				answer(now)
			}
		})
	}
}
