package route

import (
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"dandelionhitch.example/service"
)

// Candidate is an agent that may be offered new flows.
type Candidate struct {
	Addr        netip.AddrPort
	Incarnation service.Incarnation
	// Weight is the candidate's share of new flows relative to the others of
	// its service. A candidate without weight is offered none.
	Weight float64
}

// Service is one service as a balancer sees it. A service can be listed more
// than once with different addresses: one without candidates keeps the flows of
// an address that is no longer in the settings, and opens none.
type Service struct {
	ID        service.ID
	Addresses []netip.AddrPort
	// Candidates are the agents eligible for new flows.
	Candidates []Candidate
}

// Gone is an agent whose end is confirmed: the incarnation at the address, and
// with it every earlier one.
type Gone struct {
	Addr        netip.AddrPort
	Incarnation service.Incarnation
}

// Table is what a balancer knows. It is immutable.
type Table struct {
	byAddress map[netip.AddrPort]*entry
	addresses []netip.AddrPort
	gone      map[netip.AddrPort]service.Incarnation
}

// entry is one service. Draws and addrs have one element for each candidate;
// they are apart because ranking reads all draws and few addresses.
type entry struct {
	id    service.ID
	draws []draw
	addrs []netip.AddrPort
}

// draw is what a candidate's rank depends on besides the flow.
type draw struct {
	seed   uint64
	weight float64
}

// New builds a table. All findings are reported together.
func New(services []Service, gone ...Gone) (*Table, error) {
	t := &Table{
		byAddress: make(map[netip.AddrPort]*entry),
		gone:      make(map[netip.AddrPort]service.Incarnation, len(gone)),
	}
	var findings []error
	for i := range services {
		findings = append(findings, t.add(&services[i])...)
	}
	for _, g := range gone {
		addr := unmap(g.Addr)
		t.gone[addr] = max(t.gone[addr], g.Incarnation)
	}
	if err := trace.NewAggregate(findings...); err != nil {
		return nil, trace.Wrap(err, "building the routing table")
	}
	return t, nil
}

// Addresses are the service addresses in the table.
func (t *Table) Addresses() []netip.AddrPort {
	return append([]netip.AddrPort(nil), t.addresses...)
}

// ServiceAt returns the service of a service address.
func (t *Table) ServiceAt(addr netip.AddrPort) (service.ID, bool) {
	found, ok := t.byAddress[addr]
	if !ok {
		return 0, false
	}
	return found.id, true
}

func (t *Table) add(s *Service) []error {
	var findings []error
	if s.ID == 0 {
		findings = append(findings, trace.BadParameter("service: no number"))
	}
	e := &entry{
		id:    s.ID,
		draws: make([]draw, 0, len(s.Candidates)),
		addrs: make([]netip.AddrPort, 0, len(s.Candidates)),
	}
	for _, c := range s.Candidates {
		if err := service.CheckAddress("candidate", c.Addr); err != nil {
			findings = append(findings, trace.Wrap(err, "service %d", s.ID))
			continue
		}
		if !(c.Weight > 0) || math.IsInf(c.Weight, 0) {
			continue
		}
		addr := unmap(c.Addr)
		e.draws = append(e.draws, draw{seed: seedOf(addr), weight: c.Weight})
		e.addrs = append(e.addrs, addr)
	}
	for _, addr := range s.Addresses {
		if err := service.CheckAddress("service address", addr); err != nil {
			findings = append(findings, trace.Wrap(err, "service %d", s.ID))
			continue
		}
		addr = unmap(addr)
		if other, ok := t.byAddress[addr]; ok {
			findings = append(findings, trace.BadParameter("service address %s: of services %d and %d", addr, other.id, s.ID))
			continue
		}
		t.byAddress[addr] = e
		t.addresses = append(t.addresses, addr)
	}
	return findings
}

// seedOf is the candidate's part of its rank. It leaves the incarnation out, so
// that a restart at the same address moves no flow.
func seedOf(addr netip.AddrPort) uint64 {
	ip := addr.Addr().As4()
	port := addr.Port()
	return xxhash.Sum64([]byte{ip[0], ip[1], ip[2], ip[3], byte(port >> 8), byte(port)})
}

func unmap(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}
