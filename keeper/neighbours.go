package keeper

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
)

const (
	// _nearNeighbours is the number of neighbours in the balancer's own place.
	_nearNeighbours = 3
	// _neighbourCount is the total number of neighbours of a balancer.
	_neighbourCount = 5
)

// neighbours returns the members that self exchanges with in turn. Most are in the same
// place, the others elsewhere; if one kind has too few members, the other kind makes up
// for them. The result changes only when members join, leave, drain or become
// suspected, so that connections to neighbours are long-lived.
//
// Each neighbour is chosen by consistent hashing, as the successor of self on a hash
// ring of its own. A member therefore is the neighbour of about as many others as it
// has neighbours, and receives changes even if its own exchanges are late.
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

// takeNext moves the successor of self on a ring from one list to the other.
func takeNext(self roster.Member, ring int, from, to []roster.Member) (rest, taken []roster.Member) {
	selfPosition := ringPosition(self, ring)
	best := 0
	bestDistance := ringPosition(from[0], ring) - selfPosition
	for i, m := range from {
		if distance := ringPosition(m, ring) - selfPosition; distance < bestDistance {
			best, bestDistance = i, distance
		}
	}
	to = append(to, from[best])
	return slices.Delete(from, best, best+1), to
}

// ringPosition returns the position of a member on a ring.
func ringPosition(m roster.Member, ring int) uint64 {
	d := xxhash.NewWithSeed(uint64(ring))
	_, _ = d.WriteString(m.Name)
	return d.Sum64()
}
