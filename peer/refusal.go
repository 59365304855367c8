package peer

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
)

// _refusalSize is the size of a Refusal in bytes.
const _refusalSize = 1 + 1 + 2 + 4

// Refusal tells the relays of a zone that a caller's flow was refused. The caller retries
// on another flow, which routers may send to any of them.
type Refusal struct {
	Caller netip.Addr
	// Waited is the time since the opening packet of the caller's first attempt arrived,
	// in whole ms, at most _maxWaited.
	Waited time.Duration
	// Retries is how often the caller has retried before this refusal.
	Retries uint8
}

// Append appends the message to b.
func (r Refusal) Append(b []byte) []byte {
	caller := r.Caller.As4()
	b = append(b, byte(KindRefusal), r.Retries)
	b = binary.BigEndian.AppendUint16(b, uint16(min(max(r.Waited, 0), _maxWaited)/time.Millisecond))
	return append(b, caller[:]...)
}

// DecodeRefusal decodes a message of KindRefusal.
func DecodeRefusal(b []byte) (Refusal, error) {
	if len(b) != _refusalSize {
		return Refusal{}, trace.BadParameter("refusal: message of %d bytes, want %d", len(b), _refusalSize)
	}
	waited := time.Duration(binary.BigEndian.Uint16(b[2:])) * time.Millisecond
	if waited > _maxWaited {
		return Refusal{}, trace.BadParameter("refusal: waited %v, more than %v", waited, _maxWaited)
	}
	return Refusal{Retries: b[1], Waited: waited, Caller: netip.AddrFrom4([4]byte(b[4:8]))}, nil
}
