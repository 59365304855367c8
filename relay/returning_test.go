package relay

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRetryKeepsFirstArrival lets a caller retry refused flows on new flows: each retry
// inherits the arrival time of the first flow.
func TestRetryKeepsFirstArrival(t *testing.T) {
	const ms = time.Millisecond
	caller, other := netip.MustParseAddr("100.64.0.7"), netip.MustParseAddr("100.64.0.8")
	r := make(returningCallers)
	r.add(700*ms, caller, arrival{first: 500 * ms})
	assert.Equal(t, r.takeArrival(710*ms, other), arrival{first: 710 * ms})
	first := r.takeArrival(710*ms, caller)
	assert.Equal(t, first, arrival{first: 500 * ms, retries: 1})
	assert.Equal(t, r.takeArrival(715*ms, caller), arrival{first: 715 * ms}, "the refusal was used by the first retry")

	r.add(720*ms, caller, first)
	second := r.takeArrival(725*ms, caller)
	assert.Equal(t, second, arrival{first: 500 * ms, retries: 2})
	r.add(730*ms, caller, second)
	assert.Equal(t, r.takeArrival(735*ms, caller), arrival{first: 735 * ms}, "callers retry at most twice")
}

// TestRefusalExpires checks that a flow that begins after _retryWindow does not inherit
// the arrival time of a refused one.
func TestRefusalExpires(t *testing.T) {
	caller := netip.MustParseAddr("100.64.0.7")
	r := make(returningCallers)
	r.add(0, caller, arrival{})
	later := _retryWindow + time.Millisecond
	assert.Equal(t, r.takeArrival(later, caller), arrival{first: later})
	r.add(0, caller, arrival{})
	r.expire(later)
	assert.Equal(t, len(r), 0)
}

// TestReturningCallersAreBounded refuses more than _maxReturningCallers callers. The
// relay must not remember more than that.
func TestReturningCallersAreBounded(t *testing.T) {
	r := make(returningCallers)
	for i := range _maxReturningCallers + 10 {
		r.add(0, netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), arrival{})
	}
	assert.Equal(t, len(r), _maxReturningCallers)
}
