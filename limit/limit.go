// Package limit keeps the open flows of one service at one place within the
// operator's limit, although every agent admits flows on its own and the
// platform that they share has outages.
//
// # Shares
//
// The limit is one Whole, cut into Units. The platform holds one Share object
// for each service and place, changed only by conditional update. It has an
// Entry for each run of an agent, and the entries' units never add up to more
// than the Whole. An entry has two parts: the floor, which its run keeps
// through an outage of the platform, and the leased part, which lapses.
//
// A run admits a flow while it has fewer open flows than its units of the
// limit that it knows, rounded down. Units are parts of the limit, not flows,
// so a changed limit is in force at a run as soon as the run knows it, without
// a write to the platform, also during an outage; and a limit that is raised
// and lowered back leaves the same shares as before.
//
// # Time
//
// No two hosts' clocks are compared. A run counts the term of its lease from
// before it sent the write that renewed it, on whichever of its own clocks
// went furthest, and checks before each admission. Any other run counts from
// when it first saw that write, on its own monotonic clock, and waits a tenth
// longer. The write was sent before it was seen, so a run has stopped using
// its leased part before another may reclaim it, provided that the rates of
// the two clocks differ by less than a tenth. A process that was paused reads
// its clocks when it wakes up, before it admits.
//
// # What is promised
//
// For any pauses, outages, lost answers, late writes, stale reads, deaths and
// restarts, and whatever the offsets of the clocks:
//
//  1. The units in use at all runs, alive, paused or cut off, never add up to
//     more than the Whole. Proof: a run uses the minimum of what the object
//     holds for it and what it may have asked to be left with, so the sum of
//     the units in use is at most the sum of the entries, which every
//     conditional update keeps within the Whole; and an entry's part is taken
//     away by another run only after its own run has stopped using it (above).
//  2. So what all runs together may admit never exceeds the largest limit that
//     any run still knows: the sum of units(i) × limit(i) ÷ Whole is a
//     weighted mean of the limits. During a change it lies between the old and
//     the new one, and once each run knows the new limit it is at most that.
//     A run that the settings do not reach learns a lower limit from the Share
//     when it renews its lease, else keeps to its floor of the limit it knows.
//  3. While the limit stays the same, the open flows themselves never exceed
//     it either: a run never returns units that its open flows need, and units
//     whose run fell silent, perhaps cut off with flows that live on, are given
//     out again only when that run is confirmed gone (its flows have ended for
//     their callers), or when the operator's drain deadline has passed since
//     the lease lapsed. Flows of a cut-off run that outlive the drain deadline
//     are the one exception; nothing cuts them.
//  4. A lowered limit cuts no flow. A run with more open flows than its part
//     of the new limit refuses until enough have ended, claims what units are
//     free to cover them, and returns these as its flows end. Once all runs
//     have renewed their leases under the new limit, no run admits a flow
//     above its floor while the flows open at all runs are as many as the
//     limit or more, by what each wrote last: a run over its part writes no
//     less than it has, because it admits none.
//
// # Floors
//
// An entry's floor is a part of Whole ÷ max hosts. It has to be claimed in the
// Share like any other units, so hosts beyond the expected number get none:
// they admit leased flows only, and nothing during an outage. A run that
// starts during an outage has no proof of a claim and admits nothing until the
// platform answers: the price of never exceeding the limit. A floor's lease is
// a week, so that the floors of lost hosts return on their own. A floor whose
// run is confirmed gone returns within minutes.
package limit
