package standin

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/platform"
)

// _wireSecret keys the sums of stand-in packets, as the users' ends key theirs.
const _wireSecret = 0x5eed

// OpaquePacket is a packet of a stand-in caller or upstream, with its data.
type OpaquePacket struct {
	flow.Packet
	Data []byte
}

// Encode returns the packet with its sum.
func (p OpaquePacket) Encode() []byte {
	p.Size = len(p.Data)
	return platform.AppendPacket(nil, p.Packet, p.sum(), p.Data)
}

// sum is over all that must not be changed on the way.
func (p OpaquePacket) sum() uint32 {
	b := binary.BigEndian.AppendUint64(nil, _wireSecret)
	b = append(b, p.Source.String()...)
	b = append(b, p.Destination.String()...)
	b = append(b, byte(p.Flags&^flow.Bounced))
	b = binary.BigEndian.AppendUint32(b, p.Seq)
	b = binary.BigEndian.AppendUint32(b, p.Ack)
	return uint32(xxhash.Sum64(append(b, p.Data...)))
}

// DecodeOpaque reads a packet and reports whether its sum is right. A reset of a
// relay or sidecar has none.
func DecodeOpaque(b []byte) (OpaquePacket, bool) {
	header, err := platform.PacketWire{}.Decode(b)
	if err != nil {
		return OpaquePacket{}, false
	}
	p := OpaquePacket{Packet: header, Data: b[len(b)-header.Size:]}
	return p, platform.PacketSum(b) == p.sum()
}
