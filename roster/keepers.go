package roster

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dandelionhitch.example/service"
)

const (
	// KeeperCount is how many members an agent sends heartbeats to.
	KeeperCount = 3
	// KeeperChoices is how many members an agent knows to choose from, so that
	// it can replace some that it cannot reach.
	KeeperChoices = 5
	// _serviceGroup is how many upstreams of one service share a keeper.
	_serviceGroup = 32
)

// Keepers returns the members that keep an upstream, best first, by rendezvous
// hashing. The first and the fourth are chosen by the service, so that one
// keeper knows the loads of up to _serviceGroup upstreams of a service; the
// others by the upstream, which spreads the work evenly over the members.
func (r *Roster) Keepers(u Upstream) []Member {
	members := r.keeperCandidates()
	byService := rank(members, r.serviceSeed(u), KeeperChoices)
	byUpstream := rank(members, xxhash.Sum64(appendAddr(nil, u.Data)), KeeperChoices)
	var out []Member
	take := func(from []*entry) []*entry {
		for i, e := range from {
			if !slices.ContainsFunc(out, func(m Member) bool { return m.Data == e.member.Data }) {
				out = append(out, *e.member)
				return from[i+1:]
			}
		}
		return nil
	}
	for len(out) < min(KeeperChoices, len(members.entries)) {
		if len(out)%KeeperCount == 0 {
			byService = take(byService)
			continue
		}
		byUpstream = take(byUpstream)
	}
	return out
}

// Keeps reports whether the member is one of the first KeeperCount keepers.
func (r *Roster) IsKeeper(self Key, u Upstream) bool {
	keepers := r.Keepers(u)
	keepers = keepers[:min(KeeperCount, len(keepers))]
	return slices.ContainsFunc(keepers, func(m Member) bool { return MemberKey(m.Data) == self })
}

// keeperList is the members that can keep upstreams, with the hashes of their
// names.
type keeperList struct {
	entries []*entry
	hashes  []uint64
}

// keeping returns the members that can keep upstreams. The list is kept until
// a member's state changes.
func (r *Roster) keeperCandidates() keeperList {
	if r.keeperCache.entries != nil {
		return r.keeperCache
	}
	var serving, trusted []*entry
	for b := range _memberBuckets {
		for _, e := range r.buckets[b].entries {
			if e.state() != service.Serving {
				continue
			}
			serving = append(serving, e)
			if !e.suspected() {
				trusted = append(trusted, e)
			}
		}
	}
	if tooManySuspects(len(serving)-len(trusted), len(serving)) {
		trusted = serving
	}
	list := keeperList{entries: trusted}
	for _, e := range trusted {
		list.hashes = append(list.hashes, xxhash.Sum64String(e.member.Name))
	}
	r.keeperCache = list
	return list
}

// serviceSeed is shared by up to _serviceGroup upstreams of a service.
func (r *Roster) serviceSeed(u Upstream) uint64 {
	groups := uint64(1)
	for count := r.serviceSize(u.Service); groups*_serviceGroup < uint64(count); {
		groups *= 2
	}
	group := mix(xxhash.Sum64(appendAddr(nil, u.Data))) % groups
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], uint64(u.Service))
	binary.BigEndian.PutUint64(b[8:], group)
	return xxhash.Sum64(b[:])
}

// rank returns the best n members for a seed.
func rank(members keeperList, seed uint64, n int) []*entry {
	type scored struct {
		*entry
		score uint64
	}
	best := make([]scored, 0, n+1)
	for i, e := range members.entries {
		s := scored{e, mix(seed ^ members.hashes[i])}
		if len(best) == n && s.score <= best[n-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
		best = slices.Insert(best, at, s)
		best = best[:min(n, len(best))]
	}
	out := make([]*entry, len(best))
	for i, s := range best {
		out[i] = s.entry
	}
	return out
}

// Scan returns the upstreams of one bucket, so that a caller who counts turns
// up sees all of them again and again at an even cost. Ended ones are left out.
func (r *Roster) Scan(turn uint) []Upstream {
	b := r.buckets[_memberBuckets+turn%(_buckets-_memberBuckets)]
	var out []Upstream
	for _, e := range b.entries {
		if e.upstream != nil && !e.ended() {
			out = append(out, *e.upstream)
		}
	}
	return out
}
