package relay_test

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/datagram"
	"dandelionhitch.example/decision"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/relay"
)

// BenchmarkForward sends datagrams of 1,236 bytes through a relay to the holder of their
// flow and, as the baseline, through a plain UDP forwarder. The ratio of the two times
// is the cost of a relay.
func BenchmarkForward(b *testing.B) {
	packet := encodeLongPacket(1236)
	b.Run("bare", func(b *testing.B) {
		sink := newReceiver(b, netip.MustParseAddrPort("127.0.9.2:0"))
		out, err := datagram.Listen(netip.MustParseAddrPort("127.0.9.1:0"), func([]byte) {})
		assert.NilError(b, err)
		defer out.Close()
		in, err := datagram.Listen(netip.MustParseAddrPort("127.0.9.1:0"), func(p []byte) { out.Send(sink.addr, p) })
		assert.NilError(b, err)
		defer in.Close()
		sink.measure(b, in.Local(), packet)
	})
	b.Run("relay", func(b *testing.B) {
		sink := newReceiver(b, netip.MustParseAddrPort("127.0.9.3:0"))
		recorder := decision.NewRecorder(decision.NewLog(zap.NewNop()), func(decision.Span, time.Duration) {})
		r, err := relay.New(relay.Config{
			Identity: relay.Identity{Addr: netip.MustParseAddr("127.0.9.4"), Zone: "a", Incarnation: rand.Uint64()},
			Ingress:  netip.MustParseAddrPort("127.0.9.4:19021"), PeerPort: sink.addr.Port(),
			PeerListen: netip.MustParseAddrPort("127.0.9.4:19022"), MaxFlows: 1000,
		}, testWire{}, recorder)
		assert.NilError(b, err)
		defer r.Close()
		accepted := peer.Verdict{Outcome: peer.Accepted, Sidecar: sink.addr.Addr(), Flow: _key, Slots: 2}.Append(nil)
		sink.send(b, netip.MustParseAddrPort("127.0.9.4:19022"), accepted)
		for r.Stats().Flows == 0 {
			time.Sleep(time.Millisecond)
		}
		sink.measure(b, netip.MustParseAddrPort("127.0.9.4:19021"), packet)
	})
}

// receiver sends datagrams into a relay and receives those that the relay forwards.
type receiver struct {
	conn *net.UDPConn
	addr netip.AddrPort
}

func newReceiver(b *testing.B, local netip.AddrPort) *receiver {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	assert.NilError(b, err)
	b.Cleanup(func() { conn.Close() })
	return &receiver{conn: conn, addr: conn.LocalAddr().(*net.UDPAddr).AddrPort()}
}

func (r *receiver) send(b *testing.B, to netip.AddrPort, datagram []byte) {
	_, err := r.conn.WriteToUDPAddrPort(datagram, to)
	assert.NilError(b, err)
}

// measure sends b.N datagrams, rounded up to whole windows, and receives them. It
// receives each window before it sends the next one, so that no buffer overflows and no
// datagram is lost.
func (r *receiver) measure(b *testing.B, to netip.AddrPort, packet []byte) {
	const window = 32
	buffer := make([]byte, 1<<16)
	b.ResetTimer()
	for sent := 0; sent < b.N; sent += window {
		for range window {
			r.send(b, to, packet)
		}
		for received := 0; received < window; {
			assert.NilError(b, r.conn.SetReadDeadline(time.Now().Add(time.Second)))
			n, err := r.conn.Read(buffer)
			assert.NilError(b, err)
			if n > len(packet)/2 {
				received++
			}
		}
	}
}
