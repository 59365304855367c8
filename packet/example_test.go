package packet_test

import (
	"bytes"
	"fmt"
	"net/netip"

	"dandelionhitch.example/packet"
)

// A balancer wraps a datagram in its receive buffer, and the agent unwraps it.
func ExampleWrap() {
	keys, err := packet.NewKeys(packet.KeyFile{Current: 1, Keys: []packet.KeySpec{{
		Number: 1,
		CID:    bytes.Repeat([]byte{1}, 16),
		MAC:    bytes.Repeat([]byte{2}, 16),
		Reset:  bytes.Repeat([]byte{3}, 32),
		Token:  bytes.Repeat([]byte{4}, 32),
	}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	buf := make([]byte, packet.MaxWrapped)
	n := copy(buf[packet.HeaderLen:], "datagram")
	header := packet.Header{
		Kind:     packet.Flow,
		Service:  7,
		Caller:   netip.MustParseAddrPort("192.0.2.1:4000"),
		Address:  netip.MustParseAddrPort("198.51.100.1:443"),
		Balancer: netip.MustParseAddrPort("10.0.0.9:7000"),
	}
	wrapped, err := packet.Wrap(keys, &header, buf, n)
	if err != nil {
		fmt.Println(err)
		return
	}
	got, datagram, err := packet.Unwrap(keys, wrapped)
	fmt.Println(got.Caller, string(datagram), err)
	// Output: 192.0.2.1:4000 datagram <nil>
}
