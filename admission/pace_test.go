package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRunTimeOfOverloadedUpstream checks the run time that is estimated while as many
// requests are in progress as the sidecar allows. The time for which requests wait inside
// the upstream must not count. In a recorded run, the estimate was not updated in this
// situation, and cold upstreams that took 38 ms for a request were assumed to take the
// initial 20 ms.
func TestRunTimeOfOverloadedUpstream(t *testing.T) {
	const run, slots, busy = 36 * time.Millisecond, 3, 4
	timings := newTimings()
	for range 30 {
		timings.addRun(run*busy/slots, busy, slots)
	}
	deviation := (timings.runTime.value - run).Abs()
	assert.Assert(t, deviation < run/10, "%v", timings.runTime.value)
	assert.Assert(t, (timings.endInterval(slots)-run/slots).Abs() < run/slots/10, "%v", timings.endInterval(slots))
}

// TestRunTimeConvergesWithinAFewRequests checks that the estimate leaves its initial
// value within 5 requests of a slow upstream.
func TestRunTimeConvergesWithinAFewRequests(t *testing.T) {
	timings := newTimings()
	for range 5 {
		timings.addRun(200*time.Millisecond, 1, 2)
	}
	assert.Assert(t, timings.runTime.value > 100*time.Millisecond, "%v", timings.runTime.value)
}
