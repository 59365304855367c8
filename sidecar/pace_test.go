package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRunTimeOfOverloadedUpstream learns how long requests run while as many
// are in progress as the sidecar allows. On tcf-central trouble-2 it was not learned
// then, and cold upstreams that took 38 ms were taken for ones of 20 ms.
func TestRunTimeOfOverloadedUpstream(t *testing.T) {
	const run, slots, busy = 36 * time.Millisecond, 3, 4
	p := newTimings()
	for range 30 {
		p.addRun(run*busy/slots, busy, slots)
	}
	off := (p.runTime.value - run).Abs()
	assert.Assert(t, off < run/10, "%v", p.runTime.value)
	assert.Assert(t, (p.departureInterval(slots)-run/slots).Abs() < run/slots/10, "%v", p.departureInterval(slots))
}

// TestRunTimeConvergesWithinAFewRequests needs the first few requests of a slow upstream.
func TestRunTimeConvergesWithinAFewRequests(t *testing.T) {
	p := newTimings()
	for range 5 {
		p.addRun(200*time.Millisecond, 1, 2)
	}
	assert.Assert(t, p.runTime.value > 100*time.Millisecond, "%v", p.runTime.value)
}
