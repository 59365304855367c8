package main

import (
	"net/netip"
	"slices"

	"dandelionhitch.example/roster"
	"dandelionhitch.example/route"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// _maxFormerAddresses bounds the number of removed addresses that are retained.
const _maxFormerAddresses = 4096

// tableBuilder builds the routing tables of one balancer from the settings in force
// and the roster. An address that is removed from the settings gets no new flows, but
// stays in the table without candidates so that its open flows continue: their
// connection IDs name their agents.
type tableBuilder struct {
	region service.Region
	// former are the addresses removed from the settings, in the order of removal.
	former []formerAddress
	// present are the addresses in the settings of the last build.
	present map[netip.AddrPort]service.ID
}

// formerAddress is a removed address and the service that had it last.
type formerAddress struct {
	address netip.AddrPort
	service service.ID
}

// build returns the routing table for the settings and the roster. New flows go to
// upstreams in the balancer's region if it has any there, and otherwise to upstreams in
// other regions.
func (b *tableBuilder) build(document *settings.Document, view roster.View) (*route.Table, error) {
	regions := make(map[service.Place]service.Region)
	present := make(map[netip.AddrPort]service.ID)
	addresses := make(map[service.ID][]netip.AddrPort)
	for s := range document.Services() {
		regions[s.Place] = s.Region
		for _, address := range s.Addresses {
			if _, listed := present[address]; !listed {
				addresses[s.ID] = append(addresses[s.ID], address)
			}
			present[address] = s.ID
		}
	}
	b.updateFormer(present)
	inRegion := func(place service.Place) bool { return regions[place] == b.region }
	services := make([]route.Service, 0, len(addresses)+len(b.former))
	for id, list := range addresses {
		services = append(services, route.Service{ID: id, Addresses: list, Candidates: candidates(view.Services[id], inRegion)})
	}
	for _, f := range b.former {
		services = append(services, route.Service{ID: f.service, Addresses: []netip.AddrPort{f.address}})
	}
	gone := make([]route.Gone, 0, len(view.Gone))
	for _, run := range view.Gone {
		gone = append(gone, route.Gone{Addr: run.Data, Incarnation: run.Incarnation})
	}
	return route.New(services, gone...)
}

// updateFormer adds the addresses removed since the last build to former, and drops the
// addresses that are in the settings again.
func (b *tableBuilder) updateFormer(present map[netip.AddrPort]service.ID) {
	for address, id := range b.present {
		if _, stillPresent := present[address]; !stillPresent {
			b.former = append(b.former, formerAddress{address: address, service: id})
		}
	}
	b.former = slices.DeleteFunc(b.former, func(f formerAddress) bool {
		_, restored := present[f.address]
		return restored
	})
	b.former = b.former[max(0, len(b.former)-_maxFormerAddresses):]
	b.present = present
}

// countCandidates returns the sum, over all services, of the number of eligible upstreams
// in the view.
func countCandidates(view roster.View) int64 {
	var count int64
	for _, eligible := range view.Services {
		count += int64(len(eligible))
	}
	return count
}

// expectedHosts returns the sum of max_hosts over all services.
func expectedHosts(document *settings.Document) int64 {
	var hosts int64
	for s := range document.Services() {
		hosts += int64(s.Limits.MaxHosts)
	}
	return hosts
}

// candidates returns the eligible upstreams whose place is in the region. If there are
// none, it returns all eligible upstreams.
func candidates(eligible []roster.Candidate, inRegion func(service.Place) bool) []route.Candidate {
	var regional, all []route.Candidate
	for _, c := range eligible {
		candidate := route.Candidate{Addr: c.Data, Incarnation: c.Incarnation, Weight: float64(c.Share)}
		all = append(all, candidate)
		if inRegion(c.Place) {
			regional = append(regional, candidate)
		}
	}
	if len(regional) > 0 {
		return regional
	}
	return all
}
