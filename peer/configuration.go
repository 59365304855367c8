package peer

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

// Limits of the messages that transfer configurations.
const (
	// MaxPartData is the number of bytes of a payload in one Part. With its headers, a Part stays
	// below an MTU of 1,280 bytes.
	MaxPartData = 1152
	// MaxParts is the maximum number of parts of a payload.
	MaxParts = 1 << 12
	// MaxPartsPerAsk is the maximum number of parts that one Ask requests.
	MaxPartsPerAsk = 32
	// MaxOtherHolders is the maximum number of other holders that one Defer names.
	MaxOtherHolders = 8
)

// Sizes in bytes of a PayloadID, and of an Ask, a Part and a Defer without their
// variable-length fields.
const (
	_payloadIDSize = 8 + 8 + 8
	_askSize       = 1 + 1 + 4 + 8 + 8 + _payloadIDSize + 1
	_partSize      = 1 + 4 + _payloadIDSize + 4 + 2 + 4
	_deferSize     = 1 + 4 + 8 + 2 + 1
)

// PayloadID identifies the data from which a process gets a version of the configuration: the
// whole table or the change from an earlier version.
type PayloadID struct {
	// Version is the version that the payload yields. Base is the version to which the payload
	// must be applied, or zero if it holds the whole table.
	Version, Base uint64
	// Sum is a checksum of the data. It distinguishes payloads with the same versions.
	Sum uint64
}

func (p PayloadID) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, p.Version)
	b = binary.BigEndian.AppendUint64(b, p.Base)
	return binary.BigEndian.AppendUint64(b, p.Sum)
}

func decodePayloadID(b []byte) PayloadID {
	return PayloadID{
		Version: binary.BigEndian.Uint64(b), Base: binary.BigEndian.Uint64(b[8:]), Sum: binary.BigEndian.Uint64(b[16:]),
	}
}

// Ask requests parts of a payload that yields a version higher than the asker's.
type Ask struct {
	// Asker is the process that sends the message.
	Asker netip.Addr
	// Relay is set if the asker is a relay.
	Relay bool
	// CurrentVersion is the version in force at the asker, or zero if there is none, and
	// CurrentSum is the checksum of its encoded table.
	CurrentVersion, CurrentSum uint64
	// Payload identifies the payload of which the asker has parts already. If its version is
	// zero, the receiver chooses the payload.
	Payload PayloadID
	// Parts holds the indexes of the requested parts. If it is empty, the message is a receipt:
	// the whole payload has arrived.
	Parts []uint16
}

// Append appends the message to b.
func (a Ask) Append(b []byte) []byte {
	asker := a.Asker.As4()
	b = append(b, byte(KindAsk), 0)
	if a.Relay {
		b[len(b)-1] = 1
	}
	b = append(b, asker[:]...)
	b = binary.BigEndian.AppendUint64(b, a.CurrentVersion)
	b = binary.BigEndian.AppendUint64(b, a.CurrentSum)
	b = a.Payload.append(b)
	b = append(b, byte(len(a.Parts)))
	for _, index := range a.Parts {
		b = binary.BigEndian.AppendUint16(b, index)
	}
	return b
}

// DecodeAsk decodes a message of KindAsk.
func DecodeAsk(b []byte) (Ask, error) {
	if len(b) < _askSize {
		return Ask{}, trace.BadParameter("ask: message of %d bytes is too short", len(b))
	}
	count := int(b[_askSize-1])
	if count > MaxPartsPerAsk || len(b) != _askSize+2*count || b[1] > 1 {
		return Ask{}, trace.BadParameter("ask: part count %d, message length of %d bytes or role %d is invalid", count, len(b), b[1])
	}
	a := Ask{
		Relay:          b[1] == 1,
		Asker:          netip.AddrFrom4([4]byte(b[2:6])),
		CurrentVersion: binary.BigEndian.Uint64(b[6:]),
		CurrentSum:     binary.BigEndian.Uint64(b[14:]),
		Payload:        decodePayloadID(b[22:]),
		Parts:          make([]uint16, count),
	}
	for i := range a.Parts {
		a.Parts[i] = binary.BigEndian.Uint16(b[_askSize+2*i:])
	}
	return a, nil
}

// Part carries one part of a payload. All parts but the last have MaxPartData bytes.
type Part struct {
	// Holder is the process that sends the message.
	Holder  netip.Addr
	Payload PayloadID
	// Size is the size of the whole payload in bytes.
	Size uint32
	// Index is the index of the part in the payload, from 0.
	Index uint16
	// Data is the part. It aliases the datagram.
	Data []byte
}

