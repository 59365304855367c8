package keeper

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
)

const (
	// _nearNeighbours is how many neighbours are in the balancer's own place.
	_nearNeighbours = 3
	// _allNeighbours is how many it has in all. They change only as members
	// come and go, so that their connections last.
	_allNeighbours = 5
)

// neighbours returns the members to exchange with: most in the same place, some
// elsewhere, chosen by rendezvous hashing.
func neighbours(self roster.Member, members []roster.MemberStatus) []roster.Member {
	ranked := make([]roster.Member, 0, len(members))
	for _, m := range members {
		if m.Data != self.Data && !m.Suspect && m.State != service.Draining {
			ranked = append(ranked, m.Member)
		}
	}
	score := func(m roster.Member) uint64 { return xxhash.Sum64String(self.Name + "\x00" + m.Name) }
	slices.SortFunc(ranked, func(a, b roster.Member) int { return cmp.Compare(score(a), score(b)) })
	near := min(_nearNeighbours, count(ranked, func(m roster.Member) bool { return m.Place == self.Place }))
	far := min(_allNeighbours-near, count(ranked, func(m roster.Member) bool { return m.Place != self.Place }))
	near = _allNeighbours - far
	var out []roster.Member
	for _, m := range ranked {
		left := &far
		if m.Place == self.Place {
			left = &near
		}
		if *left > 0 {
			*left--
			out = append(out, m)
		}
	}
	return out
}

func count[T any](list []T, is func(T) bool) int {
	n := 0
	for _, v := range list {
		if is(v) {
			n++
		}
	}
	return n
}
