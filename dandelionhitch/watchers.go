package main

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
)

// _watchersPerPlace is how many balancers of a place watch the settings head.
// The others hear of a change from the members that they exchange with.
const _watchersPerPlace = 2

// isWatcher reports whether this balancer is among the watchers of its place.
// Each judges by its own view; views that differ give a few watchers more, never none.
func (n *balancerNode) isWatcher() bool {
	members := n.members.Load()
	if members == nil {
		return true
	}
	return slices.Contains(watchersOf(n.config.place, *members, n.config.name), n.config.name)
}

// watchersOf ranks the place's members that are not suspected by a hash of
// their names; self always counts as one of them.
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
