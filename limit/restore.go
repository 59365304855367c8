package limit

import (
	"time"

	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
)

// When the platform's store is restored from an older copy, the Share loses what runs have
// written since: an entry may be larger than the units that its run still uses, smaller, or
// missing. A run that reads such a Share therefore begins a recount. During the recount:
//
//   - A run uses at most what it used before, and writes an entry of at most that. The sum
//     over all runs is within the Whole, as it was before the restoration.
//   - Units that a run gives up, by an entry that is smaller than what it used or by
//     leaving, are added to the Share's Spare. Other units are not claimed, as a run whose
//     entry is missing may use them.
//
// The recount of a run ends when the leases of all runs that have written nothing since must
// have lapsed, and the drain deadline has passed for their flows. The first run to get there
// marks the Share as recounted in the store's epoch, which ends the recount for all runs.

// recount is the state of a Holder after its Share was restored from an older copy.
type recount struct {
	// epoch is the highest epoch of the store for which the recount has begun, and until
	// when it ends.
	epoch platform.Epoch
	until time.Duration
	// floor and leased are the parts that the run used when the recount began.
	floor, leased Units
	// firstSeq is the number of the run's first attempt in the recount.
	firstSeq uint64
}

// beginRecount begins a recount if the Share was restored in an epoch for which it has not
// begun one yet: the Share says so, or the run knows it from an earlier epoch.
func (h *Holder) beginRecount(now Instant, share Share, epoch platform.Epoch) {
	isRestored := share.Epoch > 0 || h.version > 0 && h.version.Epoch() < epoch
	if epoch <= h.recount.epoch || share.isComplete(epoch) || !isRestored {
		return
	}
	term := settings.Duration(h.pace.Term)
	for _, entry := range share.Entries {
		term = max(term, entry.Term)
	}
	h.recount = recount{
		epoch: epoch, until: now.Mono + ReclaimAfter(term) + time.Duration(h.gate.limits.DrainDeadline),
		floor: h.gate.floor, leased: h.gate.leased, firstSeq: h.seq + 1,
	}
}

// skipRecount records that the run created the Share in an epoch, so that nothing is
// missing in it.
func (h *Holder) skipRecount(now Instant, epoch platform.Epoch) {
	h.recount = recount{epoch: epoch, until: now.Mono, firstSeq: h.seq + 1}
}

// inRecount reports whether a recount is in progress.
func (h *Holder) inRecount(now Instant) bool {
	epoch := h.version.Epoch()
	return !h.share.isComplete(epoch) && h.recount.epoch == epoch && now.Mono < h.recount.until
}

// bounded returns an entry of the run that was written before the recount, reduced to the parts
// that the run used when the recount began.
func (r recount) bounded(entry Entry) Entry {
	if entry.Seq < r.firstSeq {
		entry.Floor, entry.Leased = min(entry.Floor, r.floor), min(entry.Leased, r.leased)
	}
	return entry
}

// units returns the units that the run may have in the recount, besides the Spare, if entry
// is its entry in the Share.
func (r recount) units(entry Entry) Units {
	if entry.Seq < r.firstSeq {
		return r.floor + r.leased
	}
	return entry.Units()
}

// recreate returns the Write that creates a Share that the store has lost, with the parts
// that the run uses. If the Share exists after all, the write fails.
func (h *Holder) recreate(now Instant) Action {
	h.lost = false
	entry := h.recordAttempt(now, Entry{Run: h.run, Floor: h.gate.floor, Leased: h.gate.leased, Open: h.gate.open})
	h.phase = _writing
	h.pendingShare = Share{}.WithLimits(h.gate.limits).WithEntry(entry)
	return Write{Share: h.pendingShare}
}
