package limit

import (
	"time"

	"dandelionhitch.example/settings"
)

// watched is for how long an entry has been seen unchanged.
type watched struct {
	seq    uint64
	silent time.Duration
}

// watch is what one run saw of the others' entries, on its own monotonic clock.
type watch struct {
	entries map[Run]watched
	// last is when the share was last seen.
	last time.Duration
	// step bounds how much the time between two sights of the share counts. In
	// an outage no run can renew its lease, nor see the share; so runs that
	// are alive have time to renew it after an outage, however long that was.
	step time.Duration
}

// see notes the entries of a share that was in the store before now.
func (w *watch) see(now time.Duration, share Share) {
	passed := min(now-w.last, w.step)
	w.last = now
	seen := make(map[Run]watched, len(share.Entries))
	for _, entry := range share.Entries {
		known, ok := w.entries[entry.Run]
		if !ok || known.seq != entry.Seq {
			known = watched{seq: entry.Seq, silent: -passed}
		}
		known.silent += passed
		seen[entry.Run] = known
	}
	w.entries = seen
}

// silent is for how long the entry of the share last seen has been unchanged.
func (w *watch) silent(entry Entry) time.Duration {
	return w.entries[entry.Run].silent
}

// lapsed reports whether the entry's run has surely stopped using its leased part.
func (w *watch) lapsed(entry Entry) bool {
	return w.silent(entry) >= ReclaimAfter(entry.Term)
}

// reclaimer takes back the parts of silent runs.
type reclaimer struct {
	self  Run
	watch *watch
	// drain is how long flows may outlive the lease they were admitted under.
	drain time.Duration
	gone  func(Run) bool
}

// reclaim returns the share without what may be given out again.
func (r reclaimer) reclaim(share Share) Share {
	reclaimed := share
	for _, entry := range share.Entries {
		if entry.Run == r.self || !r.watch.lapsed(entry) {
			continue
		}
		reclaimed = r.reclaimEntry(reclaimed, entry)
	}
	return reclaimed
}

func (r reclaimer) reclaimEntry(share Share, entry Entry) Share {
	silent := r.watch.silent(entry)
	switch {
	case r.gone(entry.Run) || r.replaced(share, entry):
		return share.WithoutRun(entry.Run)
	case silent >= ReclaimAfter(entry.FloorTerm)+r.drain:
		return share.WithoutRun(entry.Run)
	case silent >= ReclaimAfter(entry.Term)+r.drain && entry.Leased > 0:
		entry.Leased, entry.Lacking, entry.Open = 0, 0, 0
		return share.WithEntry(entry)
	default:
		return share
	}
}

// replaced reports whether a later run has the entry's address. Datagrams to
// the address reach that run, so the flows of this one have ended for their
// callers, and it gets no new ones. Entries stand in the order in which their
// runs joined, which conditional updates make certain; incarnations come from
// wall clocks and do not.
func (r reclaimer) replaced(share Share, entry Entry) bool {
	joined := share.index(entry.Run)
	for _, later := range share.Entries[joined+1:] {
		if later.Address == entry.Address {
			return true
		}
	}
	return r.self.Address == entry.Address && share.index(r.self) < 0
}

// ReclaimAfter is how long an entry has to be seen unchanged before a part
// with this term may be reclaimed. The margin covers clocks whose rates differ.
func ReclaimAfter(term settings.Duration) time.Duration {
	return time.Duration(term + term/_marginDivisor)
}

// _marginDivisor gives the margin that a reclaimer adds to a term: a tenth.
const _marginDivisor = 10
