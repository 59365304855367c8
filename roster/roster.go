// Package roster implements a replicated set of records of upstreams and balancers. Each
// process holds a copy, a Roster, and copies are merged by gossip.
//
// # Merging
//
// Each record has a single writer: an agent, the process beside an upstream, writes the
// record Upstream, and a balancer writes its record Member. The writer numbers the states
// of its record by (Incarnation, Seq): Incarnation increases with each run of the writer,
// Seq with each state that the writer announces within one run. Other processes add only
// two things to a record: a suspicion of one of its states, and the verdict that one of
// its incarnations has ended. The record, the suspicion and the verdict are each totally
// ordered, and a merge takes the higher of each. Merging is therefore commutative and idempotent: copies converge whatever the order in which
// changes arrive, and however often, without consensus.
//
// # Suspicions and verdicts
//
// A suspicion diverts new flows from its subject, or heartbeats and exchanges if the
// subject is a balancer. It does not affect existing flows. A suspicion names the last
// known Seq of its subject. The subject refutes the suspicion by announcing a higher
// Seq.
//
// A verdict lets balancers reset the flows of an incarnation. It therefore needs
// confirmation: the owner has announced that it is gone, a newer incarnation is at the
// address, or the host has refused a connection to the control port. Neither a paused
// process nor a network partition leads to a verdict: the kernel accepts connections for
// a paused process, and a partition gives no answer at all. A host that has vanished
// altogether gets no verdict either: its upstream stays suspected, and its flows end by
// their idle timeout.
//
// A firewall in front of control ports must drop packets, not reject them: a rejection
// cannot be told from a refusal by the host itself.
//
// # Propagation
//
// Changes propagate in two ways. Rumors carry recent changes; each process sends a
// change to a bounded number of others. Comparing digests finds the differences that
// remain after the rumors: entries are hashed into buckets, buckets form groups, and each bucket
// and group has a hash of its contents. Two equal rosters are compared by one message
// with GroupsSize octets of group hashes; unequal ones exchange summaries of the buckets
// that differ. A flat digest of all 6,560 records (660 balancers and 5,900 upstreams)
// would take 65 KB.
//
// The package does no I/O and reads no clock. Times are on the caller's monotonic clock.
package roster

import (
	"time"

	"dandelionhitch.example/service"
)

const (
	// TombstoneTTL is how long the entry of an ended run is retained.
	TombstoneTTL = time.Hour
	// SuspectTTL is how long the entry of an upstream or member that stays suspected is
	// retained. A host that has vanished altogether never gets a verdict.
	SuspectTTL = 24 * time.Hour
	// _digestTTLDivisor divides these TTLs. An entry older than the quotient is no
	// longer part of the digests, and a process that lacks the entry does not add it.
	// Otherwise a process that has removed an expired entry would get it back from a
	// process that has not removed it yet.
	_digestTTLDivisor = 2
	// _maxEntries is the maximum number of entries of one roster.
	_maxEntries = 32 << 10
)

