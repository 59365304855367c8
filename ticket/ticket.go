// Package ticket ensures that a request that must not be repeated runs at most once.
//
// An agent issues a Ticket before it runs such a request, and only that run (incarnation)
// of that agent may run the request. The agent's Ledger keeps the outcome of each ticket
// until the ticket expires. No shared store is needed: a ticket names its issuer under a
// MAC, so that any agent knows which agent to ask, and a request whose ticket was issued
// by an agent that has ended is never run.
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

// Ticket authorizes one run of one request.
type Ticket struct {
	// Service is the service that the request is for.
	Service service.ID
	// Agent is the address of the issuing agent, an IPv4 address and a port.
	Agent netip.AddrPort
	// Incarnation identifies the run of the agent that issued the ticket.
	Incarnation service.Incarnation
	// Number is the ticket's number at the issuer.
	Number Number
	// Expiry is the time at which the issuer deletes the ticket, in whole milliseconds.
	// It only informs the caller: the issuer expires tickets by its own monotonic clock.
	Expiry time.Time
}
