package standin

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/platform"
)

// _checksumKey is the key of the packets' checksums. Real callers and upstreams use keyed
// checksums, too.
const _checksumKey = 0x5eed

// _answerEnd is the last byte of an answer on a long-lived flow, which has no end that would
// mark the end of the answer.
const _answerEnd = '\n'

// encodeRequest returns a request as it is sent. The text of a request on a flow of its own
// that fits into one packet is sent as it is. Otherwise, "+" and the number of bytes that
// follow the header are added, with "k" if the flow is to be kept open, and a space.
func encodeRequest(text string, size int, longLived bool) []byte {
	if size == 0 && !longLived {
		return []byte(text)
	}
	keep := ""
	if longLived {
		keep = "k"
	}
	return append(fmt.Appendf(nil, "%s+%d%s ", text, size, keep), make([]byte, size)...)
}

// decodeRequest decodes the packets of a request, and reports whether it is complete.
func decodeRequest(data []byte) (text string, longLived, complete bool) {
	text, header, hasHeader := strings.Cut(string(data), "+")
	if !hasHeader {
		return text, false, true
	}
	header, rest, ok := strings.Cut(header, " ")
	size := 0
	_, err := fmt.Sscan(strings.TrimSuffix(header, "k"), &size)
	return text, strings.HasSuffix(header, "k"), ok && err == nil && len(rest) >= size
}

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
