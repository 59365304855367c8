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
	_sends = 5
	// _rumorLife bounds how long a change is told, where there are fewer others.
	_rumorLife = 30 * time.Second
	// _urgentLife is how long an urgent change deserves exchanges of its own.
	_urgentLife = 1500 * time.Millisecond
)

// rumor is a recent change that is still told to others.
type rumor struct {
	entry *entry
	since time.Duration
	// left is how many others to tell.
	left int
	// aware are the others that have it: they were told or told it themselves.
	aware []Key
	// whole says that others may lack the record.
	whole  bool
	urgent bool
}

// urgent says whether a change bears on where new flows or heartbeats go.
func (e *entry) urgent(before *entry) bool {
	if e.state() != before.state() || e.suspected() != before.suspected() {
		return true
	}
	return e.mark().Incarnation != before.mark().Incarnation
}

// spread begins to tell a change that came from a process.
func (r *Roster) spread(now time.Duration, from Key, e, before *entry, urgent bool) {
	whole := !before.known() || e.mark().Incarnation != before.mark().Incarnation
	if old := r.rumors[e.key]; old != nil {
		whole = whole || old.whole
		urgent = urgent || old.urgent
	}
	left := _sends
	if urgent {
		left = _urgentSends
	}
	r.rumors[e.key] = &rumor{entry: e, since: now, left: left, aware: []Key{from}, whole: whole, urgent: urgent}
}

// heardAgain notes that a process has a change that it would be told.
func (r *Roster) heardAgain(from, key Key) {
	if old := r.rumors[key]; old != nil && !slices.Contains(old.aware, from) {
		old.aware = append(old.aware, from)
	}
}

// Rumors returns up to limit recent changes to tell a process, urgent and less
// told ones first, and counts them as told.
func (r *Roster) Rumors(now time.Duration, to Key, limit int) []Delta {
	pending := r.pending(now, to)
	pending = pending[:min(limit, len(pending))]
	var out []Delta
	for _, p := range pending {
		out = append(out, p.entry.change(now, p.whole))
		p.aware = append(p.aware, to)
		p.left--
		if p.left <= 0 {
			delete(r.rumors, p.entry.key)
		}
	}
	return out
}

func (r *Roster) pending(now time.Duration, to Key) []*rumor {
	var pending []*rumor
	for key, p := range r.rumors {
		switch {
		case now-p.since > _rumorLife:
			delete(r.rumors, key)
		case !slices.Contains(p.aware, to):
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
		return cmp.Or(cmp.Compare(b.left, a.left), a.entry.key.Addr.Compare(b.entry.key.Addr))
	})
	return pending
}

// Unsent takes back that a process was told what a Push held: the call failed.
func (r *Roster) Unsent(now time.Duration, to Key, p Push) {
	for _, d := range p.Deltas {
		e := r.entries[d.key()]
		if e == nil {
			continue
		}
		old := r.rumors[e.key]
		if old == nil {
			old = &rumor{entry: e, since: now, whole: d.Progress == nil}
			r.rumors[e.key] = old
		}
		old.left++
		old.aware = slices.DeleteFunc(old.aware, func(k Key) bool { return k == to })
	}
}

// Urgent says that a change deserves an exchange of its own.
func (r *Roster) Urgent(now time.Duration) bool {
	for _, p := range r.rumors {
		if p.urgent && now-p.since < _urgentLife {
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
