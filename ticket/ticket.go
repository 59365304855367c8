// Package ticket lets a request that must not be repeated run at most once.
//
// An agent issues a Ticket before it runs such a request, and only that
// incarnation of that agent may run it. The Ledger of the agent remembers what
// became of each ticket until the ticket expires. Neither needs a store: a
// ticket names its issuer under a MAC, so any agent knows whom to ask, and a
// ticket whose issuer has ended is never run by anyone.
//
//	Ledger.Issue ──► Keys.Seal ──► caller ──► any agent ──► Keys.Open ──► the issuer's Ledger.Begin
package ticket

import (
	"net/netip"
	"time"

	"dandelionhitch.example/service"
)

// Number is a ticket's number, unique within one incarnation of its issuer.
type Number uint64

// Ticket permits one run of one request.
type Ticket struct {
	// Service is the service that the request is for.
	Service service.ID
	// Agent is the address of the issuing agent, an IPv4 address and a port.
	Agent netip.AddrPort
	// Incarnation is the issuing run of that agent.
	Incarnation service.Incarnation
	// Number is the ticket's number at the issuer.
	Number Number
	// Expiry is when the issuer forgets the ticket, in whole milliseconds.
	// It informs the caller; the issuer judges by its own monotonic clock.
	Expiry time.Time
}
