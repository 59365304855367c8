package roster

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dandelionhitch.example/service"
)

const (
	// KeeperCount is the number of members that an agent sends heartbeats to. These
	// members are the agent's keepers.
	KeeperCount = 3
	// KeeperChoices is the number of members that an agent can choose its keepers from.
	// The additional ones replace keepers that the agent cannot reach.
	KeeperChoices = 5
	// _serviceGroup is the approximate maximum number of upstreams of one service that
	// have the same first keeper; see serviceSeed.
	_serviceGroup = 32
)

// Keepers returns up to KeeperChoices members that the agent of u can choose as keepers,
// best first. They are chosen by rendezvous hashing. The first and the fourth keeper are
// chosen by the hash of u's group of up to about _serviceGroup upstreams of the service, so that
// one keeper receives the loads of the whole group. The others are chosen by the hash of
// u's address, which distributes the upstreams evenly over the members.
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

// IsKeeper reports whether the member with the key self is among the first KeeperCount
// members that Keepers returns for u.
func (r *Roster) IsKeeper(self Key, u Upstream) bool {
	keepers := r.Keepers(u)
	keepers = keepers[:min(KeeperCount, len(keepers))]
	return slices.ContainsFunc(keepers, func(m Member) bool { return MemberKey(m.Data) == self })
}

// keeperList lists the members that can be keepers, with the hashes of their names.
type keeperList struct {
	entries []*entry
	hashes  []uint64
}

// keeperCandidates returns the members that can be keepers: those that serve and are not
// suspected, or all that serve if too many are suspected. The list is cached until the
// state, suspicion or incarnation of a member changes.
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

// serviceSeed returns a hash of u's service and of u's group within the service. Upstreams
// are assigned to groups by hash. The number of groups is the lowest power of two with
// which the mean group size is at most _serviceGroup.
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

// rank returns the n members with the highest scores for a seed, best first.
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

// Scan returns the upstreams in one bucket that have not ended. A caller that increments
// tick by one with each call scans all upstreams in a cycle, a small part per call.
func (r *Roster) Scan(tick uint) []Upstream {
	b := r.buckets[_memberBuckets+tick%(_buckets-_memberBuckets)]
	var out []Upstream
	for _, e := range b.entries {
		if e.upstream != nil && !e.ended() {
			out = append(out, *e.upstream)
		}
	}
	return out
}
