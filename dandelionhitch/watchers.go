package main

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
)

// _watchersPerPlace is how many balancers of a place watch the settings head in the
// store. The others learn of a change from the members with which they exchange state.
const _watchersPerPlace = 2

// isWatcher reports whether this balancer is among the watchers of its place. Each
// balancer decides by its own view of the members. Differing views can add a few
// watchers but never leave a place without one.
func (n *balancerNode) isWatcher() bool {
	members := n.members.Load()
	if members == nil {
		return true
	}
	return slices.Contains(watchersOf(n.config.place, *members, n.config.name), n.config.name)
}

// watchersOf returns the names of the watchers of a place. The candidates are self and
// those serving members of the place that are not suspected to have failed. watchersOf
// sorts them by the hash of their names and returns the first _watchersPerPlace.
func watchersOf(place service.Place, members []roster.MemberStatus, self string) []string {
	names := []string{self}
	for _, m := range members {
		if m.Place == place && m.Name != self && m.State == service.Serving && !m.Suspect {
			names = append(names, m.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b))
	})
	return names[:min(len(names), _watchersPerPlace)]
}
