package keeper

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"

	"dandelionhitch.example/roster"
)

// tcpProber is a roster.Prober that opens TCP connections.
type tcpProber struct{}

// Probe opens a connection to addr and closes it again.
func (tcpProber) Probe(ctx context.Context, addr netip.AddrPort) roster.ProbeResult {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", addr.String())
	switch {
	case err == nil:
		conn.Close()
		return roster.Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return roster.Refused
	}
	return roster.NoAnswer
}
