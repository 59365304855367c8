package roster

import (
	"cmp"
	"slices"
	"time"
)

const (
	// _urgentSends is how often one process passes on a change that bears on
	// new flows.
	_urgentSends = 5
	// _sends is how often it passes on any other change. Digests bring the rest.
	_sends = 3
)

// rumor is a recent change that is still passed on.
type rumor struct {
	entry *entry
	// left is how often to pass it on.
	left int
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

func (r *Roster) spread(e, before *entry, urgent bool) {
	whole := !before.known() || e.mark().Incarnation != before.mark().Incarnation
	old := r.rumors[e.key]
	if old != nil {
		whole = whole || old.whole
		urgent = urgent || old.urgent
	}
	left := _sends
	if urgent {
		left = _urgentSends
	}
	r.rumors[e.key] = &rumor{entry: e, left: left, whole: whole, urgent: urgent}
}

// heardAgain counts a rumor that came back as passed on once.
func (r *Roster) heardAgain(key Key) {
	if old := r.rumors[key]; old != nil {
		r.passed(key, old)
	}
}

func (r *Roster) passed(key Key, old *rumor) {
	old.left--
	if old.left <= 0 {
		delete(r.rumors, key)
	}
}

// Rumors returns up to limit recent changes, urgent and less told ones first,
// and counts them as passed on.
func (r *Roster) Rumors(now time.Duration, limit int) []Delta {
	if len(r.rumors) == 0 {
		return nil
	}
	pending := make([]*rumor, 0, len(r.rumors))
	for _, p := range r.rumors {
		pending = append(pending, p)
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
	pending = pending[:min(limit, len(pending))]
	out := make([]Delta, 0, len(pending))
	for _, p := range pending {
		out = append(out, p.entry.change(now, p.whole))
		r.passed(p.entry.key, p)
	}
	return out
}

// Pending returns how many changes are still passed on, and whether one of them
// is urgent.
func (r *Roster) Pending() (count int, urgent bool) {
	for _, p := range r.rumors {
		if p.urgent {
			return len(r.rumors), true
		}
	}
	return len(r.rumors), false
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
