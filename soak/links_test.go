package soak

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRunsHaveTheirOwnPorts starts many runs beside each other, which all have the
// same addresses.
func TestRunsHaveTheirOwnPorts(t *testing.T) {
	const runs = 100
	taken := make(map[uint16]bool)
	for range runs {
		r, err := reservePorts()
		assert.NilError(t, err)
		defer r.close()
		p := r.ports
		for _, port := range []uint16{p.ingress, p.ready, p.control, p.outbound, p.upstream, p.peer, p.behind} {
			assert.Assert(t, !taken[port], "port %d is given twice", port)
			taken[port] = true
		}
	}
}
