package roster

import (
	"context"
	"net/netip"
)

// Finding is what a probe of a host shows.
type Finding uint8

// The findings of a probe.
const (
	// Silent is no answer: the host may be cut off, paused or gone.
	Silent Finding = iota + 1
	// Listening means that the kernel of the host accepts connections at the
	// port; the process there may be paused.
	Listening
	// Refused means that the host answered and no process holds the port.
	Refused
)

// Prober finds out what a host says of one of its ports.
type Prober interface {
	Probe(ctx context.Context, addr netip.AddrPort) Finding
}
