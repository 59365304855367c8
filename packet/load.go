package packet

import "encoding/binary"

// LoadLen is the length of an encoded Load in octets.
const LoadLen = 5

const _roomAt = 4

// Load is the load that an agent reports to the other agents of its service.
type Load struct {
	// Level is the number of the agent's flows divided by its weight, in a unit that is
	// only useful for comparing levels.
	Level uint32
	// Room reports whether the agent admits new flows.
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

// ParseLoad decodes a load. It returns ErrShort or ErrMalformed for other input.
func ParseLoad(octets []byte) (Load, error) {
	if len(octets) != LoadLen {
		return Load{}, ErrShort
	}
	if octets[_roomAt] > 1 {
		return Load{}, ErrMalformed
	}
	return Load{Level: binary.BigEndian.Uint32(octets), Room: octets[_roomAt] == 1}, nil
}
