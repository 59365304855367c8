package balancer

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

// The offset of the destination address in struct in_pktinfo, and the length of the
// struct, in octets. The fields of the struct are the interface index, the local
// address, and the destination address of the IP header, of 4 octets each.
const (
	_pktinfoDestinationOffset = 8
	_pktinfoLen               = 12
)

// enableDestination makes the kernel report the destination address of each datagram
// on conn in a control message.
func enableDestination(conn *net.UDPConn) error {
	return ipv4.NewPacketConn(conn).SetControlMessage(ipv4.FlagDst, true)
}

// parseDestination returns the destination address of a datagram from its control
// messages, which oob holds. It reports false if they are malformed or contain no
// destination address. It does not allocate.
func parseDestination(oob []byte) (netip.Addr, bool) {
	for len(oob) >= unix.SizeofCmsghdr {
		header, data, rest, err := unix.ParseOneSocketControlMessage(oob)
		if err != nil {
			return netip.Addr{}, false
		}
		if header.Level == unix.IPPROTO_IP && header.Type == unix.IP_PKTINFO && len(data) >= _pktinfoLen {
			return netip.AddrFrom4([4]byte(data[_pktinfoDestinationOffset:_pktinfoLen])), true
		}
		oob = rest
	}
	return netip.Addr{}, false
}

// marshalSourceMessage returns the control message that sets the source address of a
// sent datagram to ip.
func marshalSourceMessage(ip netip.Addr) []byte {
	control := ipv4.ControlMessage{Src: ip.AsSlice()}
	return control.Marshal()
}