// PartCount returns the number of parts of a payload of the given size in bytes.
func PartCount(size uint32) int { return (int(size) + MaxPartData - 1) / MaxPartData }

// Append appends the message to b.
func (p Part) Append(b []byte) []byte {
	holder := p.Holder.As4()
	b = append(b, byte(KindPart))
	b = append(b, holder[:]...)
	b = p.Payload.append(b)
	b = binary.BigEndian.AppendUint32(b, p.Size)
	b = binary.BigEndian.AppendUint16(b, p.Index)
	sumOffset := len(b)
	b = append(append(b, 0, 0, 0, 0), p.Data...)
	binary.BigEndian.PutUint32(b[sumOffset:], partSum(b[sumOffset+4-_partSize:]))
	return b
}

// partSum returns the checksum of a message of KindPart, computed without the bytes that hold
// the checksum.
func partSum(b []byte) uint32 {
	var d xxhash.Digest
	d.Reset()
	// A digest's Write never fails.
	_, _ = d.Write(b[:_partSize-4])
	_, _ = d.Write(b[_partSize:])
	return uint32(d.Sum64())
}

// DecodePart decodes a message of KindPart. It fails if the checksum or the size is wrong.
func DecodePart(b []byte) (Part, error) {
	if len(b) <= _partSize {
		return Part{}, trace.BadParameter("part: message of %d bytes is too short", len(b))
	}
	p := Part{
		Holder:  netip.AddrFrom4([4]byte(b[1:5])),
		Payload: decodePayloadID(b[5:]),
		Size:    binary.BigEndian.Uint32(b[29:]),
		Index:   binary.BigEndian.Uint16(b[33:]),
		Data:    b[_partSize:],
	}
	offset := int(p.Index) * MaxPartData
	switch {
	case partSum(b) != binary.BigEndian.Uint32(b[35:]):
		return Part{}, trace.BadParameter("part %d of configuration %d: checksum mismatch", p.Index, p.Payload.Version)
	case p.Payload.Version <= p.Payload.Base:
		return Part{}, trace.BadParameter("part: payload changes configuration %d to %d, which is not higher",
			p.Payload.Base, p.Payload.Version)
	case p.Size > MaxParts*MaxPartData:
		return Part{}, trace.LimitExceeded("part: payload of %d bytes is too large", p.Size)
	case offset >= int(p.Size) || len(p.Data) != min(MaxPartData, int(p.Size)-offset):
		return Part{}, trace.BadParameter("part: %d bytes at offset %d do not fit a payload of %d bytes", len(p.Data), offset, p.Size)
	}
	return p, nil
}

// Defer answers an Ask that is not served now.
type Defer struct {
	// Holder is the process that sends the message.
	Holder netip.Addr
	// Version is the version in force at the holder.
	Version uint64
	// RetryAfter is how long the asker should wait before it asks again, in whole ms.
	RetryAfter time.Duration
	// OtherHolders are processes that have the version, as far as the holder knows.
	OtherHolders []netip.Addr
}

// Append appends the message to b.
func (d Defer) Append(b []byte) []byte {
	holder := d.Holder.As4()
	b = append(b, byte(KindDefer))
	b = append(b, holder[:]...)
	b = binary.BigEndian.AppendUint64(b, d.Version)
	b = binary.BigEndian.AppendUint16(b, uint16(min(max(d.RetryAfter, 0), _maxWaited)/time.Millisecond))
	b = append(b, byte(len(d.OtherHolders)))
	for _, other := range d.OtherHolders {
		ip := other.As4()
		b = append(b, ip[:]...)
	}
	return b
}

// DecodeDefer decodes a message of KindDefer.
func DecodeDefer(b []byte) (Defer, error) {
	if len(b) < _deferSize {
		return Defer{}, trace.BadParameter("defer: message of %d bytes is too short", len(b))
	}
	count := int(b[_deferSize-1])
	if count > MaxOtherHolders || len(b) != _deferSize+4*count {
		return Defer{}, trace.BadParameter("defer: %d other holders do not fit a message of %d bytes", count, len(b))
	}
	d := Defer{
		Holder:     netip.AddrFrom4([4]byte(b[1:5])),
		Version:    binary.BigEndian.Uint64(b[5:]),
		RetryAfter: time.Duration(binary.BigEndian.Uint16(b[13:])) * time.Millisecond,
	}
	for i := range count {
		d.OtherHolders = append(d.OtherHolders, netip.AddrFrom4([4]byte(b[_deferSize+4*i:])))
	}
	return d, nil
}
