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
	timings := newTimings()
	for range 30 {
		timings.addRun(run*busy/slots, busy, slots)
	}
	off := (timings.runTime.value - run).Abs()
	assert.Assert(t, off < run/10, "%v", timings.runTime.value)
	assert.Assert(t, (timings.endInterval(slots)-run/slots).Abs() < run/slots/10, "%v", timings.endInterval(slots))
}

// TestRunTimeConvergesWithinAFewRequests needs the first few requests of a slow upstream.
func TestRunTimeConvergesWithinAFewRequests(t *testing.T) {
	timings := newTimings()
	for range 5 {
		timings.addRun(200*time.Millisecond, 1, 2)
	}
	assert.Assert(t, timings.runTime.value > 100*time.Millisecond, "%v", timings.runTime.value)
}
