package standin

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/platform"
)

// _checksumKey is the key of the packets' checksums. Real callers and upstreams use keyed
// checksums, too.
const _checksumKey = 0x5eed

// OpaquePacket is a packet of an OpaqueCall or OpaqueUpstream, with its data.
type OpaquePacket struct {
	flow.Packet
	Data []byte
}

// Encode returns the wire form of the packet, with its checksum.
func (p OpaquePacket) Encode() []byte {
	p.Size = len(p.Data)
	return platform.AppendPacket(nil, p.Packet, p.checksum(), p.Data)
}

// checksum covers all fields that relays and sidecars must not change in transit.
func (p OpaquePacket) checksum() uint32 {
	b := binary.BigEndian.AppendUint64(nil, _checksumKey)
	b = append(b, p.Source.String()...)
	b = append(b, p.Destination.String()...)
	b = append(b, byte(p.Flags&^flow.Bounced))
	b = binary.BigEndian.AppendUint32(b, p.Seq)
	b = binary.BigEndian.AppendUint32(b, p.Ack)
	return uint32(xxhash.Sum64(append(b, p.Data...)))
}

// DecodeOpaque decodes a packet and reports whether its checksum is correct. A reset
// that a relay or sidecar sends has no valid checksum.
func DecodeOpaque(b []byte) (OpaquePacket, bool) {
	header, err := platform.PacketWire{}.Decode(b)
	if err != nil {
		return OpaquePacket{}, false
	}
	p := OpaquePacket{Packet: header, Data: b[len(b)-header.Size:]}
	return p, platform.PacketChecksum(b) == p.checksum()
}
