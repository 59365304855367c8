package roster

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAddressPassesToAnotherService guards against new flows to an upstream whose address an
// agent of another service has, also if a late record of the earlier run arrives.
func TestAddressPassesToAnotherService(t *testing.T) {
	r := New()
	old := testUpstream(1)
	r.Announce(0, old)
	later := old
	later.Service, later.Name = old.Service+1, "fotoarkiv"
	later.Incarnation, later.Seq = old.Incarnation+1, 1
	r.Announce(time.Second, later)
	late := old
	late.Seq = 9
	r.Announce(2*time.Second, late)

	view := r.View(time.Minute)
	assert.Equal(t, len(view.Services[old.Service]), 0)
	assert.Equal(t, len(view.Services[later.Service]), 1)
	assert.Assert(t, slices.Equal(view.Gone, []GoneRun{{old.Data, old.Incarnation}}))
	neighbour := testUpstream(2)
	neighbour.Service = old.Service
	assert.Equal(t, len(r.Peers(neighbour, 5)), 0)
	status, known := r.Status(UpstreamKey(old.Data))
	assert.Assert(t, known && status.Highest == later.Incarnation && status.Ended == old.Incarnation)
}
