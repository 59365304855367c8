package sidecar_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/sidecar"
)

// identityBeliefs returns the beliefs about the identity of the upstream.
func (r *rig) identityBeliefs() []decision.Belief {
	var out []decision.Belief
	for _, b := range r.beliefs {
		if b.Subject == decision.IdentitySubject {
			out = append(out, b)
		}
	}
	return out
}

// TestHeartbeatsOfOtherUpstreamsAreReported guards against a record from which one can't tell
// that an upstream of another service reported to this sidecar.
func TestHeartbeatsOfOtherUpstreamsAreReported(t *testing.T) {
	r := newRig(t)
	assert.NilError(t, r.beat(0, "i-1", 5000, 1, false))
	h := sidecar.Heartbeat{ID: "i-2", Service: "rounds", Addr: _upstream, Slots: 2, Born: 9000, Sequence: 1}
	assert.ErrorContains(t, r.Heartbeat(time.Second, h), `service "rounds"`)
	h.Service, h.Addr, h.Sequence = "orders", netip.AddrPortFrom(_peer, 8080), 2
	assert.ErrorContains(t, r.Heartbeat(2*time.Second, h), "10.1.0.2:8080")
	beliefs := r.identityBeliefs()
	assert.Equal(t, len(beliefs), 2)
	assert.Equal(t, beliefs[0].From, "orders")
	assert.Equal(t, beliefs[0].To, "rounds")
	assert.Equal(t, beliefs[0].Reason, `heartbeat of "i-2" at 10.1.0.1:8080`)
	assert.Equal(t, beliefs[0].Age, time.Second)
	assert.Equal(t, r.Counts().OtherUpstreamHeartbeats, uint64(2))
	assert.Equal(t, r.Counts().IgnoredHeartbeats, uint64(2))
}
