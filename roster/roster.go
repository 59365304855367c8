// Package roster holds what is known of upstreams and balancers and merges what
// different processes know.
//
// Each record has a single writer: an agent writes its Upstream, a balancer its
// Member, and numbers its states by (Incarnation, Seq). Others add only two
// things to a record: a suspicion about one state of it, and the verdict that
// one incarnation has ended. All three parts only ever grow, and two copies merge
// to the higher of each, so that copies become equal whatever the order in which
// changes come, and however often. Nothing has to be agreed.
//
// A suspicion steers new flows away and nothing else. It names the Seq that was
// last heard; its subject refutes it by announcing a higher one. A verdict lets
// balancers reset the flows of an incarnation, so it is only reached by
// confirmation: the owner said that it is gone, a newer incarnation is at the
// address, or the host refused a connection to the agent's control port. The
// kernel of a paused process still accepts connections and a cut gives no answer
// at all, so neither of them leads to a verdict. Nor does a host that vanished
// whole: its upstream stays suspected, and its flows end by their idle timeout.
// A firewall that rejects, rather than drops, what it cuts off speaks in the
// host's name and must not be put before control ports.
//
// Changes travel in two ways. Rumors carry each recent change, a bounded number
// of times from each process. Digests find what rumors missed: entries are spread
// over buckets, buckets over groups, and each has a hash of its content, so that
// two equal rosters compare in one message of GroupsSize octets and two unequal ones
// exchange the summaries of the buckets that differ. A plain digest of all 6,560
// records at the target size would take 65 KB.
//
// The package is pure. Times are on the caller's monotonic clock.
package roster

import (
	"time"

	"dandelionhitch.example/service"
)

const (
	// TombstoneLife is how long the end of a run is remembered.
	TombstoneTTL = time.Hour
	// SuspectLife is how long an upstream or member is remembered that stays
	// suspected: a host that vanished whole never gets a verdict.
	SuspectTTL = 24 * time.Hour
	// _offeredPart is the part of these lives, as a divisor, in which entries
	// are told to others, so that none is taken for news after another process
	// has forgotten it.
	_digestTTLDivisor = 2
	// _maxEntries bounds the entries of one roster.
	_maxEntries = 32 << 10
)

// Roster is one process's copy. It is not safe for concurrent use.
type Roster struct {
	entries map[Key]*entry
	buckets [_buckets]bucket
	rumors  map[Key]*rumor
	// services lists the upstreams of each service.
	services map[service.ID][]*entry
	// members is the number of members' entries.
	members int
	// keepers is the list of members that can keep upstreams, if it is up to date.
	keeperCache keeperList
	// version counts the changes that bear on a View.
	version uint64
	// turn is where the next sync begins among the buckets that differ.
	syncOffset uint
	// refused counts new entries that found the roster full.
	refused uint64
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		entries:  make(map[Key]*entry),
		rumors:   make(map[Key]*rumor),
		services: make(map[service.ID][]*entry),
	}
}

// Outcome is what a change did to the roster.
type Outcome struct {
	// Changed counts the entries that changed.
	Changed int
	// Urgent says that a change bears on where new flows go.
	Urgent bool
}

// Apply merges what another process told. The zero Key stands for one that is
// not told of changes itself.
func (r *Roster) Apply(now time.Duration, from Key, deltas []Delta) Outcome {
	var out Outcome
	for _, d := range deltas {
		out.add(r.apply(now, from, d))
	}
	return out
}

// Announce merges a record that its own writer gave.
func (r *Roster) Announce(now time.Duration, u Upstream) Outcome {
	return r.Apply(now, Key{}, []Delta{{Upstream: &u}})
}

// AnnounceMember merges a record that its own writer gave.
func (r *Roster) AnnounceMember(now time.Duration, m Member) Outcome {
	return r.Apply(now, Key{}, []Delta{{Member: &m}})
}

// Suspect raises a suspicion about the entry's present state. It does nothing
// if there is no such entry, its run has ended, or it is suspected already.
func (r *Roster) Suspect(now time.Duration, key Key) Outcome {
	e := r.entries[key]
	if e == nil || e.ended() || e.suspected() {
		return Outcome{}
	}
	at := e.mark()
	return r.Apply(now, Key{}, []Delta{{
		Kind: key.Kind, Addr: key.Addr,
		SuspectIncarnation: at.Incarnation, SuspectSeq: at.Seq,
	}})
}

