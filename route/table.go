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
	// Weight is proportional to the candidate's share of its service's new flows. A
	// candidate whose weight is zero, negative, infinite or NaN is offered no flows.
	Weight float64
}

// Service is the routing information of one service. A service may be listed more than
// once with different addresses. Under an address that is listed without candidates,
// existing flows continue but no new ones open; this serves addresses that are no longer
// in the settings.
type Service struct {
	ID        service.ID
	Addresses []netip.AddrPort
	// Candidates are the agents eligible for new flows.
	Candidates []Candidate
}

// Gone identifies an agent whose end is confirmed: its run with the given incarnation and
// all earlier runs at the address have ended.
type Gone struct {
	Addr        netip.AddrPort
	Incarnation service.Incarnation
}

// Table is the routing table of a balancer. It is immutable.
type Table struct {
	byAddress map[netip.AddrPort]*entry
	addresses []netip.AddrPort
	// gone maps an agent's address to its highest incarnation that is confirmed gone.
	gone map[netip.AddrPort]service.Incarnation
}

// entry is one service. rankInputs and addrs have one element for each candidate. They are
// separate slices because ranking reads all rank inputs but few addresses.
type entry struct {
	id         service.ID
	rankInputs []rankInput
	addrs      []netip.AddrPort
}

// rankInput holds the properties of a candidate on which its score depends.
type rankInput struct {
	seed   uint64
	weight float64
}

// New builds a table. Its error lists every invalid value of the services.
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
		return nil, trace.Wrap(err, "build routing table")
	}
	return t, nil
}

// Addresses returns the service addresses in the table.
func (t *Table) Addresses() []netip.AddrPort {
	return append([]netip.AddrPort(nil), t.addresses...)
}

// ServiceAt returns the service of a service address.
func (t *Table) ServiceAt(addr netip.AddrPort) (service.ID, bool) {
	e, ok := t.byAddress[addr]
	if !ok {
		return 0, false
	}
	return e.id, true
}

// add adds a service to the table and returns its invalid values.
func (t *Table) add(s *Service) []error {
	var findings []error
	if s.ID == 0 {
		findings = append(findings, trace.BadParameter("service id is zero, want 1 to 65535"))
	}
	e := &entry{
		id:         s.ID,
		rankInputs: make([]rankInput, 0, len(s.Candidates)),
		addrs:      make([]netip.AddrPort, 0, len(s.Candidates)),
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
		e.rankInputs = append(e.rankInputs, rankInput{seed: rankSeed(addr), weight: c.Weight})
		e.addrs = append(e.addrs, addr)
	}
	for _, addr := range s.Addresses {
		if err := service.CheckAddress("service address", addr); err != nil {
			findings = append(findings, trace.Wrap(err, "service %d", s.ID))
			continue
		}
		addr = unmap(addr)
		if other, ok := t.byAddress[addr]; ok {
			findings = append(findings, trace.BadParameter("service address %s: assigned to both of services %d and %d", addr, other.id, s.ID))
			continue
		}
		t.byAddress[addr] = e
		t.addresses = append(t.addresses, addr)
	}
	return findings
}

// rankSeed hashes a candidate's address. The incarnation is not part of the hash, so that
// a restart at the same address does not change the ranking of any flow.
func rankSeed(addr netip.AddrPort) uint64 {
	ip := addr.Addr().As4()
	port := addr.Port()
	return xxhash.Sum64([]byte{ip[0], ip[1], ip[2], ip[3], byte(port >> 8), byte(port)})
}

func unmap(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}
