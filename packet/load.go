package packet

import "encoding/binary"

// LoadLen is the length of an encoded Load in octets.
const LoadLen = 5

const _roomAt = 4

// Load is what an agent tells others of its service about its flows.
type Load struct {
	// Level is the number of flows relative to the agent's weight. It only
	// means something beside another agent's level.
	Level uint32
	// Room says that the agent admits new flows.
	Room bool
}

// Put encodes the load into the first LoadLen octets of buf.
func (l Load) Put(buf []byte) {
	binary.BigEndian.PutUint32(buf, l.Level)
	buf[_roomAt] = 0
	if l.Room {
		buf[_roomAt] = 1
	}
}

// ParseLoad decodes a load.
func ParseLoad(octets []byte) (Load, error) {
	if len(octets) != LoadLen {
		return Load{}, ErrShort
	}
	if octets[_roomAt] > 1 {
		return Load{}, ErrMalformed
	}
	return Load{Level: binary.BigEndian.Uint32(octets), Room: octets[_roomAt] == 1}, nil
}
