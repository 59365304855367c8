package limit

import (
	"time"

	"dandelionhitch.example/settings"
)

// watched is since when an entry has been seen unchanged.
type watched struct {
	seq   uint64
	since time.Duration
}

// watch is what one run saw of the others' entries, on its own monotonic clock.
type watch map[Run]watched

// see notes the entries of a share that was in the store before now.
func (w watch) see(now time.Duration, share Share) {
	for _, entry := range share.Entries {
		if known, ok := w[entry.Run]; !ok || known.seq != entry.Seq {
			w[entry.Run] = watched{seq: entry.Seq, since: now}
		}
	}
	for run := range w {
		if share.index(run) < 0 {
			delete(w, run)
		}
	}
}

// silent is for how long the entry has been seen unchanged.
func (w watch) silent(now time.Duration, entry Entry) time.Duration {
	known, ok := w[entry.Run]
	if !ok || known.seq != entry.Seq {
		return 0
	}
	return now - known.since
}

// lapsed reports whether the entry's run has surely stopped using its leased part.
func (w watch) lapsed(now time.Duration, entry Entry) bool {
	return w.silent(now, entry) >= reclaimAfter(entry.Term)
}

// reclaimer takes back the parts of silent runs.
type reclaimer struct {
	self  Run
	watch watch
	now   time.Duration
	// drain is how long flows may outlive the lease they were admitted under.
	drain time.Duration
	gone  func(Run) bool
}

// reclaim returns the share without what may be given out again.
func (r reclaimer) reclaim(share Share) Share {
	reclaimed := share
	for _, entry := range share.Entries {
		if entry.Run == r.self || !r.watch.lapsed(r.now, entry) {
			continue
		}
		reclaimed = r.reclaimEntry(reclaimed, entry)
	}
	return reclaimed
}

func (r reclaimer) reclaimEntry(share Share, entry Entry) Share {
	silent := r.watch.silent(r.now, entry)
	switch {
	case r.gone(entry.Run) || r.replaced(share, entry):
		return share.WithoutRun(entry.Run)
	case silent >= reclaimAfter(entry.FloorTerm)+r.drain:
		return share.WithoutRun(entry.Run)
	case silent >= reclaimAfter(entry.Term)+r.drain && entry.Leased > 0:
		entry.Leased = 0
		entry.Lacking = 0
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

// reclaimAfter is how long an entry has to be seen unchanged before a part
// with this term may be reclaimed. The margin covers clocks whose rates differ.
func reclaimAfter(term settings.Duration) time.Duration {
	return time.Duration(term + term/_marginDivisor)
}

// _marginDivisor gives the margin that a reclaimer adds to a term: a tenth.
const _marginDivisor = 10
