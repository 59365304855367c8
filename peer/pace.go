package peer

import "time"

// Bounds of the reports that one process gets, in a second. They keep control
// within 11 KB/s a node at 660 relays and 5,900 sidecars, see docs/CAPACITY.md.
const (
	_upstreamReportsPerSecond = 50
	_relayReportsPerSecond    = 50
)

// Longest times between two reports in a small fleet.
const (
	// _upstreamInterval is a few times the run time of a request.
	_upstreamInterval = 600 * time.Millisecond
	_relayInterval    = time.Second
)

// UpstreamInterval returns how often a sidecar reports to each relay at least, and
// how often at most if nothing but its load has changed, in a fleet of so many
// sidecars.
func UpstreamInterval(sidecars int) (atLeast, atMost time.Duration) {
	pace := time.Duration(sidecars) * time.Second / _upstreamReportsPerSecond
	return max(_upstreamInterval, pace), pace
}

// RelayInterval returns how often a relay reports to each of so many processes.
func RelayInterval(processes int) time.Duration {
	return max(_relayInterval, time.Duration(processes)*time.Second/_relayReportsPerSecond)
}
