package roster

import (
	"cmp"
	"slices"
	"time"
)

const (
	// _urgentSends is the number of processes that each process sends an urgent change
	// to.
	_urgentSends = 8
	// _rumorSends is the number of processes that each process sends any other change to.
	// Processes that do not receive the change as a rumor get it by comparing digests.
	_rumorSends = 5
	// _rumorTTL limits how long a change stays pending. The limit is needed if there are
	// fewer other processes than the change is to be sent to.
	_rumorTTL = 30 * time.Second
	// _urgentTTL is how long an urgent change causes additional exchanges.
	_urgentTTL = 1500 * time.Millisecond
)

// rumor is a recent change that is pending to be sent to other processes.
type rumor struct {
	entry     *entry
	createdAt time.Duration
	// sendsLeft is the number of processes that the change is still to be sent to.
	sendsLeft int
	// knownBy lists the processes that have the change, because this process sent it to
	// them or received it from them.
	knownBy []Key
	// needsRecord reports whether to send the complete record, because the other
	// processes may not have any record of this incarnation.
	needsRecord bool
	urgent      bool
}

// urgentChange compares the entry with its earlier state, and reports whether the change
// affects where new flows or heartbeats go.
func (e *entry) urgentChange(before *entry) bool {
	if e.state() != before.state() || e.suspected() != before.suspected() {
		return true
	}
	return e.version().Incarnation != before.version().Incarnation
}

// startRumor makes a change of an entry pending for all processes except the one that
// sent the change. It replaces an earlier rumor about the entry.
func (r *Roster) startRumor(now time.Duration, from Key, e, before *entry, urgent bool) {
	needsRecord := !before.hasRecord() || e.version().Incarnation != before.version().Incarnation
	if pending := r.rumors[e.key]; pending != nil {
		needsRecord = needsRecord || pending.needsRecord
		urgent = urgent || pending.urgent
	}
	sends := _rumorSends
	if urgent {
		sends = _urgentSends
	}
	r.rumors[e.key] = &rumor{entry: e, createdAt: now, sendsLeft: sends, knownBy: []Key{from}, needsRecord: needsRecord, urgent: urgent}
}

// markKnownBy records that a process already has the pending change of an entry.
func (r *Roster) markKnownBy(from, key Key) {
	if pending := r.rumors[key]; pending != nil && !slices.Contains(pending.knownBy, from) {
		pending.knownBy = append(pending.knownBy, from)
	}
}

// Rumors returns up to limit pending changes to send to a process, and counts them as
// sent. Urgent changes come first, then those with the most sends left.
func (r *Roster) Rumors(now time.Duration, to Key, limit int) []Delta {
	pending := r.pending(now, to)
	pending = pending[:min(limit, len(pending))]
	var out []Delta
	for _, p := range pending {
		out = append(out, p.entry.rumorDelta(now, p.needsRecord))
		p.knownBy = append(p.knownBy, to)
		p.sendsLeft--
		if p.sendsLeft <= 0 {
			delete(r.rumors, p.entry.key)
		}
	}
	return out
}

// pending returns the rumors that a process does not have, in the order to send them,
// and removes expired ones.
func (r *Roster) pending(now time.Duration, to Key) []*rumor {
	var pending []*rumor
	for key, p := range r.rumors {
		switch {
		case now-p.createdAt > _rumorTTL:
			delete(r.rumors, key)
		case !slices.Contains(p.knownBy, to):
			pending = append(pending, p)
		}
	}
	slices.SortFunc(pending, func(a, b *rumor) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), a.entry.key.Addr.Compare(b.entry.key.Addr))
	})
	return pending
}

// RestoreUnsent makes the changes in a Push pending again for a process, after the call
// that carried the Push has failed.
func (r *Roster) RestoreUnsent(now time.Duration, to Key, p Push) {
	for _, d := range p.Deltas {
		e := r.entries[d.key()]
		if e == nil {
			continue
		}
		pending := r.rumors[e.key]
		if pending == nil {
			pending = &rumor{entry: e, createdAt: now, needsRecord: d.Progress == nil}
			r.rumors[e.key] = pending
		}
		pending.sendsLeft++
		pending.knownBy = slices.DeleteFunc(pending.knownBy, func(k Key) bool { return k == to })
	}
}

// Urgent reports whether an urgent change is pending that is less than _urgentTTL old and
// therefore causes additional exchanges.
func (r *Roster) Urgent(now time.Duration) bool {
	for _, p := range r.rumors {
		if p.urgent && now-p.createdAt < _urgentTTL {
			return true
		}
	}
	return false
}

// ForgetRumors removes all pending changes except those of the given entries. A process
// that has fetched the whole roster from another one calls it, because the other
// processes have these entries already.
func (r *Roster) ForgetRumors(except ...Key) {
	for key := range r.rumors {
		if !slices.Contains(except, key) {
			delete(r.rumors, key)
		}
	}
}
