// Package limit keeps the open flows of one service at one place within the
// operator's limit, although every agent admits flows on its own and the
// platform that they share has outages.
//
// # Shares
//
// The limit is one Whole, divided into Units. The platform's store holds one
// Share object for each service and place, which is changed only by conditional
// update. The Share has an Entry for each run of an agent, that is, for each
// process from its start to its exit. The units of all entries never add up to
// more than the Whole. An entry has two parts: the floor, which its run may use
// during an outage of the platform, and the leased part, which lapses unless the
// run renews its lease.
//
// A run admits a flow while it has fewer open flows than its units are worth
// under the limit that it knows, rounded down. Units are fractions of the limit,
// not numbers of flows. So a run applies a changed limit as soon as it knows it,
// without a write to the platform and also during an outage, and a limit that is
// raised and lowered again leaves the shares as they were.
//
// # Time
//
// The clocks of different hosts are never compared. A run counts the term of its
// lease from before it sent the write that renewed the lease, on its monotonic
// and on its wall clock. The lease ends when either clock has advanced by the
// term, which the run checks before each admission. Any other run counts the term
// from when it first read the result of that write, on its own monotonic clock,
// and waits a tenth longer before it reclaims the leased part. The write was sent
// before its result was read, so a run stops using its leased part before another
// run may reclaim it, provided that the rates of the two clocks differ by less
// than a tenth. A process that was paused reads its clocks when it resumes, before
// it admits a flow.
//
// # Guarantees
//
// These hold for any pauses, outages, lost answers, delayed writes, stale reads,
// crashes and restarts, and for any offsets between clocks:
//
//   - Units in use: The units in use at all runs, whether alive, paused or
//     partitioned, never add up to more than the Whole. Proof: a run uses at most
//     the minimum of its entry in the Share and of the entries that its pending
//     writes would leave it. So the sum of the units in use is at most the sum of
//     the entries, which every conditional update keeps within the Whole. Another
//     run removes a part of an entry only after the entry's own run has stopped
//     using it; see Time.
//   - Allowed flows: The number of flows that all runs together may have open never
//     exceeds the largest limit that any run still knows. This number is the sum of
//     units(i) × limit(i) ÷ Whole over all runs i, a weighted mean of the limits.
//     While the limit changes, the number lies between the old and the new limit,
//     and once every run knows the new limit, the number is at most the new limit.
//     A run that settings updates do not reach learns a lower limit from the Share
//     when it renews its lease. If it cannot renew the lease, it may use only its
//     floor, under the limit that it knows.
//   - Open flows: While the limit does not change, the number of open flows never
//     exceeds it. A run never returns units that its open flows need. The units
//     of a silent run, which may be partitioned with flows still open, become
//     free only when the run is confirmed gone, so that its flows have ended for
//     their callers, or when the operator's drain deadline has passed since its
//     lease lapsed. The only exceptions are flows of a partitioned run that outlive
//     the drain deadline, because nothing terminates them.
//   - Lowered limits: A lowered limit terminates no flow. A run with more open
//     flows than its units are worth under the new limit refuses flows until
//     enough of its flows have ended. Meanwhile it claims free units to cover the
//     open flows, and returns them as flows end. Once all runs have renewed their
//     leases under the new limit, no run admits a flow above its floor while the
//     open flows that all runs reported in their last writes are as many as the
//     limit or more. A run with more open flows than its units are worth cannot
//     have more flows open than it last reported, because it admits none.
//
// # Restored stores
//
// A platform whose store is restored from an older copy loses what runs have written
// since. The units in use still never add up to more than the Whole: a run that reads such
// a Share uses at most what it used before, and claims no units beyond that except those
// that runs have given up since, until all others have written their entries or stopped
// using their units; see recount. The exception is a floor that a run claimed after the
// copy was made and goes on using because it cannot reach the platform.
//
// # Floors
//
// An entry's floor is at most half of Whole ÷ MaxHosts. Floors are claimed in
// the Share like any other units, so hosts beyond the expected number have none:
// they admit flows only under their lease, and none during an outage. A run that
// starts during an outage has no confirmed claim and admits nothing until the
// platform answers; otherwise the limit could be exceeded. The lease of a floor
// lasts a week, so that the floors of lost hosts become free again without an
// operator. The floor of a run that is confirmed gone becomes free within
// minutes.
package limit
