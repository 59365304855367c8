package route_test

import (
	"fmt"
	"net/netip"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/route"
)

// A datagram whose connection ID names no agent, and which opens no flow, is dropped.
func ExampleDecider_Decide() {
	address := netip.MustParseAddrPort("198.51.100.1:443")
	table, err := route.New([]route.Service{{
		ID:         7,
		Addresses:  []netip.AddrPort{address},
		Candidates: []route.Candidate{{Addr: netip.MustParseAddrPort("10.0.0.1:7000"), Weight: 1}},
	}})
	if err != nil {
		fmt.Println(err)
		return
	}
	var decider route.Decider
	datagram := make([]byte, 100)
	switch d := decider.Decide(table, new(packet.Keys), address, datagram).(type) {
	case *route.Forward:
		fmt.Println("forward to", d.Target)
	case *route.Reset:
		fmt.Println("reset")
	case route.Drop:
		fmt.Println("drop:", d)
	}
	// Output: drop: unknown_flow
}
