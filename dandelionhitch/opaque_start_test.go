package main

import (
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/datagram"
)

// TestProcessWaitsForAddressesOfItsPredecessor guards against a process that ends again and
// again at its start, while another one at the same address still drains.
func TestProcessWaitsForAddressesOfItsPredecessor(t *testing.T) {
	for role, addr := range map[string]netip.Addr{"relay": netip.MustParseAddr("127.0.7.50"), "sidecar": netip.MustParseAddr("127.0.7.51")} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			peers, err := datagram.Listen(netip.AddrPortFrom(addr, _testPeerPort), func([]byte) {})
			assert.NilError(t, err)
			control, err := net.Listen("tcp4", netip.AddrPortFrom(addr, _testControlPort).String())
			assert.NilError(t, err)
			p := launchConfigured(t, role, addr)
			p.awaitLines(`"address in use, waiting"`, 1)
			assert.NilError(t, peers.Close())
			p.awaitLines(`"address in use, waiting"`, 2)
			assert.NilError(t, control.Close())
			p.awaitLines(`"`+role+` started"`, 1)
			p.stop()
		})
	}
}
