package limit

import (
	"time"

	"dandelionhitch.example/settings"
)

// entryState is the sequence number of an entry, and the time for which the entry
// has been observed unchanged.
type entryState struct {
	seq     uint64
	silence time.Duration
}

// observer measures, on its run's monotonic clock, for how long the entries of
// other runs have not changed.
type observer struct {
	states map[Run]entryState
	// lastSeen is when the share was last read or written.
	lastSeen time.Duration
	// maxStep is the maximum time between two observations of the share that
	// counts as silence. During an outage no run can renew its lease or read the
	// share. With this bound, live runs have time to renew their leases after an
	// outage, however long it was.
	maxStep time.Duration
}

// observe updates the states with the entries of share, which the store held at
// some time before now.
func (o *observer) observe(now time.Duration, share Share) {
	elapsed := min(now-o.lastSeen, o.maxStep)
	o.lastSeen = now
	states := make(map[Run]entryState, len(share.Entries))
	for _, entry := range share.Entries {
		state, ok := o.states[entry.Run]
		if !ok || state.seq != entry.Seq {
			state = entryState{seq: entry.Seq, silence: -elapsed}
		}
		state.silence += elapsed
		states[entry.Run] = state
	}
	o.states = states
}

// silence returns for how long an entry of the last observed share has not changed.
func (o *observer) silence(entry Entry) time.Duration {
	return o.states[entry.Run].silence
}

// leaseLapsed reports whether the entry's run has certainly stopped using its
// leased part.
func (o *observer) leaseLapsed(entry Entry) bool {
	return o.silence(entry) >= ReclaimAfter(entry.Term)
}

// reclaimer removes the parts of silent runs from a share.
type reclaimer struct {
	self     Run
	observer *observer
	// drainDeadline is how long flows may outlive the lease under which they were admitted.
	drainDeadline time.Duration
	gone          func(Run) bool
}

// reclaim returns the share without the entries and leased parts that may be
// assigned to other runs.
func (r reclaimer) reclaim(share Share) Share {
	reclaimed := share
	for _, entry := range share.Entries {
		if entry.Run == r.self || !r.observer.leaseLapsed(entry) {
			continue
		}
		reclaimed = r.reclaimEntry(reclaimed, entry)
	}
	return reclaimed
}

func (r reclaimer) reclaimEntry(share Share, entry Entry) Share {
	silence := r.observer.silence(entry)
	switch {
	case r.gone(entry.Run) || r.replaced(share, entry):
		return share.WithoutRun(entry.Run)
	case silence >= ReclaimAfter(entry.FloorTerm)+r.drainDeadline:
		return share.WithoutRun(entry.Run)
	case silence >= ReclaimAfter(entry.Term)+r.drainDeadline && entry.Leased > 0:
		entry.Leased, entry.Lacking, entry.Open = 0, 0, 0
		return share.WithEntry(entry)
	default:
		return share
	}
}

// replaced reports whether a later run has the entry's address. Datagrams to the
// address reach the later run, so the flows of the entry's run have ended for
// their callers, and it is sent no new ones. The order of entries shows which
// run joined later, because conditional updates append entries in that order.
// Incarnations do not show it, because they come from wall clocks.
func (r reclaimer) replaced(share Share, entry Entry) bool {
	index := share.index(entry.Run)
	for _, later := range share.Entries[index+1:] {
		if later.Address == entry.Address {
			return true
		}
	}
	return r.self.Address == entry.Address && share.index(r.self) < 0
}

// ReclaimAfter returns for how long an entry has to be observed unchanged before
// a part with this term may be reclaimed. It is longer than the term because
// clock rates differ.
func ReclaimAfter(term settings.Duration) time.Duration {
	return time.Duration(term + term/_marginDivisor)
}

// _marginDivisor is the divisor of a term that gives the margin added to it: a tenth.
const _marginDivisor = 10
