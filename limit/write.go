package limit

import (
	"time"

	"dandelionhitch.example/settings"
)

// write plans the run's entry and returns the write that brings it about, or
// a rest if nothing has to change.
func (h *Holder) write(now Instant, gone func(Run) bool) Action {
	share := h.reclaim(gone).WithLimits(h.gate.limits)
	if h.leaving {
		return h.writeLeave(now, share)
	}
	plan := h.plan(share)
	next := plan.entry()
	if now.Mono < h.renewal && !plan.worthWriting(next) {
		h.settle(now)
		return Rest{Until: h.due}
	}
	next = h.attempt(now, next)
	return h.send(share.WithEntry(next))
}

// writeLeave returns the write that ends the run's entry. A run without an
// entry, and without a write that may yet make one, has left already.
func (h *Holder) writeLeave(now Instant, share Share) Action {
	if share.index(h.run) < 0 && len(h.attempts) == 0 {
		h.phase = _left
		return Done{}
	}
	h.attempt(now, Entry{Run: h.run})
	return h.send(share.WithoutRun(h.run))
}

func (h *Holder) send(share Share) Action {
	h.phase = _writing
	h.doubtful = h.version
	h.written = share
	return Write{Share: share, Expected: h.version}
}

// attempt numbers a write and stops using what it would give back.
func (h *Holder) attempt(now Instant, next Entry) Entry {
	h.seq++
	next.Seq = h.seq
	next.Term = settings.Duration(h.pace.Term)
	next.FloorTerm = settings.Duration(h.pace.FloorTerm)
	if len(h.attempts) == _maxAttempts {
		h.attempts = append(h.attempts[:0], h.attempts[1:]...)
	}
	h.attempts = append(h.attempts, attempt{seq: h.seq, sent: now})
	h.gate.restrict(next.Floor, next.Leased)
	return next
}

func (h *Holder) reclaim(gone func(Run) bool) Share {
	r := reclaimer{
		self:  h.run,
		watch: &h.watch,
		drain: time.Duration(h.gate.limits.DrainDeadline),
		gone:  gone,
	}
	return r.reclaim(h.share)
}

func (h *Holder) plan(share Share) plan {
	p := plan{
		share:    share,
		own:      h.held,
		hosts:    1,
		limit:    h.gate.flowLimit(),
		maxHosts: h.gate.limits.MaxHosts,
		open:     h.gate.open,
		refused:  h.urgent,
		unmet:    h.gate.unmet,
		draining: h.gate.draining,
	}
	for _, entry := range share.Entries {
		if entry.Run == h.run || h.watch.lapsed(entry) {
			continue
		}
		p.hosts++
		p.lacking += entry.Lacking
	}
	return p
}
