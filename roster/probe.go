package roster

import (
	"context"
	"net/netip"
)

// ProbeResult is the result of probing a port.
type ProbeResult uint8

// The results of a probe.
const (
	// NoAnswer means that there was no answer. The host may be unreachable, paused or gone.
	NoAnswer ProbeResult = iota + 1
	// Listening means that the kernel of the host accepts connections at the port. The
	// process that listens may be paused.
	Listening
	// Refused means that the host refused the connection: no process listens at the
	// port.
	Refused
)

// Prober probes ports of other hosts.
type Prober interface {
	// Probe tries to connect to addr until ctx ends.
	Probe(ctx context.Context, addr netip.AddrPort) ProbeResult
}
