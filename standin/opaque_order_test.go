package standin

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
)

// TestPacketOrderIsChecked delivers the packets of a flow as a faulty sidecar would. Each fault
// must be a violation; a dropped copy must not.
func TestPacketOrderIsChecked(t *testing.T) {
	const a, b, other = "a", "b", "other" // a and b are the data of the packets that arrive
	for _, tt := range []struct {
		name      string
		delivered []string
		after     time.Duration
		violated  bool
	}{
		{"in order", []string{a, b}, 0, false},
		{"first one dropped", []string{b}, 0, false},
		{"out of order", []string{b, a}, 0, true},
		{"twice", []string{a, a}, 0, true},
		{"changed", []string{other}, 0, true},
		{"held", []string{a, b}, _coreTick, false},
		{"held for too long", []string{a, b}, _coreTick + time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := NewSimulation(1)
			vm := s.AddHost("a", "orders", nil)
			packet := func(data string) []byte {
				return OpaquePacket{Packet: flow.Packet{
					Source: netip.MustParseAddrPort("100.64.0.1:1024"), Destination: netip.MustParseAddrPort("198.18.0.1:443"), Flags: flow.ACK,
				}, Data: []byte(data)}.Encode()
			}
			s.Run(time.Second)
			for _, data := range []string{a, b} {
				vm.order.Arrive(s.now, peer.Carried{Kind: peer.KindCarry, Origin: vm.Addr, Packet: packet(data)}.Append(nil))
			}
			s.Run(time.Second + tt.after)
			for _, data := range tt.delivered {
				vm.checkOrder(packet(data))
			}
			assert.Equal(t, len(s.Violations) > 0, tt.violated, "%v", s.Violations)
		})
	}
}
