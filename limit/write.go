package limit

import (
	"time"

	"dandelionhitch.example/settings"
)

// planWrite plans the run's entry and returns the Write that stores it, or a Wait
// if no write is necessary.
func (h *Holder) planWrite(now Instant, gone func(Run) bool) Action {
	switch {
	case h.lost && h.leaving:
		h.phase = _left
		return Done{}
	case h.lost:
		return h.recreate(now)
	}
	share := h.reclaim(gone).WithLimits(h.gate.limits)
	if h.leaving {
		return h.planLeave(now, share)
	}
	plan := h.plan(now, share)
	next := plan.entry()
	if now.Mono < h.renewBy && !plan.needsWrite(next) {
		h.endCycle(now)
		return Wait{Until: h.nextRead}
	}
	next = h.recordAttempt(now, next)
	return h.issueWrite(h.account(now, share, next.Units()).WithEntry(next))
}

// account returns the share with the Spare after the run's units have become units. Without
// a recount there is no Spare, and the share is complete.
func (h *Holder) account(now Instant, share Share, units Units) Share {
	if !h.inRecount(now) {
		return share.withSpare(0).withEpoch(h.version.Epoch())
	}
	before := h.recount.units(h.entry)
	return share.withSpare((share.Spare + before).less(units))
}

// planLeave returns the Write that removes the run's entry. If there is no entry,
// and no pending write that may still create one, it returns Done.
func (h *Holder) planLeave(now Instant, share Share) Action {
	if share.index(h.run) < 0 && len(h.attempts) == 0 {
		h.phase = _left
		return Done{}
	}
	h.recordAttempt(now, Entry{Run: h.run})
	return h.issueWrite(h.account(now, share, 0).WithoutRun(h.run))
}

// issueWrite returns the Write that stores share if the version in the store is
// still the highest known version.
func (h *Holder) issueWrite(share Share) Action {
	h.phase = _writing
	h.lastExpected = h.version
	h.pendingShare = share
	return Write{Share: share, Expected: h.version}
}

// recordAttempt records and numbers a write of the entry next, and stops the use of
// the units that the write would return. It returns next with its number and terms.
func (h *Holder) recordAttempt(now Instant, next Entry) Entry {
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

// reclaim returns the known share without the parts that may be reclaimed.
func (h *Holder) reclaim(gone func(Run) bool) Share {
	r := reclaimer{
		self:          h.run,
		observer:      &h.observer,
		drainDeadline: time.Duration(h.gate.limits.DrainDeadline),
		gone:          gone,
	}
	return r.reclaim(h.share)
}

// plan returns the inputs for the run's next entry in share.
func (h *Holder) plan(now Instant, share Share) plan {
	p := plan{
		share:      share,
		current:    h.entry,
		free:       share.Free(),
		hosts:      1,
		limit:      h.gate.flowLimit(),
		maxHosts:   h.gate.limits.MaxHosts,
		open:       h.gate.open,
		wantsMore:  h.wantsMore,
		unmetFlows: h.gate.unmetFlows,
		draining:   h.gate.draining,
	}
	if h.inRecount(now) {
		p.current = h.recount.bounded(h.entry)
		p.free = min(p.free, share.Spare+h.recount.units(h.entry).less(p.current.Units()))
	}
	for _, entry := range share.Entries {
		if entry.Run == h.run || h.observer.leaseLapsed(entry) {
			continue
		}
		p.hosts++
		p.othersLacking += entry.Lacking
	}
	return p
}
