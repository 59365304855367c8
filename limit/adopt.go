package limit

import (
	"dandelionhitch.example/platform"
)

// handleRead adopts the Share that was read, unless the Holder has read or written
// a later version before.
func (h *Holder) handleRead(now Instant, e ReadDone) {
	if e.Version == 0 && h.version > 0 {
		h.lost, h.phase = true, _planning
		return
	}
	if e.Version < h.version {
		h.handleFailure(now, Failed{})
		return
	}
	h.adopt(now, e.Share, e.Version)
	h.phase = _planning
}

// adopt makes share, with this version, the latest known state. An attempt that
// expected an earlier version has either taken effect by now or never will,
// because its conditional update would fail.
func (h *Holder) adopt(now Instant, share Share, version platform.Version) {
	h.beginRecount(now, share, version.Epoch())
	if share.Revision < h.share.Revision {
		share.Revision, share.Limit = h.share.Revision, h.share.Limit
	}
	h.version, h.share = version, share
	h.observer.observe(now.Mono, share)
	h.gate.shareRevision, h.gate.shareLimit = share.Revision, share.Limit
	h.gate.openElsewhere = share.openElsewhere(h.run)

	entry, joined := share.Entry(h.run)
	if !joined {
		entry = Entry{Run: h.run}
	}
	h.entry = entry
	if h.inRecount(now) {
		entry = h.recount.bounded(entry)
	}
	h.renewTerms(entry.Seq)
	if len(h.attempts) > 0 && version <= h.lastExpected {
		h.gate.restrict(entry.Floor, entry.Leased)
		return
	}
	h.attempts = h.attempts[:0]
	h.gate.joined = joined
	h.gate.floor, h.gate.leased = entry.Floor, entry.Leased
	h.gate.refresh()
}

// renewTerms sets when the run's floor and leased part lapse, after the attempt
// with number seq took effect. Their terms count from before the attempt was sent.
func (h *Holder) renewTerms(seq uint64) {
	for _, a := range h.attempts {
		if a.seq == seq {
			h.gate.leasedUntil = a.sent.add(h.pace.Term)
			h.gate.floorUntil = a.sent.add(h.pace.FloorTerm)
		}
	}
}

// handleWrite adopts the Share that was written.
func (h *Holder) handleWrite(now Instant, e WriteDone) {
	if e.Version <= h.lastExpected {
		h.handleFailure(now, Failed{})
		return
	}
	if h.version == 0 {
		h.skipRecount(now, e.Version.Epoch())
	}
	h.adopt(now, h.pendingShare, e.Version)
	if h.leaving {
		h.phase = _left
		return
	}
	h.renewBy = now.Mono + h.jittered(h.pace.Renewal)
	if !h.share.isComplete(e.Version.Epoch()) && !h.inRecount(now) {
		h.renewBy = now.Mono
	}
	h.endCycle(now)
}
