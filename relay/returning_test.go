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
	r := newReturningCallers()
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

// TestRefusalExpires checks that a flow that begins after the window does not inherit
// the arrival time of a refused one.
func TestRefusalExpires(t *testing.T) {
	caller := netip.MustParseAddr("100.64.0.7")
	r := newReturningCallers()
	r.add(0, caller, arrival{})
	later := _initialRetryWindow + time.Millisecond
	assert.Equal(t, r.takeArrival(later, caller), arrival{first: later})
	r.add(0, caller, arrival{})
	r.expire(later)
	assert.Equal(t, len(r.refusals), 0)
}

// TestReturningCallersAreBounded refuses more than _maxReturningCallers callers. The
// relay must not remember more than that.
func TestReturningCallersAreBounded(t *testing.T) {
	r := newReturningCallers()
	for i := range _maxReturningCallers + 10 {
		r.add(0, netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), arrival{})
	}
	assert.Equal(t, len(r.refusals), _maxReturningCallers)
}

// TestWindowFollowsRoundTrips checks that refusals are remembered for as long as callers
// take to return, as observed, so that few new flows of another user at the same address
// are taken for retries.
func TestWindowFollowsRoundTrips(t *testing.T) {
	r := newReturningCallers()
	for range 50 {
		r.roundTrip.observe(2 * time.Millisecond)
	}
	assert.Equal(t, r.window(), _minRetryWindow)
	for range 50 {
		r.roundTrip.observe(60 * time.Millisecond)
	}
	assert.Assert(t, r.window() > 60*time.Millisecond && r.window() <= _maxRetryWindow, "%v", r.window())
}
