package balancer

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

// The layout of struct in_pktinfo in octets: interface, local address, and the
// destination in the IP header.
const (
	_pktinfoDestination = 8
	_pktinfoLen         = 12
)

// askDestination makes the kernel report each datagram's destination.
func askDestination(conn *net.UDPConn) error {
	return ipv4.NewPacketConn(conn).SetControlMessage(ipv4.FlagDst, true)
}

// parseDestination reads a datagram's destination from its control messages.
// It does not allocate.
func parseDestination(oob []byte) (netip.Addr, bool) {
	for len(oob) >= unix.SizeofCmsghdr {
		header, data, rest, err := unix.ParseOneSocketControlMessage(oob)
		if err != nil {
			return netip.Addr{}, false
		}
		if header.Level == unix.IPPROTO_IP && header.Type == unix.IP_PKTINFO && len(data) >= _pktinfoLen {
			return netip.AddrFrom4([4]byte(data[_pktinfoDestination:_pktinfoLen])), true
		}
		oob = rest
	}
	return netip.Addr{}, false
}

// marshalSource returns the control message that makes a datagram leave from ip.
func marshalSource(ip netip.Addr) []byte {
	control := ipv4.ControlMessage{Src: ip.AsSlice()}
	return control.Marshal()
}
