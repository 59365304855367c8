package relay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/evacuation"
	"dandelionhitch.example/peer"
)

// TestKnownUpstreams guards against upstreams that count as eligible although the relay offers
// them no new flows, and against the age of a load that counts as the age of a report.
func TestKnownUpstreams(t *testing.T) {
	c := newTestCore(t)
	c.sendReportFrom(_afterStartup, _firstSidecar, "a", 1, peer.Ready)
	c.sendReportFrom(_afterStartup, _secondSidecar, "b", 1, peer.Ready)
	now := _afterStartup + 100*time.Millisecond
	c.sendVerdict(now, _firstSidecar, peer.Accepted, nil)
	known := c.Upstreams(now)
	assert.Equal(t, len(known), 2)
	for i, want := range []time.Duration{0, 100 * time.Millisecond} {
		assert.Assert(t, known[i].Eligible)
		assert.Equal(t, known[i].LoadAge, want)
		assert.Equal(t, known[i].NoRoomAge, 100*time.Millisecond)
	}
	zones, err := evacuation.New(1, []string{"b"})
	assert.NilError(t, err)
	c.SetEvacuations(now, zones, "test")
	c.sendReportFrom(now, _firstSidecar, "a", 2, peer.Draining)
	for _, u := range c.Upstreams(now) {
		assert.Assert(t, !u.Eligible, "%v", u.Sidecar)
	}
}
