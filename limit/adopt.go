package limit

import (
	"dandelionhitch.example/platform"
)

// readDone adopts the Share unless it is older than one seen before.
func (h *Holder) readDone(now Instant, e ReadDone) {
	if e.Version < h.version {
		h.failed(now, Failed{})
		return
	}
	h.adopt(now, e.Share, e.Version)
	h.phase = _planning
}

// adopt takes a state of the Share as the latest. Attempts that expected an
// earlier version have taken effect in it or never will.
func (h *Holder) adopt(now Instant, share Share, version platform.Version) {
	h.version, h.share = version, share
	h.watch.see(now.Mono, share)
	h.gate.notedRevision, h.gate.notedLimit = share.Revision, share.Limit
	h.gate.others = share.openExcept(h.run)

	entry, joined := share.Entry(h.run)
	if !joined {
		entry = Entry{Run: h.run}
	}
	h.held = entry
	h.extend(entry.Seq)
	if len(h.attempts) > 0 && version <= h.doubtful {
		h.gate.restrict(entry.Floor, entry.Leased)
		return
	}
	h.attempts = h.attempts[:0]
	h.gate.joined = joined
	h.gate.floor, h.gate.leased = entry.Floor, entry.Leased
	h.gate.refresh()
}

// extend counts the terms of the attempt that took effect from before it was sent.
func (h *Holder) extend(seq uint64) {
	for _, a := range h.attempts {
		if a.seq == seq {
			h.gate.leasedUntil = a.sent.add(h.pace.Term)
			h.gate.floorUntil = a.sent.add(h.pace.FloorTerm)
		}
	}
}

// writeDone adopts the Share that was written.
func (h *Holder) writeDone(now Instant, e WriteDone) {
	if e.Version <= h.doubtful {
		h.failed(now, Failed{})
		return
	}
	h.adopt(now, h.written, e.Version)
	if h.leaving {
		h.phase = _left
		return
	}
	h.renewal = now.Mono + h.about(h.pace.Renewal)
	h.settle(now)
}
