package main

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// TestTableKeepsServiceOfRemovedAddresses removes addresses from the settings, moves one
// to another service, and adds them again. The table must keep the last service of each
// removed address, so that its open flows continue.
func TestTableKeepsServiceOfRemovedAddresses(t *testing.T) {
	const orders, rounds = service.ID(1), service.ID(2)
	first, second, third := netip.MustParseAddrPort("10.0.0.1:443"), netip.MustParseAddrPort("10.0.0.2:443"), netip.MustParseAddrPort("10.0.0.3:443")
	type owners map[netip.AddrPort]service.ID
	steps := []struct {
		name    string
		present owners
		want    owners
	}{
		{"at the start", owners{first: orders, second: orders}, owners{first: orders, second: orders}},
		{"one removed", owners{second: orders}, owners{first: orders, second: orders}},
		{"all removed", nil, owners{first: orders, second: orders}},
		{"one with another service", owners{first: rounds, third: rounds}, owners{first: rounds, second: orders, third: rounds}},
		{"back again", owners{first: orders, second: orders}, owners{first: orders, second: orders, third: rounds}},
	}
	b := tableBuilder{region: "akl"}
	for revision, step := range steps {
		table, err := b.build(documentOf(t, settings.Revision(revision+1), step.present), roster.View{})
		assert.NilError(t, err, step.name)
		got := owners{}
		for _, a := range table.Addresses() {
			got[a], _ = table.ServiceAt(a)
		}
		assert.Assert(t, maps.Equal(got, step.want), "%s: %v, want %v", step.name, got, step.want)
	}
}

// documentOf returns settings in which each address belongs to the service in owners.
func documentOf(t *testing.T, revision settings.Revision, owners map[netip.AddrPort]service.ID) *settings.Document {
	t.Helper()
	tree := settings.Tree{}.With(settings.Path{}, tryValues(_tryFlowLimit))
	for address, id := range owners {
		path := settings.Path{Region: "akl", Place: "akl-a", Name: service.Name(fmt.Sprintf("service-%d", id))}
		values, _ := tree.Get(path)
		slots := 2
		values.ID, values.Slots = &id, &slots
		values.Addresses = append(slices.Clone(values.Addresses), address)
		tree = tree.With(path, values)
	}
	document, err := settings.NewDocument(revision, tree)
	assert.NilError(t, err)
	return document
}

// TestTableCandidatesPreferRegion checks that upstreams outside the region are
// candidates only if there is none in it.
func TestTableCandidatesPreferRegion(t *testing.T) {
	upstream := func(place service.Place, host byte) roster.Candidate {
		data := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 7000)
		return roster.Candidate{Upstream: roster.Upstream{Place: place, Data: data}, Share: 1}
	}
	inRegion := func(place service.Place) bool { return place == "akl-a" }
	both := candidates([]roster.Candidate{upstream("oslo-a", 1), upstream("akl-a", 2)}, inRegion)
	assert.Equal(t, len(both), 1)
	assert.Equal(t, both[0].Addr.String(), "10.0.0.2:7000")
	assert.Equal(t, len(candidates([]roster.Candidate{upstream("oslo-a", 1)}, inRegion)), 1)
}
