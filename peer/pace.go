package peer

import "time"

// Limits of the number of reports that one process receives per second. They keep control
// traffic below 11 KB/s per process at 660 relays and 5,900 sidecars, see docs/CAPACITY.md.
const (
	_upstreamReportsPerSecond = 50
	_relayReportsPerSecond    = 50
)

// The longest times between two reports in a small fleet. In a large fleet the reports are
// further apart, to keep their number within the limits above.
const (
	// _minUpstreamInterval applies to the reports of sidecars. It is a few times the usual
	// duration of a request.
	_minUpstreamInterval = 600 * time.Millisecond
	// _minRelayInterval applies to the reports of relays.
	_minRelayInterval = time.Second
)

// UpstreamInterval returns the longest and the shortest time between two reports of a sidecar
// to the same relay, in a fleet with the given number of sidecars. The sidecar reports at the
// shortest interval while its load changes. It reports changes other than of the load at
// once.
func UpstreamInterval(sidecars int) (longest, shortest time.Duration) {
	interval := time.Duration(sidecars) * time.Second / _upstreamReportsPerSecond
	return max(_minUpstreamInterval, interval), interval
}

// RelayInterval returns the time between two reports of a relay to the same process, for a
// relay that reports to the given number of processes.
func RelayInterval(processes int) time.Duration {
	return max(_minRelayInterval, time.Duration(processes)*time.Second/_relayReportsPerSecond)
}
