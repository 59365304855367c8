package keeper

import (
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
	_neighbourCount = 5
)

// neighbours returns the members to exchange with: most in the same place, some
// elsewhere.
//
// Each is the next member on a ring of its own, on which members are ordered by
// a hash. So each member is itself the next one of as many others, and news
// reaches it even if its own exchanges are late.
func neighbours(self roster.Member, members []roster.MemberStatus) []roster.Member {
	var near, far []roster.Member
	for _, m := range members {
		switch {
		case m.Data == self.Data || m.Suspect || m.State == service.Draining:
		case m.Place == self.Place:
			near = append(near, m.Member)
		default:
			far = append(far, m.Member)
		}
	}
	nearCount := min(len(near), max(_nearNeighbours, _neighbourCount-len(far)))
	farCount := min(len(far), _neighbourCount-nearCount)
	out := make([]roster.Member, 0, _neighbourCount)
	for ring := range nearCount {
		near, out = takeNext(self, ring, near, out)
	}
	for ring := range farCount {
		far, out = takeNext(self, _neighbourCount+ring, far, out)
	}
	return out
}

// takeNext moves the member that is next on a ring from one list to another.
func takeNext(self roster.Member, ring int, from, to []roster.Member) (rest, taken []roster.Member) {
	at := ringPosition(self, ring)
	best := 0
	bestDistance := ringPosition(from[0], ring) - at
	for i, m := range from {
		if distance := ringPosition(m, ring) - at; distance < bestDistance {
			best, bestDistance = i, distance
		}
	}
	to = append(to, from[best])
	return slices.Delete(from, best, best+1), to
}

// place is where a member is on a ring.
func ringPosition(m roster.Member, ring int) uint64 {
	d := xxhash.NewWithSeed(uint64(ring))
	_, _ = d.WriteString(m.Name)
	return d.Sum64()
}