// Confirm records the verdict that the incarnation has ended. The caller has
// one of the confirmations that the package overview lists.
func (r *Roster) Confirm(now time.Duration, key Key, incarnation service.Incarnation) Outcome {
	if r.entries[key] == nil {
		return Outcome{}
	}
	return r.Apply(now, Key{}, []Delta{{Kind: key.Kind, Addr: key.Addr, Gone: incarnation}})
}

// Expire forgets runs that ended, or have stayed suspected, long ago. It
// returns how many.
func (r *Roster) Expire(now time.Duration) int {
	forgotten := 0
	for key, e := range r.entries {
		life := e.ttl()
		if life == 0 {
			continue
		}
		age := now - e.downSince
		if age >= life/_digestTTLDivisor {
			r.removeFromDigest(e)
		}
		if age >= life {
			r.remove(key, e)
			forgotten++
		}
	}
	return forgotten
}

// Status is what the roster concludes about one entry.
type Status struct {
	// Mark is the state that the record is in.
	Mark Mark
	// State is what the owner said, or Gone after a verdict.
	State service.State
	// Suspect says that a suspicion is in force.
	Suspect bool
	// Highest is the highest incarnation known at the address.
	Highest service.Incarnation
	// Ended is the highest incarnation that is known to have ended.
	Ended service.Incarnation
}

// Status returns what is concluded about an entry, and whether it has a record.
func (r *Roster) Status(key Key) (Status, bool) {
	e := r.entries[key]
	if e == nil || !e.known() {
		return Status{}, false
	}
	s := Status{
		Mark:    e.mark(),
		State:   e.state(),
		Suspect: e.suspected(),
		Highest: max(e.mark().Incarnation, e.gone),
		Ended:   max(e.gone, e.mark().Incarnation-1),
	}
	return s, true
}

// Upstream returns the record of the upstream at an address.
func (r *Roster) Upstream(key Key) (Upstream, bool) {
	if e := r.entries[key]; e != nil && e.upstream != nil {
		return *e.upstream, true
	}
	return Upstream{}, false
}

// Member returns the record of the balancer at an address.
func (r *Roster) Member(key Key) (Member, bool) {
	if e := r.entries[key]; e != nil && e.member != nil {
		return *e.member, true
	}
	return Member{}, false
}

// Version counts the changes that bear on a View.
func (r *Roster) Version() uint64 { return r.version }

// Len returns the number of entries, ended ones included.
func (r *Roster) Len() int { return len(r.entries) }

// Refused counts new entries that found the roster full.
func (r *Roster) Refused() uint64 { return r.refused }

func (o *Outcome) add(other Outcome) {
	o.Changed += other.Changed
	o.Urgent = o.Urgent || other.Urgent
}

func (r *Roster) apply(now time.Duration, from Key, d Delta) Outcome {
	key := d.key()
	e := r.entries[key]
	if e == nil {
		return r.create(now, from, key, d)
	}
	before := *e
	if !e.merge(now, d) {
		r.markKnownBy(from, key)
		return Outcome{}
	}
	return r.finishChange(now, from, e, before)
}

// admit makes an entry for a key that is new.
func (r *Roster) create(now time.Duration, from, key Key, d Delta) Outcome {
	if !d.createsEntry() || d.Progress != nil {
		return Outcome{}
	}
	if len(r.entries) >= _maxEntries {
		r.refused++
		return Outcome{}
	}
	e := &entry{key: key}
	e.merge(now, d)
	if life := e.ttl(); life != 0 && d.age() >= life/_digestTTLDivisor {
		return Outcome{}
	}
	r.entries[key] = e
	b := &r.buckets[key.bucket()]
	b.entries = append(b.entries, e)
	if key.Kind == KindMember {
		r.members++
	}
	return r.finishChange(now, from, e, entry{key: key})
}

// settle brings the hashes and the rumors up to an entry's change.
func (r *Roster) finishChange(now time.Duration, from Key, e *entry, before entry) Outcome {
	r.removeFromDigest(e)
	r.addToDigest(e)
	r.updateServices(e, &before)
	urgent := e.urgentChange(&before)
	if urgent || e.key.Kind == KindUpstream {
		r.version++
	}
	if urgent && e.key.Kind == KindMember {
		r.keeperCache = keeperList{}
	}
	r.startRumor(now, from, e, &before, urgent)
	return Outcome{Changed: 1, Urgent: urgent}
}

func (r *Roster) remove(key Key, e *entry) {
	r.removeFromDigest(e)
	delete(r.entries, key)
	delete(r.rumors, key)
	r.buckets[key.bucket()].remove(e)
	if e.upstream != nil {
		r.removeFromService(e, e.upstream.Service)
	}
	if key.Kind == KindMember {
		r.members--
	}
	r.version++
}
