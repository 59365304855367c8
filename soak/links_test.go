package soak

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestReservedPortsAreDistinct reserves the ports of 100 concurrent runs. All runs use the
// same IP addresses, so if two runs got the same port, one of them would fail to listen.
func TestReservedPortsAreDistinct(t *testing.T) {
	const runs = 100
	taken := make(map[uint16]bool)
	for range runs {
		r, err := reservePorts()
		assert.NilError(t, err)
		defer r.close()
		p := r.ports
		for _, port := range []uint16{p.ingress, p.ready, p.control, p.outbound, p.upstream, p.peer, p.peerListen} {
			assert.Assert(t, !taken[port], "port %d is reserved twice", port)
			taken[port] = true
		}
	}
}
