package relay

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReturningCallerKeepsItsAge plays a caller that is refused and tries again on
// new flows.
func TestReturningCallerKeepsItsAge(t *testing.T) {
	const ms = time.Millisecond
	caller, other := netip.MustParseAddr("100.64.0.7"), netip.MustParseAddr("100.64.0.8")
	r := make(returning)
	r.refused(700*ms, caller, firstAsk{came: 500 * ms})
	assert.Equal(t, r.back(710*ms, other), firstAsk{came: 710 * ms})
	first := r.back(710*ms, caller)
	assert.Equal(t, first, firstAsk{came: 500 * ms, returns: 1})
	assert.Equal(t, r.back(715*ms, caller), firstAsk{came: 715 * ms}, "it has come back already")

	r.refused(720*ms, caller, first)
	second := r.back(725*ms, caller)
	assert.Equal(t, second, firstAsk{came: 500 * ms, returns: 2})
	r.refused(730*ms, caller, second)
	assert.Equal(t, r.back(735*ms, caller), firstAsk{came: 735 * ms}, "callers do not try a fourth time")
}

// TestRefusedCallerThatStaysAway must not make a later flow of the caller old.
func TestRefusedCallerThatStaysAway(t *testing.T) {
	caller := netip.MustParseAddr("100.64.0.7")
	r := make(returning)
	r.refused(0, caller, firstAsk{})
	later := _returnWithin + time.Millisecond
	assert.Equal(t, r.back(later, caller), firstAsk{came: later})
	r.refused(0, caller, firstAsk{})
	r.forget(later)
	assert.Equal(t, len(r), 0)
}

// TestReturningCallersAreBounded refuses more callers than are remembered.
func TestReturningCallersAreBounded(t *testing.T) {
	r := make(returning)
	for i := range _maxReturning + 10 {
		r.refused(0, netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), firstAsk{})
	}
	assert.Equal(t, len(r), _maxReturning)
}