// Roster is one process's copy of the replicated set. It is not safe for concurrent use.
type Roster struct {
	entries map[Key]*entry
	buckets [_buckets]bucket
	rumors  map[Key]*rumor
	// services lists the upstreams of each service.
	services map[service.ID][]*entry
	// members is the number of entries of members.
	members int
	// keeperCache caches the result of keeperCandidates. It is empty if it is stale.
	keeperCache keeperList
	// version counts the changes that affect a View.
	version uint64
	// syncOffset selects the bucket at which the next sync begins. The bucket's index
	// among the buckets that differ is syncOffset modulo their number.
	syncOffset uint
	// refused counts new entries that were refused because the roster was full.
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

// Outcome is the effect of a merge on the roster.
type Outcome struct {
	// Changed is the number of entries that changed.
	Changed int
	// Urgent reports whether a change affects where new flows or heartbeats go.
	Urgent bool
}

// Apply merges deltas that another process has sent. The roster does not send the same
// changes back to that process as rumors. The zero Key stands for a process that
// receives no rumors.
func (r *Roster) Apply(now time.Duration, from Key, deltas []Delta) Outcome {
	var out Outcome
	for _, d := range deltas {
		out.add(r.apply(now, from, d))
	}
	return out
}

// Announce merges an upstream's record received from the record's writer.
func (r *Roster) Announce(now time.Duration, u Upstream) Outcome {
	return r.Apply(now, Key{}, []Delta{{Upstream: &u}})
}

// AnnounceMember merges a member's record received from the record's writer.
func (r *Roster) AnnounceMember(now time.Duration, m Member) Outcome {
	return r.Apply(now, Key{}, []Delta{{Member: &m}})
}

// Suspect adds a suspicion of the entry's current state. It does nothing if there is no
// such entry, its run has ended, or it is suspected already.
func (r *Roster) Suspect(now time.Duration, key Key) Outcome {
	e := r.entries[key]
	if e == nil || e.ended() || e.suspected() {
		return Outcome{}
	}
	version := e.version()
	return r.Apply(now, Key{}, []Delta{{
		Kind: key.Kind, Addr: key.Addr,
		SuspectIncarnation: version.Incarnation, SuspectSeq: version.Seq,
	}})
}

// ConfirmGone adds the verdict that the incarnation has ended. The caller must have one of
// the confirmations that the package documentation lists.
func (r *Roster) ConfirmGone(now time.Duration, key Key, incarnation service.Incarnation) Outcome {
	if r.entries[key] == nil {
		return Outcome{}
	}
	return r.Apply(now, Key{}, []Delta{{Kind: key.Kind, Addr: key.Addr, Gone: incarnation}})
}

// Expire removes the entries that have been ended for TombstoneTTL or suspected for
// SuspectTTL, and returns their number.
func (r *Roster) Expire(now time.Duration) int {
	expired := 0
	for key, e := range r.entries {
		ttl := e.ttl()
		if ttl == 0 {
			continue
		}
		age := now - e.downSince
		if age >= ttl/_digestTTLDivisor {
			r.removeFromDigest(e)
		}
		if age >= ttl {
			r.remove(key, e)
			expired++
		}
	}
	return expired
}

// Status is the status of one entry, derived from its record, suspicion and verdict.
type Status struct {
	// Version identifies the current state of the record.
	Version RecordVersion
	// State is the state that the owner has announced, or Gone if the run has ended.
	State service.State
	// Suspect reports whether the current state is suspected.
	Suspect bool
	// Highest is the highest incarnation known at the address.
	Highest service.Incarnation
	// Ended is the highest incarnation at the address that is known to have ended.
	Ended service.Incarnation
}

// Status returns the status of an entry, and whether the entry has a record.
func (r *Roster) Status(key Key) (Status, bool) {
	e := r.entries[key]
	if e == nil || !e.hasRecord() {
		return Status{}, false
	}
	s := Status{
		Version: e.version(),
		State:   e.state(),
		Suspect: e.suspected(),
		Highest: max(e.version().Incarnation, e.gone),
		Ended:   max(e.gone, e.version().Incarnation-1),
	}
	return s, true
}

// Upstream returns the record of the upstream with the given key, if there is one.
func (r *Roster) Upstream(key Key) (Upstream, bool) {
	if e := r.entries[key]; e != nil && e.upstream != nil {
		return *e.upstream, true
	}
	return Upstream{}, false
}

// Member returns the record of the balancer with the given key, if there is one.
func (r *Roster) Member(key Key) (Member, bool) {
	if e := r.entries[key]; e != nil && e.member != nil {
		return *e.member, true
	}
	return Member{}, false
}

// Version returns the number of changes so far that affect a View.
func (r *Roster) Version() uint64 { return r.version }

// Len returns the number of entries, ended ones included.
func (r *Roster) Len() int { return len(r.entries) }

// Refused returns the number of new entries refused because the roster was full.
func (r *Roster) Refused() uint64 { return r.refused }

func (o *Outcome) add(other Outcome) {
	o.Changed += other.Changed
	o.Urgent = o.Urgent || other.Urgent
}

// apply merges one delta.
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

// create adds the entry of a new key, unless the delta is of no use without an entry,
// the roster is full, or the entry is too old.
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
	if ttl := e.ttl(); ttl != 0 && d.age() >= ttl/_digestTTLDivisor {
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

// finishChange updates the digests, indexes and rumors after a change of an entry.
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

// remove removes an entry from the roster with its indexes and rumor.
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
