package main

import (
	"cmp"
	"net/netip"
	"slices"

	"dandelionhitch.example/roster"
	"dandelionhitch.example/route"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// newTable joins the settings in force with the roster into a routing table for
// a balancer in region. New flows go to upstreams of that region while it has
// any, else to those of other regions.
func newTable(document *settings.Document, view roster.View, region service.Region) (*route.Table, error) {
	regions := make(map[service.Place]service.Region)
	addresses := make(map[service.ID][]netip.AddrPort)
	for s := range document.Services() {
		regions[s.Place] = s.Region
		addresses[s.ID] = append(addresses[s.ID], s.Addresses...)
	}
	services := make([]route.Service, 0, len(addresses))
	for id, list := range addresses {
		slices.SortFunc(list, netip.AddrPort.Compare)
		services = append(services, route.Service{
			ID:         id,
			Addresses:  slices.Compact(list),
			Candidates: candidates(view.Services[id], func(p service.Place) bool { return regions[p] == region }),
		})
	}
	slices.SortFunc(services, func(a, b route.Service) int { return cmp.Compare(a.ID, b.ID) })
	gone := make([]route.Gone, 0, len(view.Gone))
	for _, run := range view.Gone {
		gone = append(gone, route.Gone{Addr: run.Data, Incarnation: run.Incarnation})
	}
	return route.New(services, gone...)
}

// candidates returns the eligible upstreams of near places, or all if there are none.
func candidates(eligible []roster.Candidate, near func(service.Place) bool) []route.Candidate {
	var nearby, all []route.Candidate
	for _, c := range eligible {
		candidate := route.Candidate{Addr: c.Data, Incarnation: c.Incarnation, Weight: float64(c.Share)}
		all = append(all, candidate)
		if near(c.Place) {
			nearby = append(nearby, candidate)
		}
	}
	if len(nearby) > 0 {
		return nearby
	}
	return all
}
