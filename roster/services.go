package roster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dandelionhitch.example/service"
)

// updateServices updates the lists of upstreams by service after a change of an entry.
func (r *Roster) updateServices(e, before *entry) {
	if before.upstream != nil && (e.upstream == nil || e.upstream.Service != before.upstream.Service) {
		r.removeFromService(e, before.upstream.Service)
		before = &entry{}
	}
	if e.upstream != nil && before.upstream == nil {
		r.services[e.upstream.Service] = append(r.services[e.upstream.Service], e)
	}
}

func (r *Roster) removeFromService(e *entry, id service.ID) {
	rest := slices.DeleteFunc(r.services[id], func(other *entry) bool { return other == e })
	if len(rest) == 0 {
		delete(r.services, id)
		return
	}
	r.services[id] = rest
}

func (r *Roster) serviceSize(id service.ID) int { return len(r.services[id]) }

// Peers returns up to n other upstreams of u's service that serve and are not
// suspected. They are chosen by rendezvous hashing, so that the choice for u is stable.
func (r *Roster) Peers(u Upstream, n int) []Upstream {
	seed := xxhash.Sum64(appendAddr(nil, u.Data))
	type scored struct {
		*Upstream
		score uint64
	}
	var found []scored
	for _, e := range r.services[u.Service] {
		if e.state() != service.Serving || e.suspected() || e.upstream.Data == u.Data {
			continue
		}
		found = append(found, scored{e.upstream, mix(seed ^ xxhash.Sum64(appendAddr(nil, e.upstream.Data)))})
	}
	slices.SortFunc(found, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]Upstream, 0, min(n, len(found)))
	for _, s := range found[:min(n, len(found))] {
		out = append(out, *s.Upstream)
	}
	return out
}
