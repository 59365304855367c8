package roster

import (
	"cmp"
	"slices"
	"time"
)

const (
	// _urgentSends is how many others one process tells a change that bears on
	// new flows.
	_urgentSends = 8
	// _sends is how many it tells any other change. Digests bring the rest.
	_rumorSends = 5
	// _rumorLife bounds how long a change is told, where there are fewer others.
	_rumorTTL = 30 * time.Second
	// _urgentLife is how long an urgent change deserves exchanges of its own.
	_urgentTTL = 1500 * time.Millisecond
)

// rumor is a recent change that is still told to others.
type rumor struct {
	entry     *entry
	createdAt time.Duration
	// left is how many others to tell.
	sendsLeft int
	// aware are the others that have it: they were told or told it themselves.
	knownBy []Key
	// whole says that others may lack the record.
	needsRecord bool
	urgent      bool
}

// urgent says whether a change bears on where new flows or heartbeats go.
func (e *entry) urgentChange(before *entry) bool {
	if e.state() != before.state() || e.suspected() != before.suspected() {
		return true
	}
	return e.mark().Incarnation != before.mark().Incarnation
}

// spread begins to tell a change that came from a process.
func (r *Roster) startRumor(now time.Duration, from Key, e, before *entry, urgent bool) {
	whole := !before.known() || e.mark().Incarnation != before.mark().Incarnation
	if old := r.rumors[e.key]; old != nil {
		whole = whole || old.needsRecord
		urgent = urgent || old.urgent
	}
	left := _rumorSends
	if urgent {
		left = _urgentSends
	}
	r.rumors[e.key] = &rumor{entry: e, createdAt: now, sendsLeft: left, knownBy: []Key{from}, needsRecord: whole, urgent: urgent}
}

// heardAgain notes that a process has a change that it would be told.
func (r *Roster) markKnownBy(from, key Key) {
	if old := r.rumors[key]; old != nil && !slices.Contains(old.knownBy, from) {
		old.knownBy = append(old.knownBy, from)
	}
}

// Rumors returns up to limit recent changes to tell a process, urgent and less
// told ones first, and counts them as told.
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

// Unsent takes back that a process was told what a Push held: the call failed.
func (r *Roster) RestoreUnsent(now time.Duration, to Key, p Push) {
	for _, d := range p.Deltas {
		e := r.entries[d.key()]
		if e == nil {
			continue
		}
		old := r.rumors[e.key]
		if old == nil {
			old = &rumor{entry: e, createdAt: now, needsRecord: d.Progress == nil}
			r.rumors[e.key] = old
		}
		old.sendsLeft++
		old.knownBy = slices.DeleteFunc(old.knownBy, func(k Key) bool { return k == to })
	}
}

// Urgent says that a change deserves an exchange of its own.
func (r *Roster) Urgent(now time.Duration) bool {
	for _, p := range r.rumors {
		if p.urgent && now-p.createdAt < _urgentTTL {
			return true
		}
	}
	return false
}

// ForgetRumors drops what would be passed on. A process that learned a whole
// roster from another one has no news to tell.
func (r *Roster) ForgetRumors(except ...Key) {
	for key := range r.rumors {
		if !slices.Contains(except, key) {
			delete(r.rumors, key)
		}
	}
}
